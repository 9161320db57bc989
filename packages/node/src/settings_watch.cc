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
      known(this->Look()) {}

void SettingsWatch::Start() {
  this->timer.expires_after(this->interval);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->Check();
      this->Start();
    }
  });
}

std::optional<SettingsWatch::Stamp> SettingsWatch::Look() const {
  std::error_code failed;
  Stamp stamp;
  stamp.written = std::filesystem::last_write_time(this->path, failed);
  if (!failed) {
    stamp.size = std::filesystem::file_size(this->path, failed);
  }
  return failed ? std::nullopt : std::optional<Stamp>(stamp);
}

// Failure: the file is replaced, and for a moment there is none. That is no
// change of settings; what comes in its place is.
void SettingsWatch::Check() {
  const std::optional<Stamp> now = this->Look();
  if (!now || now == this->known) {
    return;
  }
  this->known = now;
  this->on_change();
}

}  // namespace basilsill
