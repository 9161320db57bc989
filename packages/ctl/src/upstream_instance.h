#ifndef BASILSILL_CTL_UPSTREAM_INSTANCE_H_
#define BASILSILL_CTL_UPSTREAM_INSTANCE_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "basilsill/base/error.h"
#include "basilsill/ctl/upstream.h"
#include "upstream_state.h"

/// Network I/O of one emulated instance: the listener, its connections and the
/// restart timer. All of it runs on one thread.

namespace basilsill::ctl {

class UpstreamSession;

/// One emulated instance. Not thread-safe: its methods must be called on the
/// thread that runs its io_context.
class UpstreamInstance : public std::enable_shared_from_this<UpstreamInstance> {
 public:
  /// Opens the listener. Connections are accepted after Start().
  /// @returns kNetwork if the listener can't be opened.
  static Result<std::shared_ptr<UpstreamInstance>> Create(
      boost::asio::io_context& io,
      std::string name,
      const boost::asio::ip::tcp::endpoint& listen,
      const UpstreamBehaviour& behaviour,
      uint64_t seed);

  void Start();

  /// Closes the listener and every connection.
  void Close();

  /// Emulates a process crash: closes the listener and all connections at once,
  /// and listens again on the same port after `down_time`.
  void Crash(Duration down_time);

  /// Replaces the behaviour.
  void Change(const UpstreamBehaviour& behaviour);

  /// Calls `condition` now and after changes of the counters until it returns
  /// true.
  void AddWaiter(std::function<bool(const UpstreamCounts&)> condition);

  const std::string& name() const { return this->instance_name; }
  const boost::asio::ip::tcp::endpoint& endpoint() const {
    return this->address;
  }
  UpstreamState& state() { return this->state_machine; }
  const UpstreamState& state() const { return this->state_machine; }

  // Interface for sessions.

  /// Passes a request of `session` to the state machine, which calls Resume()
  /// of the session for each decision.
  UpstreamJobHandle Submit(UpstreamSession& session, UpstreamJob job);
  /// Reports that the service time of a running job has passed.
  void Finish(UpstreamJobHandle job);
  /// Reports that the caller of a job closed the connection.
  void Cancel(UpstreamJobHandle job);
  void RemoveSession(UpstreamSession& session);
  /// Flips the bits of one byte of `body` if the behaviour's `corrupt_every`
  /// selects it. The digest header must be computed before, so that the caller
  /// detects the corruption.
  void MaybeCorrupt(std::string& body);

 private:
  UpstreamInstance(boost::asio::io_context& io,
                   std::string name,
                   const UpstreamBehaviour& behaviour,
                   uint64_t seed);

  Result<void> Listen();
  void Accept();
  void Admit(boost::asio::ip::tcp::socket socket);
  void PerformSteps();
  void NotifyWaiters();
  void CloseAll();
  void ScheduleRestart(Duration delay);

  boost::asio::io_context& io;
  std::string instance_name;
  boost::asio::ip::tcp::endpoint address;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer restart_timer;
  UpstreamState state_machine;
  std::unordered_set<UpstreamSession*> sessions;
  /// The session of each job, by the index of its handle.
  std::vector<UpstreamSession*> owners;
  std::vector<std::function<bool(const UpstreamCounts&)>> waiters;
  uint64_t buffered_bodies = 0;  ///< Calls of MaybeCorrupt() so far.
};

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_UPSTREAM_INSTANCE_H_
