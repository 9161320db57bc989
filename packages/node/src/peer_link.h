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

/// A connection between two nodes: either between two workers, carrying
/// requests as streams, or between two control threads.

namespace basilsill {

class PeerLink;
using PeerLinkPtr = std::shared_ptr<PeerLink>;

/// Callbacks of a link to its owner, on the owner's thread. Each may be empty.
struct LinkHandlers {
  /// The hello of the peer has arrived.
  std::function<void(const PeerLinkPtr&)> on_ready;
  /// The peer opened a stream: a request for a dispatcher of this worker.
  std::function<void(const PeerLinkPtr&, LinkStreamPtr, wire::Open)> on_open;
  /// A message that belongs to no stream has arrived.
  std::function<void(const PeerLinkPtr&, wire::PeerMessage)> on_message;
  /// The peer takes no new streams any more.
  std::function<void(const PeerLinkPtr&)> on_go_away;
  /// The link has ended. Called once.
  std::function<void(const PeerLinkPtr&)> on_closed;
};

/// Orders stream ids in a map.
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

  /// Reads and writes until the link is closed.
  Task<void> Run();

  /// Opens a stream.
  /// @returns nullptr if the link can't take another stream; nothing is sent
  /// then.
  LinkStreamPtr Open(wire::Open open);

  /// Cancels a stream, whose answer is no longer wanted.
  void Cancel(LinkStream& stream);

  /// Takes the request of a stream back, unless an upstream has it.
  void Withdraw(const LinkStream& stream);

  /// Removes a stream whose coroutine has ended. Its later events are dropped.
  void Forget(const LinkStream& stream);

  /// Takes no new streams and closes the link once all streams have ended.
  void Drain();

  /// Closes at once; open streams are lost.
  void Close();

  /// Calls `change` with the mux and wakes the write loop for what it queued.
  template <typename Change>
  auto Send(Change&& change) {
    auto result = change(this->mux);
    this->Flush();
    return result;
  }

  /// As `Send`, for messages that may be dropped if the link or the stream has
  /// ended, since an event reports that end.
  /// @returns false if the message was dropped.
  template <typename Change>
  bool TrySend(Change&& change) {
    return this->Send(std::forward<Change>(change)).has_value();
  }

  /// @returns how many bytes of a body the stream takes now. If it is 0, an
  /// event reports when the stream takes more.
  size_t WritableBytes(const LinkStream& stream);

  /// Reports that `bytes` of the stream's body have been consumed, which gives
  /// the peer credit for more.
  void Consumed(const LinkStream& stream, size_t bytes);

  const wire::Hello& peer() const { return this->mux.peer(); }
  /// @returns true until the link has ended.
  bool open() const { return !this->is_closed; }

  /// @returns true if a stream can be opened on the link.
  bool usable() const { return !this->is_closed && this->mux.CanOpenStreams(); }
  TimePoint idle_since() const { return this->mux.idle_since(); }

  /// @returns true while data would be lost if the process ended: a stream is
  /// open, or the bytes written last may not have arrived yet.
  bool IsBusy(TimePoint now) const;
  TimePoint last_received() const { return this->mux.last_received(); }

  /// @returns true if a stream is open and nothing has arrived for longer than
  /// `limit`. A peer that works sends something while a stream is open, though
  /// it has no answer yet.
  bool IsSilent(TimePoint now, Duration limit) const;

  /// @returns true if a stream is open and nothing was sent for `interval`.
  bool IsQuiet(TimePoint now, Duration interval) const;
  const Executor& executor() const { return this->run_on; }

 private:
  void AddStream(const LinkStreamPtr& stream);
  Task<void> WriteLoop();
  Task<void> CloseGently();
  void Flush();
  void DeliverEvents();
  void Deliver(wire::LinkEvent event);
  void HandleClosed();

  Executor run_on;
  Socket socket;
  wire::LinkMux mux;
  LinkHandlers handlers;
  LinkCounters& counts;
  std::map<wire::StreamId, LinkStreamPtr, StreamIdLess> streams;
  std::vector<wire::LinkEvent> event_batch;
  AsyncEvent output;
  Timer* close_timer = nullptr;  ///< Set while waiting for the peer to close.
  TimePoint written_at{};
  TimePoint streams_since{};  ///< Since when some stream is open.
  bool is_writing = false;
  bool is_closed = false;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_PEER_LINK_H_
