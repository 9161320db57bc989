#ifndef BASILSILL_SOAK_PROXY_H_
#define BASILSILL_SOAK_PROXY_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "basilsill/base/endpoint.h"

/// A TCP proxy on loopback that emulates the network between two parts of an
/// installation and injects network faults.

namespace basilsill::soak {

enum class LinkState : uint8_t {
  kNormal,
  kSlow,      ///< All bytes are delayed.
  kOneWay,    ///< Bytes from the target are held.
  kSilent,    ///< Connections stay open; bytes are held both ways.
  kRefusing,  ///< New connections are reset.
  kCount
};

/// Not thread-safe: call it on the thread of its io_context.
class Proxy {
 public:
  Proxy(boost::asio::io_context& io, Endpoint target);
  ~Proxy();

  Endpoint endpoint() const;

  /// Sets the target of new connections.
  void SetTarget(Endpoint target);

  /// Applies to open connections too. Bytes held in kSilent or kOneWay are
  /// delivered once the state no longer holds them.
  void SetState(LinkState next);

  /// @returns the state of the connections of one client, which has this port.
  /// Only kNormal, kSilent and kRefusing.
  using ClientLink = std::function<LinkState(uint16_t client_port)>;

  /// Applies to new connections, in addition to SetState().
  void SetClientLink(ClientLink link);

  /// Applies to open connections.
  /// @param resets Resets those whose state is kRefusing; otherwise they go on.
  void ApplyClientLink(const ClientLink& link, bool resets);

  /// Resets all open connections.
  void Reset();

  /// Open connections stay open and carry nothing any more.
  void Silence();

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_PROXY_H_
