#include "claim_host.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "basilsill/node/log.h"
#include "basilsill/node/task_end.h"

namespace basilsill {
namespace {

using std::chrono::milliseconds;

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
// Bounds of the interval between ticks.
constexpr milliseconds kMaxTickInterval{100};
constexpr milliseconds kMinTickInterval{1};

WallTime WallNow() {
  return std::chrono::time_point_cast<milliseconds>(
      std::chrono::system_clock::now());
}

AppendOutcome OutcomeOf(const Result<AppendAnswer>& answer) {
  if (answer) {
    return AppendOutcome::kAppended;
  }
  return answer.error().kind == FailureKind::kUnresolved
             ? AppendOutcome::kUnresolved
             : AppendOutcome::kRejected;
}

ReadOutcome OutcomeOf(const ReadResult& answer) {
  if (answer) {
    return ReadOutcome::kRecords;
  }
  switch (answer.error().kind) {
    case FailureKind::kTrimmed:
      return ReadOutcome::kTrimmed;
    case FailureKind::kOutOfRange:
      return ReadOutcome::kBeyondEnd;
    default:
      return ReadOutcome::kFailed;
  }
}

ClaimRead ToClaimRead(const ReadResult& answer) {
  ClaimRead read;
  read.outcome = OutcomeOf(answer);
  const LogBounds& bounds =
      answer ? answer.value().bounds : answer.error().bounds;
  read.first = bounds.first;
  read.end = bounds.end;
  if (answer) {
    read.next = answer.value().next;
    read.records = answer.value().records;
  }
  return read;
}

}  // namespace

ClaimHost::ClaimHost(boost::asio::io_context& context,
                     LogClient& log,
                     const ClaimOptions& options,
                     ControlMetrics& counts)
    : context(context),
      log(log),
      counts(counts),
      table(ClaimTable::Create(options)),
      tick(context) {}

void ClaimHost::Start() {
  boost::asio::co_spawn(this->context, this->TickLoop(),
                        DetachedTask{"claim-tick"});
}

void ClaimHost::Stop() {
  this->stopped = true;
  this->tick.cancel();
}

void ClaimHost::RequestClaim(ClaimRequest request, OnVerdict on_verdict) {
  boost::asio::post(
      this->context,
      [this, request, on_verdict = std::move(on_verdict)]() mutable {
        request.cookie = this->next_cookie++;
        this->waiting.emplace(request.cookie, std::move(on_verdict));
        this->table->Request(MonotonicClock::now(), WallNow(), request);
        this->Pump();
      });
}

void ClaimHost::Finish(ClaimEnd end) {
  boost::asio::post(this->context, [this, end = std::move(end)] {
    this->table->Finish(MonotonicClock::now(), end);
    this->Pump();
  });
}

void ClaimHost::ApplyFleet(const ClaimFleet& fleet) {
  this->table->ApplyFleet(MonotonicClock::now(), fleet);
  this->Pump();
}

boost::asio::awaitable<void> ClaimHost::TickLoop() {
  while (!this->stopped) {
    const TimePoint now = MonotonicClock::now();
    this->table->Tick(now, WallNow());
    this->Pump();
    const TimePoint next = this->table->NextTick(now);
    const Duration wait =
        std::clamp<Duration>(next - now, kMinTickInterval, kMaxTickInterval);
    this->tick.expires_after(wait);
    co_await this->tick.async_wait(kAwait);
  }
}

// Performing one action can make the table emit more, so they are performed in
// rounds until none is left.
void ClaimHost::Pump() {
  if (this->pumping) {
    return;
  }
  this->pumping = true;
  while (!this->table->actions().empty()) {
    std::vector<ClaimAction> round = this->table->actions();
    this->table->ClearActions();
    for (ClaimAction& action : round) {
      this->Perform(action);
    }
  }
  this->pumping = false;
  // The new work may be due before the pending tick.
  const TimePoint now = MonotonicClock::now();
  if (this->table->NextTick(now) - now < kMaxTickInterval) {
    this->tick.cancel();
  }
}

void ClaimHost::Perform(ClaimAction& action) {
  switch (action.kind) {
    case ClaimActionKind::kAppend:
      boost::asio::co_spawn(this->context,
                            this->Append(action.call, std::move(action.stream),
                                         std::move(action.records)),
                            DetachedTask{"claim"});
      break;
    case ClaimActionKind::kRead:
      boost::asio::co_spawn(this->context,
                            this->Read(action.call, std::move(action.stream),
                                       action.from, action.max, action.wait),
                            DetachedTask{"claim"});
      break;
    case ClaimActionKind::kGrant:
      this->DeliverVerdict(
          action.cookie,
          {ClaimVerdict::Kind::kGranted, Refusal::kNone, Duration(0), {}});
      break;
    case ClaimActionKind::kRefuse:
      this->DeliverVerdict(action.cookie, {ClaimVerdict::Kind::kRefused,
                                           action.refusal,
                                           action.retry_after,
                                           {}});
      break;
    case ClaimActionKind::kReplay:
      this->DeliverVerdict(action.cookie,
                           {ClaimVerdict::Kind::kReplay, Refusal::kNone,
                            Duration(0), std::move(action.answer)});
      break;
    default:
      break;
  }
}

void ClaimHost::DeliverVerdict(uint64_t cookie, ClaimVerdict verdict) {
  const auto found = this->waiting.find(cookie);
  if (found == this->waiting.end()) {
    return;
  }
  const OnVerdict on_verdict = std::move(found->second);
  this->waiting.erase(found);
  on_verdict(std::move(verdict));
}

boost::asio::awaitable<void> ClaimHost::Append(
    uint64_t call,
    std::string stream,
    std::vector<std::string> records) {
  this->counts.log_appends.Add();
  const Result<AppendAnswer> answer =
      co_await this->log.Append(std::move(stream), std::move(records));
  if (!this->stopped) {
    this->table->OnAppend(MonotonicClock::now(), call, OutcomeOf(answer));
    this->Pump();
  }
}

boost::asio::awaitable<void> ClaimHost::Read(uint64_t call,
                                             std::string stream,
                                             uint64_t from,
                                             size_t max,
                                             milliseconds wait) {
  this->counts.log_reads.Add();
  const ReadResult answer =
      co_await this->log.Read(std::move(stream), from, max, wait);
  if (!this->stopped) {
    this->table->OnRead(MonotonicClock::now(), call, ToClaimRead(answer));
    this->Pump();
  }
}

}  // namespace basilsill
