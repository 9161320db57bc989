#ifndef BASILSILL_NODE_TEST_PLAIN_PEER_H_
#define BASILSILL_NODE_TEST_PLAIN_PEER_H_

#include <functional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "basilsill/wire/link_mux.h"

/// The far end of a link, of which a test says each step.

namespace basilsill::test {

/// Speaks the protocol between nodes over a blocking socket.
class PlainPeer {
 public:
  /// @param hello What the peer says of itself; it opened the connection.
  PlainPeer(boost::asio::ip::tcp::socket socket, wire::Hello hello);

  /// Writes all that the mux has to send.
  void Flush();

  /// Reads one piece.
  /// @returns false once the link has ended.
  bool Read();

  /// Reads until `holds`.
  /// @returns false if the link ended before.
  bool ReadUntil(const std::function<bool()>& holds);

  boost::asio::ip::tcp::socket socket;
  wire::LinkMux mux;
  size_t body = 0;         ///< Octets of bodies that have come as data.
  unsigned status = 0;     ///< Of the last answer that has begun.
  bool ended = false;      ///< A body has come to its end.
  bool went_away = false;  ///< The node takes no new streams here.
  bool left = false;       ///< A heartbeat said that the node leaves.

 private:
  void Take(const wire::LinkEvent& event);
};

/// @returns what a VM says of itself on a link of `role`.
wire::Hello PeerHello(wire::LinkRole role, const std::string& vm);

/// @returns a request as a peer hands it over, for the dispatcher of `shard`.
wire::Open PeerRequest(ShardKey shard);

}  // namespace basilsill::test

#endif  // BASILSILL_NODE_TEST_PLAIN_PEER_H_
