#ifndef BASILSILL_NODE_TEST_HTTP_REFERENCE_H_
#define BASILSILL_NODE_TEST_HTTP_REFERENCE_H_

#include <string>
#include <string_view>
#include <vector>

#include "http_reader.h"

/// Two independent parsers of the bytes from a caller: HttpReader on a
/// connection, and a strict reference parser that follows the wording of RFC
/// 9112. Every message that the reader accepts must be identical, byte for
/// byte, in both.

namespace basilsill::test {

struct ParsedRequest {
  std::string method;
  std::string target;
  std::string body;

  bool operator==(const ParsedRequest&) const = default;
};

/// Result of reading the bytes of a connection.
struct ReadingOutcome {
  std::vector<ParsedRequest> whole;  ///< Requests that were read completely.
  HeadStatus status = HeadStatus::kCount;  ///< Status of the last head.
  bool body_broken = false;  ///< The body after the last head was invalid.
};

/// Sends `bytes` over a loopback connection, closes it, and reads requests
/// until the reader fails or reaches the end.
ReadingOutcome ReadRequests(std::string_view bytes);

/// As `ReadRequests`, for answers; their content is not compared.
void ReadAnswers(std::string_view bytes);

/// @returns the requests in `bytes` up to the first that is incomplete or not
/// strictly well-formed.
std::vector<ParsedRequest> ParseStrictly(std::string_view bytes);

/// @returns true if the reader accepted no request that the strict parser does
/// not find.
bool AgreesWithStrictParser(const ReadingOutcome& end, std::string_view bytes);

}  // namespace basilsill::test

#endif  // BASILSILL_NODE_TEST_HTTP_REFERENCE_H_
