#include "settings_schema.h"

#include <array>
#include <charconv>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "basilsill/base/limits.h"

namespace basilsill {
namespace {

namespace json = boost::json;

template <auto Member>
SettingRef RefTo(Settings& settings) {
  return &(settings.*Member);
}

template <auto Section, auto Member>
SettingRef RefTo(Settings& settings) {
  return &(settings.*Section.*Member);
}

constexpr double kMaxPort = 65535;
constexpr double kMaxConnections = 1'000'000;
constexpr double kMaxTrafficThreads = 64;
constexpr double kMinHeaderBytes = 1024;
constexpr double kMaxHeaderBytes = 1024.0 * 1024;
constexpr double kMaxExactBytes = 9007199254740992;  // 2^53, exact in JSON.
constexpr double kMaxEventsPerSecond = 10'000;
constexpr double kMaxProbesPerSecond = 1'000'000;
constexpr double kMaxHedgeRatio = 0.5;
constexpr double kMaxKeptAnswerBytes = 64.0 * 1024;

// Bounds of durations, in milliseconds.
constexpr double kSecond = 1000;
constexpr double kMinute = 60 * kSecond;
constexpr double kHour = 60 * kMinute;
constexpr double kDay = 24 * kHour;

constexpr std::array kSchema = {
    SettingField{.path = "/tenant",
                 .member = RefTo<&Settings::tenant>,
                 .required = true,
                 .format = TextFormat::kName,
                 .doc = "Whose installation this VM belongs to."},

    SettingField{.path = "/vm/name",
                 .member = RefTo<&Settings::vm, &VmSettings::name>,
                 .required = true,
                 .format = TextFormat::kName,
                 .doc = "Name of this VM, as in the platform's VM list."},
    SettingField{.path = "/vm/data_centre",
                 .member = RefTo<&Settings::vm, &VmSettings::data_centre>,
                 .required = true,
                 .format = TextFormat::kName,
                 .doc = "Data centre that this VM runs in."},
    SettingField{.path = "/vm/address",
                 .member = RefTo<&Settings::vm, &VmSettings::address>,
                 .required = true,
                 .format = TextFormat::kAddress,
                 .doc = "Address that all ports listen on and that peers "
                        "connect to."},

    SettingField{.path = "/listen/callers",
                 .member = RefTo<&Settings::listen, &ListenSettings::callers>,
                 .most = kMaxPort,
                 .doc = "Port for callers; 0 lets the kernel choose."},
    SettingField{.path = "/listen/control",
                 .member = RefTo<&Settings::listen, &ListenSettings::control>,
                 .most = kMaxPort,
                 .doc = "Port for control links of other VMs, as in the VM "
                        "list; 0 lets the kernel choose."},
    SettingField{.path = "/listen/admin",
                 .member = RefTo<&Settings::listen, &ListenSettings::admin>,
                 .most = kMaxPort,
                 .doc = "Port for health, metrics and the resource API; 0 lets "
                        "the kernel choose."},
    SettingField{.path = "/listen/links",
                 .member = RefTo<&Settings::listen, &ListenSettings::links>,
                 .most = kMaxPort,
                 .doc = "Port for data links to the first traffic thread, the "
                        "next ones follow; 0 lets the kernel choose them."},

    SettingField{
        .path = "/platform/endpoints",
        .member = RefTo<&Settings::platform, &PlatformSettings::endpoints>,
        .required = true,
        .least = 1,
        .most = 16,
        .doc = "Where the platform's log and VM list answer; tried in turn."},
    SettingField{
        .path = "/platform/call_timeout_ms",
        .member = RefTo<&Settings::platform, &PlatformSettings::call_timeout>,
        .least = 10,
        .most = kMinute,
        .doc = "After this, a call to the platform counts as lost."},

    SettingField{.path = "/threads/traffic",
                 .member = RefTo<&Settings::threads, &ThreadSettings::traffic>,
                 .least = 1,
                 .most = kMaxTrafficThreads,
                 .doc = "Traffic threads; one core each at full load."},

    SettingField{
        .path = "/limits/header_bytes",
        .member = RefTo<&Settings::limits, &LimitSettings::header_bytes>,
        .least = kMinHeaderBytes,
        .most = kMaxHeaderBytes,
        .doc = "Largest header of a request; above it the answer is 431."},
    SettingField{
        .path = "/limits/body_bytes",
        .member = RefTo<&Settings::limits, &LimitSettings::body_bytes>,
        .most = kMaxExactBytes,
        .doc = "Largest body of a request; above it the answer is 413."},
    SettingField{
        .path = "/limits/caller_connections",
        .member = RefTo<&Settings::limits, &LimitSettings::caller_connections>,
        .least = 1,
        .most = kMaxConnections,
        .doc = "Open caller connections of this VM, shared evenly by its "
               "traffic threads."},
    SettingField{
        .path = "/limits/caller_idle_ms",
        .member = RefTo<&Settings::limits, &LimitSettings::caller_idle>,
        .least = 1,
        .most = kDay,
        .doc = "A caller connection with nothing in flight is closed then."},
    SettingField{
        .path = "/limits/request_total_ms",
        .member = RefTo<&Settings::limits, &LimitSettings::request_total>,
        .least = 1,
        .most = kDay,
        .doc = "Longest time from a request's first byte to its answer's "
               "last."},
    SettingField{
        .path = "/limits/default_deadline_ms",
        .member = RefTo<&Settings::limits, &LimitSettings::default_deadline>,
        .least = 1,
        .most = static_cast<double>(limits::kMaxDeadline.count()),
        .doc = "Deadline of a request for which neither its caller nor its "
               "rule names one."},
    SettingField{
        .path = "/limits/upstream_connect_ms",
        .member = RefTo<&Settings::limits, &LimitSettings::upstream_connect>,
        .least = 1,
        .most = kMinute,
        .doc = "After this, opening a connection to an upstream has failed."},
    SettingField{
        .path = "/limits/upstream_first_byte_ms",
        .member = RefTo<&Settings::limits, &LimitSettings::upstream_first_byte>,
        .least = 1,
        .most = kHour,
        .doc = "Longest wait for the first byte of an upstream's answer."},
    SettingField{
        .path = "/limits/upstream_idle_ms",
        .member = RefTo<&Settings::limits, &LimitSettings::upstream_idle>,
        .least = 1,
        .most = kDay,
        .doc = "An idle connection to an upstream is closed then."},
    SettingField{
        .path = "/limits/upstream_idle_connections",
        .member =
            RefTo<&Settings::limits, &LimitSettings::upstream_idle_connections>,
        .most = kMaxConnections,
        .doc = "Idle upstream connections that one traffic thread keeps."},
    SettingField{
        .path = "/limits/link_connect_ms",
        .member = RefTo<&Settings::limits, &LimitSettings::link_connect>,
        .least = 1,
        .most = kMinute,
        .doc = "After this, opening a link to another VM has failed."},

    SettingField{
        .path = "/shutdown/ready_delay_ms",
        .member = RefTo<&Settings::shutdown, &ShutdownSettings::ready_delay>,
        .most = kHour,
        .doc = "Between failing readiness and closing the caller port, so "
               "that the platform's balancer can look away first."},
    SettingField{
        .path = "/shutdown/limit_ms",
        .member = RefTo<&Settings::shutdown, &ShutdownSettings::limit>,
        .most = kDay,
        .doc = "A graceful shutdown that takes longer cuts off what is left."},

    SettingField{.path = "/log/level",
                 .member = RefTo<&Settings::log, &LogSettings::level>,
                 .doc = "Events below this severity are not written."},
    SettingField{.path = "/log/file",
                 .member = RefTo<&Settings::log, &LogSettings::file>,
                 .format = TextFormat::kPath,
                 .doc = "File that the log is appended to; empty for standard "
                        "error."},
    SettingField{
        .path = "/log/events_per_second",
        .member = RefTo<&Settings::log, &LogSettings::events_per_second>,
        .least = 1,
        .most = kMaxEventsPerSecond,
        .doc = "Lines of one event; more are left out and counted."},

    SettingField{.path = "/measuring/probes_per_second_fleet",
                 .member = RefTo<&Settings::measuring,
                                 &MeasuringSettings::probes_per_second_fleet>,
                 .most = kMaxProbesPerSecond,
                 .doc = "Probes of upstreams that all VMs together may send; "
                        "each takes an even share."},

    SettingField{
        .path = "/retries/budget_ratio",
        .member = RefTo<&Settings::retries, &RetrySettings::budget_ratio>,
        .most = 1,
        .doc = "Retries as a ratio of recent requests, per team and service."},
    SettingField{
        .path = "/retries/hedge_ratio",
        .member = RefTo<&Settings::retries, &RetrySettings::hedge_ratio>,
        .most = kMaxHedgeRatio,
        .doc = "Hedged attempts as a ratio of recent requests."},

    SettingField{.path = "/once/window_ms",
                 .member = RefTo<&Settings::once, &OnceSettings::window>,
                 .least = kMinute,
                 .most = 30 * kDay,
                 .doc = "How long an idempotency key is known; a request with "
                        "an older one is refused."},
    SettingField{.path = "/once/batch_ms",
                 .member = RefTo<&Settings::once, &OnceSettings::batch>,
                 .most = kSecond,
                 .doc = "Claims are gathered for this long before an append."},
    SettingField{
        .path = "/once/kept_answer_bytes",
        .member = RefTo<&Settings::once, &OnceSettings::kept_answer_bytes>,
        .most = kMaxKeptAnswerBytes,
        .doc = "Largest answer that is kept for a repeated key."},

    SettingField{.path = "/policy/without",
                 .member = RefTo<&Settings::policy, &PolicySettings::without>,
                 .format = TextFormat::kMechanisms,
                 .doc = "Mechanisms to switch off, for measuring and for "
                        "ruling one out."},
};
static_assert(kSchema.size() <= kMaxSettingsFields);

constexpr std::array<std::string_view, static_cast<size_t>(Severity::kCount)>
    kSeverityNames = {"debug", "info", "warning", "error"};

std::string Integer(double number) {
  return std::to_string(static_cast<uint64_t>(number));
}

/// Formats `number` without an exponent.
std::string Decimal(double number) {
  std::array<char, 32> digits{};
  const auto end = std::to_chars(digits.begin(), digits.end(), number,
                                 std::chars_format::fixed);
  return {digits.begin(), end.ptr};
}

std::string IntegerRange(const SettingField& field) {
  return "from " + Integer(field.least) + " to " + Integer(field.most);
}

std::string AllowedText(TextFormat format) {
  switch (format) {
    case TextFormat::kName:
      return "a name: 1 to " + std::to_string(limits::kMaxNameLength) +
             " of a-z, 0-9 and inner hyphens";
    case TextFormat::kAddress:
      return "an IP number";
    case TextFormat::kMechanisms:
      return "names of mechanisms, separated by commas, or an empty string";
    case TextFormat::kPath:
    case TextFormat::kCount:
      break;
  }
  return "a path, or an empty string";
}

/// Describes the allowed values by the type of the member.
struct DescribeAllowed {
  const SettingField& field;

  std::string operator()(const std::string*) const {
    return AllowedText(this->field.format);
  }
  std::string operator()(const double*) const {
    return "a number from " + Decimal(this->field.least) + " to " +
           Decimal(this->field.most);
  }
  std::string operator()(const std::chrono::milliseconds*) const {
    return "milliseconds " + IntegerRange(this->field);
  }
  std::string operator()(const Severity*) const {
    return R"("debug", "info", "warning" or "error")";
  }
  std::string operator()(const std::vector<Endpoint>*) const {
    return Integer(this->field.least) + " to " + Integer(this->field.most) +
           R"( of {"address": an IP number, "port": from 1 to 65535})";
  }
  template <typename Unsigned>
  std::string operator()(const Unsigned*) const {
    return "an integer " + IntegerRange(this->field);
  }
};

struct ToJson {
  json::value operator()(const std::string* text) const {
    return json::string(*text);
  }
  json::value operator()(const std::chrono::milliseconds* duration) const {
    return duration->count();
  }
  json::value operator()(const Severity* severity) const {
    return json::string(SeverityName(*severity));
  }
  json::value operator()(const std::vector<Endpoint>* endpoints) const {
    json::array list;
    for (const Endpoint& endpoint : *endpoints) {
      list.push_back({{"address", endpoint.address}, {"port", endpoint.port}});
    }
    return list;
  }
  template <typename Number>
  json::value operator()(const Number* number) const {
    return *number;
  }
};

}  // namespace

std::span<const SettingField> SettingsSchema() {
  return kSchema;
}

std::string_view SeverityName(Severity severity) {
  return kSeverityNames[static_cast<size_t>(severity)];
}

std::string AllowedValues(const SettingField& field) {
  Settings defaults;
  return std::visit(DescribeAllowed{field}, field.member(defaults));
}

std::string PrintValue(const SettingRef& value) {
  if (const auto* const number = std::get_if<double*>(&value)) {
    return Decimal(**number);
  }
  return json::serialize(std::visit(ToJson{}, value));
}

std::string DocumentationRow(const SettingField& field) {
  Settings defaults;
  const std::string value =
      field.required ? "required" : PrintValue(field.member(defaults));
  return "| `" + std::string(field.path) + "` | " + AllowedValues(field) +
         " | " + value + " | " + std::string(field.doc) + " |";
}

}  // namespace basilsill
