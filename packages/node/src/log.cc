#include "basilsill/node/log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstring>
#include <fstream>
#include <semaphore>
#include <span>
#include <thread>
#include <utility>
#include <vector>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <boost/lockfree/queue.hpp>

#include "basilsill/base/time.h"
#include "log_format.h"
#include "log_limiter.h"

namespace basilsill {
namespace {

using LogTime = log4cplus::helpers::Time;

constexpr size_t kMaxPendingLines = 1024;
/// Interval of the events-suppressed reports. Also bounds the delay of a line
/// whose wake-up was missed.
constexpr std::chrono::seconds kReportInterval{1};
/// Time in UTC, severity, then the text from FormatLogLine.
constexpr char kLinePattern[] = "%d{%Y-%m-%dT%H:%M:%S.%q}Z %p %m%n";

/// log4cplus levels, indexed by Severity.
constexpr std::array kLevels = {
    log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
    log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};
static_assert(kLevels.size() == static_cast<size_t>(Severity::kCount));

/// A formatted line in the queue to the writing thread. Trivial, as the
/// lock-free queue requires.
struct PendingLine {
  LogTime::duration::rep time;
  Severity severity;
  uint16_t size;
  std::array<char, kMaxLogLineBytes> text;
};

using PendingLines =
    boost::lockfree::queue<PendingLine,
                           boost::lockfree::capacity<kMaxPendingLines>>;

LogTime Now() {
  return std::chrono::time_point_cast<LogTime::duration>(
      std::chrono::system_clock::now());
}

log4cplus::LogLevel LevelOf(Severity severity) {
  return kLevels[static_cast<size_t>(severity)];
}

log4cplus::SharedAppenderPtr MakeAppender(const LogOptions& options) {
  log4cplus::SharedAppenderPtr appender;
  if (options.file.empty()) {
    appender = new log4cplus::ConsoleAppender(
        /*logToStdErr=*/!options.to_standard_output, /*immediateFlush=*/true);
  } else {
    appender = new log4cplus::FileAppender(options.file, std::ios_base::app);
  }
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(kLinePattern));
  return appender;
}

PendingLine MakeLine(Event event, std::span<const LogField> fields) {
  PendingLine line;
  line.time = Now().time_since_epoch().count();
  line.severity = InfoOf(event).severity;
  line.size =
      static_cast<uint16_t>(FormatLogLine(event, fields, line.text).size());
  return line;
}

}  // namespace

/// Lines pass through a bounded lock-free queue to a dedicated writing thread.
/// The AsyncAppender of log4cplus is not used because it blocks the logging
/// thread when its queue is full, so that a stalled log file or pipe would
/// stall the traffic. Here a line that finds the queue full is dropped and
/// counted.
struct Logging::State {
  explicit State(const LogOptions& options)
      : level(options.level), appender(MakeAppender(options)) {
    for (size_t i = 0; i < AllEvents().size(); ++i) {
      this->limiters.push_back(
          std::make_unique<LogLimiter>(options.events_per_second));
    }
  }

  void Write(Event event, std::span<const LogField> fields) {
    const EventInfo& info = InfoOf(event);
    LogLimiter& limiter = this->LimiterOf(info);
    if (info.severity < this->level || !limiter.Admit(MonotonicClock::now())) {
      return;
    }
    if (!this->pending.bounded_push(MakeLine(event, fields))) {
      limiter.CountSuppressed();
    }
    this->Wake();
  }

  void Wake() {
    if (!this->woken.exchange(true)) {
      this->wake.release();
    }
  }

  /// Main loop of the writing thread.
  void Run() {
    TimePoint next_report = MonotonicClock::now() + kReportInterval;
    while (!this->stopping.load()) {
      if (this->wake.try_acquire_for(kReportInterval)) {
        this->woken.store(false);
      }
      this->WritePending();
      const TimePoint now = MonotonicClock::now();
      if (now >= next_report) {
        this->ReportSuppressed();
        next_report = now + kReportInterval;
      }
    }
    this->WritePending();
    this->ReportSuppressed();
    this->appender->close();
  }

  LogLimiter& LimiterOf(const EventInfo& info) {
    return *this->limiters[static_cast<size_t>(&info - AllEvents().data())];
  }

  void WritePending() {
    this->pending.consume_all(
        [this](const PendingLine& line) { this->Append(line); });
  }

  void ReportSuppressed() {
    for (const EventInfo& info : AllEvents()) {
      const uint64_t count = this->LimiterOf(info).TakeSuppressed();
      if (count > 0) {
        const std::array<LogField, 2> fields = {LogField("event", info.name),
                                                LogField("count", count)};
        this->Append(MakeLine(Event::kEventsSuppressed, fields));
      }
    }
  }

  void Append(const PendingLine& line) {
    const log4cplus::spi::InternalLoggingEvent event(
        "basilsill", LevelOf(line.severity), {}, {},
        {line.text.data(), line.size}, {}, {},
        LogTime(LogTime::duration(line.time)), {}, 0);
    this->appender->doAppend(event);
  }

  const Severity level;
  log4cplus::SharedAppenderPtr appender;
  /// One for each event, in the order of AllEvents().
  std::vector<std::unique_ptr<LogLimiter>> limiters;
  PendingLines pending;
  std::atomic<bool> woken{false};
  std::atomic<bool> stopping{false};
  std::binary_semaphore wake{0};
  std::thread writer;

  /// The running instance, which `Log` uses; null if there is none.
  static inline std::atomic<State*> running{nullptr};
};

Result<std::unique_ptr<Logging>> Logging::Start(const LogOptions& options) {
  if (!options.file.empty() &&
      !std::ofstream(options.file, std::ios_base::app)) {
    return Failure{FailureKind::kUnreadable, options.file,
                   "the log file can't be opened for writing"};
  }
  // Never deinitialized: destroying a log4cplus Initializer leaves the library
  // unusable for a second Logging in the process, which tests need. ~Logging
  // writes the pending lines and closes the appender.
  log4cplus::initialize();
  auto state = std::make_unique<State>(options);
  State* expected = nullptr;
  if (!State::running.compare_exchange_strong(expected, state.get())) {
    return Failure{FailureKind::kInUse, options.file,
                   "the process already has a running log"};
  }
  state->writer = std::thread(&State::Run, state.get());
  return std::unique_ptr<Logging>(new Logging(std::move(state)));
}

Logging::Logging(std::unique_ptr<State> state) : state(std::move(state)) {}

Logging::~Logging() {
  State::running.store(nullptr);
  this->state->stopping.store(true);
  this->state->Wake();
  this->state->writer.join();
}

void Logging::Write(Event event, std::span<const LogField> fields) {
  if (State* const state = State::running.load(std::memory_order_acquire)) {
    state->Write(event, fields);
  }
}

void Log(Event event, std::initializer_list<LogField> fields) {
  Logging::Write(event, {fields.begin(), fields.size()});
}

}  // namespace basilsill
