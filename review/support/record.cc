#include "record.h"

#include <cstdlib>

namespace review {

Record::Record(const std::string& path) : file(std::fopen(path.c_str(), "w")) {
  if (this->file == nullptr) {
    std::fprintf(stderr, "can't write %s\n", path.c_str());
    std::_Exit(2);
  }
}

int64_t Record::At(Clock::time_point time) const {
  return std::chrono::duration_cast<Milliseconds>(time - this->started).count();
}

void Record::Write(const std::string& line) {
  std::fprintf(this->file, "%7lld ms %s\n",
               static_cast<long long>(this->At(Clock::now())), line.c_str());
  std::fflush(this->file);
}

void Record::Note(const std::string& line) {
  const std::lock_guard lock(this->mutex);
  this->Write(line);
}

void Record::OnSent(const std::string& id, const std::string& path) {
  const std::lock_guard lock(this->mutex);
  Attempt& attempt = this->rows[id];
  attempt.path = path;
  attempt.is_sent = true;
  attempt.sent_at = Clock::now();
  this->Write("sent " + id + " " + path);
}

void Record::OnEnded(const std::string& id,
                     unsigned status,
                     const std::string& why) {
  const std::lock_guard lock(this->mutex);
  Attempt& attempt = this->rows[id];
  attempt.has_ended = true;
  attempt.ended_at = Clock::now();
  attempt.status = status;
  this->Write("answered " + id + " " + std::to_string(status) + " " + why);
}

void Record::OnRun(const std::string& id, const std::string& instance) {
  const std::lock_guard lock(this->mutex);
  Attempt& attempt = this->rows[id];
  attempt.runs.push_back(instance);
  attempt.is_running = true;
  this->Write("runs " + id + " at " + instance);
}

void Record::OnRunEnded(const std::string& id, const std::string& how) {
  const std::lock_guard lock(this->mutex);
  this->rows[id].is_running = false;
  this->Write("run ends " + id + " " + how);
}

std::map<std::string, Attempt> Record::attempts() {
  const std::lock_guard lock(this->mutex);
  return this->rows;
}

}  // namespace review
