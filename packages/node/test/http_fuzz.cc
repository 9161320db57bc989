// Target for libFuzzer: what a caller or an upstream sends. Any input ends in
// a typed status, and no request is taken in that a strict reading of the same
// bytes does not give. The ordinary tests run it over a fixed corpus
// (http_malformed_test.cc).

#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "http_reference.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const basilsill::test::ReadingOutcome end =
      basilsill::test::ReadRequests(bytes);
  if (!basilsill::test::AgreesWithStrictParser(end, bytes)) {
    std::abort();
  }
  basilsill::test::ReadAnswers(bytes);
  return 0;
}
