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

/// The data links of one worker: links to workers that dispatch for it, opened
/// on demand, and links from workers for which it dispatches.

namespace basilsill {

/// Callbacks from the links to their worker.
struct LinkTableHandlers {
  /// A peer forwards a request to a dispatcher of this worker.
  std::function<void(const PeerLinkPtr&, LinkStreamPtr, wire::Open)> on_open;
  std::function<void(VmHandle, const wire::Summary&)> on_summary;
  std::function<void(VmHandle, bool usable)> on_link;
  /// Nothing was sent for a while on a link whose peer waits for answers of the
  /// dispatcher of `shard`.
  std::function<void(PeerLink&, ShardKey shard)> on_quiet;
};

struct LinkTableOptions {
  wire::Hello hello;  ///< Hello that this worker sends.
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

  /// Forwards `request` to the dispatcher of the target's shard and relays the
  /// answer to `sink`.
  Task<ServeOutcome> Serve(RequestMessage& request,
                           const Target& target,
                           AnswerSink& sink);

  /// Sends GoAway on all present and later links, so that peers open no further
  /// streams here.
  void Drain();

  /// @returns the number of links that would lose data if the process ended
  /// now.
  size_t CountBusy(TimePoint now) const;

  /// Calls `on_quiet` where that is due. To be called many times a second.
  void KeepAlive(TimePoint now);

  /// Closes links that have been idle for too long.
  void Tick(TimePoint now);

  size_t count() const { return this->links.size(); }

 private:
  struct PeerKey {
    VmHandle vm;
    uint16_t worker = 0;

    friend auto operator<=>(const PeerKey&, const PeerKey&) = default;
  };
  struct Peer {
    explicit Peer(const Executor& executor) : changed(executor) {}

    PeerLinkPtr link;
    TimePoint renewed_at{};
    bool connecting = false;
    AsyncBroadcast changed;
  };

  Task<PeerLinkPtr> Get(PeerKey key);
  Task<PeerLinkPtr> Connect(PeerKey key);
  void RenewTrusted(const RoutingView& next);
  static void Renew(TimePoint now, Peer& peer);
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
  std::set<PeerLinkPtr> links;
  /// Links on which peers have opened streams, and the shard of the latest.
  std::map<PeerLinkPtr, ShardKey> served;
  bool is_draining = false;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_LINK_TABLE_H_
