#ifndef BASILSILL_SOAK_FLEET_H_
#define BASILSILL_SOAK_FLEET_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "node_process.h"
#include "observations.h"
#include "plan.h"
#include "promises.h"
#include "proxy.h"

/// The nodes of a soak, each with its own way to the store, and the balancer
/// before them: callers are sent to nodes that say they are ready.

namespace basilsill::soak {

struct FleetOptions {
  std::string program;
  std::string directory;
  size_t nodes = 0;
  Endpoint store;
  Bounds bounds;  ///< That the nodes are told.
};

class Fleet {
 public:
  Fleet(boost::asio::io_context& io,
        const FleetOptions& options,
        Observations& seen);

  /// Starts all nodes, and asks them once a second whether they are ready.
  void Start();

  /// Opens many connections to a node and leaves them idle for `time`.
  boost::asio::awaitable<void> Flood(size_t node,
                                     std::chrono::milliseconds time);

  /// Carries out a fault of one node, or of all, or of the way to the store.
  boost::asio::awaitable<void> Harm(const Step& step);

  /// @returns the nodes that get new connections.
  std::vector<size_t> InRotation() const;

  bool IsAnyReady() const;

  Endpoint callers(size_t node) const {
    return this->members[node]->process->callers();
  }

  /// Sets the way of all nodes to the store.
  void SetStoreLinks(LinkState state);

  /// Ends all processes.
  void Stop();

 private:
  struct Member {
    size_t number = 0;
    std::unique_ptr<Proxy> store_link;
    std::unique_ptr<NodeProcess> process;
    size_t misses = 0;     ///< Questions in a row without a yes.
    bool is_busy = false;  ///< A fault is being carried out on it.
  };

  boost::asio::awaitable<void> Ask(Member& member);
  boost::asio::awaitable<void> Watch(Member& member);
  boost::asio::awaitable<void> TryConnection(const Member& member);
  boost::asio::awaitable<void> Kill(Member& member);
  boost::asio::awaitable<void> End(Member& member);
  boost::asio::awaitable<void> Pause(Member& member, const Step& step);
  boost::asio::awaitable<void> CutFromStore(Member& member, const Step& step);
  boost::asio::awaitable<void> HarmOne(Member& member, const Step& step);
  boost::asio::awaitable<void> KillAll();
  boost::asio::awaitable<void> StartAgain(Member& member);

  boost::asio::io_context& io;
  std::chrono::milliseconds grace;
  Observations& seen;
  std::vector<std::unique_ptr<Member>> members;
  bool stopped = false;
};

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_FLEET_H_
