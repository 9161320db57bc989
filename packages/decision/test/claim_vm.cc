#include "claim_vm.h"

#include <algorithm>

#include "claim_guards.h"

namespace basilsill::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kCallTimeout = seconds(3);
constexpr size_t kSteps = 1 << 20;
constexpr Duration kSlowAppend = seconds(2);

/// Start of the wall clock, half a second into a time bucket. Keys are created
/// shortly before and after the start of the bucket, so they fall into two.
constexpr WallTime kWallEpoch{std::chrono::hours(480'000) + milliseconds(500)};

}  // namespace

FaultInjector::FaultInjector(uint64_t seed) : random(seed) {
  const auto draw = [this](double share, double most) {
    return this->Happens(share) ? most * this->Below(1000) / 1000.0 : 0.0;
  };
  this->lose_answer = draw(0.5, 0.4);
  this->late_effect = draw(0.5, 0.3);
  this->lose_message = draw(0.5, 0.3);
  this->pause = draw(0.6, 0.08);
  this->bad_upstream = draw(0.5, 0.5);
  this->outage = this->Happens(0.3);
  this->slow = this->Happens(0.2);
  this->kills = this->Happens(0.3);
  this->trims = this->Happens(0.2);
  this->wrong_clocks = this->Happens(0.1);
}

bool FaultInjector::Happens(double probability) {
  return !this->stopped && this->random() < probability * 4294967296.0;
}

size_t FaultInjector::Below(size_t count) {
  return this->random(static_cast<uint32_t>(count));
}

Duration FaultInjector::Between(Duration low, Duration high) {
  return low + (high - low) / kSteps * this->Below(kSteps);
}

Duration FaultInjector::NetworkDelay() {
  return this->Between(std::chrono::microseconds(100), milliseconds(3));
}

ClaimVm::ClaimVm(HistoryContext& context, size_t index)
    : name("vm" + std::to_string(index)), context(context) {}

void ClaimVm::Start(const std::vector<uint64_t>& live_origins) {
  ClaimOptions options;
  options.vm = this->name;
  options.incarnation = this->own_incarnation;
  options.max_waiting = 32;
  options.max_open_ends = 64;
  ClaimGuards guards;
  guards.complete_history = this->context.mutation != Mutation::kIgnoreGaps;
  guards.tombstones = this->context.mutation != Mutation::kNoTombstones;
  this->table = CreateClaimTable(options, guards);
  this->table->ApplyFleet(this->context.time.now(),
                          {live_origins, live_origins.size(), {}});
  this->alive = true;
}

void ClaimVm::Kill() {
  this->context.note(this->name + " killed");
  ++this->own_incarnation;
  this->alive = false;
  this->sequence = 0;
  this->paused_until = TimePoint();
  this->next_tick = kNever;
  this->step_scheduled = false;
  this->inbox.clear();
}

void ClaimVm::Resume() {
  this->paused_until = TimePoint();
  if (!this->inbox.empty()) {
    this->ScheduleStep();
  }
}

void ClaimVm::Post(std::function<void()> step) {
  if (!this->alive) {
    return;
  }
  this->inbox.push_back(std::move(step));
  if (!this->step_scheduled) {
    this->ScheduleStep();
  }
}

void ClaimVm::ScheduleStep() {
  this->step_scheduled = true;
  this->context.time.At(
      this->paused_until, [this, expected = this->own_incarnation] {
        if (this->own_incarnation == expected && !this->inbox.empty()) {
          this->RunStep();
        }
      });
}

// Each event and each resulting action is a separate step, so that a pause may
// fall between any two of them.
void ClaimVm::RunStep() {
  FaultInjector& faults = this->context.faults;
  const TimePoint now = this->context.time.now();
  this->step_scheduled = false;
  if (now >= this->paused_until && faults.Happens(faults.pause)) {
    const Duration longest = faults.Happens(0.2) ? seconds(30) : seconds(2);
    this->paused_until = now + faults.Between(milliseconds(1), longest);
    this->context.note(this->name + " paused");
  } else {
    const std::function<void()> step = std::move(this->inbox.front());
    this->inbox.pop_front();
    step();
  }
  if (!this->inbox.empty() && !this->step_scheduled) {
    this->ScheduleStep();
  }
}

WallTime ClaimVm::WallNow() const {
  const auto since = std::chrono::duration_cast<milliseconds>(
      this->context.time.now() - VirtualTime::kStart);
  return kWallEpoch + since + this->clock_error;
}

void ClaimVm::Request(ClaimRequest request, Duration left) {
  const TimePoint now = this->context.time.now();
  request.deadline = now + left;
  this->table->Request(now, this->WallNow(), request);
  this->AfterCall();
}

void ClaimVm::Finish(const ClaimEnd& end) {
  this->table->Finish(this->context.time.now(), end);
  this->AfterCall();
}

void ClaimVm::AfterCall() {
  const std::vector<ClaimAction> actions = this->table->actions();
  this->table->ClearActions();
  for (const ClaimAction& action : actions) {
    this->Post([this, action] {
      if (action.kind == ClaimActionKind::kAppend) {
        this->SendAppend(action);
      } else if (action.kind == ClaimActionKind::kRead) {
        this->SendRead(action);
      } else {
        this->on_verdict(action);
      }
    });
  }
  this->ScheduleTick();
}

void ClaimVm::ScheduleTick() {
  const TimePoint now = this->context.time.now();
  const TimePoint wanted = this->table->NextTick(now);
  const TimePoint tick = std::max(wanted, now + milliseconds(10));
  if (wanted == kNever || tick >= this->next_tick) {
    return;
  }
  this->next_tick = tick;
  this->context.time.At(tick, [this, tick, expected = this->own_incarnation] {
    if (this->own_incarnation != expected || this->next_tick != tick) {
      return;
    }
    this->Post([this] {
      this->next_tick = kNever;
      this->table->Tick(this->context.time.now(), this->WallNow());
      this->AfterCall();
    });
  });
}

void ClaimVm::SendAppend(const ClaimAction& action) {
  std::vector<std::string> records = action.records;
  if (this->context.mutation == Mutation::kKeepLateClaims) {
    std::erase_if(records, [](const std::string& record) {
      return DecodeClaimRecord(record)->kind == ClaimRecordKind::kReleased;
    });
  }
  const auto answered = std::make_shared<bool>(false);
  const auto answer = [=, this, expected = this->own_incarnation](
                          AppendOutcome outcome) {
    if (std::exchange(*answered, true) || this->own_incarnation != expected) {
      return;
    }
    this->Post([=, this] {
      const bool is_unresolved =
          outcome == AppendOutcome::kUnresolved &&
          this->context.mutation != Mutation::kRejectLostAnswers;
      const bool appended = outcome == AppendOutcome::kAppended;
      this->table->OnAppend(
          this->context.time.now(), action.call,
          is_unresolved || appended ? outcome : AppendOutcome::kRejected);
      for (size_t i = 0; appended && i < records.size(); ++i) {
        this->on_appended(*DecodeClaimRecord(records[i]));
      }
      this->AfterCall();
    });
  };
  VirtualTime& time = this->context.time;
  FaultInjector& faults = this->context.faults;
  Duration effect = faults.NetworkDelay();
  if (time.now() < faults.slow_until) {
    effect += kSlowAppend;
  }
  if (faults.Happens(faults.late_effect)) {
    effect += faults.Between(milliseconds(10), seconds(20));
  }
  const bool lost = faults.Happens(faults.lose_answer);
  time.After(effect, [=, this, &time, &faults] {
    const bool down = time.now() < faults.down_until;
    if (!down) {
      this->context.note("append of " + std::to_string(records.size()) +
                         " by " + this->name + (lost ? ", answer lost" : ""));
      this->context.log.Append(action.stream, records);
    }
    if (!lost || down) {
      time.After(faults.NetworkDelay(), [=] {
        answer(down ? AppendOutcome::kRejected : AppendOutcome::kAppended);
      });
    }
  });
  time.After(kCallTimeout, [=] { answer(AppendOutcome::kUnresolved); });
}

void ClaimVm::SendRead(const ClaimAction& action) {
  const auto answered = std::make_shared<bool>(false);
  const auto answer = [=, this, expected = this->own_incarnation](
                          const ClaimRead& read) {
    if (std::exchange(*answered, true) || this->own_incarnation != expected) {
      return;
    }
    this->Post([=, this] {
      this->table->OnRead(this->context.time.now(), action.call, read);
      for (const LogRecord& entry : read.records) {
        this->on_read(*DecodeClaimRecord(entry.body));
      }
      this->AfterCall();
    });
  };
  const ClaimRead failed{ReadOutcome::kFailed, 0, 0, 0, {}};
  VirtualTime& time = this->context.time;
  FaultInjector& faults = this->context.faults;
  time.After(faults.NetworkDelay(), [=, this, &time, &faults] {
    const auto reply = [=, &time, &faults](const ClaimRead& read) {
      time.After(faults.NetworkDelay(), [=] { answer(read); });
    };
    if (time.now() < faults.down_until) {
      return reply(failed);
    }
    const ClaimRead read =
        this->context.log.Read(action.stream, action.from, action.max);
    const bool parked = read.outcome == ReadOutcome::kRecords &&
                        read.records.empty() && action.wait.count() > 0;
    if (!parked) {
      return reply(read);
    }
    this->context.log.Await(action.stream, action.from, action.max, reply);
    time.After(action.wait, [=] { answer(read); });
  });
  time.After(action.wait + kCallTimeout, [=] { answer(failed); });
}

}  // namespace basilsill::test
