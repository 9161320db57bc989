#include "control_links.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>

#include "accept_loop.h"
#include "basilsill/node/log.h"
#include "basilsill/node/task_end.h"

namespace basilsill {
namespace {

// Time for a peer to agree to the end of a dropped link.
constexpr std::chrono::seconds kDropTime{1};

VmHello ToVmHello(const wire::Hello& hello) {
  VmHello result;
  result.name = hello.vm;
  result.data_centre = hello.data_centre;
  result.incarnation = hello.incarnation;
  result.control = hello.control;
  result.workers = hello.workers;
  result.leaving = hello.leaving;
  result.capacity = hello.capacity;
  return result;
}

}  // namespace

ControlLinks::ControlLinks(IoContext& context,
                           Acceptor acceptor,
                           ControlLinkOptions options,
                           ControlLinkHandlers handlers,
                           LinkCounters& counts,
                           Counter& accept_failures)
    : context(context),
      acceptor(std::move(acceptor)),
      listens_at(FromTcpEndpoint(this->acceptor.local_endpoint())),
      options(std::move(options)),
      handlers(std::move(handlers)),
      counts(counts),
      accept_failures(accept_failures) {}

void ControlLinks::Start() {
  boost::asio::co_spawn(this->context, this->Accept(),
                        CriticalTask{"accept-control-links"});
}

void ControlLinks::Stop() {
  this->stopped = true;
  NetError ignored;
  this->acceptor.close(ignored);
  const auto open = this->links;
  for (const auto& [link, peer] : open) {
    link->Close();
  }
}

Task<void> ControlLinks::Accept() {
  AcceptLoopOptions loop{"control", this->accept_failures, {}, {}};
  loop.on_socket = [this](Socket socket) {
    this->Add(std::move(socket), wire::LinkSide::kAcceptor, VmHandle{});
  };
  return AcceptLoop(this->acceptor, std::move(loop));
}

void ControlLinks::Open(VmHandle vm, const Endpoint& control) {
  boost::asio::co_spawn(this->context, this->Connect(vm, control),
                        DetachedTask{"connect-control-link"});
}

Task<void> ControlLinks::Connect(VmHandle vm, Endpoint control) {
  Result<Socket> socket = co_await ConnectTo(
      this->context.get_executor(), control, this->options.connect_timeout);
  if (this->stopped) {
    co_return;
  }
  if (!socket) {
    this->handlers.on_open_failed(vm);
    co_return;
  }
  this->Add(std::move(socket).value(), wire::LinkSide::kConnector, vm);
}

PeerLinkPtr ControlLinks::Add(Socket socket,
                              wire::LinkSide side,
                              VmHandle expected) {
  LinkHandlers link_handlers;
  link_handlers.on_ready = [this, expected](const PeerLinkPtr& link) {
    this->OnReady(link, expected);
  };
  link_handlers.on_message = [this](const PeerLinkPtr& link,
                                    wire::PeerMessage message) {
    this->OnMessage(link, std::move(message));
  };
  link_handlers.on_closed = [this, expected](const PeerLinkPtr& link) {
    this->OnClosed(link, expected);
  };
  wire::LinkMuxOptions mux;
  mux.side = side;
  mux.hello = this->options.hello;
  auto link = std::make_shared<PeerLink>(
      std::move(socket), mux, std::move(link_handlers), this->counts);
  boost::asio::co_spawn(this->context, link->Run(),
                        DetachedTask{"control-link"});
  return link;
}

void ControlLinks::OnReady(const PeerLinkPtr& link, VmHandle expected) {
  const HelloResult result = this->handlers.on_hello(ToVmHello(link->peer()));
  if (result.verdict != HelloVerdict::kAccepted) {
    Log(Event::kLinkRejected,
        {{"peer", link->peer().vm},
         {"incarnation", link->peer().incarnation},
         {"verdict", static_cast<uint64_t>(result.verdict)}});
    if (IsValid(expected)) {
      this->handlers.on_open_failed(expected);
    }
    link->Close();
    return;
  }
  Log(Event::kLinkOpened,
      {{"peer", link->peer().vm}, {"leaving", link->peer().leaving}});
  const bool is_accepted = !IsValid(expected);
  if (is_accepted) {
    this->DropAccepted(result.vm);
  }
  this->links[link] = {result.vm, link->peer().incarnation, this->next_number++,
                       is_accepted};
  this->counts.open.Set(static_cast<int64_t>(this->links.size()));
  this->handlers.on_linked(result.vm);
}

// Failure: connections go silent for good. The peer opens another link, but the
// end of the old one never arrives here, so that its socket is kept for as long
// as the process runs.
void ControlLinks::DropAccepted(VmHandle vm) {
  for (const PeerLinkPtr& link : this->LinksTo(vm)) {
    if (this->links.at(link).accepted) {
      this->DropLink(link);
    }
  }
}

void ControlLinks::OnMessage(const PeerLinkPtr& link,
                             wire::PeerMessage message) {
  const auto found = this->links.find(link);
  if (found == this->links.end()) {
    return;
  }
  const Peer peer = found->second;
  if (!this->handlers.on_received(peer.vm, peer.incarnation)) {
    return;
  }
  if (const auto* heartbeat = std::get_if<wire::Heartbeat>(&message)) {
    this->handlers.on_heartbeat(peer.vm, *heartbeat);
  } else {
    this->handlers.on_message(peer.vm, message);
  }
}

void ControlLinks::OnClosed(const PeerLinkPtr& link, VmHandle expected) {
  const auto found = this->links.find(link);
  if (found != this->links.end()) {
    const Peer peer = found->second;
    this->links.erase(found);
    this->counts.open.Set(static_cast<int64_t>(this->links.size()));
    // A peer is lost only if it has no other open link.
    if (!peer.dropped && !this->Find(peer.vm) && !this->stopped) {
      this->handlers.on_lost(peer.vm, peer.incarnation);
    }
  } else if (IsValid(expected) && !this->stopped) {
    this->handlers.on_open_failed(expected);
  }
}

// Failure: connections go silent for good, and another link is opened. Messages
// still go over the old link, so that the peer hears nothing and suspects this
// VM again. So the newest link is used.
PeerLinkPtr ControlLinks::Find(VmHandle vm) const {
  PeerLinkPtr newest;
  for (const PeerLinkPtr& link : this->LinksTo(vm)) {
    if (link->open() && (!newest || this->links.at(link).number >
                                        this->links.at(newest).number)) {
      newest = link;
    }
  }
  return newest;
}

void ControlLinks::Drop(VmHandle vm) {
  for (const PeerLinkPtr& link : this->LinksTo(vm)) {
    this->DropLink(link);
  }
}

std::vector<PeerLinkPtr> ControlLinks::LinksTo(VmHandle vm) const {
  std::vector<PeerLinkPtr> found;
  for (const auto& [link, peer] : this->links) {
    if (peer.vm == vm && !peer.dropped) {
      found.push_back(link);
    }
  }
  return found;
}

void ControlLinks::DropLink(const PeerLinkPtr& link) {
  this->links.at(link).dropped = true;
  link->Drain();
  boost::asio::co_spawn(this->context, this->CloseLater(link),
                        DetachedTask{"close-control-link"});
}

Task<void> ControlLinks::CloseLater(PeerLinkPtr link) {
  Timer timer(this->context.get_executor(), kDropTime);
  co_await timer.async_wait(kTask);
  link->Close();
}

bool ControlLinks::Send(VmHandle vm, wire::PeerMessage message) {
  const PeerLinkPtr link = this->Find(vm);
  if (!link) {
    return false;
  }
  const Result<void> sent = link->Send(
      [&message](wire::LinkMux& mux) { return mux.Post(std::move(message)); });
  return sent.has_value();
}

void ControlLinks::Broadcast(const wire::PeerMessage& message) {
  for (const VmHandle vm : this->Linked()) {
    this->Send(vm, message);
  }
}

std::vector<VmHandle> ControlLinks::Linked() const {
  std::set<VmHandle> linked;
  for (const auto& [link, peer] : this->links) {
    if (!peer.dropped) {
      linked.insert(peer.vm);
    }
  }
  return {linked.begin(), linked.end()};
}

}  // namespace basilsill
