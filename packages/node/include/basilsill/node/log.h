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

/// Structured log of the process. Each event has a number and makes one line. A
/// dedicated thread writes the lines through log4cplus, so that logging never
/// blocks the calling thread. Any thread may log.

namespace basilsill {

/// One `name=value` field of a line. Does not own its text, which must stay
/// valid until Log returns.
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

/// Logs one event. Does nothing if no `Logging` is running or the event is
/// below its level. Never blocks: lines are dropped and counted if the queue to
/// the writing thread is full or the event exceeds its rate limit. The count is
/// logged as an events-suppressed event.
void Log(Event event, std::initializer_list<LogField> fields);

struct LogOptions {
  Severity level = Severity::kInfo;
  std::string file;                 ///< Empty: write to a standard stream.
  uint32_t events_per_second = 20;  ///< Rate limit and burst of each event.
  bool to_standard_output = false;  ///< Else to standard error.
};

/// Runs the log of the process; at most one instance exists at a time. The
/// destructor writes all pending lines. Every thread that logs must have ended
/// before it runs.
class Logging {
 public:
  /// @returns kUnreadable if the file can't be opened for writing, kInUse if an
  /// instance is already running.
  static Result<std::unique_ptr<Logging>> Start(const LogOptions& options);
  ~Logging();
  Logging(const Logging&) = delete;
  Logging& operator=(const Logging&) = delete;

  /// Implements `Log`.
  static void Write(Event event, std::span<const LogField> fields);

 private:
  struct State;
  explicit Logging(std::unique_ptr<State> state);

  std::unique_ptr<State> state;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_LOG_H_
