#ifndef BASILSILL_NODE_LOG_H_
#define BASILSILL_NODE_LOG_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "basilsill/base/error.h"
#include "basilsill/base/event.h"
#include "basilsill/base/reason.h"

/// The log: numbered events, one line each, written through log4cplus by a
/// thread of its own. Callable from every thread; never waits.

namespace basilsill {

/// One `name=value` of a line. Refers to its text only until Log returns.
struct LogField {
  using Value = std::variant<int64_t, uint64_t, double, bool, std::string_view>;

  std::string_view name;
  Value value;

  template <std::signed_integral T>
  LogField(std::string_view name, T value)
      : name(name), value(static_cast<int64_t>(value)) {}
  template <std::unsigned_integral T>
  requires(!std::same_as<T, bool>) LogField(std::string_view name, T value)
      : name(name), value(static_cast<uint64_t>(value)) {}
  LogField(std::string_view name, bool value) : name(name), value(value) {}
  LogField(std::string_view name, double value) : name(name), value(value) {}
  LogField(std::string_view name, std::string_view value)
      : name(name), value(value) {}
  LogField(std::string_view name, const std::string& value)
      : name(name), value(std::string_view(value)) {}
  LogField(std::string_view name, const char* value)
      : name(name), value(std::string_view(value)) {}
  LogField(std::string_view name, Refusal value)
      : name(name), value(InfoOf(value).name) {}
  LogField(std::string_view name, Retry value)
      : name(name), value(NameOf(value)) {}
  LogField(std::string_view name, FailureKind value)
      : name(name), value(FailureName(value)) {}
};

/// Writes one event. Without a started `Logging`, or below its level, nothing
/// is written. Never blocks: when lines come faster than they can be written,
/// or one event above its rate, they are left out and counted, and a line
/// events-suppressed tells the count.
void Log(Event event, std::initializer_list<LogField> fields);

struct LogOptions {
  Severity level = Severity::kInfo;
  std::string file;                 ///< Empty for a standard stream.
  uint32_t events_per_second = 20;  ///< Of one event, with as large a burst.
  bool to_standard_output = false;  ///< Instead of standard error.
};

/// The running log of the process; at most one exists at a time. Its
/// destructor writes out what is pending; threads that log have ended by then.
class Logging {
 public:
  /// @returns kUnreadable if the file can't be written, kInUse if the process
  /// has a running log already.
  static Result<std::unique_ptr<Logging>> Start(const LogOptions& options);
  ~Logging();
  Logging(const Logging&) = delete;
  Logging& operator=(const Logging&) = delete;

  /// What `Log` does.
  static void Write(Event event, std::span<const LogField> fields);

 private:
  struct State;
  explicit Logging(std::unique_ptr<State> state);

  std::unique_ptr<State> state;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_LOG_H_
