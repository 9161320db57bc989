#ifndef BASILSILL_NODE_CONTROL_LINKS_H_
#define BASILSILL_NODE_CONTROL_LINKS_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "basilsill/decision/membership.h"
#include "net.h"
#include "peer_link.h"

/// The control links of a node: opened and dropped on request of the
/// membership, and accepted from peers. Runs on the control thread.

namespace basilsill {

/// Callbacks for events on control links.
struct ControlLinkHandlers {
  /// A process has sent its hello. If the verdict is not kAccepted, the link is
  /// closed.
  std::function<HelloResult(const VmHello&)> on_hello;
  /// A message of any kind was received.
  /// @returns false if it is from another incarnation and has to be dropped.
  std::function<bool(VmHandle, uint64_t incarnation)> on_received;
  /// A link to an accepted process is established.
  std::function<void(VmHandle)> on_linked;
  std::function<void(VmHandle, const wire::Heartbeat&)> on_heartbeat;
  std::function<void(VmHandle, uint64_t incarnation)> on_lost;
  std::function<void(VmHandle)> on_open_failed;
  /// A message other than a heartbeat was received.
  std::function<void(VmHandle, const wire::PeerMessage&)> on_message;
};

struct ControlLinkOptions {
  wire::Hello hello;  ///< Hello that this node sends.
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

  /// Starts accepting links from peers.
  void Start();
  void Stop();

  /// Marks this node as leaving in the hello of links that open from now on.
  void Leave() { this->options.hello.leaving = true; }

  void Open(VmHandle vm, const Endpoint& control);

  /// Uses the links to `vm` no more. They close once the peer agrees, or after
  /// a second if it is silent.
  void Drop(VmHandle vm);

  /// Sends `message` to `vm` on the newest link to it, if there is one.
  /// @returns false if there is no link, or its send queue is full.
  bool Send(VmHandle vm, wire::PeerMessage message);

  /// Sends `message` on every link.
  void Broadcast(const wire::PeerMessage& message);

  /// @returns the VMs to which there is a link.
  std::vector<VmHandle> Linked() const;

  Endpoint endpoint() const { return this->listens_at; }

 private:
  struct Peer {
    VmHandle vm;
    uint64_t incarnation = 0;
    uint64_t number = 0;    ///< Grows with each link.
    bool accepted = false;  ///< Opened by the peer.
    bool dropped = false;
  };

  Task<void> Accept();
  Task<void> Connect(VmHandle vm, Endpoint control);
  PeerLinkPtr Add(Socket socket, wire::LinkSide side, VmHandle expected);
  void OnReady(const PeerLinkPtr& link, VmHandle expected);
  void OnMessage(const PeerLinkPtr& link, wire::PeerMessage message);
  void OnClosed(const PeerLinkPtr& link, VmHandle expected);
  void DropAccepted(VmHandle vm);
  std::vector<PeerLinkPtr> LinksTo(VmHandle vm) const;
  void DropLink(const PeerLinkPtr& link);
  Task<void> CloseLater(PeerLinkPtr link);
  PeerLinkPtr Find(VmHandle vm) const;

  IoContext& context;
  Acceptor acceptor;
  Endpoint listens_at;
  ControlLinkOptions options;
  ControlLinkHandlers handlers;
  LinkCounters& counts;
  Counter& accept_failures;
  std::map<PeerLinkPtr, Peer> links;
  uint64_t next_number = 0;
  bool stopped = false;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_CONTROL_LINKS_H_
