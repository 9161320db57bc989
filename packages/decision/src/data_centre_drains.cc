#include "basilsill/decision/data_centre_drains.h"

#include <algorithm>
#include <utility>

#include "basilsill/base/limits.h"

namespace basilsill {

// Failure: a data centre is taken back, and the record that had drained it
// arrives once more, from a VM that tells what it has read a moment ago. It
// shows as a data centre without work that nobody drains. So what was taken
// back is remembered with its place, and only a later record drains it again,
// or a list, which has none but those that stand.
bool DataCentreDrains::OnRecord(uint64_t offset,
                                std::string_view data_centre,
                                bool drained) {
  if (this->listing && drained) {
    this->listed.emplace(data_centre);
  }
  const auto known = this->rows.find(data_centre);
  if (known == this->rows.end()) {
    if (!this->HasRoom()) {
      return false;
    }
    this->rows.emplace(data_centre, Row{offset, drained});
  } else {
    const uint64_t newest = known->second.offset;
    const bool counts = offset > newest || (offset == newest && this->listing);
    if (!counts) {
      return false;
    }
    known->second = {offset, drained};
  }
  const bool is_new = this->current.contains(data_centre) != drained;
  if (is_new) {
    this->Set(data_centre, drained);
  }
  return is_new;
}

void DataCentreDrains::BeginListing() {
  this->listing = true;
  this->listed.clear();
}

// A VM may be told the whole topic while its own list is on its way: then the
// listing has ended, and what came since is no part of it.
void DataCentreDrains::EndListing() {
  if (!std::exchange(this->listing, false)) {
    return;
  }
  for (auto& [data_centre, row] : this->rows) {
    if (row.drained && !this->listed.contains(data_centre)) {
      row.drained = false;
      this->Set(data_centre, false);
    }
  }
}

void DataCentreDrains::Set(std::string_view data_centre, bool drained) {
  if (drained) {
    this->current.emplace(data_centre);
  } else {
    this->current.erase(this->current.find(data_centre));
  }
  ++this->changes;
}

// Names come from the operator's keys, which nobody else bounds. Those that
// were taken back make room; what is drained is never forgotten.
bool DataCentreDrains::HasRoom() {
  if (this->rows.size() < limits::kMaxDataCentres) {
    return true;
  }
  const auto oldest =
      std::find_if(this->rows.begin(), this->rows.end(),
                   [](const auto& row) { return !row.second.drained; });
  if (oldest == this->rows.end()) {
    return false;
  }
  this->rows.erase(oldest);
  return true;
}

}  // namespace basilsill
