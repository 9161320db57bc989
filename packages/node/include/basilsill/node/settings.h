#ifndef BASILSILL_NODE_SETTINGS_H_
#define BASILSILL_NODE_SETTINGS_H_

#include <bitset>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "basilsill/base/error.h"
#include "basilsill/base/event.h"
#include "basilsill/base/limits.h"
#include "basilsill/decision/view.h"

/// The settings of a node: one JSON file, with comments allowed. A file with
/// any fault is rejected. docs/SETTINGS.md documents the settings. Parsing,
/// checking, printing and that page are generated from the schema
/// (settings_schema.cc), which has one row per setting.

namespace basilsill {

/// Identity of this VM.
struct VmSettings {
  std::string name;         ///< As in the platform's VM list.
  std::string data_centre;  ///< Data centre that the VM runs in.
  std::string address;      ///< IP address that all ports listen on.
  /// CPU capacity in thousandths of a core; 0 if unknown. It can't be set in a
  /// settings file. VMs with more capacity work for VMs with less.
  uint32_t capacity = 0;
};

/// Ports; with 0 the kernel chooses.
struct ListenSettings {
  uint16_t callers = 8080;
  uint16_t control = 8081;  ///< Links between control threads of VMs.
  uint16_t admin = 8082;    ///< Health, metrics and the resource API.
  uint16_t links = 0;       ///< Worker i listens on `links` + i.
};

struct PlatformSettings {
  std::vector<Endpoint> endpoints;  ///< Tried in turn.
  std::chrono::milliseconds call_timeout{2000};
};

struct ThreadSettings {
  uint32_t traffic = 1;
};

/// Limits that an operator may change. Sizes are in bytes.
struct LimitSettings {
  uint64_t header_bytes = limits::kMaxHeaderBytes;
  uint64_t body_bytes = limits::kMaxBodyBytes;
  uint32_t caller_connections = limits::kMaxCallerConnections;  ///< Per VM.
  std::chrono::milliseconds caller_idle = limits::kCallerIdleTimeout;
  /// Longest time from the first byte of a request to the last byte of its
  /// answer.
  std::chrono::milliseconds request_total = limits::kMaxDeadline;
  /// Deadline of requests for which neither caller nor rule sets one.
  std::chrono::milliseconds default_deadline = limits::kDefaultDeadline;
  std::chrono::milliseconds upstream_connect = limits::kUpstreamConnectTimeout;
  std::chrono::milliseconds upstream_first_byte{30000};
  std::chrono::milliseconds upstream_idle = limits::kUpstreamIdleTimeout;
  /// Idle upstream connections kept by one worker.
  uint32_t upstream_idle_connections = 256;
  std::chrono::milliseconds link_connect{1000};
};

struct ShutdownSettings {
  /// Delay between failing readiness and closing the callers port.
  std::chrono::milliseconds ready_delay{2000};
  /// Requests still in flight this long after the start of the shutdown are
  /// aborted.
  std::chrono::milliseconds limit{60000};
};

struct LogSettings {
  Severity level = Severity::kInfo;
  std::string file;                 ///< Empty for standard error.
  uint32_t events_per_second = 20;  ///< Rate limit on the lines of one event.
};

struct MeasuringSettings {
  /// Rate limit on the probes of all VMs together.
  double probes_per_second_fleet = 10;
};

struct RetrySettings {
  double budget_ratio = 0.1;  ///< Retries per request, per team and service.
  double hedge_ratio = 0.02;  ///< Hedged attempts per request.
};

struct OnceSettings {
  /// How long an idempotency key is remembered; older keys are refused.
  std::chrono::milliseconds window = limits::kClaimWindow;
  /// How long claims are batched before one append.
  std::chrono::milliseconds batch{5};
  uint64_t kept_answer_bytes = limits::kMaxStoredResponseBytes;
};

struct PolicySettings {
  /// Names of disabled mechanisms, separated by commas.
  std::string without;
};

/// Capacity of the schema, in rows.
inline constexpr size_t kMaxSettingsFields = 64;

struct Settings {
  std::string tenant;
  VmSettings vm;
  ListenSettings listen;
  PlatformSettings platform;
  ThreadSettings threads;
  LimitSettings limits;
  ShutdownSettings shutdown;
  LogSettings log;
  MeasuringSettings measuring;
  RetrySettings retries;
  OnceSettings once;
  PolicySettings policy;

  /// Rows of the schema that the file sets; the others have defaults.
  std::bitset<kMaxSettingsFields> from_file;
};

/// Parses and checks the text of a settings file.
/// @returns the settings, or all faults, each with its path as a JSON pointer,
/// what was found and what is allowed.
CheckedResult<Settings> ParseSettings(std::string_view text);

/// Reads and parses a settings file. Fails with kUnreadable if it can't be
/// read.
CheckedResult<Settings> LoadSettings(const std::string& path);

/// @returns the effective settings as a settings file. A comment on each line
/// says whether the value comes from the file or is a default.
std::string PrintSettings(const Settings& settings);

}  // namespace basilsill

#endif  // BASILSILL_NODE_SETTINGS_H_
