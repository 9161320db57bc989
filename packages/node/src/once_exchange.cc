#include "once_exchange.h"

#include <algorithm>
#include <array>
#include <span>
#include <utility>

#include <boost/asio/post.hpp>

namespace basilsill {
namespace {

// Response header that marks a replayed response and says whether all of it was
// stored.
constexpr std::string_view kReplayed = "Basilsill-Replayed";

// Passes an answer on and records it, up to a size limit, as the stored
// response of its key.
//
// The request does not end when its caller disconnects: the caller's retry is
// to get the response, so the upstream's answer is read to its end.
class RecordingSink final : public AnswerSink {
 public:
  RecordingSink(AnswerSink& next, size_t limit) : next(next), limit(limit) {}

  Task<bool> Start(const AnswerHead& head,
                   std::span<const char> piece,
                   bool last) override {
    this->RecordHead(head);
    this->RecordPiece(piece, last);
    this->receiver_there = co_await this->next.Start(head, piece, last);
    co_return true;
  }

  Task<bool> Continue(std::span<const char> piece,
                      bool last,
                      const HttpFields* trailers) override {
    this->RecordPiece(piece, last);
    if (this->receiver_there) {
      this->receiver_there =
          co_await this->next.Continue(piece, last, trailers);
    }
    co_return true;
  }

  void Break() override { this->next.Break(); }

  bool is_complete() const { return this->complete; }
  StoredResponse TakeResponse() { return std::move(this->response); }

 private:
  void RecordHead(const AnswerHead& head) {
    this->response.status = static_cast<uint16_t>(head.status);
    for (const auto& field : head.headers) {
      const auto name = field.name_string();
      const auto value = field.value();
      this->response.headers.push_back(
          {std::string(name.data(), name.size()),
           std::string(value.data(), value.size())});
    }
  }

  void RecordPiece(std::span<const char> piece, bool last) {
    this->complete = last;
    if (!this->response.whole) {
      return;
    }
    this->response.body.append(piece.data(), piece.size());
    if (StoredSizeOf(this->response) > this->limit) {
      this->response.whole = false;
      this->response.headers.clear();
      this->response.body.clear();
    }
  }

  AnswerSink& next;
  size_t limit;
  StoredResponse response;
  bool complete = false;
  bool receiver_there = true;
};

// A verdict that the control thread delivers.
struct PendingVerdict {
  explicit PendingVerdict(const Executor& executor) : delivered(executor) {}

  AsyncEvent delivered;
  ClaimVerdict verdict;
};

Task<ClaimVerdict> AcquireClaim(const OnceServices& services,
                                ClaimRequest request) {
  const auto pending = std::make_shared<PendingVerdict>(services.executor);
  services.claims->RequestClaim(
      request, [pending, executor = services.executor](ClaimVerdict verdict) {
        boost::asio::post(executor,
                          [pending, verdict = std::move(verdict)]() mutable {
                            pending->verdict = std::move(verdict);
                            pending->delivered.Set();
                          });
      });
  co_await pending->delivered.Wait();
  co_return std::move(pending->verdict);
}

Digest DigestOfRequest(const RequestMessage& request) {
  const std::array<std::string_view, 3> parts = {request.method, request.target,
                                                 request.whole_body};
  return DigestOf(parts);
}

AnswerHead HeadOf(const StoredResponse& answer) {
  AnswerHead head;
  head.status = answer.status;
  for (const StoredHeader& field : answer.headers) {
    head.headers.insert(field.name, field.value);
  }
  head.headers.set(kReplayed, answer.whole ? "whole" : "status-only");
  head.framing = {BodyKind::kLength, answer.body.size()};
  return head;
}

ClaimOutcome ClaimOutcomeOf(const ServeOutcome& outcome, bool whole) {
  if (outcome.answered) {
    return whole ? ClaimOutcome::kDone : ClaimOutcome::kUnknown;
  }
  return InfoOf(outcome.refusal).promise == Promise::kNotRun
             ? ClaimOutcome::kReleased
             : ClaimOutcome::kUnknown;
}

Task<ServeOutcome> Replay(const StoredResponse& answer, AnswerSink& sink) {
  const AnswerHead head = HeadOf(answer);
  const std::span<const char> body(answer.body);
  co_await sink.Start(head, body, true);
  ServeOutcome outcome;
  outcome.answered = true;
  co_return outcome;
}

}  // namespace

Task<ServeOutcome> ServeOnce(OnceServices services,
                             const std::string& team,
                             uint64_t sequence,
                             RequestMessage& request,
                             AnswerSink& sink,
                             ServeFunction serve) {
  ServeOutcome outcome;
  const ParsedClaimKey parsed = ParseClaimKey(
      MakeTeamKey(team), HeaderValue(request.headers, services.key_header));
  if (parsed.refusal != Refusal::kNone) {
    outcome.refusal = parsed.refusal;
    co_return outcome;
  }
  ClaimRequest claim;
  claim.key = parsed.key;
  claim.body = DigestOfRequest(request);
  claim.attempt = {services.origin, sequence};
  claim.deadline = request.entry.deadline;
  const ClaimVerdict verdict = co_await AcquireClaim(services, claim);
  if (verdict.kind == ClaimVerdict::Kind::kReplay) {
    outcome = co_await Replay(verdict.answer, sink);
    co_return outcome;
  }
  if (verdict.kind != ClaimVerdict::Kind::kGranted) {
    outcome.refusal = verdict.refusal;
    outcome.retry_after = verdict.retry_after;
    co_return outcome;
  }

  RecordingSink recorder(sink, services.kept_answer_bytes);
  outcome = co_await serve(request, recorder);
  ClaimEnd end;
  end.key = claim.key;
  end.body = claim.body;
  end.attempt = claim.attempt;
  end.outcome = ClaimOutcomeOf(outcome, recorder.is_complete());
  if (end.outcome == ClaimOutcome::kDone) {
    end.answer = recorder.TakeResponse();
  }
  services.claims->Finish(std::move(end));
  co_return outcome;
}

}  // namespace basilsill
