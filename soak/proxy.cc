#include "proxy.h"

#include <array>
#include <set>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace basilsill::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr size_t kBufferBytes = 16 * 1024;
constexpr milliseconds kAddedDelay{250};
// Interval at which held bytes check whether they may be forwarded.
constexpr milliseconds kHoldPollInterval{10};

tcp::endpoint ToTcp(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address), endpoint.port};
}

enum class Direction : uint8_t { kToTarget, kFromTarget };

/// Both sockets of one proxied connection: `near` to the client, `far` to the
/// target.
struct SocketPair {
  explicit SocketPair(tcp::socket accepted)
      : near(std::move(accepted)), far(this->near.get_executor()) {}

  void Reset() {
    boost::system::error_code ignored;
    for (tcp::socket* socket : {&this->near, &this->far}) {
      socket->set_option(tcp::socket::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

  tcp::socket near;
  tcp::socket far;
  uint16_t client_port = 0;
  LinkState client_link = LinkState::kNormal;
  bool is_silent = false;  ///< For good.
};

}  // namespace

struct Proxy::State : std::enable_shared_from_this<State> {
  State(asio::io_context& io, Endpoint target)
      : acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        target(std::move(target)) {}

  asio::awaitable<void> Accept();
  void Identify(SocketPair& pair);
  asio::awaitable<void> Connect(std::shared_ptr<SocketPair> pair);
  asio::awaitable<void> Forward(std::shared_ptr<SocketPair> pair,
                                Direction direction);
  asio::awaitable<void> Delay(std::shared_ptr<SocketPair> pair,
                              Direction direction);
  bool IsHeld(const SocketPair& pair, Direction direction) const {
    return pair.is_silent || this->link == LinkState::kSilent ||
           pair.client_link == LinkState::kSilent ||
           (this->link == LinkState::kOneWay &&
            direction == Direction::kFromTarget);
  }

  tcp::acceptor acceptor;
  Endpoint target;
  LinkState link = LinkState::kNormal;
  ClientLink client_link;
  std::set<std::shared_ptr<SocketPair>> pairs;
  bool stopped = false;
};

asio::awaitable<void> Proxy::State::Accept() {
  const auto self = this->shared_from_this();
  while (!this->stopped) {
    tcp::socket socket(this->acceptor.get_executor());
    const auto [error] = co_await this->acceptor.async_accept(socket, kNoThrow);
    if (error) {
      co_return;
    }
    auto pair = std::make_shared<SocketPair>(std::move(socket));
    this->Identify(*pair);
    if (this->link == LinkState::kRefusing ||
        pair->client_link == LinkState::kRefusing) {
      pair->Reset();
    } else {
      asio::co_spawn(this->acceptor.get_executor(),
                     this->Connect(std::move(pair)), asio::detached);
    }
  }
}

void Proxy::State::Identify(SocketPair& pair) {
  boost::system::error_code gone;
  pair.client_port = pair.near.remote_endpoint(gone).port();
  if (this->client_link && !gone) {
    pair.client_link = this->client_link(pair.client_port);
  }
}

asio::awaitable<void> Proxy::State::Connect(std::shared_ptr<SocketPair> pair) {
  const auto self = this->shared_from_this();
  const auto [error] =
      co_await pair->far.async_connect(ToTcp(this->target), kNoThrow);
  // The state may have changed meanwhile.
  this->Identify(*pair);
  if (error || this->stopped || pair->client_link == LinkState::kRefusing) {
    pair->Reset();
    co_return;
  }
  boost::system::error_code ignored;
  pair->near.set_option(tcp::no_delay(true), ignored);
  pair->far.set_option(tcp::no_delay(true), ignored);
  this->pairs.insert(pair);
  const auto executor = this->acceptor.get_executor();
  asio::co_spawn(executor, this->Forward(pair, Direction::kToTarget),
                 asio::detached);
  co_await this->Forward(pair, Direction::kFromTarget);
  this->pairs.erase(pair);
}

asio::awaitable<void> Proxy::State::Forward(std::shared_ptr<SocketPair> pair,
                                            Direction direction) {
  const auto self = this->shared_from_this();
  const bool is_to_target = direction == Direction::kToTarget;
  tcp::socket& from = is_to_target ? pair->near : pair->far;
  tcp::socket& to = is_to_target ? pair->far : pair->near;
  std::array<char, kBufferBytes> buffer{};
  boost::system::error_code failed;
  while (!failed) {
    const auto [error, size] =
        co_await from.async_read_some(asio::buffer(buffer), kNoThrow);
    failed = error;
    co_await this->Delay(pair, direction);
    if (!failed) {
      const auto [unwritten, written] =
          co_await asio::async_write(to, asio::buffer(buffer, size), kNoThrow);
      failed = unwritten;
    }
  }
  // Forwards an orderly end as a half-close and any other end as a reset.
  if (failed != asio::error::eof) {
    pair->Reset();
    co_return;
  }
  boost::system::error_code ignored;
  to.shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<void> Proxy::State::Delay(std::shared_ptr<SocketPair> pair,
                                          Direction direction) {
  asio::steady_timer timer(this->acceptor.get_executor());
  if (this->link == LinkState::kSlow) {
    timer.expires_after(kAddedDelay);
    co_await timer.async_wait(kNoThrow);
  }
  while (this->IsHeld(*pair, direction) && !this->stopped) {
    timer.expires_after(kHoldPollInterval);
    co_await timer.async_wait(kNoThrow);
  }
}

Proxy::Proxy(asio::io_context& io, Endpoint target)
    : state(std::make_shared<State>(io, std::move(target))) {
  asio::co_spawn(io, this->state->Accept(), asio::detached);
}

Proxy::~Proxy() {
  this->state->stopped = true;
  boost::system::error_code ignored;
  this->state->acceptor.close(ignored);
  this->Reset();
}

Endpoint Proxy::endpoint() const {
  return {"127.0.0.1", this->state->acceptor.local_endpoint().port()};
}

void Proxy::SetTarget(Endpoint target) {
  this->state->target = std::move(target);
}

void Proxy::SetState(LinkState next) {
  this->state->link = next;
}

void Proxy::SetClientLink(ClientLink link) {
  this->state->client_link = std::move(link);
}

void Proxy::ApplyClientLink(const ClientLink& link, bool resets) {
  std::erase_if(this->state->pairs, [&](const auto& pair) {
    pair->client_link = link(pair->client_port);
    const bool is_reset = resets && pair->client_link == LinkState::kRefusing;
    if (is_reset) {
      pair->Reset();
    }
    return is_reset;
  });
}

void Proxy::Silence() {
  for (const auto& pair : this->state->pairs) {
    pair->is_silent = true;
  }
}

void Proxy::Reset() {
  const auto pairs = std::exchange(this->state->pairs, {});
  for (const auto& pair : pairs) {
    pair->Reset();
  }
}

}  // namespace basilsill::soak
