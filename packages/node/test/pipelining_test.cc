// Tests of the answers on one connection of a caller, which has several
// requests in flight.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <pcg_random.hpp>

#include "basilsill/base/text.h"
#include "caller_harness.h"
#include "http_text.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::ParseNumber;
using basilsill::test::AnswerEnd;
using basilsill::test::BodyOctet;
using basilsill::test::CallerHarness;
using basilsill::test::CallerRecord;
using basilsill::test::CallerScript;
using basilsill::test::FieldOf;
using basilsill::test::RequestIdOf;
using basilsill::test::ScriptedAnswer;
using std::chrono::milliseconds;

namespace {

// More than a stream of a link carries before its receiver reads.
constexpr size_t kLongBody = 400'000;
constexpr milliseconds kLongDeadline{10'000};
constexpr int kHistories = 500;
// Histories that are played at the same time.
constexpr int kBatch = 50;
constexpr milliseconds kDrainsAfter{30};

struct ParsedAnswer {
  unsigned status = 0;
  std::string request_id;
  std::string body;
  bool is_complete = false;
};

/// Reads answers as a caller does, which knows nothing but the bytes.
class AnswerParser {
 public:
  explicit AnswerParser(std::string_view bytes) : rest(bytes) {}

  /// @returns the next answer, or nothing at the end of the bytes.
  std::optional<ParsedAnswer> Next() {
    const size_t end = this->rest.find("\r\n\r\n");
    if (end == std::string_view::npos) {
      return std::nullopt;
    }
    const std::string_view head = this->rest.substr(0, end + 2);
    this->rest.remove_prefix(end + 4);
    CHECK(head.starts_with("HTTP/1.1 "));
    ParsedAnswer answer;
    answer.status = ParseNumber<unsigned>(head.substr(9, 3)).value_or(0);
    answer.request_id = FieldOf(head, "X-Request-Id");
    if (FieldOf(head, "Transfer-Encoding") == "chunked") {
      this->ReadChunks(answer);
    } else {
      const auto size = ParseNumber<size_t>(FieldOf(head, "Content-Length"));
      this->ReadBytes(answer, size.value_or(SIZE_MAX));
    }
    return answer;
  }

 private:
  void ReadBytes(ParsedAnswer& answer, size_t size) {
    answer.is_complete = size <= this->rest.size();
    answer.body = this->rest.substr(0, size);
    this->rest.remove_prefix(answer.body.size());
  }

  void ReadChunks(ParsedAnswer& answer) {
    for (;;) {
      const size_t end = this->rest.find("\r\n");
      if (end == std::string_view::npos) {
        this->rest = {};
        return;
      }
      const auto parsed = ParseNumber<size_t>(this->rest.substr(0, end), 16);
      CHECK(parsed.has_value());
      const size_t size = *parsed;
      this->rest.remove_prefix(end + 2);
      answer.body += this->rest.substr(0, size);
      const bool has_all = this->rest.size() >= size + 2;
      this->rest.remove_prefix(has_all ? size + 2 : this->rest.size());
      if (!has_all || size == 0) {
        answer.is_complete = has_all;
        return;
      }
    }
  }

  std::string_view rest;
};

/// Checks that each answer belongs to its request, and that a success that
/// looks complete has the whole body.
/// @returns the answers.
std::vector<ParsedAnswer> CheckAnswers(size_t caller,
                                       const CallerScript& script,
                                       const CallerRecord& record) {
  std::vector<ParsedAnswer> answers;
  AnswerParser parser(record.bytes);
  while (const std::optional<ParsedAnswer> answer = parser.Next()) {
    const size_t number = answers.size();
    CHECK(number < script.answers.size());
    STRCMP_EQUAL(RequestIdOf(caller, number).c_str(),
                 answer->request_id.c_str());
    if (answer->status == 200) {
      const size_t size = script.answers[number].body_bytes;
      const std::string body(answer->body.size(), BodyOctet(number));
      CHECK(answer->body == body);
      CHECK(answer->body.size() == size || !answer->is_complete);
    }
    answers.push_back(*answer);
  }
  return answers;
}

ScriptedAnswer Body(size_t size) {
  ScriptedAnswer answer;
  answer.body_bytes = size;
  return answer;
}

ScriptedAnswer EndingWith(AnswerEnd end, size_t size = 0) {
  ScriptedAnswer answer = Body(size);
  answer.end = end;
  return answer;
}

/// Draws the scripts of random histories.
class HistoryGenerator {
 public:
  explicit HistoryGenerator(uint64_t seed) : random(seed) {}

  CallerScript Draw() {
    CallerScript script;
    const int count = this->Between(2, 6);
    for (int i = 0; i < count; ++i) {
      script.answers.push_back(this->DrawAnswer());
      script.deadlines.push_back(this->DrawTime(5, 60));
    }
    if (this->Happens(0.15)) {
      script.closes_after = this->DrawTime(1, 80);
    }
    return script;
  }

 private:
  ScriptedAnswer DrawAnswer() {
    ScriptedAnswer answer;
    if (this->Happens(0.4)) {
      answer.end = static_cast<AnswerEnd>(
          this->Between(0, static_cast<int>(AnswerEnd::kCount) - 1));
    }
    const size_t sizes[] = {0, 100, 5'000, 100'000, 300'000, kLongBody};
    answer.body_bytes = sizes[this->Between(0, 5)];
    // The end of a chunked body says that it is complete.
    answer.chunked = this->Happens(0.3) && answer.end != AnswerEnd::kShort;
    answer.delay = this->Happens(0.5) ? this->DrawTime(0, 60) : 0ms;
    answer.pause = this->Happens(0.3) ? this->DrawTime(0, 60) : 0ms;
    return answer;
  }

  int Between(int low, int high) {
    return boost::random::uniform_int_distribution<int>(low,
                                                        high)(this->random);
  }
  bool Happens(double share) {
    return boost::random::bernoulli_distribution<double>(share)(this->random);
  }
  milliseconds DrawTime(int low, int high) {
    return milliseconds(this->Between(low, high));
  }

  pcg32 random;
};

}  // namespace

TEST_GROUP(Pipelining) {
  CallerHarness harness;

  std::vector<ParsedAnswer> Play(const CallerScript& script) {
    const std::vector<CallerRecord> records = this->harness.Play({script});
    return CheckAnswers(0, script, records.front());
  }
};

// Failure: an answer waits for its turn when its request is ended at its
// deadline. What has arrived of it is sent, and the next answer is read as the
// rest of its body.
TEST(Pipelining, Deadline_AnswerWaitsIncomplete_Refused) {
  CallerScript script;
  script.answers = {EndingWith(AnswerEnd::kNoAnswer), Body(kLongBody),
                    Body(100)};
  script.deadlines = {50ms, 50ms, kLongDeadline};
  const std::vector<ParsedAnswer> answers = this->Play(script);
  CHECK_EQUAL(3, answers.size());
  CHECK_EQUAL(504, answers[0].status);
  CHECK_EQUAL(504, answers[1].status);
  CHECK_EQUAL(200, answers[2].status);
  CHECK(answers[2].is_complete);
}

// Failure: a complete answer that waits for its turn is replaced by 504.
TEST(Pipelining, Deadline_AnswerWaitsComplete_Sent) {
  CallerScript script;
  script.answers = {EndingWith(AnswerEnd::kNoAnswer), Body(100'000), Body(100)};
  script.deadlines = {50ms, 50ms, 50ms};
  const std::vector<ParsedAnswer> answers = this->Play(script);
  CHECK_EQUAL(3, answers.size());
  CHECK_EQUAL(504, answers[0].status);
  CHECK_EQUAL(200, answers[1].status);
  CHECK_EQUAL(200, answers[2].status);
  CHECK(answers[2].is_complete);
}

// Failure: a VM refuses a request without saying that it has not run, and the
// caller gets the promise that its reason usually makes.
TEST(Pipelining, RefusedByPeer_NotSaidToBeNotRun_PromisesNothing) {
  CallerScript script;
  script.answers = {EndingWith(AnswerEnd::kRefused),
                    EndingWith(AnswerEnd::kRefusedUnproven)};
  script.deadlines = {kLongDeadline, kLongDeadline};
  const std::vector<ParsedAnswer> answers = this->Play(script);
  CHECK_EQUAL(2, answers.size());
  CHECK_EQUAL(503, answers[0].status);
  CHECK_EQUAL(502, answers[1].status);
}

// Failure: an answer ends before its declared length, and the next answer is
// read as the rest of its body.
TEST(Pipelining, Answer_ShorterThanDeclared_ClosesConnection) {
  CallerScript script;
  script.answers = {EndingWith(AnswerEnd::kShort, 5'000), Body(5'000)};
  script.deadlines = {kLongDeadline, kLongDeadline};
  const std::vector<ParsedAnswer> answers = this->Play(script);
  CHECK(answers.size() <= 1);
  CHECK(answers.empty() || !answers[0].is_complete);
}

// Failure: an answer without a length to a caller of HTTP/1.0 breaks off, and
// the clean end of the connection makes it look complete.
TEST(Pipelining, AnswerUntilClose_BreaksOff_ConnectionReset) {
  for (const AnswerEnd end : {AnswerEnd::kReset, AnswerEnd::kLinkLost}) {
    CallerScript script;
    script.answers = {EndingWith(end, 5'000)};
    script.answers[0].chunked = true;
    script.deadlines = {kLongDeadline};
    script.http_1_0 = true;
    CHECK(this->harness.Play({script}).front().was_reset);
  }
}

// Failure: some order of answers, deadlines, lost links and closes puts bytes
// of one answer into another, or makes half an answer look complete.
TEST(Pipelining, RandomHistories_EachAnswerBelongsToItsRequest) {
  size_t complete = 0;
  for (int first = 0; first < kHistories; first += kBatch) {
    std::vector<CallerScript> scripts;
    for (int seed = first; seed < first + kBatch; ++seed) {
      scripts.push_back(HistoryGenerator(seed).Draw());
    }
    CallerHarness batch;
    const bool drains = first / kBatch % 2 == 1;
    const std::vector<CallerRecord> records =
        batch.Play(scripts, drains ? kDrainsAfter : 0ms);
    for (size_t i = 0; i < scripts.size(); ++i) {
      for (const ParsedAnswer& answer :
           CheckAnswers(i, scripts[i], records[i])) {
        complete += answer.status == 200 && answer.is_complete ? 1 : 0;
      }
    }
  }
  CHECK(complete > kHistories / 2);
}
