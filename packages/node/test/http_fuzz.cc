// libFuzzer target for the bytes that a caller or an upstream sends. Every
// input must end in a typed status, and no request may be accepted that a
// strict parser does not find in the same bytes. The ordinary tests run it over
// a fixed corpus (http_malformed_test.cc).

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
