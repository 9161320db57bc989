#ifndef BASILSILL_CTL_PLATFORM_SERVER_H_
#define BASILSILL_CTL_PLATFORM_SERVER_H_

#include <memory>

#include "basilsill/base/endpoint.h"
#include "basilsill/base/error.h"
#include "basilsill/ctl/platform_state.h"

/// HTTP server of the emulated platform, for `basilsillctl platform` and tests.

namespace boost::asio {
class io_context;
}

namespace basilsill::ctl {

/// Serves the platform's HTTP calls on its io_context. Not thread-safe: every
/// method must be called on the thread that runs the io_context. The
/// destructor stops the server.
class PlatformServer {
 public:
  /// Starts listening.
  /// @param endpoint With port 0 the kernel chooses the port.
  /// @returns kNetwork if the endpoint can't be listened on.
  static Result<PlatformServer> Listen(boost::asio::io_context& io,
                                       const Endpoint& endpoint,
                                       const PlatformFaults& faults = {});
  PlatformServer(PlatformServer&& other) noexcept;
  PlatformServer& operator=(PlatformServer&& other) noexcept;
  ~PlatformServer();

  /// @returns the address and the port that the server listens on.
  Endpoint endpoint() const;

  /// @returns the current state, read-only.
  const PlatformState& state() const;

  /// Has the effect of `PUT /faults`, with all fields given.
  void SetFaults(const PlatformFaults& faults);

  /// Has the effect of `PUT /vms/{name}`.
  void PutVm(ListedVm vm);

  /// Has the effect of `DELETE /vms/{name}`.
  void RemoveVm(const std::string& name);

  /// Appends like `POST /log/{stream}`, but injects no faults and counts
  /// nothing in the stats. The retention applies.
  /// @returns the offset of the first record.
  uint64_t Append(const std::string& stream, std::vector<std::string> bodies);

  /// Stops listening and closes all connections without completing answers.
  void Stop();

 private:
  struct Service;

  explicit PlatformServer(std::unique_ptr<Service> started);

  std::unique_ptr<Service> service;
};

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_PLATFORM_SERVER_H_
