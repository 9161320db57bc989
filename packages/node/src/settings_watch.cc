#include "settings_watch.h"

#include <utility>

namespace basilsill {

SettingsWatch::SettingsWatch(boost::asio::io_context& context,
                             std::string path,
                             std::function<void()> on_change,
                             std::chrono::milliseconds interval)
    : timer(context),
      path(std::move(path)),
      on_change(std::move(on_change)),
      interval(interval),
      last_stamp(this->ReadStamp()) {}

void SettingsWatch::Start() {
  this->timer.expires_after(this->interval);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->Check();
      this->Start();
    }
  });
}

std::optional<SettingsWatch::Stamp> SettingsWatch::ReadStamp() const {
  std::error_code failed;
  Stamp stamp;
  stamp.written = std::filesystem::last_write_time(this->path, failed);
  if (!failed) {
    stamp.size = std::filesystem::file_size(this->path, failed);
  }
  return failed ? std::nullopt : std::optional<Stamp>(stamp);
}

// Failure: while the file is being replaced, it is missing for a moment. That
// is not reported as a change; the file that replaces it is.
void SettingsWatch::Check() {
  const std::optional<Stamp> current = this->ReadStamp();
  if (!current || current == this->last_stamp) {
    return;
  }
  this->last_stamp = current;
  this->on_change();
}

}  // namespace basilsill
