#ifndef BASILSILL_SOAK_UPSTREAMS_H_
#define BASILSILL_SOAK_UPSTREAMS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "client_ports.h"
#include "fake_store.h"
#include "fake_upstream.h"
#include "observations.h"
#include "plan.h"
#include "proxy.h"

/// The emulated upstreams of a soak: their entries in the store, their stops
/// and restarts, and the proxy in front of each.

namespace basilsill::soak {

/// Names of the services, indexed as in Observations.
const std::vector<std::string>& ServiceNames();

/// Names of the data centres, indexed as in Observations.
const std::vector<std::string>& DataCentreNames();

class Upstreams {
 public:
  /// @param usual Behaviour of instances without a fault.
  Upstreams(boost::asio::io_context& io,
            adapter::test::FakeStore& store,
            Observations& observations,
            uint64_t seed,
            const adapter::test::FakeUpstreamBehaviour& usual);

  /// Injects a fault into an upstream or its proxy. Does nothing if the target
  /// already has a fault.
  boost::asio::awaitable<void> InjectFault(const Step& step);

  /// State of a connection from a node to an upstream.
  using ClientLink = std::function<LinkState(const ConnectionPorts& ports)>;

  /// Applies to new connections.
  void SetClientLinks(const ClientLink& link);

  /// Applies to open connections.
  /// @param resets Resets those that are refused.
  void ApplyClientLinks(const ClientLink& link, bool resets);

  /// The store was restored from a copy: all upstreams that run write their
  /// entries again, and the store removes the others when they expire.
  boost::asio::awaitable<void> WriteEntriesAgain();

  void Stop();

 private:
  /// A host that runs one upstream instance at a time, behind one proxy.
  struct Host {
    size_t service = 0;
    size_t data_centre = 0;
    size_t number = 0;  ///< Of the current instance.
    std::unique_ptr<adapter::test::FakeUpstream> instance;
    std::unique_ptr<Proxy> proxy;
    bool has_fault = false;  ///< A fault is in progress on this host.
    bool renews_entry = false;
  };

  void StartInstance(Host& host);
  void PublishEntry(Host& host, const std::string& state);
  bool IsRenewed(size_t number) const;
  boost::asio::awaitable<void> Crash(Host& host, const Step& step);
  /// The instance and its entry go, and another one starts in its place.
  boost::asio::awaitable<void> Replace(Host& host);
  boost::asio::awaitable<void> Drain(Host& host);
  boost::asio::awaitable<void> InjectResponseFault(Host& host,
                                                   const Step& step);
  boost::asio::awaitable<void> InjectLinkFault(Host& host, const Step& step);
  boost::asio::awaitable<void> TurnCold(Host& host, const Step& step);
  boost::asio::awaitable<void> AdvertiseLimit(Host& host, const Step& step);
  boost::asio::awaitable<void> SayLeaving(Host& host);
  boost::asio::awaitable<void> AskForRest(Host& host, const Step& step);

  boost::asio::io_context& io;
  adapter::test::FakeStore& store;
  Observations& observations;
  uint64_t seed;
  adapter::test::FakeUpstreamBehaviour usual;
  size_t started = 0;
  std::vector<std::unique_ptr<Host>> hosts;
  bool stopped = false;
};

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_UPSTREAMS_H_
