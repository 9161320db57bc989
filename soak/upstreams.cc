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

// Instances of each service. More than the load needs, so that some can fail.
constexpr size_t kInstancesPerService = 4;

// A draining instance keeps serving for a little longer than the drain bound.
constexpr milliseconds kDrainTime{3000};
constexpr milliseconds kRestartPause{500};
// Beyond the drain bound there must be time in which requests could arrive.
constexpr milliseconds kSaidLeavingTime{5000};
constexpr milliseconds kExtraRestTime{6000};
// The platform removes an entry after three missed heartbeat intervals.
constexpr milliseconds kEntryExpiry{4500};
constexpr milliseconds kSlowWork{200};
constexpr double kFaultyShare = 0.5;
constexpr std::array<double, 4> kLimits = {0, 0.5, 1.7, 6};
// Added to the duration of the fault, as the rate limit bound is checked over a
// window of four seconds.
constexpr milliseconds kExtraLimitTime{4000};

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
                     Observations& observations,
                     uint64_t seed,
                     const adapter::test::FakeUpstreamBehaviour& usual)
    : io(io),
      store(store),
      observations(observations),
      seed(seed),
      usual(usual) {
  for (size_t service = 0; service < ServiceNames().size(); ++service) {
    for (size_t i = 0; i < kInstancesPerService; ++i) {
      this->hosts.push_back(std::make_unique<Host>());
      Host& host = *this->hosts.back();
      host.service = service;
      host.data_centre = i % DataCentreNames().size();
      host.proxy = std::make_unique<Proxy>(io, Endpoint{});
      this->StartInstance(host);
    }
  }
}

void Upstreams::SetClientLinks(const ClientLink& link) {
  for (const auto& host : this->hosts) {
    const uint16_t server = host->proxy->endpoint().port;
    host->proxy->SetClientLink([link, server](uint16_t client) {
      return link({server, client});
    });
  }
}

void Upstreams::ApplyClientLinks(const ClientLink& link, bool resets) {
  for (const auto& host : this->hosts) {
    const uint16_t server = host->proxy->endpoint().port;
    host->proxy->ApplyClientLink(
        [link, server](uint16_t client) {
          return link({server, client});
        },
        resets);
  }
}

void Upstreams::Stop() {
  this->stopped = true;
  this->hosts.clear();
}

void Upstreams::StartInstance(Host& host) {
  const size_t number = this->started++;
  host.number = number;
  const size_t service = host.service;
  const size_t data_centre = host.data_centre;
  adapter::test::UpstreamHooks hooks;
  hooks.on_arrival = [this, number, data_centre](const std::string& id) {
    this->observations.arrivals.push_back(
        {id, number, data_centre, MonotonicClock::now()});
  };
  hooks.on_run = [this, number, service](const std::string& id) {
    this->observations.runs.push_back(
        {id, number, service, MonotonicClock::now()});
  };
  hooks.on_health_check = [this, number, data_centre] {
    this->observations.health_checks.push_back(
        {"", number, data_centre, MonotonicClock::now()});
  };
  hooks.on_unproven = [this](const std::string& id) {
    this->observations.unproven.insert(id);
  };
  host.instance = std::make_unique<adapter::test::FakeUpstream>(
      this->io, "i-" + std::to_string(number), this->seed + number,
      std::move(hooks));
  host.instance->behaviour() = this->usual;
  host.proxy->SetTarget(host.instance->endpoint());
  this->PublishEntry(host, "ready");
}

void Upstreams::PublishEntry(Host& host, const std::string& state) {
  host.renews_entry = true;
  adapter::test::EntryText entry;
  entry.address = ToString(host.proxy->endpoint());
  entry.service = ServiceNames()[host.service];
  entry.data_centre = DataCentreNames()[host.data_centre];
  entry.state = state;
  this->store.Put(adapter::test::kUpstreamTopic, host.instance->id(),
                  ToText(entry));
}

bool Upstreams::IsRenewed(size_t number) const {
  return std::any_of(this->hosts.begin(), this->hosts.end(),
                     [number](const auto& host) {
                       return host->number == number && host->renews_entry;
                     });
}

boost::asio::awaitable<void> Upstreams::WriteEntriesAgain() {
  for (const auto& host : this->hosts) {
    if (host->renews_entry) {
      this->PublishEntry(
          *host, host->instance->behaviour().leaving ? "draining" : "ready");
    }
  }
  co_await Sleep(kEntryExpiry);
  for (size_t number = 0; !this->stopped && number < this->started; ++number) {
    if (!this->IsRenewed(number)) {
      this->store.Remove(adapter::test::kUpstreamTopic,
                         "i-" + std::to_string(number));
    }
  }
}

boost::asio::awaitable<void> Upstreams::InjectFault(const Step& step) {
  Host& host = *this->hosts[step.target % this->hosts.size()];
  if (host.has_fault) {
    co_return;
  }
  host.has_fault = true;
  // An orderly drain, a cold period, an advertised rate limit and a rest are
  // normal operation, not disturbances.
  std::optional<size_t> row;
  if (step.fault != Fault::kUpstreamLeave &&
      step.fault != Fault::kUpstreamCold &&
      step.fault != Fault::kUpstreamLimit &&
      step.fault != Fault::kUpstreamSaysLeaving &&
      step.fault != Fault::kUpstreamRests) {
    row = this->observations.BeginDisturbance(DisturbanceKind::kUpstream,
                                              std::nullopt);
  }
  switch (step.fault) {
    case Fault::kUpstreamCrash:
      co_await this->Crash(host, step);
      break;
    case Fault::kUpstreamLeave:
      co_await this->Drain(host);
      break;
    case Fault::kUpstreamCold:
      co_await this->TurnCold(host, step);
      break;
    case Fault::kUpstreamLimit:
      co_await this->AdvertiseLimit(host, step);
      break;
    case Fault::kUpstreamSaysLeaving:
      co_await this->SayLeaving(host);
      break;
    case Fault::kUpstreamRests:
      co_await this->AskForRest(host, step);
      break;
    case Fault::kLinkSlow:
    case Fault::kLinkReset:
    case Fault::kLinkOneWay:
    case Fault::kLinkSilent:
      co_await this->InjectLinkFault(host, step);
      break;
    default:
      co_await this->InjectResponseFault(host, step);
      break;
  }
  if (this->stopped) {
    co_return;
  }
  if (row) {
    this->observations.EndDisturbance(*row);
  }
  host.has_fault = false;
}

boost::asio::awaitable<void> Upstreams::Crash(Host& host, const Step& step) {
  const std::string id = host.instance->id();
  host.renews_entry = false;
  host.instance->Stop();
  host.proxy->Reset();
  co_await Sleep(step.duration);
  if (this->stopped) {
    co_return;
  }
  this->StartInstance(host);
  const size_t number = host.number;
  co_await Sleep(std::max(milliseconds(0), kEntryExpiry - step.duration));
  if (!this->stopped && host.number == number) {
    this->store.Remove(adapter::test::kUpstreamTopic, id);
  }
}

boost::asio::awaitable<void> Upstreams::Replace(Host& host) {
  this->store.Remove(adapter::test::kUpstreamTopic, host.instance->id());
  host.renews_entry = false;
  host.instance->Stop();
  co_await Sleep(kRestartPause);
  if (!this->stopped) {
    this->StartInstance(host);
  }
}

boost::asio::awaitable<void> Upstreams::Drain(Host& host) {
  this->PublishEntry(host, "draining");
  this->observations.leaving.push_back({host.number, MonotonicClock::now()});
  host.instance->behaviour().leaving = true;
  co_await Sleep(kDrainTime);
  if (this->stopped) {
    co_return;
  }
  co_await this->Replace(host);
}

// The cold state is not in the store entry. The instance reports it only in its
// health check responses.
boost::asio::awaitable<void> Upstreams::TurnCold(Host& host, const Step& step) {
  const TimePoint from = MonotonicClock::now();
  const TimePoint to = from + step.duration;
  host.instance->behaviour().cold_until = to;
  this->observations.cold_periods.push_back({host.number, from, to});
  co_await Sleep(step.duration);
}

boost::asio::awaitable<void> Upstreams::AdvertiseLimit(Host& host,
                                                       const Step& step) {
  const double limit =
      kLimits.at(step.target / this->hosts.size() % kLimits.size());
  const TimePoint from = MonotonicClock::now();
  const TimePoint to = from + step.duration + kExtraLimitTime;
  host.instance->behaviour().rate_limit = limit;
  this->observations.limits.push_back({host.number, limit, from, to});
  co_await Sleep(to - from);
  if (!this->stopped) {
    host.instance->behaviour().rate_limit = std::nullopt;
  }
}

boost::asio::awaitable<void> Upstreams::SayLeaving(Host& host) {
  host.instance->behaviour().leaving = true;
  const TimePoint from = MonotonicClock::now();
  this->observations.said_leaving.push_back(
      {host.number, from, from + kSaidLeavingTime});
  co_await Sleep(kSaidLeavingTime);
  if (this->stopped) {
    co_return;
  }
  co_await this->Replace(host);
}

boost::asio::awaitable<void> Upstreams::AskForRest(Host& host,
                                                   const Step& step) {
  const TimePoint from = MonotonicClock::now();
  const TimePoint to = from + step.duration + kExtraRestTime;
  host.instance->behaviour().rest_until = to;
  this->observations.rests.push_back({host.number, from, to});
  co_await Sleep(to - from);
}

boost::asio::awaitable<void> Upstreams::InjectResponseFault(Host& host,
                                                            const Step& step) {
  adapter::test::FakeUpstreamBehaviour faulty = this->usual;
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
  host.instance->behaviour() = faulty;
  co_await Sleep(step.duration);
  if (!this->stopped) {
    host.instance->behaviour() = this->usual;
  }
}

boost::asio::awaitable<void> Upstreams::InjectLinkFault(Host& host,
                                                        const Step& step) {
  static const std::map<Fault, LinkState> states = {
      {Fault::kLinkSlow, LinkState::kSlow},
      {Fault::kLinkReset, LinkState::kNormal},
      {Fault::kLinkOneWay, LinkState::kOneWay},
      {Fault::kLinkSilent, LinkState::kSilent}};
  if (step.fault == Fault::kLinkReset) {
    host.proxy->Reset();
  }
  host.proxy->SetState(states.at(step.fault));
  co_await Sleep(step.duration);
  if (!this->stopped) {
    host.proxy->SetState(LinkState::kNormal);
  }
}

}  // namespace basilsill::soak
