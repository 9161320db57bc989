// Runs the fuzz target on a fixed corpus of each kind of message, alone and in
// a sequence: unchanged, truncated, with flipped bits, with overwritten words
// and with random content.

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <string>
#include <vector>

#include <pcg_random.hpp>

#include "basilsill/wire/frame.h"
#include "samples.h"

#include <CppUTest/TestHarness.h>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size);

namespace basilsill::wire {
namespace {

constexpr size_t kMutationsPerSeed = 400;
constexpr size_t kFrameHeadBytes = 8;

/// @returns the corpus: the encoding of each sample message, and of all of them
/// in sequence.
std::vector<std::string> Corpus() {
  const std::vector<PeerMessage> messages = SampleMessages();
  std::vector<std::string> corpus;
  std::vector<PeerMessage> conversation;
  for (const PeerMessage& message : messages) {
    corpus.push_back(BytesOf(std::span(&message, 1)));
    conversation.push_back(message);
  }
  corpus.push_back(BytesOf(conversation));
  return corpus;
}

void Run(const std::string& bytes) {
  const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
  CHECK_EQUAL(0, LLVMFuzzerTestOneInput(data, bytes.size()));
}

/// Flips up to four bits near the start, where the structure of the message is
/// encoded.
void FlipBits(std::string& bytes, pcg32& random) {
  const auto reach = static_cast<uint32_t>(std::min<size_t>(bytes.size(), 512));
  for (uint32_t left = 1 + random(4); left > 0; --left) {
    bytes[random(reach)] ^= static_cast<char>(1U << random(8));
  }
}

/// Overwrites one word with a random value, which becomes an invalid pointer or
/// a random number.
void OverwriteWord(std::string& bytes, pcg32& random) {
  const auto words =
      static_cast<uint32_t>(std::min<size_t>(bytes.size() / 8, 64));
  const uint64_t value = uint64_t{random()} << 32 | random();
  std::memcpy(bytes.data() + size_t{8} * random(words), &value, sizeof(value));
}

/// Truncates the frame and adjusts its sizes, so that the frame is complete but
/// the message in it is not.
void TruncateMessage(std::string& bytes, pcg32& random) {
  const size_t most = (bytes.size() - kFrameHeadBytes) / 8;
  const uint32_t words =
      random(static_cast<uint32_t>(std::min<size_t>(most, 64)));
  const uint32_t sizes[] = {words * 8, 0};
  std::memcpy(bytes.data(), sizes, sizeof(sizes));
  bytes.resize(kFrameHeadBytes + size_t{8} * words);
}

/// Replaces the message by random bytes after a valid segment table, so that
/// the decoder evaluates its pointers.
void ReplaceByRandomBytes(std::string& bytes, pcg32& random) {
  const uint32_t words = 2 + random(40);
  bytes.resize(kFrameHeadBytes + size_t{8} * words);
  std::generate(bytes.begin(), bytes.end(),
                [&random] { return static_cast<char>(random(256)); });
  const uint32_t head[] = {words * 8, 0, 0, words - 1};
  std::memcpy(bytes.data(), head, sizeof(head));
}

using Mutation = void (*)(std::string& bytes, pcg32& random);
constexpr Mutation kMutations[] = {FlipBits, OverwriteWord, TruncateMessage,
                                   ReplaceByRandomBytes};

}  // namespace

TEST_GROUP(PeerFuzz){};

TEST(PeerFuzz, Target_UnchangedCorpus_Passes) {
  for (const std::string& bytes : Corpus()) {
    Run(bytes);
  }
}

TEST(PeerFuzz, Target_CorruptedCorpus_GivesMessagesOrTypedFailures) {
  uint64_t seed = 1;
  for (const std::string& bytes : Corpus()) {
    pcg32 random(++seed);
    for (size_t round = 0; round < kMutationsPerSeed; ++round) {
      std::string corrupted = bytes;
      kMutations[round % std::size(kMutations)](corrupted, random);
      Run(corrupted);
    }
  }
}

}  // namespace basilsill::wire
