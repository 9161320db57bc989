#include "peer_link.h"

#include <algorithm>
#include <span>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include "basilsill/node/log.h"

namespace basilsill {
namespace {

constexpr size_t kReadBytes = 64 * 1024;
// Taken from the mux for one write: enough to fill a packet train, little
// enough that what is urgent does not wait behind it.
constexpr size_t kWriteBytes = 64 * 1024;

// A peer that has everything closes at once; one that is gone is not waited for
// any longer.
constexpr std::chrono::seconds kLingerTime{1};

template <typename Handler, typename... Arguments>
void Notify(const Handler& handler, Arguments&&... arguments) {
  if (handler) {
    handler(std::forward<Arguments>(arguments)...);
  }
}

void LogMalformed(const std::string& peer, const Failure& failure) {
  Log(Event::kFrameMalformed,
      {{"peer", peer}, {"kind", failure.kind}, {"detail", failure.detail}});
}

}  // namespace

PeerLink::PeerLink(Socket socket,
                   wire::LinkMuxOptions options,
                   LinkHandlers handlers,
                   LinkCounters& counts)
    : run_on(socket.get_executor()),
      socket(std::move(socket)),
      mux(wire::LinkMux::Create(MonotonicClock::now(), std::move(options))
              .value()),
      handlers(std::move(handlers)),
      counts(counts),
      output(this->run_on) {}

Task<void> PeerLink::Run() {
  const PeerLinkPtr self = this->shared_from_this();
  NetError ignored;
  this->socket.set_option(Tcp::no_delay(true), ignored);
  boost::asio::co_spawn(this->run_on, this->WriteLoop(),
                        [self](const std::exception_ptr& /*error*/) {});
  std::vector<char> buffer(kReadBytes);
  while (!this->is_over) {
    const auto [error, size] = co_await this->socket.async_read_some(
        boost::asio::buffer(buffer), kTask);
    if (error) {
      break;
    }
    this->counts.bytes_received.Add(size);
    const Result<void> taken =
        this->mux.OnBytes(MonotonicClock::now(), {buffer.data(), size});
    this->TakeEvents();
    if (!taken) {
      LogMalformed(this->mux.peer().vm, taken.error());
      break;
    }
    this->Flush();
  }
  this->Lose();
}

Task<void> PeerLink::WriteLoop() {
  const PeerLinkPtr self = this->shared_from_this();
  wire::FrameBuffer frames;
  std::vector<std::span<const char>> parts;
  std::vector<boost::asio::const_buffer> buffers;
  while (!this->is_over) {
    if (!this->mux.HasOutput()) {
      if (this->mux.CanClose()) {
        co_await this->CloseGently();
        co_return;
      }
      co_await this->output.Wait();
      continue;
    }
    this->mux.TakeOutput(MonotonicClock::now(), frames, kWriteBytes);
    frames.Gather(parts);
    buffers.clear();
    for (const std::span<const char> part : parts) {
      buffers.emplace_back(part.data(), part.size());
    }
    this->is_writing = true;
    const auto [error, size] =
        co_await boost::asio::async_write(this->socket, buffers, kTask);
    this->is_writing = false;
    this->written_at = MonotonicClock::now();
    this->counts.bytes_sent.Add(size);
    if (error) {
      this->Close();
      co_return;
    }
    this->TakeEvents();
  }
}

LinkStreamPtr PeerLink::Open(wire::Open open) {
  auto stream = std::make_shared<LinkStream>(this->run_on);
  const Result<wire::StreamId> id = this->mux.OpenStream(std::move(open));
  if (!id) {
    return nullptr;
  }
  stream->id = id.value();
  this->streams.emplace(stream->id, stream);
  this->Flush();
  return stream;
}

void PeerLink::Cancel(LinkStream& stream) {
  this->mux.CancelStream(stream.id);
  this->Forget(stream);
  this->Flush();
}

void PeerLink::Forget(const LinkStream& stream) {
  this->streams.erase(stream.id);
}

// Whether bytes have arrived shows only as the peer closes, which it does once
// it has all. One that does not is waited for as long as for its close.
bool PeerLink::IsBusy(TimePoint now) const {
  const TimePoint idle = this->mux.idle_since();
  const bool has_work = idle == kNever || this->is_writing;
  const TimePoint last = std::max(idle, this->written_at);
  return !this->is_over && (has_work || now - last < kLingerTime);
}

void PeerLink::Drain() {
  this->mux.SendGoAway();
  this->TakeEvents();
  this->Flush();
}

// Failure: the last answer on a link is still in this side's buffers as both
// sides have said that they end. Closing at once, with bytes of the peer still
// unread (credit for that very answer), resets the connection, and what has not
// left yet is dropped. It shows as an answer that breaks off at a VM that shuts
// down. So only the sending side is closed; the peer closes when it has all.
Task<void> PeerLink::CloseGently() {
  const PeerLinkPtr self = this->shared_from_this();
  NetError ignored;
  this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
  Timer limit(this->run_on, kLingerTime);
  this->closing = &limit;
  co_await limit.async_wait(kTask);
  this->closing = nullptr;
  this->Close();
}

void PeerLink::Close() {
  if (this->closing != nullptr) {
    this->closing->cancel();
  }
  NetError ignored;
  this->socket.close(ignored);
  this->output.Set();
}

size_t PeerLink::WritableBytes(const LinkStream& stream) {
  const size_t writable = this->mux.WritableBytes(stream.id);
  if (writable == 0) {
    this->mux.AwaitWritable(stream.id);
  }
  return writable;
}

void PeerLink::Consumed(const LinkStream& stream, size_t bytes) {
  this->mux.Consumed(stream.id, bytes);
  this->Flush();
}

void PeerLink::Flush() {
  if (this->mux.HasOutput() || this->mux.CanClose()) {
    this->output.Set();
  }
}

void PeerLink::TakeEvents() {
  // Delivering an event may bring the next; a list of its own keeps the walk
  // valid.
  std::vector<wire::LinkEvent> batch;
  std::swap(batch, this->taken);
  this->mux.TakeEvents(batch);
  for (wire::LinkEvent& event : batch) {
    this->Deliver(std::move(event));
  }
  batch.clear();
  std::swap(batch, this->taken);
}

void PeerLink::Deliver(wire::LinkEvent event) {
  const PeerLinkPtr self = this->shared_from_this();
  this->counts.messages_received.Add();
  if (event.kind == wire::LinkEventKind::kOpened) {
    const auto stream = std::make_shared<LinkStream>(this->run_on);
    stream->id = event.stream;
    this->streams.emplace(stream->id, stream);
    Notify(this->handlers.on_open, self, stream,
           std::get<wire::Open>(std::move(event.message)));
    return;
  }
  if (event.kind == wire::LinkEventKind::kReady) {
    Notify(this->handlers.on_ready, self);
    return;
  }
  if (event.kind == wire::LinkEventKind::kGoAway) {
    Notify(this->handlers.on_go_away, self);
    return;
  }
  if (event.kind == wire::LinkEventKind::kMessage) {
    Notify(this->handlers.on_message, self, std::move(event.message));
    return;
  }
  const auto found = this->streams.find(event.stream);
  if (found == this->streams.end()) {
    return;
  }
  const LinkStreamPtr stream = found->second;
  stream->Deliver(std::move(event));
}

void PeerLink::Lose() {
  if (this->is_over) {
    return;
  }
  this->is_over = true;
  this->Close();
  this->mux.OnLost();
  this->TakeEvents();
  Log(Event::kLinkLost, {{"peer", this->mux.peer().vm}});
  Notify(this->handlers.on_over, this->shared_from_this());
}

}  // namespace basilsill
