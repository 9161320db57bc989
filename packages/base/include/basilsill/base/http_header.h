#ifndef BASILSILL_BASE_HTTP_HEADER_H_
#define BASILSILL_BASE_HTTP_HEADER_H_

#include <string>

namespace basilsill {

/// One header field of control traffic. Not used for requests of callers.
struct HttpHeader {
  std::string name;
  std::string value;
};

}  // namespace basilsill

#endif  // BASILSILL_BASE_HTTP_HEADER_H_
