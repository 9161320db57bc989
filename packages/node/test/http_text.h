#ifndef BASILSILL_NODE_TEST_HTTP_TEXT_H_
#define BASILSILL_NODE_TEST_HTTP_TEXT_H_

#include <string>
#include <string_view>

/// The text of HTTP messages, as tests send and receive it.

namespace basilsill::test {

/// @returns the value of the first header `name` in `message`, which begins
/// with a start line; empty if there is none.
std::string FieldOf(std::string_view message, const std::string& name);

}  // namespace basilsill::test

#endif  // BASILSILL_NODE_TEST_HTTP_TEXT_H_
