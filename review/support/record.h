#ifndef BASILSILL_REVIEW_SUPPORT_RECORD_H_
#define BASILSILL_REVIEW_SUPPORT_RECORD_H_

#include <cstdio>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "net.h"

/// What clients have sent and got, and what instances have run. It is written
/// to record.txt while it happens.

namespace review {

/// One client attempt.
struct Attempt {
  std::string path;
  bool is_sent = false;
  Clock::time_point sent_at;
  bool has_ended = false;
  Clock::time_point ended_at;
  /// Status of the whole answer; 0: the connection ended without one.
  unsigned status = 0;
  std::vector<std::string> runs;  ///< The instances that have run it.
  bool is_running = false;
};

class Record {
 public:
  explicit Record(const std::string& path);

  /// Writes a line that begins with the time.
  void Note(const std::string& line);

  void OnSent(const std::string& id, const std::string& path);
  void OnEnded(const std::string& id, unsigned status, const std::string& why);
  void OnRun(const std::string& id, const std::string& instance);
  void OnRunEnded(const std::string& id, const std::string& how);

  std::map<std::string, Attempt> attempts();
  Clock::time_point start() const { return this->started; }
  /// @returns the milliseconds from the start until `time`.
  int64_t At(Clock::time_point time) const;

 private:
  void Write(const std::string& line);

  std::mutex mutex;
  std::FILE* file;
  Clock::time_point started = Clock::now();
  std::map<std::string, Attempt> rows;
};

}  // namespace review

#endif  // BASILSILL_REVIEW_SUPPORT_RECORD_H_
