#ifndef BASILSILL_BASE_LOG_RECORD_H_
#define BASILSILL_BASE_LOG_RECORD_H_

#include <cstdint>
#include <string>

namespace basilsill {

/// One record of a stream of the platform's log.
struct LogRecord {
  uint64_t offset = 0;
  std::string body;
};

}  // namespace basilsill

#endif  // BASILSILL_BASE_LOG_RECORD_H_
