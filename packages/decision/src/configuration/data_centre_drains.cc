#include "basilsill/decision/data_centre_drains.h"

#include <algorithm>
#include <utility>

#include "basilsill/base/limits.h"

namespace basilsill {

// Failure: after a drain has ended, a relay VM delivers the older record that
// had started it. The data centre would get no work although nobody drains it.
// So the position of an ended drain is kept, and only a later record or a
// listing, which contains current records only, drains the data centre again.
bool DataCentreDrains::OnRecord(LogPosition position,
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
    this->rows.emplace(data_centre, Row{position, drained});
  } else {
    const LogPosition newest = known->second.position;
    const bool counts =
        position > newest || (position == newest && this->listing);
    if (!counts) {
      return false;
    }
    known->second = {position, drained};
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

// While this VM lists the topic, another VM may send it the whole topic, which
// ends the listing. Records that arrive afterwards are not part of it, so a
// second EndListing has no effect.
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

// Names come from keys that the operator writes, and their number is unbounded.
// Entries of ended drains are evicted when the table is full; drained data
// centres never are.
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
