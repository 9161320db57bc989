#ifndef BASILSILL_SOAK_FLEET_H_
#define BASILSILL_SOAK_FLEET_H_

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "client_ports.h"
#include "node_process.h"
#include "observations.h"
#include "plan.h"
#include "promises.h"
#include "proxy.h"

/// The nodes of a soak, each connected to the store through its own proxy, and
/// an emulation of the platform's balancer, which sends callers to ready nodes.

namespace basilsill::soak {

struct FleetOptions {
  std::string program;
  std::string directory;
  size_t nodes = 0;
  Endpoint store;
  Bounds bounds;  ///< Written to the settings of the nodes.
};

class Fleet {
 public:
  Fleet(boost::asio::io_context& io,
        const FleetOptions& options,
        Observations& observations);

  /// Starts all nodes and polls their readiness once a second.
  void Start();

  /// Opens more connections to a node than it can accept and keeps them idle
  /// for `time`.
  boost::asio::awaitable<void> Flood(size_t node,
                                     std::chrono::milliseconds time);

  /// Injects a fault into one node, all nodes or a node's connection to the
  /// store. Does nothing if the node already has a fault.
  boost::asio::awaitable<void> InjectFault(const Step& step);

  /// @returns the nodes that get new connections: those that are ready, or all
  /// nodes if none is ready.
  std::vector<size_t> NodesInRotation() const;

  bool IsAnyReady() const;

  Endpoint callers(size_t node) const {
    return this->members[node]->process->callers();
  }

  /// Cuts some nodes from all upstreams; the caller applies it to open
  /// connections.
  /// @returns the nodes; empty if none was left that is not cut.
  std::vector<size_t> BeginCut(const Step& step);
  void EndCut(const std::vector<size_t>& nodes);

  /// Finds out which connections the nodes that are cut have.
  void FindConnections();

  /// @returns the state of a connection to an upstream that FindConnections()
  /// has found, else kNormal.
  LinkState UpstreamLink(const ConnectionPorts& ports) const;

  /// Sets the state of the connections between all nodes and the store.
  void SetStoreLinks(LinkState state);

  /// Kills all node processes.
  void Stop();

 private:
  struct Member {
    size_t number = 0;
    std::unique_ptr<Proxy> store_link;
    std::unique_ptr<NodeProcess> process;
    size_t failed_polls = 0;  ///< Consecutive readiness polls that failed.
    bool has_fault = false;   ///< A fault is in progress on this node.
    LinkState upstream_link = LinkState::kNormal;
    std::set<ConnectionPorts> connections;  ///< While it is cut.
  };

  boost::asio::awaitable<void> PollReadiness(Member& member);
  boost::asio::awaitable<void> RestartOnExit(Member& member);
  boost::asio::awaitable<void> ProbeConnection(const Member& member);
  boost::asio::awaitable<void> Kill(Member& member);
  boost::asio::awaitable<void> Shutdown(Member& member);
  boost::asio::awaitable<void> Pause(Member& member, const Step& step);
  boost::asio::awaitable<void> CutFromStore(Member& member, const Step& step);
  boost::asio::awaitable<void> InjectNodeFault(Member& member,
                                               const Step& step);
  boost::asio::awaitable<void> KillAll();
  boost::asio::awaitable<void> Restart(Member& member);

  boost::asio::io_context& io;
  std::chrono::milliseconds grace;
  Observations& observations;
  std::vector<std::unique_ptr<Member>> members;
  bool stopped = false;
};

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_FLEET_H_
