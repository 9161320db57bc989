#ifndef BASILSILL_DECISION_SRC_CONFIGURATION_RECORD_H_
#define BASILSILL_DECISION_SRC_CONFIGURATION_RECORD_H_

#include <string_view>
#include <variant>
#include <vector>

#include "basilsill/decision/configuration.h"

/// The JSON form of the records of the configuration stream.

namespace basilsill {

/// A record that is neither a change nor a withdrawal; `verdict` says what it
/// is.
struct OtherRecord {
  RecordVerdict verdict = RecordVerdict::kMalformed;
};

struct ParsedRecord {
  std::variant<OtherRecord, Change, Withdrawal> content;
  /// Faults of the record. If only the body of a change has faults, `content`
  /// is still a Change.
  std::vector<Failure> failures;
};

ParsedRecord ParseRecord(std::string_view text);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SRC_CONFIGURATION_RECORD_H_
