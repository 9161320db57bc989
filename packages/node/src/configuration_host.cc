#include "configuration_host.h"

#include <iomanip>
#include <random>
#include <sstream>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "basilsill/node/log.h"
#include "basilsill/node/task_end.h"

namespace basilsill {
namespace {

using std::chrono::milliseconds;

constexpr size_t kRecordsPerRead = 512;
constexpr milliseconds kReadWait{20000};
// Words of 32 random bits.
constexpr int kChangeIdWords = 4;
constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);

AppendResult ToAppendResult(const Result<AppendAnswer>& answer) {
  if (answer) {
    return AppendResult::kAnswered;
  }
  return answer.error().kind == FailureKind::kUnresolved
             ? AppendResult::kUnknown
             : AppendResult::kNoEffect;
}

void LogCheckpoint(uint64_t offset, size_t parts) {
  Log(Event::kCheckpointWritten, {{"offset", offset}, {"parts", parts}});
}

ConfigurationRead ToRead(uint64_t from, const LogBounds& bounds) {
  ConfigurationRead read;
  read.from = from;
  read.first = bounds.first;
  read.end = bounds.end;
  return read;
}

}  // namespace

// A proposed change whose outcome the operator is waiting for.
struct ConfigurationHost::PendingProposal {
  explicit PendingProposal(boost::asio::io_context& context)
      : replied(context, boost::asio::steady_timer::time_point::max()) {}

  boost::asio::steady_timer replied;
  std::optional<ChangeOutcome> outcome;
};

ConfigurationHost::ConfigurationHost(boost::asio::io_context& context,
                                     LogClient& log,
                                     std::string vm,
                                     ConfigurationHandlers handlers,
                                     ControlMetrics& counts)
    : context(context),
      log(log),
      vm(std::move(vm)),
      handlers(std::move(handlers)),
      counts(counts),
      planner(MonotonicClock::now()),
      state_advanced(context, boost::asio::steady_timer::time_point::max()) {}

ConfigurationHost::~ConfigurationHost() = default;

void ConfigurationHost::Start() {
  boost::asio::co_spawn(this->context, this->ReadLoop(),
                        DetachedTask{"configuration-read"});
}

void ConfigurationHost::Stop() {
  this->stopped = true;
  this->state_advanced.cancel();
}

boost::asio::awaitable<void> ConfigurationHost::ReadLoop() {
  while (!this->stopped) {
    // Before the state has reached the end of the log, a read returns at once
    // even without records, which shows that the end is reached.
    const bool settled = this->following.is_at_end();
    co_await this->ReadOnce(settled ? kReadWait : milliseconds(0));
  }
}

boost::asio::awaitable<bool> ConfigurationHost::ReadOnce(milliseconds wait) {
  const uint64_t from = this->following.read_offset();
  const uint64_t ticket = this->changes.read_ticket();
  this->counts.log_reads.Add();
  const ReadResult answer = co_await this->log.Read(
      std::string(kConfigurationStream), from, kRecordsPerRead, wait);
  if (!this->stopped) {
    this->OnRead(answer, from, ticket);
  }
  co_return answer.has_value();
}

void ConfigurationHost::OnRead(const ReadResult& answer,
                               uint64_t from,
                               uint64_t ticket) {
  const bool known = answer || answer.error().kind == FailureKind::kTrimmed ||
                     answer.error().kind == FailureKind::kOutOfRange;
  this->SetLogAvailable(known, answer ? Failure{} : Failure(answer.error()));
  if (answer) {
    ConfigurationRead read = ToRead(from, answer.value().bounds);
    read.records = answer.value().records;
    this->OnFollowed(this->following.OnRead(read));
    if (this->following.is_at_end()) {
      this->changes.OnCaughtUp(MonotonicClock::now(), ticket, this->following);
    }
  } else if (answer.error().kind == FailureKind::kTrimmed) {
    Log(Event::kLogTrimmed, {{"from", from}});
    this->following.OnTrimmed(ToRead(from, answer.error().bounds));
  } else if (answer.error().kind == FailureKind::kOutOfRange) {
    this->following.OnBeyondEnd(ToRead(from, answer.error().bounds));
  }
  this->Pump();
}

void ConfigurationHost::OnFollowed(const FollowResult& result) {
  for (const RecordOutcome& outcome : result.outcomes) {
    if (outcome.verdict == RecordVerdict::kMalformed ||
        outcome.verdict == RecordVerdict::kUnsupported) {
      Log(Event::kRecordIgnored,
          {{"offset", outcome.offset}, {"kind", NameOf(outcome.verdict)}});
    }
  }
  this->changes_feed.OnFollow(result, this->following.state());
  this->changes.OnFollow(result, this->following);
  this->handlers.on_changed();
  this->state_advanced.cancel();
}

void ConfigurationHost::OnSnapshot(const std::vector<std::string>& parts) {
  const FollowResult result = this->following.OnSnapshot(parts);
  if (result.state_replaced) {
    Log(Event::kSnapshotTaken,
        {{"offset", this->following.state().next_offset()}});
  }
  this->OnFollowed(result);
  this->Pump();
}

void ConfigurationHost::SetLogAvailable(bool available,
                                        const Failure& failure) {
  if (!available) {
    this->counts.platform_failures.Add();
    this->planner.OnLogUnavailable();
  }
  if (available == this->log_available) {
    return;
  }
  this->log_available = available;
  if (available) {
    Log(Event::kLogRecovered, {{"stream", kConfigurationStream}});
  } else {
    Log(Event::kLogUnavailable, {{"stream", kConfigurationStream},
                                 {"kind", failure.kind},
                                 {"detail", failure.detail}});
  }
}

void ConfigurationHost::Tick(TimePoint now) {
  this->changes.Tick(now, this->following);
  this->Pump();
  CheckpointConditions conditions;
  conditions.next_offset = this->following.state().next_offset();
  conditions.first = this->following.log_first();
  conditions.covered = this->following.covered();
  conditions.rank = this->handlers.checkpoint_rank();
  const bool can_write = this->log_available && this->following.is_at_end() &&
                         !this->writing_checkpoint;
  if (can_write && this->planner.Tick(now, conditions)) {
    boost::asio::co_spawn(this->context, this->WriteCheckpointNow(),
                          DetachedTask{"configuration"});
  }
}

boost::asio::awaitable<void> ConfigurationHost::WriteCheckpointNow() {
  this->writing_checkpoint = true;
  const uint64_t offset = this->following.state().next_offset();
  const std::vector<std::string> parts =
      WriteCheckpoint(this->following.state(), this->NewChangeId());
  // Readers ignore an incomplete checkpoint, so a failure needs no clean-up:
  // a later tick writes another checkpoint.
  bool whole = true;
  for (const std::string& part : parts) {
    this->counts.log_appends.Add();
    std::vector<std::string> records(1, part);
    const Result<AppendAnswer> answer =
        co_await this->log.Append(std::string(kConfigurationStream), records);
    whole = whole && answer.has_value();
  }
  if (whole) {
    LogCheckpoint(offset, parts.size());
  }
  this->writing_checkpoint = false;
}

boost::asio::awaitable<ChangeOutcome> ConfigurationHost::Propose(
    Change change,
    milliseconds timeout,
    bool may_be_resend) {
  const uint64_t cookie = this->next_cookie++;
  const auto proposal = std::make_shared<PendingProposal>(this->context);
  this->pending_proposals.emplace(cookie, proposal);
  ChangeRequest request;
  request.change = std::move(change);
  request.cookie = cookie;
  request.may_be_resend = may_be_resend;
  const TimePoint now = MonotonicClock::now();
  request.deadline = now + timeout;
  this->changes.Propose(now, request, this->following);
  this->Pump();
  while (!proposal->outcome) {
    co_await proposal->replied.async_wait(kAwait);
  }
  this->pending_proposals.erase(cookie);
  co_return *proposal->outcome;
}

boost::asio::awaitable<void> ConfigurationHost::AwaitBeyond(
    uint64_t offset,
    milliseconds timeout) {
  const auto until = boost::asio::steady_timer::clock_type::now() + timeout;
  while (!this->stopped && this->following.state().next_offset() <= offset &&
         boost::asio::steady_timer::clock_type::now() < until) {
    // Waits for a new state or for the timeout, whichever comes first.
    boost::asio::steady_timer limit(this->context, until);
    limit.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        this->state_advanced.cancel();
      }
    });
    co_await this->state_advanced.async_wait(kAwait);
  }
}

// Performing an action can queue more, so the actions are taken in rounds.
void ConfigurationHost::Pump() {
  if (this->pumping) {
    return;
  }
  this->pumping = true;
  while (!this->changes.actions().empty()) {
    const std::vector<ChangeAction> round = this->changes.actions();
    this->changes.ClearActions();
    for (const ChangeAction& action : round) {
      switch (action.kind) {
        case ChangeActionKind::kAppend:
          boost::asio::co_spawn(this->context,
                                this->Append(action.change, action.record),
                                DetachedTask{"configuration"});
          break;
        case ChangeActionKind::kReadNow:
          boost::asio::co_spawn(this->context, this->ReadOnce(milliseconds(0)),
                                DetachedTask{"configuration"});
          break;
        case ChangeActionKind::kReply:
          this->Reply(action.outcome);
          break;
        case ChangeActionKind::kCount:
          break;
      }
    }
  }
  this->pumping = false;
}

boost::asio::awaitable<void> ConfigurationHost::Append(ChangeHandle change,
                                                       std::string record) {
  this->counts.log_appends.Add();
  std::vector<std::string> records;
  records.push_back(std::move(record));
  const Result<AppendAnswer> answer = co_await this->log.Append(
      std::string(kConfigurationStream), std::move(records));
  if (!this->stopped) {
    this->changes.OnAppend(MonotonicClock::now(), change,
                           ToAppendResult(answer));
    this->Pump();
  }
}

void ConfigurationHost::Reply(const ChangeOutcome& outcome) {
  const bool accepted = outcome.status == ChangeStatus::kAccepted;
  Log(accepted ? Event::kChangeAccepted : Event::kChangeRejected,
      {{"change", outcome.change_id}, {"status", NameOf(outcome.status)}});
  const auto found = this->pending_proposals.find(outcome.cookie);
  if (found != this->pending_proposals.end() && !found->second->outcome) {
    found->second->outcome = outcome;
    found->second->replied.cancel();
  }
}

std::string ConfigurationHost::NewChangeId() {
  std::random_device random;
  std::ostringstream id;
  id << std::hex << std::setfill('0');
  for (int i = 0; i < kChangeIdWords; ++i) {
    id << std::setw(2 * sizeof(uint32_t)) << random();
  }
  return id.str();
}

}  // namespace basilsill
