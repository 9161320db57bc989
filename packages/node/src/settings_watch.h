#ifndef BASILSILL_NODE_SETTINGS_WATCH_H_
#define BASILSILL_NODE_SETTINGS_WATCH_H_

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

/// Detects that a file was written or replaced, for a settings file that
/// changes without a signal. It polls the file: not every system notifies of
/// changes, and no setting is urgent.

namespace basilsill {

class SettingsWatch {
 public:
  static constexpr std::chrono::milliseconds kUsualInterval{2000};

  /// @param on_change Called on the thread of `context`.
  SettingsWatch(boost::asio::io_context& context,
                std::string path,
                std::function<void()> on_change,
                std::chrono::milliseconds interval = kUsualInterval);

  void Start();

 private:
  /// Identifies a version of the file.
  struct Stamp {
    std::filesystem::file_time_type written;
    uintmax_t size = 0;

    friend bool operator==(const Stamp&, const Stamp&) = default;
  };

  std::optional<Stamp> ReadStamp() const;
  void Check();

  boost::asio::steady_timer timer;
  std::string path;
  std::function<void()> on_change;
  std::chrono::milliseconds interval;
  std::optional<Stamp> last_stamp;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_SETTINGS_WATCH_H_
