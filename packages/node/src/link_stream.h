#ifndef BASILSILL_NODE_LINK_STREAM_H_
#define BASILSILL_NODE_LINK_STREAM_H_

#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <utility>

#include "async_event.h"
#include "basilsill/wire/link_mux.h"
#include "http_message.h"

/// One stream of a data link, as used by the coroutines of the node: its
/// received events and the bodies that pass through it.

namespace basilsill {

class PeerLink;

/// Belongs to the coroutine that serves the stream; the link only adds events.
struct LinkStream {
  explicit LinkStream(const Executor& executor)
      : arrived(executor), writable(executor) {}

  /// Adds an event of the stream and resumes the coroutine that waits for it.
  void Deliver(wire::LinkEvent event);

  /// Waits for the next event and returns it.
  Task<wire::LinkEvent> Next();

  wire::StreamId id;
  std::deque<wire::LinkEvent> events;  ///< Not yet processed, in order.
  AsyncEvent arrived;                  ///< An event was added.
  AsyncEvent writable;  ///< The window has opened, or the stream is closed.
  /// Nothing more is sent: either side has ended the stream, or the link was
  /// lost.
  bool closed = false;
  /// Called for an event that ends the stream before its answer is complete.
  std::function<void()> on_closed;
  /// Called when the peer takes the request back.
  std::function<void()> on_withdrawn;
  bool withdrawn = false;
};
using LinkStreamPtr = std::shared_ptr<LinkStream>;

/// Sends the pieces of a body over a stream as its flow-control window allows.
class LinkBodyWriter {
 public:
  LinkBodyWriter(std::shared_ptr<PeerLink> link, LinkStreamPtr stream);

  /// Waits for the window as necessary.
  /// @returns false if the stream is closed or the link failed.
  Task<bool> Write(std::span<const char> piece);

  /// Sends the end of the body.
  /// @param trailers May be null.
  /// @returns false if it could not be sent.
  bool Finish(const HttpFields* trailers);

 private:
  std::shared_ptr<PeerLink> link;
  LinkStreamPtr stream;
};

/// The body of a request that was received over a link.
class LinkBodySource final : public BodySource {
 public:
  LinkBodySource(std::shared_ptr<PeerLink> link, LinkStreamPtr stream);

  Task<BodyPiece> Read(std::span<char> buffer) override;
  void Stop() override;
  const HttpFields* trailers() const override {
    return this->end_fields.begin() == this->end_fields.end()
               ? nullptr
               : &this->end_fields;
  }

  /// Sets the part of the body that was received with the head of the request.
  void SetInitialBytes(std::string bytes) { this->unread = std::move(bytes); }

 private:
  std::shared_ptr<PeerLink> link;
  LinkStreamPtr stream;
  std::string unread;  ///< Received but not yet read.
  size_t unread_offset = 0;
  HttpFields end_fields;  ///< The trailers.
  bool ended = false;
  bool stopped = false;
};

/// Sends an answer over the stream on which its request was received.
class LinkAnswerSink final : public AnswerSink {
 public:
  LinkAnswerSink(const std::shared_ptr<PeerLink>& link,
                 const LinkStreamPtr& stream);

  Task<bool> Start(const AnswerHead& head,
                   std::span<const char> piece,
                   bool last) override;
  Task<bool> Continue(std::span<const char> piece,
                      bool last,
                      const HttpFields* trailers) override;
  void Break() override;

  /// @returns true if the head of the answer was sent.
  bool has_started() const { return this->started; }

  /// @returns true if the answer was started and its end was not sent.
  bool is_unfinished() const { return this->started && !this->ended; }

 private:
  std::shared_ptr<PeerLink> link;
  LinkStreamPtr stream;
  LinkBodyWriter writer;
  bool started = false;
  bool ended = false;
};

/// Conversions between the types of the node and of the wire format.
wire::HeaderList ToHeaderList(const HttpFields& fields);
HttpFields FromHeaderList(const wire::HeaderList& list);
wire::BodyFraming ToWireFraming(const BodyFraming& framing);
BodyFraming FromWireFraming(const wire::BodyFraming& framing);

}  // namespace basilsill

#endif  // BASILSILL_NODE_LINK_STREAM_H_
