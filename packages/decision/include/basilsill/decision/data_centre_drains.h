#ifndef BASILSILL_DECISION_DATA_CENTRE_DRAINS_H_
#define BASILSILL_DECISION_DATA_CENTRE_DRAINS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "basilsill/base/log_position.h"

/// The data centres that the operator drains. The platform keeps one record for
/// each data centre for as long as it is drained. Pure.
///
/// Records come from reads, listings and other VMs, possibly several times and
/// in any order; for each data centre the latest record counts. If the store
/// has dropped a removal record, only a complete listing shows the removal,
/// because the data centre is missing from it.

namespace basilsill {

class DataCentreDrains {
 public:
  /// Applies the record at `position`, which drains `data_centre` or ends its
  /// drain.
  /// @returns true if this changed `drained()`; false if the state was known or
  /// a newer record is known.
  bool OnRecord(LogPosition position,
                std::string_view data_centre,
                bool drained);

  /// Mark the start and end of a complete listing. The drain of a data centre
  /// for which no record arrives between the two calls ends.
  void BeginListing();
  void EndListing();

  /// Ends a listing that is incomplete or of a copy; no drain ends.
  void CancelListing() { this->listing = false; }

  const std::set<std::string, std::less<>>& drained() const {
    return this->current;
  }

  /// Number of changes of `drained()`.
  uint64_t version() const { return this->changes; }

 private:
  struct Row {
    LogPosition position;
    bool drained = false;
  };

  void Set(std::string_view data_centre, bool drained);
  bool HasRoom();

  std::map<std::string, Row, std::less<>> rows;  // Including ended drains.
  std::set<std::string, std::less<>> current;
  std::set<std::string, std::less<>> listed;
  bool listing = false;
  uint64_t changes = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_DATA_CENTRE_DRAINS_H_
