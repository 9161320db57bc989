// Malformed HTTP input: a table of named invalid messages, and about a thousand
// inputs that are mutated from valid requests with a fixed seed.

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

#include <pcg_random.hpp>

#include "http_reference.h"

#include <CppUTest/TestHarness.h>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size);

namespace {

using basilsill::HeadStatus;
using basilsill::test::AgreesWithStrictParser;
using basilsill::test::ReadingOutcome;
using basilsill::test::ReadRequests;

constexpr uint64_t kSeed = 20261202;
constexpr size_t kRoundsPerRequest = 14;
constexpr size_t kLongTarget = 40'000;
constexpr size_t kLongExtension = 20'000;
constexpr size_t kEndlessExtension = 200'000;

const std::string kSecond = "GET /second HTTP/1.1\r\nHost: b\r\n\r\n";
const std::string kChunkedHead =
    "POST /levels/7 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<std::string> ValidRequests() {
  return {
      "GET /levels/7?depth=2 HTTP/1.1\r\nHost: a\r\nX-Empty:\r\n\r\n",
      ("POST /levels/7 HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n"
       "GET / HTTP/"),
      kChunkedHead + "5\r\nhello\r\n1a;x=\"y\"\r\n" + std::string(26, 'b') +
          "\r\n0\r\n\r\n",
      kChunkedHead + "3\r\nabc\r\n0\r\nX-Sum: 3\r\nX-Note: d\r\n\r\n",
      "HEAD /levels/7 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
      "PUT /levels/7 HTTP/1.0\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd",
      ("OPTIONS * HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
       "Content-Length: 2\r\n\r\nok"),
  };
}

/// A message with one fault; the rest of it is valid.
struct InvalidMessage {
  const char* name;
  std::string bytes;
  HeadStatus status;
  bool body_broken;
};

std::string WithField(const std::string& field) {
  return "POST /a HTTP/1.1\r\nHost: a\r\n" + field + "\r\n\r\n";
}

std::vector<InvalidMessage> InvalidHeads() {
  const HeadStatus bad = HeadStatus::kMalformed;
  return {
      {"length signed", WithField("Content-Length: +5"), bad, false},
      {"length negative", WithField("Content-Length: -5"), bad, false},
      {"length in hex", WithField("Content-Length: 0x5"), bad, false},
      {"length beyond 64 bits",
       WithField("Content-Length: 18446744073709551616"), bad, false},
      {"length twice", WithField("Content-Length: 5\r\nContent-Length: 5"), bad,
       false},
      {"length with coding",
       WithField("Content-Length: 5\r\nTransfer-Encoding: chunked"), bad,
       false},
      {"coding with length",
       WithField("Transfer-Encoding: chunked\r\nContent-Length: 5"), bad,
       false},
      {"coding unknown", WithField("Transfer-Encoding: xchunked"), bad, false},
      {"coding not chunked", WithField("Transfer-Encoding: gzip"), bad, false},
      {"coding identity", WithField("Transfer-Encoding: identity"), bad, false},
      {"coding after chunked", WithField("Transfer-Encoding: chunked, gzip"),
       bad, false},
      {"coding before chunked", WithField("Transfer-Encoding: gzip, chunked"),
       bad, false},
      {"coding twice",
       WithField("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity"),
       bad, false},
      {"coding empty", WithField("Transfer-Encoding:"), bad, false},
      {"coding in HTTP/1.0",
       "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", bad, false},
      {"field folded", WithField("X-Folded: a\r\n b"), bad, false},
      {"space before colon", WithField("X-Spaced : a"), bad, false},
      {"name empty", WithField(": a"), bad, false},
      {"name with control byte", WithField("X\x01Y: a"), bad, false},
      {"value with bare LF", WithField("X-Bare: a\nb"), bad, false},
      {"value with bare CR", WithField("X-Bare: a\rb"), bad, false},
      {"target with a space", "GET /a b HTTP/1.1\r\n\r\n", bad, false},
      {"target empty", "GET  HTTP/1.1\r\n\r\n", bad, false},
      {"target very long",
       "GET /" + std::string(kLongTarget, 'a') + " HTTP/1.1\r\n\r\n",
       HeadStatus::kTooLarge, false},
      {"cut in the start line", "GET /a", HeadStatus::kBroken, false},
      {"cut in a field", "GET /a HTTP/1.1\r\nHos", HeadStatus::kBroken, false},
  };
}

std::vector<InvalidMessage> InvalidBodies() {
  const HeadStatus ok = HeadStatus::kOk;
  const std::vector<std::pair<const char*, std::string>> chunks = {
      {"chunk size signed", "+5\r\nhello\r\n0\r\n\r\n"},
      {"chunk size negative", "-5\r\nhello\r\n0\r\n\r\n"},
      {"chunk size with prefix", "0x5\r\nhello\r\n0\r\n\r\n"},
      {"chunk size empty", "\r\nhello\r\n0\r\n\r\n"},
      {"chunk size no number", "g\r\nhello\r\n0\r\n\r\n"},
      {"chunk size beyond 64 bits", "10000000000000005\r\nhello\r\n0\r\n\r\n"},
      {"chunk size too small", "4\r\nhello\r\n0\r\n\r\n"},
      {"chunk size too large", "6\r\nhello\r\n0\r\n\r\n"},
      {"chunk line ends in LF", "5\nhello\r\n0\r\n\r\n"},
      {"chunk ends in LF", "5\r\nhello\n0\r\n\r\n"},
      {"chunk extension very long",
       "5;x=" + std::string(kEndlessExtension, 'y') + "\r\nhello\r\n0\r\n\r\n"},
      {"chunk extension with bare CR", "5;x=\ry\r\nhello\r\n0\r\n\r\n"},
      {"no last chunk", "5\r\nhello\r\n"},
      {"trailer with coding",
       "5\r\nhello\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n"},
      {"trailer with length", "5\r\nhello\r\n0\r\nContent-Length: 5\r\n\r\n"},
  };
  std::vector<InvalidMessage> messages;
  messages.reserve(chunks.size() + 1);
  for (const auto& [name, body] : chunks) {
    messages.push_back({name, kChunkedHead + body, ok, true});
  }
  messages.push_back(
      {"body cut", "PUT /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nab", ok, true});
  return messages;
}

size_t RandomOffset(const std::string& bytes, pcg32& random) {
  return random(static_cast<uint32_t>(bytes.size()));
}

void Cut(std::string& bytes, pcg32& random) {
  bytes.resize(RandomOffset(bytes, random));
}

void FlipBits(std::string& bytes, pcg32& random) {
  for (uint32_t left = 1 + random(3); left > 0; --left) {
    bytes[RandomOffset(bytes, random)] ^= static_cast<char>(1U << random(8));
  }
}

void InsertSpecialBytes(std::string& bytes, pcg32& random) {
  const std::string_view special_bytes[] = {"\n",
                                            "\r",
                                            "\r\n",
                                            "\r\n ",
                                            std::string_view("\0", 1),
                                            "\x7f",
                                            " ",
                                            "\t",
                                            ":",
                                            ";",
                                            "+",
                                            "-",
                                            "0x",
                                            ",",
                                            "\r\n\r\n",
                                            "\xff",
                                            "\r\n0\r\n\r\n"};
  const std::string_view inserted =
      special_bytes[random(static_cast<uint32_t>(std::size(special_bytes)))];
  bytes.insert(RandomOffset(bytes, random), inserted);
}

void RepeatLine(std::string& bytes, pcg32& random) {
  const size_t end = bytes.find("\r\n", RandomOffset(bytes, random));
  if (end == std::string::npos) {
    return;
  }
  const size_t before =
      end == 0 ? std::string::npos : bytes.rfind('\n', end - 1);
  const size_t begin = before == std::string::npos ? 0 : before + 1;
  bytes.insert(begin, bytes.substr(begin, end + 2 - begin));
}

void AddFraming(std::string& bytes, pcg32& random) {
  const std::string_view fields[] = {
      "Content-Length: 5\r\n",           "Content-Length: 0\r\n",
      "content-length:33\r\n",           "Transfer-Encoding: chunked\r\n",
      "Transfer-Encoding: identity\r\n", "transfer-encoding:\tChunked\r\n",
      "Content-Length : 5\r\n",          "Content-Length: 5, 5\r\n"};
  const size_t end = bytes.find("\r\n");
  bytes.insert(end + 2,
               fields[random(static_cast<uint32_t>(std::size(fields)))]);
}

void MutateDigit(std::string& bytes, pcg32& random) {
  const std::string_view digits = "0123456789abcdef+- xX;";
  const size_t found =
      bytes.find_first_of("0123456789", RandomOffset(bytes, random));
  if (found != std::string::npos) {
    bytes[found] = digits[random(static_cast<uint32_t>(digits.size()))];
  }
}

void DropByte(std::string& bytes, pcg32& random) {
  bytes.erase(RandomOffset(bytes, random), 1);
}

void RepeatByte(std::string& bytes, pcg32& random) {
  const size_t at = RandomOffset(bytes, random);
  bytes.insert(at, 1 + random(kLongExtension), bytes[at]);
}

void Splice(std::string& bytes, pcg32& random) {
  const std::vector<std::string> others = ValidRequests();
  const std::string& other =
      others[random(static_cast<uint32_t>(others.size()))];
  bytes.resize(RandomOffset(bytes, random) + 1);
  bytes += other.substr(RandomOffset(other, random));
}

using Mutation = void (*)(std::string& bytes, pcg32& random);
constexpr Mutation kMutations[] = {
    Cut,         FlipBits, InsertSpecialBytes, RepeatLine, AddFraming,
    MutateDigit, DropByte, RepeatByte,         Splice,     InsertSpecialBytes};

/// @returns many mutations of each valid request, each followed by a second
/// request.
std::vector<std::string> MutatedCorpus() {
  pcg32 random(kSeed);
  std::vector<std::string> corpus;
  for (const std::string& valid : ValidRequests()) {
    for (const Mutation mutate : kMutations) {
      for (size_t round = 0; round < kRoundsPerRequest; ++round) {
        std::string bytes = valid;
        mutate(bytes, random);
        corpus.push_back(bytes + kSecond);
      }
    }
  }
  return corpus;
}

}  // namespace

TEST_GROUP(HttpMalformed){};

TEST(HttpMalformed, Read_ValidRequests_AcceptedWithTheNextRequest) {
  for (const std::string& valid : ValidRequests()) {
    const std::string bytes = valid + kSecond;
    const ReadingOutcome end = ReadRequests(bytes);
    CHECK_EQUAL(2, end.whole.size());
    CHECK(HeadStatus::kClosed == end.status);
    CHECK_TEXT(AgreesWithStrictParser(end, bytes), valid.c_str());
  }
}

// Failure: request smuggling. Two servers disagree on where a request ends, and
// a second request that is hidden behind it runs with another caller's rights.
// Each ambiguous message must end the connection with a typed status, and
// nothing behind it may be read as a request.
TEST(HttpMalformed, Read_InvalidMessages_TypedStatusAndNoRequest) {
  std::vector<InvalidMessage> messages = InvalidHeads();
  const std::vector<InvalidMessage> bodies = InvalidBodies();
  messages.insert(messages.end(), bodies.begin(), bodies.end());
  for (const InvalidMessage& message : messages) {
    const ReadingOutcome end = ReadRequests(message.bytes);
    CHECK_TEXT(end.status == message.status, message.name);
    CHECK_TEXT(end.body_broken == message.body_broken, message.name);
    CHECK_TEXT(end.whole.empty(), message.name);
  }
}

TEST(HttpMalformed, Read_MutatedRequests_StrictlyParsedOrRefused) {
  const std::vector<std::string> corpus = MutatedCorpus();
  CHECK(corpus.size() >= 950);
  size_t refused = 0;
  for (const std::string& bytes : corpus) {
    const ReadingOutcome end = ReadRequests(bytes);
    CHECK_TEXT(end.status != HeadStatus::kCount, bytes.c_str());
    CHECK_TEXT(AgreesWithStrictParser(end, bytes), bytes.c_str());
    refused += end.status != HeadStatus::kClosed ? 1 : 0;
  }
  // Most of the corpus must be malformed for this to test anything.
  CHECK(refused > corpus.size() / 2);
}

TEST(HttpMalformed, FuzzTarget_MutatedCorpus_Passes) {
  for (const std::string& bytes : MutatedCorpus()) {
    const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
    CHECK_EQUAL(0, LLVMFuzzerTestOneInput(data, bytes.size()));
  }
}
