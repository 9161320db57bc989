// Tests of upstreams that send something else than a whole answer.

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "dispatch_harness.h"

#include <CppUTest/TestHarness.h>

using basilsill::BodyKind;
using basilsill::BodyPiece;
using basilsill::BodySource;
using basilsill::Executor;
using basilsill::InfoOf;
using basilsill::kTask;
using basilsill::Promise;
using basilsill::Refusal;
using basilsill::Task;
using basilsill::Timer;
using basilsill::test::AfterBytes;
using basilsill::test::DispatchHarness;
using basilsill::test::Served;
using basilsill::test::UpstreamReply;
using std::chrono::milliseconds;

namespace {

// Longer than an answer that is buffered until it is complete.
constexpr size_t kLongBody = 256 * 1024;
// Longer than what the buffers of a connection hold.
constexpr size_t kLongUpload = 32 * 1024 * 1024;
constexpr milliseconds kPoll{1};
// Until an upload has filled the buffers of its connection.
constexpr milliseconds kFillTime{100};

// Blanks, control bytes and bytes that no token has.
const std::vector<char> kNoTokenBytes = {' ',    '\t',   '\0',   '\x01',
                                         '\x0b', '\x0c', '\x7f', '\x80',
                                         '(',    ',',    '"',    '='};

/// @returns `name` with `byte` within, before and behind it.
std::vector<std::string> NamesWith(char byte, const std::string& name) {
  const std::string text(1, byte);
  return {name.substr(0, 3) + text + name.substr(3), text + name, name + text};
}

/// An upload without end, which can be held back.
class Upload final : public BodySource {
 public:
  explicit Upload(const Executor& executor) : executor(executor) {}

  Task<BodyPiece> Read(std::span<char> buffer) override {
    while (this->is_held && !this->is_stopped) {
      co_await this->Sleep(kPoll);
    }
    if (this->is_stopped) {
      co_return BodyPiece{false, true, 0};
    }
    std::fill(buffer.begin(), buffer.end(), 'u');
    ++this->pieces;
    co_return BodyPiece{true, false, buffer.size()};
  }
  void Stop() override { this->is_stopped = true; }

  Task<void> Sleep(milliseconds time) {
    Timer timer(this->executor, time);
    co_await timer.async_wait(kTask);
  }

  bool is_held = false;
  bool is_stopped = false;
  size_t pieces = 0;

 private:
  Executor executor;
};

class BrokenAnswersGroup : public DispatchHarness {
 public:
  /// Lets the upstream answer everything with `bytes`.
  void AnswerWith(const std::string& bytes,
                  AfterBytes after = AfterBytes::kKeeps) {
    this->choose = [bytes, after](bool) {
      UpstreamReply reply;
      reply.begin = bytes;
      reply.after = after;
      return reply;
    };
  }

  /// Lets the upstream answer before it has read the body of the request.
  void AnswerEarlyWith(const std::string& bytes,
                       AfterBytes after,
                       milliseconds work = {},
                       const std::function<bool()>& may_end = {}) {
    this->choose = [bytes, after, work, may_end](bool) {
      UpstreamReply reply;
      reply.may_end = may_end;
      reply.begin = bytes;
      reply.after = after;
      reply.work = work;
      reply.leaves_body_unread = true;
      return reply;
    };
  }

  /// @returns a head without its blank line, as an answer to request r-1.
  std::string HeadOf(const std::string& status_line = "HTTP/1.1 200 OK") const {
    return status_line + "\r\n" + this->names.request_id + ": r-1\r\n";
  }

  /// Sends request r-1 until it has reached the upstream, and waits for its
  /// end.
  const Served& ServeRequest() {
    const size_t runs_before = this->RunsOf("r-1");
    CHECK(this->RunUntil([this, runs_before] {
      this->requests.clear();
      this->Start("r-1");
      this->Finish();
      return this->RunsOf("r-1") > runs_before;
    }));
    return *this->requests.back();
  }

  /// Checks that no answer with the field `name` in its head reaches a caller.
  void CheckRefused(const std::string& name) {
    const std::string field = name + ": 5\r\n";
    const std::string others = this->names.load + ": 1,0,2\r\n";
    for (const std::string& fields : {field + others, others + field}) {
      this->AnswerWith(this->HeadOf() + fields +
                       "Content-Length: 5\r\n\r\nwhole");
      const Served& served = this->ServeRequest();
      CHECK_TEXT(!served.outcome->answered, name.c_str());
      CHECK_TEXT(served.outcome->refusal == Refusal::kUpstreamMalformed,
                 name.c_str());
    }
  }

  /// Sends `served` with `upload` and waits for its end.
  void ServeUpload(Served& served, Upload& upload) {
    served.request.framing = {BodyKind::kChunked, 0};
    served.request.source = &upload;
    this->Send(served);
    this->Finish();
  }
};

}  // namespace

TEST_GROUP_BASE(BrokenAnswers, BrokenAnswersGroup){};

// Failure: an upstream in trouble answers with a status that HTTP does not
// have, and the caller gets it as an answer.
TEST(BrokenAnswers, StatusOutsideHttp_Request_EndsAsMalformed) {
  for (const std::string status :
       {"000", "001", "099", "101", "600", "999", "0", "20", "2000", "-20"}) {
    for (std::string bytes : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
      bytes += this->HeadOf("HTTP/1.1 " + status + " OK");
      bytes += "Content-Length: 0\r\n\r\n";
      this->AnswerWith(bytes);
      const Served& served = this->ServeRequest();
      CHECK_TEXT(!served.outcome->answered, status.c_str());
      CHECK_TEXT(served.outcome->refusal == Refusal::kUpstreamMalformed,
                 status.c_str());
    }
  }
}

TEST(BrokenAnswers, StatusOfHttp_Request_PassedOn) {
  for (const unsigned status : {200U, 299U, 304U, 404U, 500U, 599U}) {
    this->AnswerWith(
        this->HeadOf("HTTP/1.1 " + std::to_string(status) + " OK") +
        "Content-Length: 0\r\n\r\n");
    const Served& served = this->ServeRequest();
    CHECK(served.outcome->answered);
    CHECK_EQUAL(status, served.sink.status);
  }
}

TEST(BrokenAnswers, StatusOutsideHttp_HealthCheck_EndsUnanswered) {
  this->AnswerWith("HTTP/1.1 000 OK\r\n" + this->names.load +
                   ": 1,0,2\r\nContent-Length: 0\r\n\r\n");
  CHECK_FALSE(this->QueryLoad().answered);
}

// Failure: an upstream answers a long upload at once, without a length, and
// resets the connection before it has sent all of the answer. The upload's
// write gets the reset, so that the read after it finds an ordinary end, and
// the caller gets a part as a complete answer.
TEST(BrokenAnswers, PartWithoutLengthThenReset_CallerReadsLate_BreaksOff) {
  Upload upload(this->context.get_executor());
  upload.is_held = true;
  Served& served = this->Add("r-1");
  bool is_holding = false;
  served.sink.hold = [this, &upload, &is_holding]() -> Task<void> {
    is_holding = true;
    while (this->upstream.open_connections() > 0) {
      co_await upload.Sleep(kPoll);
    }
    upload.is_held = false;
    while (upload.pieces == 0) {
      co_await upload.Sleep(kPoll);
    }
    co_await upload.Sleep(kPoll);
  };
  this->AnswerEarlyWith(this->HeadOf() + "\r\n" + std::string(kLongBody, 'x'),
                        AfterBytes::kResets, {},
                        [&is_holding] { return is_holding; });
  this->ServeUpload(served, upload);
  CHECK(served.sink.is_broken);
  CHECK_FALSE(served.sink.has_ended);
}

// Failure: as above, but the answer is still buffered.
TEST(BrokenAnswers, ShortPartWithoutLengthThenReset_Upload_EndsAsUnknown) {
  Upload upload(this->context.get_executor());
  this->AnswerEarlyWith(this->HeadOf() + "\r\nonly a part", AfterBytes::kResets,
                        kFillTime);
  Served& served = this->Add("r-1");
  this->ServeUpload(served, upload);
  CHECK_FALSE(served.outcome->answered);
  CHECK(InfoOf(served.outcome->refusal).promise == Promise::kUnknown);
}

// Failure: as above, but the write of the head and a whole body gets the reset.
TEST(BrokenAnswers, ShortPartWithoutLengthThenReset_WholeBody_EndsAsUnknown) {
  this->AnswerEarlyWith(this->HeadOf() + "\r\nonly a part", AfterBytes::kResets,
                        kFillTime);
  Served& served = this->Add("r-1");
  served.request.framing = {BodyKind::kLength, kLongUpload};
  served.request.whole_body = std::string(kLongUpload, 'u');
  this->Send(served);
  this->Finish();
  CHECK_FALSE(served.outcome->answered);
  CHECK(InfoOf(served.outcome->refusal).promise == Promise::kUnknown);
}

// Failure: a part without a length ends with a reset that the read gets.
TEST(BrokenAnswers, PartWithoutLengthThenReset_NoUpload_EndsAsUnknown) {
  this->AnswerWith(this->HeadOf() + "\r\nonly a part", AfterBytes::kResets);
  const Served& served = this->ServeRequest();
  CHECK_FALSE(served.outcome->answered);
  CHECK(InfoOf(served.outcome->refusal).promise == Promise::kUnknown);
}

// An answer whose head or chunks say where it ends is whole, whatever becomes
// of the upload.
TEST(BrokenAnswers, WholeAnswerThenReset_Upload_PassedOn) {
  for (const std::string framed :
       {"Content-Length: 5\r\n\r\nwhole",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"}) {
    this->requests.clear();
    Upload upload(this->context.get_executor());
    this->AnswerEarlyWith(this->HeadOf() + framed, AfterBytes::kResets,
                          kFillTime);
    Served& served = this->Add("r-1");
    this->ServeUpload(served, upload);
    CHECK(served.outcome->answered);
    STRCMP_EQUAL("whole", served.sink.body.c_str());
    CHECK(served.sink.has_ended);
  }
}

// An upstream may answer before the upload has ended and close in order.
TEST(BrokenAnswers, WholeAnswerWithoutLength_UploadWaits_PassedOn) {
  for (const size_t size : {size_t{5}, kLongBody}) {
    this->requests.clear();
    Upload upload(this->context.get_executor());
    upload.is_held = true;
    this->AnswerEarlyWith(this->HeadOf() + "\r\n" + std::string(size, 'x'),
                          AfterBytes::kCloses);
    Served& served = this->Add("r-1");
    this->ServeUpload(served, upload);
    CHECK(served.outcome->answered);
    CHECK(served.sink.has_ended);
    CHECK_FALSE(served.sink.is_broken);
  }
}

// Failure: the name of a field in an upstream's answer holds a blank or a
// control byte. The line is passed on, or is read as another field that ends
// the body elsewhere.
TEST(BrokenAnswers, NameWithBlankOrControlByte_Request_EndsAsMalformed) {
  for (const char byte : kNoTokenBytes) {
    for (const std::string name :
         {"X-Note", "Content-Length", "Transfer-Encoding"}) {
      for (const std::string& broken : NamesWith(byte, name)) {
        this->CheckRefused(broken);
      }
    }
  }
}

// Failure: as above, in the trailers of an answer.
TEST(BrokenAnswers, TrailerNameWithBlankOrControlByte_Request_NotAnswered) {
  for (const char byte : kNoTokenBytes) {
    for (const std::string& broken : NamesWith(byte, "X-Note")) {
      this->AnswerWith(this->HeadOf() +
                       "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" +
                       broken + ": 5\r\n\r\n");
      const Served& served = this->ServeRequest();
      CHECK_TEXT(!served.outcome->answered, broken.c_str());
    }
  }
}
