#include "upstreams.h"

#include <array>
#include <map>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "platform_text.h"
#include "sleep.h"

namespace basilsill::soak {
namespace {

using std::chrono::milliseconds;

// Instances of each service: more than the load needs, so that some can fail.
constexpr size_t kInstances = 4;

// A leaving instance serves on for the bound, and a little longer.
constexpr milliseconds kServesOn{3000};
constexpr milliseconds kPauseBetween{500};
// The platform takes an entry away after three silent intervals.
constexpr milliseconds kEntryLapses{4500};
constexpr milliseconds kSlowWork{200};
constexpr double kFaultyShare = 0.5;
constexpr std::array<double, 4> kLimits = {0, 0.5, 1.7, 6};
// Beyond the fault's own time: the bound is one of four seconds.
constexpr milliseconds kLimitLasts{4000};

}  // namespace

const std::vector<std::string>& ServiceNames() {
  static const std::vector<std::string> names = {"banklevel", "pickupbook"};
  return names;
}

const std::vector<std::string>& DataCentreNames() {
  static const std::vector<std::string> names = {"lyulin", "druzhba"};
  return names;
}

Upstreams::Upstreams(boost::asio::io_context& io,
                     adapter::test::FakeStore& store,
                     Observations& seen,
                     uint64_t seed)
    : io(io), store(store), seen(seen), seed(seed) {
  for (size_t service = 0; service < ServiceNames().size(); ++service) {
    for (size_t i = 0; i < kInstances; ++i) {
      this->places.push_back(std::make_unique<Place>());
      Place& place = *this->places.back();
      place.service = service;
      place.data_centre = i % DataCentreNames().size();
      place.proxy = std::make_unique<Proxy>(io, Endpoint{});
      this->StartInstance(place);
    }
  }
}

void Upstreams::Stop() {
  this->stopped = true;
  this->places.clear();
}

void Upstreams::StartInstance(Place& place) {
  const size_t number = this->started++;
  place.number = number;
  const size_t service = place.service;
  const size_t data_centre = place.data_centre;
  adapter::test::UpstreamHooks hooks;
  hooks.on_arrival = [this, number, data_centre](const std::string& id) {
    this->seen.arrivals.push_back(
        {id, number, data_centre, MonotonicClock::now()});
  };
  hooks.on_run = [this, number, service](const std::string& id) {
    this->seen.runs.push_back({id, number, service, MonotonicClock::now()});
  };
  hooks.on_health_check = [this, number, data_centre] {
    this->seen.questions.push_back(
        {"", number, data_centre, MonotonicClock::now()});
  };
  place.instance = std::make_unique<adapter::test::FakeUpstream>(
      this->io, "i-" + std::to_string(number), this->seed + number,
      std::move(hooks));
  place.proxy->SetTarget(place.instance->endpoint());
  this->Write(place, "ready");
}

void Upstreams::Write(const Place& place, const std::string& state) {
  adapter::test::EntryText entry;
  entry.address = ToString(place.proxy->endpoint());
  entry.service = ServiceNames()[place.service];
  entry.data_centre = DataCentreNames()[place.data_centre];
  entry.state = state;
  this->store.Put(adapter::test::kUpstreamTopic, place.instance->id(),
                  ToText(entry));
}

boost::asio::awaitable<void> Upstreams::Harm(const Step& step) {
  Place& place = *this->places[step.target % this->places.size()];
  if (place.is_busy) {
    co_return;
  }
  place.is_busy = true;
  // One that leaves as it should, is cold, or names a rate limit is no
  // disturbance.
  std::optional<size_t> row;
  if (step.fault != Fault::kUpstreamLeave &&
      step.fault != Fault::kUpstreamCold &&
      step.fault != Fault::kUpstreamLimit) {
    row = this->seen.BeginDisturbance(DisturbanceKind::kUpstream, std::nullopt);
  }
  switch (step.fault) {
    case Fault::kUpstreamCrash:
      co_await this->Crash(place, step);
      break;
    case Fault::kUpstreamLeave:
      co_await this->Leave(place);
      break;
    case Fault::kUpstreamCold:
      co_await this->BeCold(place, step);
      break;
    case Fault::kUpstreamLimit:
      co_await this->NameLimit(place, step);
      break;
    case Fault::kLinkSlow:
    case Fault::kLinkReset:
    case Fault::kLinkOneWay:
    case Fault::kLinkSilent:
      co_await this->HarmLink(place, step);
      break;
    default:
      co_await this->Misbehave(place, step);
      break;
  }
  if (this->stopped) {
    co_return;
  }
  if (row) {
    this->seen.EndDisturbance(*row);
  }
  place.is_busy = false;
}

boost::asio::awaitable<void> Upstreams::Crash(Place& place, const Step& step) {
  const std::string id = place.instance->id();
  place.instance->Stop();
  place.proxy->Reset();
  co_await Sleep(step.lasts);
  if (this->stopped) {
    co_return;
  }
  this->StartInstance(place);
  const size_t number = place.number;
  co_await Sleep(std::max(milliseconds(0), kEntryLapses - step.lasts));
  if (!this->stopped && place.number == number) {
    this->store.Remove(adapter::test::kUpstreamTopic, id);
  }
}

boost::asio::awaitable<void> Upstreams::Leave(Place& place) {
  this->Write(place, "draining");
  this->seen.leaving.push_back({place.number, MonotonicClock::now()});
  place.instance->behaviour().leaving = true;
  co_await Sleep(kServesOn);
  if (this->stopped) {
    co_return;
  }
  this->store.Remove(adapter::test::kUpstreamTopic, place.instance->id());
  place.instance->Stop();
  co_await Sleep(kPauseBetween);
  if (!this->stopped) {
    this->StartInstance(place);
  }
}

// Its entry says nothing of it, only its answer when it is asked.
boost::asio::awaitable<void> Upstreams::BeCold(Place& place, const Step& step) {
  const TimePoint from = MonotonicClock::now();
  const TimePoint to = from + step.lasts;
  place.instance->behaviour().cold_until = to;
  this->seen.colds.push_back({place.number, from, to});
  co_await Sleep(step.lasts);
}

boost::asio::awaitable<void> Upstreams::NameLimit(Place& place,
                                                  const Step& step) {
  const double limit =
      kLimits.at(step.target / this->places.size() % kLimits.size());
  const TimePoint from = MonotonicClock::now();
  const TimePoint to = from + step.lasts + kLimitLasts;
  place.instance->behaviour().rate_limit = limit;
  this->seen.limits.push_back({place.number, limit, from, to});
  co_await Sleep(to - from);
  if (!this->stopped) {
    place.instance->behaviour().rate_limit = std::nullopt;
  }
}

boost::asio::awaitable<void> Upstreams::Misbehave(Place& place,
                                                  const Step& step) {
  adapter::test::FakeUpstreamBehaviour faulty;
  switch (step.fault) {
    case Fault::kUpstreamSlow:
      faulty.work = kSlowWork;
      break;
    case Fault::kUpstreamFails:
      faulty.failing = kFaultyShare;
      break;
    case Fault::kAnswersLost:
      faulty.losing = kFaultyShare;
      break;
    default:
      faulty.cutting = kFaultyShare;
      break;
  }
  place.instance->behaviour() = faulty;
  co_await Sleep(step.lasts);
  if (!this->stopped) {
    place.instance->behaviour() = {};
  }
}

boost::asio::awaitable<void> Upstreams::HarmLink(Place& place,
                                                 const Step& step) {
  static const std::map<Fault, LinkState> states = {
      {Fault::kLinkSlow, LinkState::kSlow},
      {Fault::kLinkReset, LinkState::kWell},
      {Fault::kLinkOneWay, LinkState::kOneWay},
      {Fault::kLinkSilent, LinkState::kSilent}};
  if (step.fault == Fault::kLinkReset) {
    place.proxy->Reset();
  }
  place.proxy->SetState(states.at(step.fault));
  co_await Sleep(step.lasts);
  if (!this->stopped) {
    place.proxy->SetState(LinkState::kWell);
  }
}

}  // namespace basilsill::soak
