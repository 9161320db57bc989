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

constexpr VmHandle kAsker{1, 0};

}  // namespace

TEST_GROUP(ConfigurationFreshness) {
  const LeaseTime start{std::chrono::hours(1)};
  ConfigurationFreshness asker{100};
  ConfigurationFreshness teller{900};
};

TEST(ConfigurationFreshness, AsOf_NothingRead_IsNever) {
  CHECK(this->asker.as_of() == LeaseTime::min());
}

TEST(ConfigurationFreshness, OnRead_EarlierThanKnown_ChangesNothing) {
  this->asker.OnRead(this->start);
  this->asker.OnRead(this->start - 1s);
  CHECK(this->asker.as_of() == this->start);
}

TEST(ConfigurationFreshness, OnVouch_OfAStamp_CountsFromTheStamp) {
  const LeaseTime other_clock{std::chrono::hours(90)};
  this->teller.OnRead(other_clock);
  this->teller.OnStamp(other_clock + 300ms, kAsker,
                       this->asker.TakeStamp(this->start));
  const auto vouch = this->teller.VouchFor(other_clock + 1s, kAsker);
  CHECK(vouch.has_value());
  this->asker.OnVouch(this->start + 5s, *vouch);
  // Held for 700 ms, a second old.
  CHECK(this->asker.as_of() == this->start - 300ms);
}

// News of a VM that was cut off come minutes later, and prove as much as then.
TEST(ConfigurationFreshness, OnVouch_LongOnItsWay_ProvesNoMore) {
  this->teller.OnRead(this->start);
  this->teller.OnStamp(this->start, kAsker, this->asker.TakeStamp(this->start));
  const auto vouch = this->teller.VouchFor(this->start + 10ms, kAsker);
  this->asker.OnVouch(this->start + 10min, *vouch);
  CHECK(this->asker.as_of() == this->start);
}

// A stamp of the process before a restart proves nothing to this one.
TEST(ConfigurationFreshness, OnVouch_OfAnotherProcess_IsIgnored) {
  this->teller.OnRead(this->start);
  this->teller.OnStamp(this->start, kAsker, this->asker.TakeStamp(this->start));
  ConfigurationFreshness restarted{5000};
  restarted.TakeStamp(this->start);
  restarted.OnVouch(this->start, *this->teller.VouchFor(this->start, kAsker));
  CHECK(restarted.as_of() == LeaseTime::min());
}

TEST(ConfigurationFreshness, VouchFor_NothingKnownOrNoStamp_IsNothing) {
  CHECK_FALSE(this->teller.VouchFor(this->start, kAsker).has_value());
  this->teller.OnStamp(this->start, kAsker, 7);
  CHECK_FALSE(this->teller.VouchFor(this->start, kAsker).has_value());
  this->teller.OnRead(this->start);
  CHECK(this->teller.VouchFor(this->start, kAsker).has_value());
  CHECK_FALSE(this->teller.VouchFor(this->start, VmHandle{2, 0}).has_value());
}

namespace {

/// VMs with clocks of their own that read a store whose state changes all the
/// time, and tell each other, over links on which messages take any time.
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
        this->Tell(vm, other);
        break;
      case 2:
        this->Post({vm,
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

  /// @returns false if some VM claims to have known of a change that it lacks.
  bool IsTruthful() const {
    for (uint32_t i = 0; i < kVms; ++i) {
      const LeaseTime as_of = this->vms[i].state.as_of();
      if (as_of == LeaseTime::min()) {
        continue;
      }
      const Duration true_time = as_of.time_since_epoch() - this->vms[i].clock;
      const auto due =
          static_cast<size_t>(std::lower_bound(this->changes.begin(),
                                               this->changes.end(), true_time) -
                              this->changes.begin());
      if (this->vms[i].known < due) {
        return false;
      }
    }
    return true;
  }

  size_t CountVouched() const {
    return static_cast<size_t>(std::count_if(
        this->vms.begin(), this->vms.end(),
        [](const Vm& vm) { return vm.state.as_of() != LeaseTime::min(); }));
  }

 private:
  static constexpr uint32_t kVms = 6;

  struct Vm {
    ConfigurationFreshness state;
    Duration clock{0};  ///< Ahead of the true time by so much.
    size_t known = 0;   ///< Changes.
  };

  struct Message {
    uint32_t from = 0;
    uint32_t to = 0;
    bool is_news = false;  ///< Otherwise a stamp.
    uint64_t stamp = 0;
    std::optional<FreshnessVouch> vouch;
    size_t known = 0;
    Duration due{0};
  };

  LeaseTime ClockOf(uint32_t vm) const {
    return LeaseTime(this->now + this->vms[vm].clock);
  }

  Duration Delay() {
    const bool is_held_up = this->random() % 8 == 0;
    return std::chrono::milliseconds(this->random() %
                                     (is_held_up ? 20000 : 30));
  }

  void Post(Message message) {
    message.due = this->now + this->Delay();
    this->messages.push_back(message);
  }

  // The store answers with its state at some moment of the call.
  void BeginRead(uint32_t vm) {
    const LeaseTime begun = this->ClockOf(vm);
    const size_t state = this->changes.size();
    this->vms[vm].known = std::max(this->vms[vm].known, state);
    this->now += this->Delay();
    this->vms[vm].state.OnRead(begun);
  }

  void Tell(uint32_t from, uint32_t to) {
    this->Post(
        {from, to, true, 0,
         this->vms[from].state.VouchFor(this->ClockOf(from), VmHandle{to, 0}),
         this->vms[from].known});
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
      if (!message.is_news) {
        vm.state.OnStamp(this->ClockOf(message.to), VmHandle{message.from, 0},
                         message.stamp);
        continue;
      }
      vm.known = std::max(vm.known, message.known);
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

// A VM goes by a key that was taken away since it takes old news for new ones.
TEST(ConfigurationFreshness, Histories_AnyDelaysAndClocks_NeverClaimTooMuch) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    FreshnessSimulation world(seed);
    for (int i = 0; i < 600; ++i) {
      world.Step();
      CHECK_TRUE(world.IsTruthful());
    }
    CHECK(world.CountVouched() > 3);
  }
}
