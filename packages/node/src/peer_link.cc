#include "peer_link.h"

#include <algorithm>
#include <span>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/write.hpp>

#include "basilsill/node/log.h"

namespace basilsill {
namespace {

constexpr size_t kReadBytes = 64 * 1024;
// Bytes taken from the mux for one write: enough to fill a packet train, and
// few enough that urgent messages do not wait long behind them.
constexpr size_t kWriteBytes = 64 * 1024;

// How long to wait for the peer to close. A peer that has received everything
// closes at once; one that has not closed by then is taken as gone.
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
  while (!this->is_closed) {
    const auto [error, size] = co_await this->socket.async_read_some(
        boost::asio::buffer(buffer), kTask);
    if (error) {
      break;
    }
    this->counts.bytes_received.Add(size);
    const Result<void> accepted =
        this->mux.OnBytes(MonotonicClock::now(), {buffer.data(), size});
    this->DeliverEvents();
    if (!accepted) {
      LogMalformed(this->mux.peer().vm, accepted.error());
      break;
    }
    this->Flush();
  }
  this->HandleClosed();
}

Task<void> PeerLink::WriteLoop() {
  const PeerLinkPtr self = this->shared_from_this();
  wire::FrameBuffer frames;
  std::vector<std::span<const char>> parts;
  std::vector<boost::asio::const_buffer> buffers;
  while (!this->is_closed) {
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
    this->DeliverEvents();
  }
}

LinkStreamPtr PeerLink::Open(wire::Open open) {
  auto stream = std::make_shared<LinkStream>(this->run_on);
  const Result<wire::StreamId> id = this->mux.OpenStream(std::move(open));
  if (!id) {
    return nullptr;
  }
  stream->id = id.value();
  this->AddStream(stream);
  this->Flush();
  return stream;
}

void PeerLink::AddStream(const LinkStreamPtr& stream) {
  if (this->streams.empty()) {
    this->streams_since = MonotonicClock::now();
  }
  this->streams.emplace(stream->id, stream);
}

bool PeerLink::IsSilent(TimePoint now, Duration limit) const {
  const TimePoint last = std::max(this->last_received(), this->streams_since);
  return this->mux.ready() && !this->streams.empty() && now - last > limit;
}

bool PeerLink::IsQuiet(TimePoint now, Duration interval) const {
  const TimePoint last = std::max(this->written_at, this->streams_since);
  return !this->is_closed && !this->streams.empty() && now - last >= interval;
}

void PeerLink::Cancel(LinkStream& stream) {
  this->mux.CancelStream(stream.id);
  this->Forget(stream);
  this->Flush();
}

void PeerLink::Withdraw(const LinkStream& stream) {
  this->mux.WithdrawStream(stream.id);
  this->DeliverEvents();
  this->Flush();
}

void PeerLink::Forget(const LinkStream& stream) {
  this->streams.erase(stream.id);
}

// Only the peer's close shows that all bytes have arrived. Without it, the link
// counts as busy for kLingerTime after its last activity.
bool PeerLink::IsBusy(TimePoint now) const {
  const TimePoint idle = this->mux.idle_since();
  const bool has_work = idle == kNever || this->is_writing;
  const TimePoint last = std::max(idle, this->written_at);
  return !this->is_closed && (has_work || now - last < kLingerTime);
}

void PeerLink::Drain() {
  this->mux.SendGoAway();
  this->DeliverEvents();
  this->Flush();
}

// Failure: both sides have sent GoAway while the last answer is still in this
// side's send buffer. Closing at once, with unread bytes of the peer (credit
// for that very answer), resets the connection and drops the unsent bytes: the
// answer of a VM that shuts down is truncated. So only the sending direction is
// closed; the peer closes once it has received everything.
Task<void> PeerLink::CloseGently() {
  const PeerLinkPtr self = this->shared_from_this();
  NetError ignored;
  this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
  Timer limit(this->run_on, kLingerTime);
  this->close_timer = &limit;
  co_await limit.async_wait(kTask);
  this->close_timer = nullptr;
  this->Close();
}

void PeerLink::Close() {
  if (this->close_timer != nullptr) {
    this->close_timer->cancel();
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

void PeerLink::DeliverEvents() {
  // Delivering an event may add events, so the loop iterates over a list of its
  // own.
  std::vector<wire::LinkEvent> batch;
  std::swap(batch, this->event_batch);
  this->mux.TakeEvents(batch);
  for (wire::LinkEvent& event : batch) {
    this->Deliver(std::move(event));
  }
  batch.clear();
  std::swap(batch, this->event_batch);
}

void PeerLink::Deliver(wire::LinkEvent event) {
  const PeerLinkPtr self = this->shared_from_this();
  this->counts.messages_received.Add();
  if (event.kind == wire::LinkEventKind::kOpened) {
    const auto stream = std::make_shared<LinkStream>(this->run_on);
    stream->id = event.stream;
    this->AddStream(stream);
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

void PeerLink::HandleClosed() {
  if (this->is_closed) {
    return;
  }
  this->is_closed = true;
  this->Close();
  this->mux.OnLost();
  this->DeliverEvents();
  Log(Event::kLinkLost, {{"peer", this->mux.peer().vm}});
  Notify(this->handlers.on_closed, this->shared_from_this());
}

}  // namespace basilsill
