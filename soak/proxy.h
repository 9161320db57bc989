#ifndef BASILSILL_SOAK_PROXY_H_
#define BASILSILL_SOAK_PROXY_H_

#include <chrono>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "basilsill/base/endpoint.h"

/// A TCP proxy on loopback that stands in for the network between two parts
/// of an installation, and harms it on demand.

namespace basilsill::soak {

enum class LinkState : uint8_t {
  kWell,
  kSlow,      ///< All octets come later.
  kOneWay,    ///< Nothing comes back from the target.
  kSilent,    ///< Connections stay open, and nothing goes either way.
  kRefusing,  ///< New connections are reset.
  kCount
};

/// Runs on the thread of its io_context.
class Proxy {
 public:
  Proxy(boost::asio::io_context& io, Endpoint target);
  ~Proxy();

  Endpoint endpoint() const;

  /// Where new connections go.
  void SetTarget(Endpoint target);

  /// Also for connections that are open. What a silent connection has held is
  /// passed on when it is well again.
  void SetState(LinkState next);

  /// Resets all connections.
  void Reset();

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_PROXY_H_
