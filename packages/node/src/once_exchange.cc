#include "once_exchange.h"

#include <algorithm>
#include <array>
#include <span>
#include <utility>

#include <boost/asio/post.hpp>

namespace basilsill {
namespace {

// Tells a caller that this is the answer to an earlier sending of the request,
// and whether all of it could be kept.
constexpr std::string_view kReplayed = "Basilsill-Replayed";

// Passes an answer on and keeps a bounded copy for the key's record.
//
// A caller that goes away does not end the request: its resend is to get the
// answer, so the upstream is heard to the end.
class KeepingSink final : public AnswerSink {
 public:
  KeepingSink(AnswerSink& next, size_t limit) : next(next), limit(limit) {}

  Task<bool> Start(const AnswerHead& head,
                   std::span<const char> piece,
                   bool last) override {
    this->KeepHead(head);
    this->KeepPiece(piece, last);
    this->receiver_there = co_await this->next.Start(head, piece, last);
    co_return true;
  }

  Task<bool> Continue(std::span<const char> piece,
                      bool last,
                      const HttpFields* trailers) override {
    this->KeepPiece(piece, last);
    if (this->receiver_there) {
      this->receiver_there =
          co_await this->next.Continue(piece, last, trailers);
    }
    co_return true;
  }

  void Break() override { this->next.Break(); }

  bool whole_answer_came() const { return this->ended; }
  StoredResponse TakeKept() { return std::move(this->kept); }

 private:
  void KeepHead(const AnswerHead& head) {
    this->kept.status = static_cast<uint16_t>(head.status);
    for (const auto& field : head.headers) {
      const auto name = field.name_string();
      const auto value = field.value();
      this->kept.headers.push_back({std::string(name.data(), name.size()),
                                    std::string(value.data(), value.size())});
    }
  }

  void KeepPiece(std::span<const char> piece, bool last) {
    this->ended = last;
    if (!this->kept.whole) {
      return;
    }
    this->kept.body.append(piece.data(), piece.size());
    if (StoredSizeOf(this->kept) > this->limit) {
      this->kept.whole = false;
      this->kept.headers.clear();
      this->kept.body.clear();
    }
  }

  AnswerSink& next;
  size_t limit;
  StoredResponse kept;
  bool ended = false;
  bool receiver_there = true;
};

// The answer to a question that another thread gives.
struct PendingVerdict {
  explicit PendingVerdict(const Executor& executor) : told(executor) {}

  AsyncEvent told;
  ClaimVerdict verdict;
};

Task<ClaimVerdict> AskForClaim(const OnceServices& services,
                               ClaimRequest request) {
  const auto pending = std::make_shared<PendingVerdict>(services.executor);
  services.claims->Ask(
      request, [pending, executor = services.executor](ClaimVerdict verdict) {
        boost::asio::post(executor,
                          [pending, verdict = std::move(verdict)]() mutable {
                            pending->verdict = std::move(verdict);
                            pending->told.Set();
                          });
      });
  co_await pending->told.Wait();
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
  ClaimRequest ask;
  ask.key = parsed.key;
  ask.body = DigestOfRequest(request);
  ask.attempt = {services.origin, sequence};
  ask.deadline = request.entry.deadline;
  const ClaimVerdict verdict = co_await AskForClaim(services, ask);
  if (verdict.kind == ClaimVerdict::Kind::kReplay) {
    outcome = co_await Replay(verdict.answer, sink);
    co_return outcome;
  }
  if (verdict.kind != ClaimVerdict::Kind::kGranted) {
    outcome.refusal = verdict.refusal;
    outcome.retry_after = verdict.retry_after;
    co_return outcome;
  }

  KeepingSink keeping(sink, services.kept_answer_bytes);
  outcome = co_await serve(request, keeping);
  ClaimEnd end;
  end.key = ask.key;
  end.body = ask.body;
  end.attempt = ask.attempt;
  end.outcome = ClaimOutcomeOf(outcome, keeping.whole_answer_came());
  if (end.outcome == ClaimOutcome::kDone) {
    end.answer = keeping.TakeKept();
  }
  services.claims->Finish(std::move(end));
  co_return outcome;
}

}  // namespace basilsill
