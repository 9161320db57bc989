#include "basilsill/decision/configuration_freshness.h"

#include <algorithm>
#include <deque>
#include <vector>

#include <pcg_random.hpp>

#include <CppUTest/TestHarness.h>

using basilsill::ConfigurationFreshness;
using basilsill::Duration;
using basilsill::FreshnessVouch;
using basilsill::LeaseTime;
using basilsill::VmHandle;
using namespace std::chrono_literals;

namespace {

constexpr VmHandle kReceiver{1, 0};

}  // namespace

TEST_GROUP(ConfigurationFreshness) {
  const LeaseTime start{std::chrono::hours(1)};
  ConfigurationFreshness receiver{100};
  ConfigurationFreshness sender{900};
};

TEST(ConfigurationFreshness, AsOf_NothingRead_IsMinimum) {
  CHECK(this->receiver.as_of() == LeaseTime::min());
}

TEST(ConfigurationFreshness, OnRead_EarlierThanKnown_ChangesNothing) {
  this->receiver.OnRead(this->start);
  this->receiver.OnRead(this->start - 1s);
  CHECK(this->receiver.as_of() == this->start);
}

TEST(ConfigurationFreshness, OnVouch_OwnStamp_CountsFromTheStamp) {
  const LeaseTime other_clock{std::chrono::hours(90)};
  this->sender.OnRead(other_clock);
  this->sender.OnStamp(other_clock + 300ms, kReceiver,
                       this->receiver.TakeStamp(this->start));
  const auto vouch = this->sender.VouchFor(other_clock + 1s, kReceiver);
  CHECK(vouch.has_value());
  this->receiver.OnVouch(this->start + 5s, *vouch);
  // The sender held the stamp for 700 ms, and its read is one second old.
  CHECK(this->receiver.as_of() == this->start - 300ms);
}

// A message that arrives minutes late, from a VM that was cut off, proves only
// what it proved when it was sent.
TEST(ConfigurationFreshness, OnVouch_DelayedMessage_ProvesNoMore) {
  this->sender.OnRead(this->start);
  this->sender.OnStamp(this->start, kReceiver,
                       this->receiver.TakeStamp(this->start));
  const auto vouch = this->sender.VouchFor(this->start + 10ms, kReceiver);
  this->receiver.OnVouch(this->start + 10min, *vouch);
  CHECK(this->receiver.as_of() == this->start);
}

// A stamp of the process before a restart proves nothing to the process after
// it.
TEST(ConfigurationFreshness, OnVouch_OfAnotherProcess_IsIgnored) {
  this->sender.OnRead(this->start);
  this->sender.OnStamp(this->start, kReceiver,
                       this->receiver.TakeStamp(this->start));
  ConfigurationFreshness restarted{5000};
  restarted.TakeStamp(this->start);
  restarted.OnVouch(this->start,
                    *this->sender.VouchFor(this->start, kReceiver));
  CHECK(restarted.as_of() == LeaseTime::min());
}

TEST(ConfigurationFreshness, VouchFor_AgeUnknownOrNoStamp_ReturnsNullopt) {
  CHECK_FALSE(this->sender.VouchFor(this->start, kReceiver).has_value());
  this->sender.OnStamp(this->start, kReceiver, 7);
  CHECK_FALSE(this->sender.VouchFor(this->start, kReceiver).has_value());
  this->sender.OnRead(this->start);
  CHECK(this->sender.VouchFor(this->start, kReceiver).has_value());
  CHECK_FALSE(this->sender.VouchFor(this->start, VmHandle{2, 0}).has_value());
}

namespace {

/// VMs with independent clocks that read from a store whose state changes all
/// the time, and send their configuration to each other over links with
/// arbitrary delays.
class FreshnessSimulation {
 public:
  explicit FreshnessSimulation(uint64_t seed) : random(seed) {
    for (uint32_t i = 0; i < kVms; ++i) {
      Vm vm{ConfigurationFreshness(random()), {}, {}};
      vm.clock = std::chrono::seconds(1 + random() % 100000);
      this->vms.push_back(std::move(vm));
    }
  }

  void Step() {
    this->now += std::chrono::milliseconds(1 + this->random() % 40);
    if (this->random() % 4 == 0) {
      this->changes.push_back(this->now);
    }
    this->Deliver();
    const auto vm = static_cast<uint32_t>(this->random() % kVms);
    const auto other = static_cast<uint32_t>(this->random() % kVms);
    switch (this->random() % 4) {
      case 0:
        this->BeginRead(vm);
        break;
      case 1:
        this->SendConfiguration(vm, other);
        break;
      case 2:
        this->Send({vm,
                    other,
                    false,
                    this->vms[vm].state.TakeStamp(this->ClockOf(vm)),
                    {},
                    0});
        break;
      default:
        break;
    }
  }

  /// @returns false if some VM claims a time at which its configuration was the
  /// newest one, but lacks a change made before that time.
  bool AllClaimsHold() const {
    for (uint32_t i = 0; i < kVms; ++i) {
      const LeaseTime as_of = this->vms[i].state.as_of();
      if (as_of == LeaseTime::min()) {
        continue;
      }
      const Duration true_time = as_of.time_since_epoch() - this->vms[i].clock;
      const auto changes_until_then =
          static_cast<size_t>(std::lower_bound(this->changes.begin(),
                                               this->changes.end(), true_time) -
                              this->changes.begin());
      if (this->vms[i].known_changes < changes_until_then) {
        return false;
      }
    }
    return true;
  }

  size_t CountVmsWithKnownAge() const {
    return static_cast<size_t>(std::count_if(
        this->vms.begin(), this->vms.end(),
        [](const Vm& vm) { return vm.state.as_of() != LeaseTime::min(); }));
  }

 private:
  static constexpr uint32_t kVms = 6;

  struct Vm {
    ConfigurationFreshness state;
    Duration clock{0};         ///< How far the clock is ahead of the true time.
    size_t known_changes = 0;  ///< Number of changes that the VM has seen.
  };

  struct Message {
    uint32_t from = 0;
    uint32_t to = 0;
    bool has_configuration = false;  ///< Otherwise the message is a stamp.
    uint64_t stamp = 0;
    std::optional<FreshnessVouch> vouch;
    size_t known_changes = 0;
    Duration due{0};
  };

  LeaseTime ClockOf(uint32_t vm) const {
    return LeaseTime(this->now + this->vms[vm].clock);
  }

  Duration Delay() {
    const bool is_delayed = this->random() % 8 == 0;
    return std::chrono::milliseconds(this->random() %
                                     (is_delayed ? 20000 : 30));
  }

  void Send(Message message) {
    message.due = this->now + this->Delay();
    this->messages.push_back(message);
  }

  // The store answers with its state at some moment during the call.
  void BeginRead(uint32_t vm) {
    const LeaseTime begun = this->ClockOf(vm);
    const size_t state = this->changes.size();
    this->vms[vm].known_changes = std::max(this->vms[vm].known_changes, state);
    this->now += this->Delay();
    this->vms[vm].state.OnRead(begun);
  }

  void SendConfiguration(uint32_t from, uint32_t to) {
    this->Send(
        {from, to, true, 0,
         this->vms[from].state.VouchFor(this->ClockOf(from), VmHandle{to, 0}),
         this->vms[from].known_changes});
  }

  void Deliver() {
    for (size_t i = 0; i < this->messages.size();) {
      if (this->messages[i].due > this->now) {
        ++i;
        continue;
      }
      const Message message = this->messages[i];
      this->messages.erase(this->messages.begin() + static_cast<ptrdiff_t>(i));
      Vm& vm = this->vms[message.to];
      if (!message.has_configuration) {
        vm.state.OnStamp(this->ClockOf(message.to), VmHandle{message.from, 0},
                         message.stamp);
        continue;
      }
      vm.known_changes = std::max(vm.known_changes, message.known_changes);
      if (message.vouch) {
        vm.state.OnVouch(this->ClockOf(message.to), *message.vouch);
      }
    }
  }

  pcg64 random;
  Duration now{0};
  std::vector<Duration> changes;
  std::vector<Vm> vms;
  std::deque<Message> messages;
};

}  // namespace

// Failure: a VM accepts a key that was revoked long ago, since it considers an
// old configuration to be a new one.
TEST(ConfigurationFreshness,
     RandomHistory_AnyDelaysAndClocks_NeverClaimsTooLateATime) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    FreshnessSimulation simulation(seed);
    for (int i = 0; i < 600; ++i) {
      simulation.Step();
      CHECK_TRUE(simulation.AllClaimsHold());
    }
    CHECK(simulation.CountVmsWithKnownAge() > 3);
  }
}
