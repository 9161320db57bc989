#ifndef BASILSILL_NODE_TEST_HTTP_REFERENCE_H_
#define BASILSILL_NODE_TEST_HTTP_REFERENCE_H_

#include <string>
#include <string_view>
#include <vector>

#include "http_reader.h"

/// What bytes from a caller mean, twice: as HttpReader reads them from a
/// connection, and as the letter of RFC 9112 has it. Where the reader takes a
/// message in, both must agree on each byte of it.

namespace basilsill::test {

struct ParsedRequest {
  std::string method;
  std::string target;
  std::string body;

  bool operator==(const ParsedRequest&) const = default;
};

/// How the reading of a connection's bytes ended.
struct ReadingOutcome {
  std::vector<ParsedRequest> whole;        ///< Requests taken in whole.
  HeadStatus status = HeadStatus::kCount;  ///< Of the last head.
  bool body_broken = false;                ///< The last head's body broke.
};

/// Sends `bytes` over a loopback connection, closes it, and reads requests
/// until the reader gives up or nothing is left.
ReadingOutcome ReadRequests(std::string_view bytes);

/// As `ReadRequests` for answers, whose content the callers don't compare.
void ReadAnswers(std::string_view bytes);

/// @returns the requests in `bytes` up to the first that is not strictly
/// well-formed or not whole.
std::vector<ParsedRequest> ParseStrictly(std::string_view bytes);

/// @returns true if the reader took in nothing that the letter does not give.
bool AgreesWithStrictParser(const ReadingOutcome& end, std::string_view bytes);

}  // namespace basilsill::test

#endif  // BASILSILL_NODE_TEST_HTTP_REFERENCE_H_
