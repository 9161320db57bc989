#ifndef BASILSILL_NODE_LINK_TABLE_H_
#define BASILSILL_NODE_LINK_TABLE_H_

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "basilsill/decision/entry.h"
#include "http_message.h"
#include "peer_link.h"

/// The data links of one worker: to workers that dispatch for it, opened on
/// demand, and from workers that it dispatches for.

namespace basilsill {

/// What the links need of their worker.
struct LinkTableHandlers {
  /// A peer hands over a request for a dispatcher of this worker.
  std::function<void(const PeerLinkPtr&, LinkStreamPtr, wire::Open)> on_open;
  std::function<void(VmHandle, const ShardSummary&)> on_summary;
  std::function<void(VmHandle, bool usable)> on_link;
};

struct LinkTableOptions {
  wire::Hello hello;  ///< What this worker says of itself.
  std::chrono::milliseconds connect_timeout{1000};
};

class LinkTable {
 public:
  LinkTable(const Executor& executor,
            LinkTableOptions options,
            LinkTableHandlers handlers,
            LinkCounters& counts);

  void ApplyView(const RoutingViewPtr& view);

  /// Takes over a connection that a peer opened.
  void Accept(Socket socket);

  /// Serves `request` through the dispatcher of the target's shard.
  Task<ServeOutcome> Serve(RequestMessage& request,
                           const Target& target,
                           AnswerSink& sink);

  /// Tells peers to open no further streams here, on this and on later links.
  void Drain();

  /// @returns how many links would lose something if the process ended.
  size_t CountBusy(TimePoint now) const;

  /// Closes links that nothing has used for long.
  void Tick(TimePoint now);

  size_t count() const { return this->all.size(); }

 private:
  struct PeerKey {
    VmHandle vm;
    uint16_t worker = 0;

    friend auto operator<=>(const PeerKey&, const PeerKey&) = default;
  };
  struct Peer {
    explicit Peer(const Executor& executor) : changed(executor) {}

    PeerLinkPtr link;
    bool connecting = false;
    AsyncBroadcast changed;
  };

  Task<PeerLinkPtr> Get(PeerKey key);
  Task<PeerLinkPtr> Connect(PeerKey key);
  PeerLinkPtr Add(Socket socket, wire::LinkSide side, VmHandle vm);
  void Remove(const PeerLinkPtr& link, VmHandle vm);
  wire::Open MakeOpen(const RequestMessage& request,
                      const Target& target) const;
  VmHandle VmOf(const std::string& name) const;

  Executor run_on;
  LinkTableOptions options;
  LinkTableHandlers handlers;
  LinkCounters& counts;
  RoutingViewPtr view;
  std::map<PeerKey, std::shared_ptr<Peer>> peers;
  std::set<PeerLinkPtr> all;
  bool is_draining = false;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_LINK_TABLE_H_
