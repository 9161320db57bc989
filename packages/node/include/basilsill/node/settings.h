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

/// The settings of a node: one JSON file, with comments allowed, read once at
/// the start and checked whole. docs/SETTINGS.md is the page of them. Each
/// member here has one row in the schema (settings_schema.cc), from which
/// parsing, checking, printing and the page are made.

namespace basilsill {

/// Who this VM is.
struct VmSettings {
  std::string name;         ///< As it stands in the platform's VM list.
  std::string data_centre;  ///< Where it runs.
  std::string address;      ///< IP number that all ports listen on.
  /// Thousandths of a core that it may use; 0: not known, as in files. VMs
  /// that have more work for those that have less.
  uint32_t capacity = 0;
};

/// Ports; 0 lets the kernel choose.
struct ListenSettings {
  uint16_t callers = 8080;
  uint16_t control = 8081;  ///< Links to other VMs' control threads.
  uint16_t admin = 8082;    ///< Health, metrics and the resource API.
  uint16_t links = 0;       ///< Worker i listens on this port plus i.
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
  /// Longest time that one whole exchange with a caller may take.
  std::chrono::milliseconds request_total = limits::kMaxDeadline;
  /// For requests whose caller and rule name no deadline.
  std::chrono::milliseconds default_deadline = limits::kDefaultDeadline;
  std::chrono::milliseconds upstream_connect = limits::kUpstreamConnectTimeout;
  std::chrono::milliseconds upstream_first_byte{30000};
  std::chrono::milliseconds upstream_idle = limits::kUpstreamIdleTimeout;
  /// Idle upstream connections kept by one worker.
  uint32_t upstream_idle_connections = 256;
  std::chrono::milliseconds link_connect{1000};
};

struct ShutdownSettings {
  /// Between failing readiness and closing the caller port.
  std::chrono::milliseconds ready_delay{2000};
  /// After this, what is still in flight is cut off.
  std::chrono::milliseconds limit{60000};
};

struct LogSettings {
  Severity level = Severity::kInfo;
  std::string file;                 ///< Empty for standard error.
  uint32_t events_per_second = 20;  ///< Lines of one event before a limit.
};

struct MeasuringSettings {
  /// Probes that all VMs together may send.
  double probes_per_second_fleet = 10;
};

struct RetrySettings {
  double budget_ratio = 0.1;  ///< Retries per request, per team and service.
  double hedge_ratio = 0.02;  ///< Hedged attempts per request.
};

struct OnceSettings {
  /// How long a key is known; older ones are refused.
  std::chrono::milliseconds window = limits::kClaimWindow;
  /// Claims are gathered for this long before one append.
  std::chrono::milliseconds batch{5};
  uint64_t kept_answer_bytes = limits::kMaxKeptAnswerBytes;
};

struct PolicySettings {
  /// Mechanisms that are switched off, their names separated by commas.
  std::string without;
};

/// Most rows that the schema can hold.
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

  /// Which rows of the schema the file gave; the others are defaults.
  std::bitset<kMaxSettingsFields> from_file;
};

/// Parses and checks a whole settings text.
/// @returns the settings, or every fault found: its path as a JSON pointer,
/// what was found and what is allowed.
CheckedResult<Settings> ParseSettings(std::string_view text);

/// Reads and parses a settings file; an unreadable one is a failure.
CheckedResult<Settings> LoadSettings(const std::string& path);

/// @returns the effective settings as a settings file, with a comment at each
/// line that tells whether it comes from the file or is a default.
std::string PrintSettings(const Settings& settings);

}  // namespace basilsill

#endif  // BASILSILL_NODE_SETTINGS_H_
