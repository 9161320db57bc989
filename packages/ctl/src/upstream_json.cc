#include "upstream_json.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include <boost/json.hpp>

namespace basilsill::ctl {
namespace {

namespace json = boost::json;

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using Behaviour = UpstreamBehaviour;
using MillisecondCount = std::chrono::duration<double, std::milli>;

constexpr double kMaxSlots = 4096;
constexpr double kMaxMilliseconds = 3.6e6;
constexpr double kMaxFactor = 1e6;
constexpr double kMaxSigma = 4;
constexpr double kMaxAnswerBytes = 64.0 * 1024 * 1024;
constexpr double kMaxCutBytes = 4.0 * 1024 * 1024 * 1024;
constexpr double kMaxConnections = 20000;
constexpr std::string_view kCrashField = "crash_ms";

constexpr std::array<std::string_view,
                     static_cast<size_t>(ServiceDistribution::kCount)>
    kDistributionNames = {"fixed", "exponential", "lognormal"};

constexpr std::array kFields = {
    UpstreamField{"slots", "requests that run concurrently", &Behaviour::slots,
                  1, kMaxSlots},
    UpstreamField{"service_ms", "mean service time", &Behaviour::service_mean,
                  0, kMaxMilliseconds},
    UpstreamField{"service_dist", "fixed, exponential or lognormal",
                  &Behaviour::service_distribution},
    UpstreamField{"sigma", "sigma of the logarithm (lognormal)",
                  &Behaviour::service_sigma, 0, kMaxSigma},
    UpstreamField{"answer_bytes", "size of an answer's body",
                  &Behaviour::answer_bytes, 0, kMaxAnswerBytes},
    UpstreamField{"queue_limit", "largest number of queued requests",
                  &Behaviour::queue_limit, 0, kMaxUpstreamJobs},
    UpstreamField{"shed", "shed every request", &Behaviour::shed},
    UpstreamField{"draining",
                  "announce draining in answers; refuse after the grace period",
                  &Behaviour::draining},
    UpstreamField{"drain_grace_ms",
                  "time during which a draining instance still serves",
                  &Behaviour::drain_grace, 0, kMaxMilliseconds},
    UpstreamField{"straggle_factor", "multiplies service times",
                  &Behaviour::straggle_factor, 0, kMaxFactor},
    UpstreamField{"cold_ms", "duration of the cold phase after a start",
                  &Behaviour::cold_time, 0, kMaxMilliseconds},
    UpstreamField{"cold_factor", "multiplies service times while cold",
                  &Behaviour::cold_factor, 0, kMaxFactor},
    UpstreamField{"rate_limit", "advertised requests per second; -1: none",
                  &Behaviour::rate_limit, -1, kMaxFactor},
    UpstreamField{"report_lag_ms", "age of the reported load",
                  &Behaviour::report_lag, 0, kMaxMilliseconds},
    UpstreamField{"report_factor", "multiplies the reported load",
                  &Behaviour::report_factor, 0, kMaxFactor},
    UpstreamField{"corrupt_every",
                  "corrupts every Nth body that is not streamed; 0: none",
                  &Behaviour::corrupt_every, 0, kMaxAnswerBytes},
    UpstreamField{"cut_after",
                  "closes after this many bytes of a streamed body; 0: never",
                  &Behaviour::cut_after, 0, kMaxCutBytes},
    UpstreamField{"accept_ms", "delay of a new connection",
                  &Behaviour::accept_delay, 0, kMaxMilliseconds},
    UpstreamField{"max_connections", "largest number of open connections",
                  &Behaviour::max_connections, 1, kMaxConnections},
    UpstreamField{"down_ms", "time from a crash to the restart",
                  &Behaviour::down_time, 0, kMaxMilliseconds},
};

// Visitor that sets one member of a behaviour from a JSON value, by the type of
// the member.
struct MemberSetter {
  const UpstreamField& field;
  const json::value& value;
  UpstreamBehaviour& behaviour;

  Result<void> operator()(bool Behaviour::*member) const {
    if (!this->value.is_bool()) {
      return this->WrongType("true or false");
    }
    this->behaviour.*member = this->value.get_bool();
    return boost::outcome_v2::success();
  }

  Result<void> operator()(ServiceDistribution Behaviour::*member) const {
    const auto found =
        this->value.is_string()
            ? std::find(kDistributionNames.begin(), kDistributionNames.end(),
                        std::string_view(this->value.get_string()))
            : kDistributionNames.end();
    if (found == kDistributionNames.end()) {
      return this->WrongType("fixed, exponential or lognormal");
    }
    this->behaviour.*member =
        static_cast<ServiceDistribution>(found - kDistributionNames.begin());
    return boost::outcome_v2::success();
  }

  template <typename Number>
  Result<void> operator()(Number Behaviour::*member) const {
    if (!this->value.is_number()) {
      return this->WrongType("a number");
    }
    const auto number = this->value.to_number<double>();
    if (!(number >= this->field.smallest && number <= this->field.largest)) {
      return Failure{FailureKind::kOutOfRange, std::string(this->field.name),
                     "must be from " + std::to_string(this->field.smallest) +
                         " to " + std::to_string(this->field.largest)};
    }
    if constexpr (std::is_same_v<Number, Duration>) {
      this->behaviour.*member =
          duration_cast<Duration>(MillisecondCount(number));
    } else {
      this->behaviour.*member = static_cast<Number>(number);
    }
    return boost::outcome_v2::success();
  }

  Failure WrongType(const std::string& allowed) const {
    return {FailureKind::kWrongType, std::string(this->field.name),
            "found " + json::serialize(this->value) + ", must be " + allowed};
  }
};

Result<void> SetField(const UpstreamField& field,
                      const json::value& value,
                      UpstreamBehaviour& behaviour) {
  return std::visit(MemberSetter{field, value, behaviour}, field.member);
}

const UpstreamField* FindField(std::string_view name) {
  const auto found =
      std::find_if(kFields.begin(), kFields.end(),
                   [name](const auto& field) { return field.name == name; });
  return found == kFields.end() ? nullptr : &*found;
}

json::value MemberJson(const UpstreamBehaviour& behaviour,
                       const UpstreamField& field) {
  return std::visit(
      [&behaviour](auto member) -> json::value {
        const auto& value = behaviour.*member;
        using Value = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<Value, Duration>) {
          return duration_cast<MillisecondCount>(value).count();
        } else if constexpr (std::is_same_v<Value, ServiceDistribution>) {
          return json::string(
              kDistributionNames.at(static_cast<size_t>(value)));
        } else {
          return value;
        }
      },
      field.member);
}

json::object ExecutionsJson(const UpstreamCounts& counts) {
  json::object executions;
  for (const auto& [key, count] : counts.executions) {
    executions[key] = count;
  }
  return executions;
}

}  // namespace

std::span<const UpstreamField> AllUpstreamFields() {
  return kFields;
}

Result<void> SetUpstreamField(const UpstreamField& field,
                              std::string_view text,
                              UpstreamBehaviour& behaviour) {
  json::error_code error;
  json::value value = json::parse(json::string_view(text), error);
  if (error) {
    value = json::string(text);
  }
  return SetField(field, value, behaviour);
}

CheckedResult<UpstreamChange> ParseUpstreamChange(
    std::string_view text,
    const UpstreamBehaviour& base) {
  json::error_code error;
  const json::value value = json::parse(json::string_view(text), error);
  if (error || !value.is_object()) {
    return std::vector<Failure>{
        {FailureKind::kSyntax, "", "the body must be a JSON object"}};
  }
  UpstreamChange change{base, std::nullopt};
  std::vector<Failure> failures;
  for (const auto& [key, member] : value.get_object()) {
    const std::string_view name(key);
    if (name == kCrashField && member.is_number()) {
      change.crash = duration_cast<Duration>(MillisecondCount(
          std::clamp(member.to_number<double>(), 0.0, kMaxMilliseconds)));
    } else if (const UpstreamField* field = FindField(name)) {
      if (auto outcome = SetField(*field, member, change.behaviour);
          outcome.has_error()) {
        failures.push_back(outcome.error());
      }
    } else {
      failures.push_back({FailureKind::kUnknownField, std::string(name), ""});
    }
  }
  if (!failures.empty()) {
    return failures;
  }
  return change;
}

std::string BehaviourJson(const UpstreamBehaviour& behaviour) {
  json::object object;
  for (const UpstreamField& field : kFields) {
    object[field.name] = MemberJson(behaviour, field);
  }
  return json::serialize(object);
}

std::string CountsJson(std::string_view name, const UpstreamCounts& counts) {
  const auto drain_ms =
      duration_cast<milliseconds>(counts.last_arrival_after_drain).count();
  const json::object object = {
      {"name", name},
      {"arrivals", counts.arrivals},
      {"started", counts.started},
      {"finished", counts.finished},
      {"shed", counts.shed},
      {"refused_draining", counts.refused_draining},
      {"expired", counts.expired},
      {"cancelled_queued", counts.cancelled_queued},
      {"cancelled_running", counts.cancelled_running},
      {"crashes", counts.crashes},
      {"lost_in_crash", counts.lost_in_crash},
      {"load_reports", counts.load_reports},
      {"connections_opened", counts.connections_opened},
      {"connections_refused", counts.connections_refused},
      {"arrivals_while_draining", counts.arrivals_while_draining},
      {"last_arrival_after_drain_ms", drain_ms},
      {"running", counts.running},
      {"queued", counts.queued},
      {"peak_queued", counts.peak_queued},
      {"keys_not_counted", counts.keys_not_counted},
      {"executions", ExecutionsJson(counts)},
  };
  return json::serialize(object);
}

std::string LoadJson(std::string_view name,
                     const UpstreamLoad& load,
                     unsigned slots) {
  return json::serialize(json::object{{"name", name},
                                      {"running", load.running},
                                      {"queued", load.queued},
                                      {"slots", slots}});
}

std::string FailuresJson(std::span<const Failure> failures) {
  json::array list;
  for (const Failure& failure : failures) {
    list.push_back(json::object{{"kind", FailureName(failure.kind)},
                                {"path", failure.path},
                                {"detail", failure.detail}});
  }
  return json::serialize(json::object{{"failures", list}});
}

}  // namespace basilsill::ctl
