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

/// The callers of a soak. They keep connections for as long as these work, send
/// several requests at once, leave early, and come back at once or as told.

namespace basilsill::soak {

/// @returns the API key of `team`.
std::string KeyOf(SoakTeam team);

struct CallersOptions {
  size_t callers = 0;
  uint64_t seed = 0;
  std::chrono::milliseconds patience{2500};  ///< Their deadline.
};

class Callers {
 public:
  Callers(boost::asio::io_context& io,
          const Fleet& fleet,
          const CallersOptions& options,
          Observations& seen);

  void Start();

  /// No further requests are begun.
  void Stop() { this->stopped = true; }

 private:
  /// One caller: its own source of random numbers.
  struct Caller {
    pcg32 random;
    size_t number = 0;
    uint64_t sent = 0;
  };

  /// A request, and where it stands in the table.
  struct Sent {
    adapter::test::CallerRequest request;
    size_t row = 0;
  };

  boost::asio::awaitable<void> Live(Caller caller);
  /// @returns false if the connection is of no use any more.
  boost::asio::awaitable<bool> AskOnce(Caller& caller,
                                       adapter::test::FakeCaller& connection,
                                       size_t node);
  boost::asio::awaitable<bool> AskSeveral(Caller& caller,
                                          adapter::test::FakeCaller& connection,
                                          size_t node);
  boost::asio::awaitable<bool> Send(adapter::test::FakeCaller& connection,
                                    const Sent& sent);
  boost::asio::awaitable<bool> Receive(Caller& caller,
                                       adapter::test::FakeCaller& connection,
                                       const Sent& sent);
  boost::asio::awaitable<void> LeaveEarly(Caller& caller,
                                          adapter::test::FakeCaller& connection,
                                          const Sent& sent);
  Sent MakeRequest(Caller& caller, size_t node, bool only_safe);
  void Finish(size_t row, Ending ending);

  boost::asio::io_context& io;
  const Fleet& fleet;
  CallersOptions options;
  Observations& seen;
  bool stopped = false;
};

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_CALLERS_H_
