#ifndef BASILSILL_SOAK_UPSTREAMS_H_
#define BASILSILL_SOAK_UPSTREAMS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "fake_store.h"
#include "fake_upstream.h"
#include "observations.h"
#include "plan.h"
#include "proxy.h"

/// The upstreams of a soak: their entries in the store, their ends and new
/// starts, and the network before each.

namespace basilsill::soak {

/// Services by number, as observations have them.
const std::vector<std::string>& ServiceNames();

/// The same of data centres.
const std::vector<std::string>& DataCentreNames();

class Upstreams {
 public:
  Upstreams(boost::asio::io_context& io,
            adapter::test::FakeStore& store,
            Observations& seen,
            uint64_t seed);

  /// Carries out a fault of an upstream or of the way to it.
  boost::asio::awaitable<void> Harm(const Step& step);

  void Stop();

 private:
  /// A place that one instance after the other stands at, behind one proxy.
  struct Place {
    size_t service = 0;
    size_t data_centre = 0;
    size_t number = 0;  ///< Of the instance that stands there now.
    std::unique_ptr<adapter::test::FakeUpstream> instance;
    std::unique_ptr<Proxy> proxy;
    bool is_busy = false;  ///< Between two instances.
  };

  void StartInstance(Place& place);
  void Write(const Place& place, const std::string& state);
  boost::asio::awaitable<void> Crash(Place& place, const Step& step);
  boost::asio::awaitable<void> Leave(Place& place);
  boost::asio::awaitable<void> Misbehave(Place& place, const Step& step);
  boost::asio::awaitable<void> HarmLink(Place& place, const Step& step);
  boost::asio::awaitable<void> BeCold(Place& place, const Step& step);
  boost::asio::awaitable<void> NameLimit(Place& place, const Step& step);

  boost::asio::io_context& io;
  adapter::test::FakeStore& store;
  Observations& seen;
  uint64_t seed;
  size_t started = 0;
  std::vector<std::unique_ptr<Place>> places;
  bool stopped = false;
};

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_UPSTREAMS_H_
