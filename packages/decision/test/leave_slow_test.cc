// Tests of requests that move to another data centre because all upstreams of
// this one are slow at the moment.

#include <array>
#include <memory>
#include <vector>

#include <pcg_random.hpp>

#include "decision_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::AttemptEnd;
using basilsill::DispatcherOptions;
using basilsill::DispatchHarness;
using basilsill::DispatchRequest;
using basilsill::Duration;
using basilsill::Refusal;
using basilsill::TimePoint;
using basilsill::UpstreamHandle;

namespace {

constexpr double kUsual = 1;
constexpr double kSlow = 7;
constexpr size_t kUpstreams = 2;
constexpr uint16_t kSlots = 3;

// Wait that an entry VM expects in another data centre with an empty queue:
// three quarters of the round-trip time.
constexpr Duration kWaitElsewhere = 2ms;

DispatcherOptions OptionsOf(bool leaves) {
  DispatcherOptions options;
  options.features.leave_slow = leaves;
  options.features.send_ahead = false;
  options.features.hedge = false;
  return options;
}

std::unique_ptr<DispatchHarness> MakeShard(bool leaves) {
  auto shard = std::make_unique<DispatchHarness>(OptionsOf(leaves));
  shard->fixture.service.health_path = "/health";
  for (size_t i = 0; i < kUpstreams; ++i) {
    shard->fixture.AddUpstream(0, kSlots);
  }
  shard->Apply();
  return shard;
}

}  // namespace

TEST_GROUP(LeaveSlow) {
  std::unique_ptr<DispatchHarness> shard = MakeShard(true);

  /// Answers all load queries with the values of `slowness` in turn.
  void AnswerLoadQueries(const std::vector<double>& slowness) {
    const std::vector<UpstreamHandle> queried = this->shard->queried;
    for (size_t i = 0; i < queried.size(); ++i) {
      this->shard->AnswerLoadQuery(queried[i], slowness[i % slowness.size()]);
    }
  }

  DispatchRequest Movable() const {
    DispatchRequest request = this->shard->Request();
    request.max_wait = kWaitElsewhere;
    return request;
  }
};

TEST(LeaveSlow, Offer_AllSlowAndMayMove_HandedBackAtOnce) {
  const uint64_t cookie = this->shard->Offer(this->Movable());
  this->AnswerLoadQueries({kSlow});
  CHECK(this->shard->RefusalFor(cookie) == Refusal::kQueueFull);
}

TEST(LeaveSlow, Offer_OneFast_StaysHere) {
  const uint64_t cookie = this->shard->Offer(this->Movable());
  this->AnswerLoadQueries({kSlow, kUsual});
  CHECK(IsValid(this->shard->RunOf(cookie).attempt));
}

// A request that has moved before, or has nowhere else to go, waits for a fast
// upstream.
TEST(LeaveSlow, Offer_AllSlowAndMayNotMove_Waits) {
  const uint64_t cookie = this->shard->Offer();
  this->AnswerLoadQueries({kSlow});
  CHECK(this->shard->RefusalFor(cookie) == Refusal::kNone);
  CHECK_EQUAL(1, this->shard->Queued());
}

// With a queue of a second elsewhere, waiting here is faster.
TEST(LeaveSlow, Offer_AllSlowButLongerElsewhere_Waits) {
  DispatchRequest request = this->Movable();
  request.max_wait = 1s;
  const uint64_t cookie = this->shard->Offer(request);
  this->AnswerLoadQueries({kSlow});
  CHECK(this->shard->RefusalFor(cookie) == Refusal::kNone);
}

// The request may have run here already, so a refusal that promises `not-run`
// would be false.
TEST(LeaveSlow, Retry_AllSlow_NotHandedBack) {
  const uint64_t cookie = this->shard->Offer(this->Movable());
  this->AnswerLoadQueries({kUsual});
  this->shard->Advance(30ms);
  this->shard->End(cookie, AttemptEnd::kDied);
  for (int i = 0; i < 5; ++i) {
    this->AnswerLoadQueries({kSlow});
    this->shard->Advance(5ms);
  }
  CHECK(this->shard->RefusalFor(cookie) == Refusal::kNone);
}

namespace {

/// Four data centres with two upstreams of three slots each. Requests that one
/// hands back go to the next, which costs three milliseconds.
class FourDataCentres {
 public:
  static constexpr Duration kSlowPeriod = 500ms;
  static constexpr Duration kRequestDuration = 88ms;
  static constexpr Duration kLatencyTarget = 250ms;
  static constexpr Duration kMoveDelay = 3ms;
  static constexpr size_t kCount = 4;

  explicit FourDataCentres(bool leaves) {
    for (auto& shard : this->shards) {
      shard = MakeShard(leaves);
    }
    this->slowness.fill(kUsual);
  }

  /// @returns the share of requests answered within their latency target.
  double Run(double per_second, Duration length) {
    const Duration gap(static_cast<int64_t>(1e9 / per_second));
    TimePoint next = this->now();
    TimePoint next_redraw = this->now();
    for (const TimePoint end = this->now() + length; this->now() < end;) {
      if (this->now() >= next_redraw) {
        this->RedrawSlowness();
        next_redraw += kSlowPeriod;
      }
      if (this->now() >= next) {
        this->Offer(this->random(kCount), this->now(), true);
        next += gap;
      }
      this->Step();
    }
    return static_cast<double>(this->within_target) /
           static_cast<double>(this->answered);
  }

 private:
  struct Sent {
    size_t shard;
    uint64_t cookie;
    TimePoint offered_at;
    TimePoint ends = basilsill::kNever;
    bool may_move;
  };

  TimePoint now() const { return this->shards[0]->now; }

  void RedrawSlowness() {
    for (double& one : this->slowness) {
      one = this->random(4) == 0 ? kSlow : kUsual;
    }
  }

  void Offer(size_t place, TimePoint offered_at, bool may_move) {
    DispatchHarness& shard = *this->shards[place];
    DispatchRequest request = shard.Request();
    request.idempotent = false;
    request.max_wait = may_move ? kWaitElsewhere : Duration::max();
    const uint64_t cookie = shard.Offer(request);
    this->sent.push_back(
        {place, cookie, offered_at, basilsill::kNever, may_move});
  }

  void Step() {
    for (size_t place = 0; place < kCount; ++place) {
      DispatchHarness& shard = *this->shards[place];
      shard.Advance(1ms);
      const std::vector<UpstreamHandle> queried = shard.queried;
      for (const UpstreamHandle upstream : queried) {
        shard.AnswerLoadQuery(upstream, this->SlownessOf(place, upstream));
      }
    }
    const std::vector<Sent> all = std::exchange(this->sent, {});
    for (const Sent& request : all) {
      this->StepRequest(request);
    }
  }

  double SlownessOf(size_t place, UpstreamHandle upstream) const {
    return this->slowness.at(place * kUpstreams + upstream.index);
  }

  void StepRequest(Sent request) {
    DispatchHarness& shard = *this->shards[request.shard];
    const auto run = shard.RunOf(request.cookie);
    if (shard.RefusalFor(request.cookie) != Refusal::kNone) {
      this->Offer((request.shard + 1) % kCount, request.offered_at - kMoveDelay,
                  false);
      return;
    }
    if (IsValid(run.attempt) && request.ends == basilsill::kNever) {
      const double slow = this->SlownessOf(request.shard, run.upstream);
      request.ends = this->now() + std::chrono::duration_cast<Duration>(
                                       kRequestDuration * slow);
    }
    if (request.ends > this->now()) {
      this->sent.push_back(request);
      return;
    }
    shard.End(request.cookie, AttemptEnd::kAnswered);
    ++this->answered;
    this->within_target +=
        this->now() - request.offered_at <= kLatencyTarget ? 1 : 0;
  }

  std::array<std::unique_ptr<DispatchHarness>, kCount> shards;
  std::array<double, kCount * kUpstreams> slowness{};
  std::vector<Sent> sent;
  pcg32 random{11};
  size_t answered = 0;
  size_t within_target = 0;
};

}  // namespace

// 26 requests per second occupy 2.3 of 24 slots, so there are always free
// slots. Both upstreams of a data centre are slow for a sixteenth of the time.
TEST(LeaveSlow, Load_BothNearSlowAtTimes_NearlyAllWithinTarget) {
  FourDataCentres staying(false);
  FourDataCentres leaving(true);
  const double without = staying.Run(26, 60s);
  const double with = leaving.Run(26, 60s);
  CHECK(without < 0.98);
  CHECK(with > 0.985);
}
