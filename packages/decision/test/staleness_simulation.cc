#include "staleness_simulation.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <pcg_random.hpp>

#include "basilsill/decision/staleness_budget.h"

namespace basilsill::test {
namespace {

using namespace std::chrono_literals;

constexpr Duration kStep = 10ms;
constexpr Duration kRoundTrip = 10ms;
constexpr Duration kMessageTime = 20ms;
constexpr Duration kCallTimeout = 1200ms;
constexpr Duration kSlowAnswer = 300ms;
/// How long a link that went silent is kept.
constexpr Duration kSilentLinkTime = 12s;
/// How long after a disturbance a VM need not meet the bound.
constexpr Duration kStabilityTime = 3s;
constexpr size_t kRelays = 4;
constexpr TimePoint kStart{1s};
/// The faults begin within this time, after the VMs have settled.
constexpr TimePoint kFirstFault{4s};
constexpr Duration kFaultSpread = 3s;
/// Longest time from a restore until the newest record is written again.
constexpr Duration kMaxRewriteTime = 1s;

struct Fault {
  StalenessFault kind = StalenessFault::kCount;
  TimePoint begin;
  TimePoint end;
  double share = 1;
};

struct Update {
  TimePoint arrives;
  LogPosition first;
  LogPosition next;
  bool declined = false;
  uint64_t newest = 0;  ///< Newest record that the sender has.
};

/// A record of the log. The number tells how many were written before it.
struct Record {
  TimePoint appended_at;
  uint64_t number = 0;
};

struct Restore {
  TimePoint at;
  Duration copy_age{0};
  Duration rewritten_after{0};
};

/// A call of one VM to the store.
struct Call {
  TopicCall what;
  TimePoint begun;
  TimePoint sent;  ///< On the connection that may answer.
  std::optional<TimePoint> fails_at;
  std::optional<TimePoint> answered_at;
  LogPosition end;          ///< Of the topic when the store answered.
  uint64_t newest = 0;      ///< Newest record in the answer.
  bool is_of_copy = false;  ///< It was made because the store was restored.
};

struct Vm {
  explicit Vm(const TopicFollowerOptions& options) : follower(options) {}

  TopicFollower follower;
  std::optional<Call> call;
  std::vector<Update> inbox;
  bool has_dead_connection = false;
  TimePoint frozen_until{};
  TimePoint disturbed_at{};
  TimePoint refused_until{};
  uint64_t newest = 0;  ///< Newest record that it has.
  uint64_t era = 0;
  LogPosition known;
  size_t asked = 0;
};

class Simulation {
 public:
  explicit Simulation(const StalenessOptions& options)
      : options(options), random(options.seed) {
    const StalenessBudget budget =
        StalenessBudget::For(options.bound, options.is_bulk);
    TopicFollowerOptions follower;
    follower.interval = budget.interval;
    follower.max_silence = budget.max_silence;
    follower.degraded_max_silence = 1800ms;
    follower.hold = options.is_bulk ? Duration(0) : budget.interval;
    follower.is_bulk = options.is_bulk;
    for (size_t i = 0; i < options.vms; ++i) {
      this->vms.emplace_back(follower);
      this->vms.back().follower.SetRank(i);
      this->vms.back().follower.SetPeers(i >= kRelays);
      this->vms.back().follower.OnPage(kStart, LogPosition(), false, "");
    }
    this->lost_until.assign(options.vms * options.vms, TimePoint{});
    this->DrawFaults();
    this->DrawRecords();
    this->DrawRestores();
  }

  StalenessReport Play() {
    const TimePoint last = kStart + this->options.length;
    for (this->now = kStart; this->now < last; this->now += kStep) {
      this->BeginFaults();
      this->RestoreStore();
      while (this->acked.size() > this->written &&
             this->acked[this->written] <= this->now) {
        this->log.push_back({this->now, ++this->written});
      }
      for (size_t i = 0; i < this->vms.size(); ++i) {
        if (this->vms[i].frozen_until <= this->now) {
          this->Step(i);
        }
        this->Check(i);
      }
    }
    return this->report;
  }

 private:
  Duration Draw(Duration from, Duration to) {
    boost::random::uniform_int_distribution<int64_t> distribution(from.count(),
                                                                  to.count());
    return Duration(distribution(this->random));
  }
  bool Chance(double share) {
    return boost::random::uniform_real_distribution<double>(
               0, 1)(this->random) < share;
  }

  void DrawFaults() {
    for (size_t i = 0; i < this->options.faults; ++i) {
      boost::random::uniform_int_distribution<int> kinds(
          0, static_cast<int>(StalenessFault::kCount) - 1);
      Fault fault;
      fault.kind = static_cast<StalenessFault>(kinds(this->random));
      fault.begin = kFirstFault + this->Draw(0s, kFaultSpread);
      fault.end = fault.begin + this->Draw(300ms, 3s);
      fault.share = this->Chance(0.5) ? 1 : 0.4;
      this->faults.push_back(fault);
    }
  }

  void DrawRecords() {
    const TimePoint last = kStart + this->options.length;
    for (TimePoint at = kStart; at < last; at += this->Draw(50ms, 1500ms)) {
      this->acked.push_back(at);
    }
  }

  void DrawRestores() {
    for (size_t i = 0; i < this->options.restores.count; ++i) {
      Restore restore;
      restore.at = kFirstFault + this->Draw(0s, kFaultSpread);
      restore.copy_age = this->Draw(0s, this->options.restores.longest_age);
      restore.rewritten_after = this->Draw(0s, kMaxRewriteTime);
      this->restores.push_back(restore);
    }
  }

  void RestoreStore() {
    for (const Restore& restore : this->restores) {
      if (restore.at <= this->now && this->now < restore.at + kStep) {
        this->RestoreCopy(restore);
      }
    }
    if (this->now >= this->rewrite_at) {
      this->rewrite_at = TimePoint::max();
      this->log.push_back({this->now, this->written});
    }
  }

  void RestoreCopy(const Restore& restore) {
    while (!this->log.empty() &&
           this->log.back().appended_at > this->now - restore.copy_age) {
      this->log.pop_back();
    }
    ++this->era;
    this->first = std::min(this->first, this->log.size());
    this->rewrite_at = this->now + restore.rewritten_after;
    this->store_disturbed_at = this->rewrite_at;
  }

  /// @returns the newest record at offset `begin` or later.
  uint64_t NewestFrom(size_t begin) const {
    uint64_t newest = 0;
    for (size_t i = begin; i < this->log.size(); ++i) {
      newest = std::max(newest, this->log[i].number);
    }
    return newest;
  }

  bool Is(StalenessFault kind) const {
    return std::any_of(this->faults.begin(), this->faults.end(),
                       [this, kind](const Fault& fault) {
                         return fault.kind == kind &&
                                fault.begin <= this->now &&
                                this->now < fault.end;
                       });
  }

  void BeginFaults() {
    for (const Fault& fault : this->faults) {
      if (fault.begin <= this->now && this->now < fault.end) {
        this->NoteStoreFault(fault);
      }
      if (fault.begin <= this->now && this->now < fault.begin + kStep) {
        for (size_t i = 0; i < this->vms.size(); ++i) {
          if (this->Chance(fault.share)) {
            this->Begin(fault, i);
          }
        }
      }
    }
  }

  void NoteStoreFault(const Fault& fault) {
    switch (fault.kind) {
      case StalenessFault::kStoreRefuses:
      case StalenessFault::kStoreSilent:
      case StalenessFault::kStoreSlow:
      case StalenessFault::kStoreRefusesSome:
      case StalenessFault::kHistoryDropped:
        this->store_disturbed_at = this->now;
        break;
      default:
        break;
    }
  }

  void Begin(const Fault& fault, size_t vm) {
    Vm& affected = this->vms[vm];
    switch (fault.kind) {
      case StalenessFault::kConnectionsSilent:
      case StalenessFault::kAnswersLost:
        affected.has_dead_connection = true;
        affected.disturbed_at = std::max(affected.disturbed_at, this->now);
        if (affected.call && !affected.call->answered_at) {
          this->LoseAnswer(affected);
        }
        break;
      case StalenessFault::kLinksSilent:
        affected.disturbed_at = std::max(affected.disturbed_at, this->now);
        for (size_t i = 0; i < this->vms.size(); ++i) {
          this->LostUntil(vm, i) = this->now + kSilentLinkTime;
          this->LostUntil(i, vm) = this->now + kSilentLinkTime;
        }
        break;
      case StalenessFault::kVmsFrozen:
        affected.frozen_until = fault.end;
        affected.disturbed_at = std::max(affected.disturbed_at, fault.end);
        break;
      case StalenessFault::kStoreRefusesSome:
        affected.refused_until = fault.end;
        break;
      case StalenessFault::kHistoryDropped:
        this->first = this->log.size();
        break;
      default:
        break;
    }
  }

  TimePoint& LostUntil(size_t from, size_t to) {
    return this->lost_until[from * this->vms.size() + to];
  }

  /// The client notices the silence and makes the call again on a new
  /// connection.
  void LoseAnswer(Vm& vm) {
    vm.has_dead_connection = false;
    vm.call->sent = std::max(this->now, vm.call->begun + vm.call->what.hold +
                                            staleness::kMaxConnectionSilence);
  }

  void Step(size_t index) {
    Vm& vm = this->vms[index];
    this->TakeUpdates(vm);
    if (!vm.call && vm.follower.due() <= this->now) {
      this->StartCall(vm);
    }
    if (vm.call) {
      this->ContinueCall(vm);
      this->EndCall(index);
    }
    if (vm.follower.is_gapless()) {
      this->report.lost_offsets += vm.follower.position() < vm.known ? 1 : 0;
      vm.known = vm.follower.position();
    }
  }

  void TakeUpdates(Vm& vm) {
    for (const Update& update : vm.inbox) {
      if (update.arrives > this->now) {
        continue;
      }
      if (update.declined) {
        vm.follower.OnPeerDeclined(this->now);
      } else {
        this->TakeUpdate(vm, update);
      }
    }
    std::erase_if(vm.inbox, [this](const Update& update) {
      return update.arrives <= this->now;
    });
  }

  void TakeUpdate(Vm& vm, const Update& update) {
    this->NoteEra(vm, update.next.era);
    if (vm.follower.OnPeerUpdate(this->now, update.first, update.next)) {
      vm.newest = std::max(vm.newest, update.newest);
    }
  }

  void NoteEra(Vm& vm, uint64_t stated) {
    if (stated > vm.era) {
      vm.era = stated;
      vm.follower.OnEra(this->now, stated);
    }
  }

  void StartCall(Vm& vm) {
    const TopicCall what = vm.follower.NextCall();
    if (what.kind == TopicCallKind::kRequestFromPeer) {
      this->AskRelay(vm);
      return;
    }
    ++this->report.calls;
    this->report.listings += what.kind == TopicCallKind::kListNewest ? 1 : 0;
    vm.call = Call();
    vm.call->what = what;
    vm.call->is_of_copy = vm.follower.is_era_over();
    vm.call->begun = this->now;
    vm.call->sent = this->now;
    if (vm.has_dead_connection) {
      this->LoseAnswer(vm);
    }
  }

  void AskRelay(Vm& vm) {
    const auto index = static_cast<size_t>(&vm - this->vms.data());
    const size_t relay = vm.asked++ % kRelays;
    const Vm& asked = this->vms[relay];
    vm.follower.OnPeerRequestSent(this->now);
    if (asked.frozen_until > this->now ||
        this->LostUntil(relay, index) > this->now) {
      return;
    }
    Update answer{this->now + kMessageTime, vm.follower.position(),
                  asked.follower.position(), false, asked.newest};
    answer.declined = !asked.follower.is_fresh(this->now);
    vm.inbox.push_back(answer);
  }

  void ContinueCall(Vm& vm) {
    Call& call = *vm.call;
    if (call.answered_at || call.fails_at || this->now < call.sent) {
      return;
    }
    if (this->Is(StalenessFault::kStoreSilent)) {
      call.fails_at = std::max(this->now + kStep,
                               call.begun + call.what.hold + kCallTimeout);
    } else if (this->Is(StalenessFault::kStoreRefuses) ||
               vm.refused_until > this->now) {
      call.fails_at = this->now + kRoundTrip;
    } else if (this->log.size() > call.what.from.offset ||
               this->era != call.what.from.era ||
               this->now >= call.begun + call.what.hold) {
      const bool is_slow = this->Is(StalenessFault::kStoreSlow);
      call.answered_at = this->now + (is_slow ? kSlowAnswer : kRoundTrip);
      const bool is_read = call.what.kind == TopicCallKind::kReadOn;
      call.end = LogPosition(this->log.size(), this->era);
      call.newest = this->NewestFrom(is_read ? call.what.from.offset : 0);
    }
  }

  void EndCall(size_t index) {
    Vm& vm = this->vms[index];
    if (vm.call->fails_at && *vm.call->fails_at <= this->now) {
      const Call call = *std::exchange(vm.call, std::nullopt);
      vm.follower.OnFailed(this->now, call.begun);
    } else if (vm.call->answered_at && *vm.call->answered_at <= this->now) {
      const Call call = *std::exchange(vm.call, std::nullopt);
      this->OnAnswer(index, call);
    }
  }

  void OnAnswer(size_t index, const Call& call) {
    Vm& vm = this->vms[index];
    this->NoteEra(vm, call.end.era);
    if (call.end.era < vm.era) {
      vm.follower.OnFailed(this->now, call.begun);
    } else if (call.what.kind == TopicCallKind::kListNewest) {
      this->OnListed(index, call);
    } else if (!vm.follower.is_era_over()) {
      this->OnRead(index, call);
    }
  }

  void OnListed(size_t index, const Call& call) {
    Vm& vm = this->vms[index];
    const bool shows_copy = vm.follower.is_era_over();
    if (call.is_of_copy && !shows_copy) {
      return;
    }
    vm.newest = std::max(vm.newest, call.newest);
    vm.follower.OnPage(this->now, call.end, false, "k");
    if (shows_copy && index < kRelays) {
      this->Publish(index);
    }
  }

  void OnRead(size_t index, const Call& call) {
    Vm& vm = this->vms[index];
    if (call.what.from.offset < this->first) {
      vm.follower.OnTrimmed(this->now);
      return;
    }
    vm.newest = std::max(vm.newest, call.newest);
    const Duration took = this->now - std::max(call.sent, call.begun);
    vm.follower.OnCallLatency(this->now, took - call.what.hold);
    vm.follower.OnRecords(this->now, call.end, call.end);
    if (index < kRelays) {
      this->Publish(index);
    }
  }

  void Publish(size_t reader) {
    TopicFollower& follower = this->vms[reader].follower;
    const LogPosition begin = follower.BeginUpdate();
    for (size_t i = 0; i < this->vms.size(); ++i) {
      if (i != reader && this->LostUntil(reader, i) <= this->now) {
        this->vms[i].inbox.push_back({this->now + kMessageTime, begin,
                                      follower.position(), false,
                                      this->vms[reader].newest});
      }
    }
  }

  /// Checks whether requests that arrive kApplyTime from now are handled by a
  /// configuration that is new enough.
  void Check(size_t index) {
    const Vm& vm = this->vms[index];
    const TimePoint at = this->now + staleness::kApplyTime;
    const TimePoint disturbed =
        std::max(vm.disturbed_at, this->store_disturbed_at);
    if (vm.frozen_until > this->now || at < disturbed + kStabilityTime) {
      return;
    }
    const auto due = static_cast<uint64_t>(
        std::upper_bound(this->acked.begin(), this->acked.end(),
                         at - this->options.bound) -
        this->acked.begin());
    if (vm.newest >= due) {
      return;
    }
    if (this->report.late++ == 0) {
      this->report.first_late =
          "seed " + std::to_string(this->options.seed) + ", VM " +
          std::to_string(index) + " at " +
          std::to_string(this->now.time_since_epoch() / 1ms) + " ms: has " +
          std::to_string(vm.newest) + " of " + std::to_string(due);
    }
  }

  StalenessOptions options;
  pcg32 random;
  std::vector<Vm> vms;
  std::vector<Fault> faults;
  std::vector<TimePoint> acked;       ///< When each record was acknowledged.
  std::vector<TimePoint> lost_until;  ///< By sender and receiver.
  std::vector<Restore> restores;
  std::vector<Record> log;
  uint64_t era = 0;
  uint64_t written = 0;  ///< Number of records that were ever written.
  TimePoint rewrite_at = TimePoint::max();
  size_t first = 0;  ///< Offset of the oldest record that can be read.
  TimePoint store_disturbed_at{};
  TimePoint now{};
  StalenessReport report;
};

}  // namespace

StalenessReport PlayStaleness(const StalenessOptions& options) {
  return Simulation(options).Play();
}

}  // namespace basilsill::test
