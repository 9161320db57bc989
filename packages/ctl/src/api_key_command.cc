#include "api_key_command.h"

#include <array>
#include <iostream>
#include <string>

#include <sodium.h>
#include <tclap/CmdLine.h>

#include "basilsill/decision/api_keys.h"

namespace basilsill::ctl {
namespace {

constexpr size_t kRandomBytes = 32;
constexpr int kAlphabet = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
constexpr size_t kTextBytes =
    sodium_base64_ENCODED_LEN(kRandomBytes, kAlphabet);

std::string NewApiKey() {
  std::array<unsigned char, kRandomBytes> random{};
  randombytes_buf(random.data(), random.size());
  std::array<char, kTextBytes> text{};
  return sodium_bin2base64(text.data(), text.size(), random.data(),
                           random.size(), kAlphabet);
}

ExitStatus PrintDigestOf(std::istream& input) {
  std::string key;
  std::getline(input, key);
  if (!IsApiKey(key)) {
    std::cerr << "standard input: not an API key: expected visible ASCII "
                 "characters, at most "
              << limits::kMaxApiKeyBytes << '\n';
    return ExitStatus::kUsage;
  }
  std::cout << ToHex(DigestApiKey(key)) << '\n';
  return ExitStatus::kOk;
}

}  // namespace

ExitStatus RunApiKey(const CommandArguments& arguments) {
  TCLAP::CmdLine line("Generates an API key for a team and prints its digest",
                      ' ', BASILSILL_VERSION);
  TCLAP::SwitchArg digest(
      "", "digest", "Only print the digest of the key on standard input", line);
  if (const auto status = ParseArguments(line, arguments)) {
    return *status;
  }
  if (sodium_init() < 0) {
    std::cerr
        << "libsodium failed to initialise: no source of random numbers\n";
    return ExitStatus::kFailed;
  }
  if (digest.getValue()) {
    return PrintDigestOf(std::cin);
  }
  const std::string key = NewApiKey();
  std::cout << "key     " << key << "\ndigest  " << ToHex(DigestApiKey(key))
            << '\n';
  return ExitStatus::kOk;
}

}  // namespace basilsill::ctl
