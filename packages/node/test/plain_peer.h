#ifndef BASILSILL_NODE_TEST_PLAIN_PEER_H_
#define BASILSILL_NODE_TEST_PLAIN_PEER_H_

#include <functional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "basilsill/wire/link_mux.h"

/// The remote end of a link, which a test drives step by step.

namespace basilsill::test {

/// Runs the protocol between nodes over a blocking socket.
class PlainPeer {
 public:
  /// @param socket Connected to the node.
  /// @param hello Hello that the peer sends.
  /// @param side kAcceptor if the node has opened the connection.
  PlainPeer(boost::asio::ip::tcp::socket socket,
            wire::Hello hello,
            wire::LinkSide side = wire::LinkSide::kConnector);

  /// Writes all pending output of the mux.
  void Flush();

  /// Reads the bytes available, at most 1 KiB, and records the events in them.
  /// @returns false once the link has ended.
  bool Read();

  /// Writes and reads until `condition` is true.
  /// @returns false if the link ended first.
  bool ReadUntil(const std::function<bool()>& condition);

  boost::asio::ip::tcp::socket socket;
  wire::LinkMux mux;
  size_t body_bytes = 0;    ///< Bytes of bodies received in data messages.
  unsigned status = 0;      ///< Status of the answer that started last.
  bool body_ended = false;  ///< The end of a body has been received.
  bool received_go_away = false;  ///< The node takes no new streams.
  bool received_leaving = false;  ///< Set by a heartbeat.

 private:
  void Take(const wire::LinkEvent& event);
};

/// @returns the hello of `vm` on a link of `role`.
wire::Hello PeerHello(wire::LinkRole role, const std::string& vm);

/// @returns a request that a peer forwards to the dispatcher of `shard`.
wire::Open PeerRequest(ShardKey shard);

}  // namespace basilsill::test

#endif  // BASILSILL_NODE_TEST_PLAIN_PEER_H_
