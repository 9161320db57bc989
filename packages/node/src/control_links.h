#ifndef BASILSILL_NODE_CONTROL_LINKS_H_
#define BASILSILL_NODE_CONTROL_LINKS_H_

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "basilsill/decision/membership.h"
#include "net.h"
#include "peer_link.h"

/// The control links of a node: opened and dropped as membership asks, and
/// taken from peers that open them. Belongs to the control thread.

namespace basilsill {

/// What happens on control links.
struct ControlLinkHandlers {
  /// A process introduced itself. A link whose process is not accepted is
  /// closed.
  std::function<HelloResult(const VmHello&)> on_hello;
  /// Any message came. False: it is of another incarnation, drop it.
  std::function<bool(VmHandle, uint64_t incarnation)> on_heard;
  /// A link to a process that was accepted works.
  std::function<void(VmHandle)> on_linked;
  std::function<void(VmHandle, const wire::Heartbeat&)> on_heartbeat;
  std::function<void(VmHandle, uint64_t incarnation)> on_lost;
  std::function<void(VmHandle)> on_open_failed;
  /// Any message but a heartbeat came.
  std::function<void(VmHandle, const wire::PeerMessage&)> on_message;
};

struct ControlLinkOptions {
  wire::Hello hello;  ///< What this node says of itself.
  std::chrono::milliseconds connect_timeout{1000};
};

class ControlLinks {
 public:
  ControlLinks(IoContext& context,
               Acceptor acceptor,
               ControlLinkOptions options,
               ControlLinkHandlers handlers,
               LinkCounters& counts,
               Counter& accept_failures);

  /// Takes links from peers.
  void Start();
  void Stop();

  /// On links that open from here on, this node says that it leaves.
  void Leave() { this->options.hello.leaving = true; }

  void Open(VmHandle vm, const Endpoint& control);
  void Drop(VmHandle vm);

  /// Sends `message` to `vm` if there is a link to it.
  /// @returns false if there is none, or it is clogged.
  bool Send(VmHandle vm, wire::PeerMessage message);

  /// Sends `message` on every link.
  void Broadcast(const wire::PeerMessage& message);

  /// @returns the VMs that a link stands with.
  std::vector<VmHandle> Linked() const;

  Endpoint endpoint() const { return this->listens_at; }

 private:
  struct Peer {
    VmHandle vm;
    uint64_t incarnation = 0;
  };

  Task<void> Accept();
  Task<void> Connect(VmHandle vm, Endpoint control);
  PeerLinkPtr Add(Socket socket, wire::LinkSide side, VmHandle expected);
  void OnReady(const PeerLinkPtr& link, VmHandle expected);
  void OnMessage(const PeerLinkPtr& link, wire::PeerMessage message);
  void OnOver(const PeerLinkPtr& link, VmHandle expected);
  PeerLinkPtr Find(VmHandle vm) const;

  IoContext& context;
  Acceptor acceptor;
  Endpoint listens_at;
  ControlLinkOptions options;
  ControlLinkHandlers handlers;
  LinkCounters& counts;
  Counter& accept_failures;
  std::map<PeerLinkPtr, Peer> links;
  bool stopped = false;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_CONTROL_LINKS_H_
