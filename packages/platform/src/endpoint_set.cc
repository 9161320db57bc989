#include "basilsill/platform/endpoint_set.h"

#include <algorithm>
#include <utility>

#include <boost/random/uniform_int_distribution.hpp>

namespace basilsill {

using std::chrono::milliseconds;

EndpointSet::EndpointSet(std::vector<Endpoint> endpoints,
                         BackoffSettings limits,
                         uint64_t seed)
    : settings(limits), random(seed) {
  for (Endpoint& endpoint : endpoints) {
    Row row;
    row.endpoint = std::move(endpoint);
    this->rows.push_back(std::move(row));
  }
}

std::optional<size_t> EndpointSet::Choose(
    TimePoint now,
    const std::vector<bool>& tried) const {
  for (size_t i = 0; i < this->rows.size(); ++i) {
    const size_t position = (this->preferred + i) % this->rows.size();
    if (!tried.at(position) && this->rows[position].backoff_until <= now) {
      return position;
    }
  }
  return std::nullopt;
}

TimePoint EndpointSet::NextAvailableAt(TimePoint now) const {
  TimePoint first = kNever;
  for (const Row& row : this->rows) {
    first = std::min(first, std::max(now, row.backoff_until));
  }
  return first;
}

void EndpointSet::ReportAnswer(size_t position) {
  Row& row = this->rows.at(position);
  row.backoff = milliseconds(0);
  row.backoff_until = TimePoint::min();
  this->preferred = position;
}

void EndpointSet::ReportFailure(size_t position, TimePoint now) {
  Row& row = this->rows.at(position);
  row.backoff =
      std::clamp(row.backoff * 2, this->settings.min, this->settings.max);
  boost::random::uniform_int_distribution<int64_t> upper_half(
      row.backoff.count() / 2, row.backoff.count());
  row.backoff_until = now + milliseconds(upper_half(this->random));
}

const Endpoint& EndpointSet::At(size_t position) const {
  return this->rows.at(position).endpoint;
}

}  // namespace basilsill
