#ifndef BASILSILL_SOAK_CALLERS_H_
#define BASILSILL_SOAK_CALLERS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <pcg_random.hpp>

#include "fake_caller.h"
#include "fleet.h"
#include "observations.h"

/// The emulated callers of a soak. A caller reuses its connection while it
/// works, sometimes pipelines requests, sometimes disconnects before the
/// response, and either honours Retry-After or retries immediately.

namespace basilsill::soak {

/// @returns the API key that the configuration declares for `team`.
std::string KeyOf(SoakTeam team);

struct CallersOptions {
  size_t callers = 0;
  uint64_t seed = 0;
  std::chrono::milliseconds request_deadline{2500};  ///< Of every request.
};

class Callers {
 public:
  Callers(boost::asio::io_context& io,
          const Fleet& fleet,
          const CallersOptions& options,
          Observations& observations);

  void Start();

  /// Callers finish their open requests and start no new ones.
  void Stop() { this->stopped = true; }

 private:
  /// One caller, with its own random number generator.
  struct Caller {
    pcg32 random;
    size_t number = 0;
    uint64_t sent = 0;
  };

  /// A request and the index of its row in Observations::requests.
  struct Sent {
    adapter::test::CallerRequest request;
    size_t row = 0;
  };

  boost::asio::awaitable<void> RunCaller(Caller caller);
  /// @returns false if the connection can't be reused.
  boost::asio::awaitable<bool> SendOne(Caller& caller,
                                       adapter::test::FakeCaller& connection,
                                       size_t node);
  boost::asio::awaitable<bool> SendPipelined(
      Caller& caller,
      adapter::test::FakeCaller& connection,
      size_t node);
  boost::asio::awaitable<bool> Send(adapter::test::FakeCaller& connection,
                                    const Sent& sent);
  boost::asio::awaitable<bool> Receive(Caller& caller,
                                       adapter::test::FakeCaller& connection,
                                       const Sent& sent);
  boost::asio::awaitable<void> DisconnectEarly(
      Caller& caller,
      adapter::test::FakeCaller& connection,
      const Sent& sent);
  Sent AddRequest(Caller& caller, size_t node, bool only_safe);
  void Finish(size_t row, RequestOutcome outcome);

  boost::asio::io_context& io;
  const Fleet& fleet;
  CallersOptions options;
  Observations& observations;
  bool stopped = false;
};

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_CALLERS_H_
