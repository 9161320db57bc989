#ifndef BASILSILL_NODE_PEER_LINK_H_
#define BASILSILL_NODE_PEER_LINK_H_

#include <functional>
#include <map>
#include <memory>
#include <tuple>
#include <vector>

#include "async_event.h"
#include "basilsill/wire/link_mux.h"
#include "link_stream.h"
#include "metrics.h"

/// A connection between two nodes: of two workers, to carry requests as
/// streams, or of two control threads.

namespace basilsill {

class PeerLink;
using PeerLinkPtr = std::shared_ptr<PeerLink>;

/// What a link tells its owner, on the owner's thread. Each may be empty.
struct LinkHandlers {
  /// The peer has introduced itself.
  std::function<void(const PeerLinkPtr&)> on_ready;
  /// The peer opened a stream: a request for a dispatcher of this worker.
  std::function<void(const PeerLinkPtr&, LinkStreamPtr, wire::Open)> on_open;
  /// A message that belongs to no stream.
  std::function<void(const PeerLinkPtr&, wire::PeerMessage)> on_message;
  /// The peer takes no new streams.
  std::function<void(const PeerLinkPtr&)> on_go_away;
  /// The link has ended. Called once.
  std::function<void(const PeerLinkPtr&)> on_over;
};

/// Orders streams, for tables.
struct StreamIdLess {
  bool operator()(const wire::StreamId& a, const wire::StreamId& b) const {
    return std::tie(a.opener, a.index, a.generation) <
           std::tie(b.opener, b.index, b.generation);
  }
};

class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  PeerLink(Socket socket,
           wire::LinkMuxOptions options,
           LinkHandlers handlers,
           LinkCounters& counts);

  /// Reads and writes until the link is over.
  Task<void> Run();

  /// Opens a stream.
  /// @returns nullptr if the link can't take it; nothing was sent then.
  LinkStreamPtr Open(wire::Open open);

  /// Ends interest in a stream's answer.
  void Cancel(LinkStream& stream);

  /// The stream's coroutine has ended; later events of it are dropped.
  void Forget(const LinkStream& stream);

  /// Takes no new streams; the link closes when all are over.
  void Drain();

  /// Closes at once; open streams are lost.
  void Close();

  /// Queues what `change` sends and wakes the writing side.
  template <typename Change>
  auto Send(Change&& change) {
    auto result = change(this->mux);
    this->Flush();
    return result;
  }

  /// As `Send`, for what does no harm if the link or stream is over, since
  /// the loss is told by an event of its own.
  template <typename Change>
  bool TrySend(Change&& change) {
    return this->Send(std::forward<Change>(change)).has_value();
  }

  /// @returns how many octets of a body the stream takes now.
  size_t WritableBytes(const LinkStream& stream);

  /// The shell has passed on `bytes` of the stream's body.
  void Consumed(const LinkStream& stream, size_t bytes);

  const wire::Hello& peer() const { return this->mux.peer(); }
  /// @returns true until the link has ended.
  bool open() const { return !this->is_over; }

  /// @returns true if a stream can be opened on it.
  bool usable() const { return !this->is_over && this->mux.CanOpenStreams(); }
  TimePoint idle_since() const { return this->mux.idle_since(); }

  /// @returns true while the end of the process would lose something: a stream
  /// is open, or what was written last may not have arrived.
  bool IsBusy(TimePoint now) const;
  TimePoint last_received() const { return this->mux.last_received(); }
  const Executor& executor() const { return this->run_on; }

 private:
  Task<void> WriteLoop();
  Task<void> CloseGently();
  void Flush();
  void TakeEvents();
  void Deliver(wire::LinkEvent event);
  void Lose();

  Executor run_on;
  Socket socket;
  wire::LinkMux mux;
  LinkHandlers handlers;
  LinkCounters& counts;
  std::map<wire::StreamId, LinkStreamPtr, StreamIdLess> streams;
  std::vector<wire::LinkEvent> taken;
  AsyncEvent output;
  Timer* closing = nullptr;  ///< Runs while the peer is to close.
  TimePoint written_at{};
  bool is_writing = false;
  bool is_over = false;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_PEER_LINK_H_
