#include "link_table.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>

#include "basilsill/node/log.h"
#include "basilsill/node/task_end.h"
#include "link_exchange.h"

namespace basilsill {
namespace {

using std::chrono::microseconds;

// A link that has been idle for this long is closed. Opening another one costs
// about as much as one call.
constexpr std::chrono::seconds kMaxLinkIdle{60};
// Idle limit while draining. A VM that shuts down still opens links for the
// last requests of its own callers, which follow each other within less time
// than this, a few round trips.
constexpr std::chrono::milliseconds kMaxLinkIdleWhileDraining{50};
// A dispatcher sends something on a link at least this often while its peer
// waits for answers.
constexpr std::chrono::milliseconds kKeepAliveTime{100};
// A link on which nothing arrives for this long, though its peer owes answers,
// is not used for new requests.
constexpr std::chrono::milliseconds kMaxSilence{300};
// Least time between two links to a worker that are opened because of silence.
constexpr std::chrono::seconds kRenewPause{1};
// Time for a peer to agree to the end of an idle link.
constexpr std::chrono::seconds kCloseTime{5};

}  // namespace

LinkTable::LinkTable(const Executor& executor,
                     LinkTableOptions options,
                     LinkTableHandlers handlers,
                     LinkCounters& counts)
    : run_on(executor),
      options(std::move(options)),
      handlers(std::move(handlers)),
      counts(counts) {}

void LinkTable::ApplyView(const RoutingViewPtr& view) {
  this->RenewTrusted(*view);
  this->view = view;
  // A restarted VM has a new handle and gets new links. Entries of the old
  // handle are removed.
  std::erase_if(this->peers, [&view](const auto& entry) {
    return FindVm(*view, entry.first.vm) == nullptr;
  });
}

// Failure: connections go silent for good. The VM at their other end is
// suspected, and trusted again once a new control link carries its messages.
// Requests then go over the data links from before and get no answer. So the
// next request to such a VM opens another link; streams on the old one go on.
void LinkTable::RenewTrusted(const RoutingView& next) {
  for (const auto& [key, peer] : this->peers) {
    const VmRow* before = this->view ? FindVm(*this->view, key.vm) : nullptr;
    const VmRow* after = FindVm(next, key.vm);
    const bool is_trusted_again = before != nullptr && after != nullptr &&
                                  before->state == VmState::kSuspected &&
                                  after->state == VmState::kLive;
    if (is_trusted_again && peer->link) {
      Renew(MonotonicClock::now(), *peer);
    }
  }
}

void LinkTable::Renew(TimePoint now, Peer& peer) {
  peer.link->Drain();
  peer.link = nullptr;
  peer.renewed_at = now;
}

void LinkTable::KeepAlive(TimePoint now) {
  for (const auto& [link, shard] : this->served) {
    if (link->IsQuiet(now, kKeepAliveTime)) {
      this->handlers.on_quiet(*link, shard);
    }
  }
}

// Failure: a VM that shuts down has sent GoAway on each link, and a peer that
// does not know yet that the VM is leaving opens another one. Requests then
// keep arriving until the process ends, and are lost with it. So GoAway is sent
// on such a link too, before it can carry a request.
void LinkTable::Accept(Socket socket) {
  const PeerLinkPtr link =
      this->Add(std::move(socket), wire::LinkSide::kAcceptor, VmHandle{});
  if (this->is_draining) {
    link->Drain();
  }
}

PeerLinkPtr LinkTable::Add(Socket socket, wire::LinkSide side, VmHandle vm) {
  LinkHandlers link_handlers;
  link_handlers.on_open = [this](const PeerLinkPtr& link, LinkStreamPtr stream,
                                 wire::Open open) {
    this->served[link] = open.shard;
    this->handlers.on_open(link, std::move(stream), std::move(open));
  };
  link_handlers.on_message = [this, vm](const PeerLinkPtr& link,
                                        const wire::PeerMessage& message) {
    if (const auto* summary = std::get_if<wire::Summary>(&message)) {
      const VmHandle from = IsValid(vm) ? vm : this->VmOf(link->peer().vm);
      this->handlers.on_summary(from, *summary);
    }
  };
  link_handlers.on_go_away = [this, vm](const PeerLinkPtr& link) {
    this->Remove(link, vm);
  };
  link_handlers.on_closed = [this, vm](const PeerLinkPtr& link) {
    this->Remove(link, vm);
    this->links.erase(link);
    this->served.erase(link);
    this->counts.open.Set(static_cast<int64_t>(this->links.size()));
  };
  wire::LinkMuxOptions mux;
  mux.side = side;
  mux.hello = this->options.hello;
  auto link = std::make_shared<PeerLink>(
      std::move(socket), mux, std::move(link_handlers), this->counts);
  this->links.insert(link);
  this->counts.open.Set(static_cast<int64_t>(this->links.size()));
  boost::asio::co_spawn(this->run_on, link->Run(), DetachedTask{"link"});
  return link;
}

void LinkTable::Remove(const PeerLinkPtr& link, VmHandle vm) {
  for (const auto& [key, peer] : this->peers) {
    if (peer->link == link) {
      peer->link = nullptr;
      this->handlers.on_link(vm, false);
      return;
    }
  }
}

VmHandle LinkTable::VmOf(const std::string& name) const {
  if (!this->view) {
    return {};
  }
  const auto found =
      std::find_if(this->view->vms.begin(), this->view->vms.end(),
                   [&name](const VmRow& vm) { return vm.name == name; });
  return found == this->view->vms.end() ? VmHandle{} : found->handle;
}

Task<PeerLinkPtr> LinkTable::Get(PeerKey key) {
  auto& slot = this->peers[key];
  if (!slot) {
    slot = std::make_shared<Peer>(this->run_on);
  }
  const std::shared_ptr<Peer> peer = slot;
  while (peer->connecting) {
    co_await peer->changed.Wait();
  }
  // Failure: a connection goes silent for good, and requests go over it until
  // its peer is suspected, seconds later. A peer that works sends something
  // several times in kMaxSilence, so the request takes another link. What waits
  // on the silent one may still be answered there.
  const TimePoint now = MonotonicClock::now();
  if (peer->link && peer->link->IsSilent(now, kMaxSilence) &&
      now - peer->renewed_at >= kRenewPause) {
    Renew(now, *peer);
  }
  if (peer->link && peer->link->usable()) {
    co_return peer->link;
  }
  peer->connecting = true;
  peer->link = co_await this->Connect(key);
  peer->connecting = false;
  peer->changed.Notify();
  this->handlers.on_link(key.vm, peer->link != nullptr);
  co_return peer->link;
}

Task<PeerLinkPtr> LinkTable::Connect(PeerKey key) {
  const VmRow* vm = FindVm(*this->view, key.vm);
  if (vm == nullptr || key.worker >= vm->workers.size()) {
    co_return nullptr;
  }
  Result<Socket> socket = co_await ConnectTo(
      this->run_on, vm->workers[key.worker], this->options.connect_timeout);
  if (!socket) {
    co_return nullptr;
  }
  co_return this->Add(std::move(socket).value(), wire::LinkSide::kConnector,
                      key.vm);
}

Task<ServeOutcome> LinkTable::Serve(RequestMessage& request,
                                    const Target& target,
                                    AnswerSink& sink) {
  const VmRow* vm = FindVm(*this->view, target.vm);
  const ServeOutcome unreachable{false, Refusal::kPeerUnreachable, Duration(0)};
  if (vm == nullptr || vm->workers.empty()) {
    this->handlers.on_link(target.vm, false);
    co_return unreachable;
  }
  const auto worker = static_cast<uint16_t>(target.shard % vm->workers.size());
  const PeerLinkPtr link = co_await this->Get({target.vm, worker});
  if (!link) {
    co_return unreachable;
  }
  // Nothing would cancel a request whose caller left during the wait.
  if (request.caller_gone) {
    co_return ServeOutcome{false, Refusal::kCallerGone, Duration(0)};
  }
  if (request.withdrawn) {
    co_return ServeOutcome{false, Refusal::kShuttingDown, Duration(0)};
  }
  wire::Open open = this->MakeOpen(request, target);
  const size_t inlined = open.body.size();
  const LinkStreamPtr stream = link->Open(std::move(open));
  if (!stream) {
    co_return unreachable;
  }
  LinkExchange exchange(link, stream, request, sink);
  co_return co_await exchange.Run(inlined);
}

wire::Open LinkTable::MakeOpen(const RequestMessage& request,
                               const Target& target) const {
  const RuleRow* rule = FindRule(*this->view, request.rule);
  const ServiceRow* service = FindService(*this->view, request.entry.service);
  const TeamRow* team = FindTeam(*this->view, request.entry.team);
  wire::Open open;
  open.shard = target.shard;
  open.service = service != nullptr ? service->name : "";
  open.team = team != nullptr ? team->name : "";
  open.rule = rule != nullptr ? rule->name : "";
  open.traffic_class = request.entry.traffic_class;
  open.deadline = std::max(microseconds(0),
                           std::chrono::duration_cast<microseconds>(
                               request.entry.deadline - MonotonicClock::now()));
  open.idempotent = request.entry.idempotent;
  open.hedge = request.hedge;
  open.fingerprint = request.entry.fingerprint;
  open.attempts_left = request.entry.max_attempts;
  open.max_wait = target.max_wait;
  open.sends = target.sends;
  if (request.good_until != kNever) {
    open.good_for = std::max(microseconds(1),
                             std::chrono::duration_cast<microseconds>(
                                 request.good_until - MonotonicClock::now()));
  }
  open.method = request.method;
  open.target = request.target;
  open.headers = ToHeaderList(request.headers);
  open.framing = ToWireFraming(request.framing);
  if (request.source == nullptr) {
    open.body = request.whole_body.substr(0, limits::kMaxInlineBodyBytes);
    open.end = open.body.size() == request.whole_body.size();
  }
  return open;
}

void LinkTable::Drain() {
  this->is_draining = true;
  for (const PeerLinkPtr& link : std::set<PeerLinkPtr>(this->links)) {
    link->Drain();
  }
}

size_t LinkTable::CountBusy(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      this->links.begin(), this->links.end(),
      [now](const PeerLinkPtr& link) { return link->IsBusy(now); }));
}

void LinkTable::Tick(TimePoint now) {
  const Duration max_idle =
      this->is_draining ? kMaxLinkIdleWhileDraining : kMaxLinkIdle;
  for (const PeerLinkPtr& link : std::set<PeerLinkPtr>(this->links)) {
    const TimePoint idle = link->idle_since();
    if (idle == kNever || now - idle <= max_idle) {
      continue;
    }
    // A silent peer does not agree to the end of the link.
    if (now - idle > max_idle + kCloseTime) {
      link->Close();
    } else {
      link->Drain();
    }
  }
}

}  // namespace basilsill
