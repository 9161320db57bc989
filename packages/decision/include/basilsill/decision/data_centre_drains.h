#ifndef BASILSILL_DECISION_DATA_CENTRE_DRAINS_H_
#define BASILSILL_DECISION_DATA_CENTRE_DRAINS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

/// Which data centres the operator drains, where the platform keeps a record
/// for each as long as it is drained. Pure.
///
/// Records come from reads, from lists and from other VMs, more than once and
/// in any order; the one that stands last in the platform's order counts. A
/// record that was taken away may leave no trace but that a whole list does
/// not have it.

namespace basilsill {

class DataCentreDrains {
 public:
  /// The record at `offset` drains `data_centre`, or takes it back.
  /// @returns false if that was known, or something newer is.
  bool OnRecord(uint64_t offset, std::string_view data_centre, bool drained);

  /// All records are being read anew. A data centre that is not among those
  /// between these two calls is taken back.
  void BeginListing();
  void EndListing();

  const std::set<std::string, std::less<>>& drained() const {
    return this->current;
  }

  /// Counts changes of `drained`.
  uint64_t version() const { return this->changes; }

 private:
  struct Row {
    uint64_t offset = 0;
    bool drained = false;
  };

  void Set(std::string_view data_centre, bool drained);
  bool HasRoom();

  std::map<std::string, Row, std::less<>> rows;  // Also of those taken back.
  std::set<std::string, std::less<>> current;
  std::set<std::string, std::less<>> listed;
  bool listing = false;
  uint64_t changes = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_DATA_CENTRE_DRAINS_H_
