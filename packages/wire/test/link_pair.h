#ifndef BASILSILL_WIRE_TEST_LINK_PAIR_H_
#define BASILSILL_WIRE_TEST_LINK_PAIR_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "basilsill/wire/link_mux.h"

/// A link between two muxes in one process, in virtual time.

namespace basilsill::wire {

/// One side of a link, and the events that it has emitted.
struct LinkEnd {
  explicit LinkEnd(LinkMuxOptions options);

  /// Takes the new events of the mux and appends them to `received_events`.
  void Collect();

  /// @returns the number of events of `kind`.
  size_t Count(LinkEventKind kind) const;

  /// @returns the latest event of `kind`. Fails the test if there is none.
  const LinkEvent& Last(LinkEventKind kind) const;

  LinkMux mux;
  std::vector<LinkEvent> received_events;
};

/// @returns a valid Open with a body of `framing`.
Open OpenWith(BodyFraming framing);

/// @returns an Answer to `stream`, with a body of `framing`.
Answer AnswerWith(const StreamId& stream, BodyFraming framing);

LinkMuxOptions OptionsOf(LinkSide side);

struct LinkPair {
  explicit LinkPair(uint32_t stream_window = limits::kStreamWindowBytes);

  /// Transfers one batch of output of `from` to `to`.
  /// @returns its size in octets; 0 if there was no output.
  size_t Step(LinkEnd& from, LinkEnd& to);

  /// Transfers output in both directions until there is none.
  void DeliverAll();

  /// Opens a stream from the connector with `open` and delivers all output.
  /// @returns the id of the stream.
  StreamId OpenAndDeliver(Open open = OpenWith({}));

  LinkEnd connector;
  LinkEnd acceptor;
  TimePoint now{};
  std::optional<Failure> failure;  ///< Latest failure of OnBytes.
};

}  // namespace basilsill::wire

#endif  // BASILSILL_WIRE_TEST_LINK_PAIR_H_
