#ifndef BASILSILL_NODE_CONFIGURATION_HOST_H_
#define BASILSILL_NODE_CONFIGURATION_HOST_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "basilsill/decision/change_table.h"
#include "basilsill/decision/configuration_status.h"
#include "basilsill/decision/follower.h"
#include "basilsill/platform/log_client.h"
#include "metrics.h"

/// Keeps this VM's configuration up to date with the platform's log and writes
/// operators' changes to the log. Performs the input and output that the pure
/// ConfigurationFollower, ChangeTable and CheckpointPlanner decide on. Runs on
/// the control thread.

namespace basilsill {

struct ConfigurationHandlers {
  /// The state folded from the log has changed.
  std::function<void()> on_changed;
  /// @returns how many live VMs precede this one in writing checkpoints.
  std::function<size_t()> checkpoint_rank;
};

class ConfigurationHost {
 public:
  ConfigurationHost(boost::asio::io_context& context,
                    LogClient& log,
                    std::string vm,
                    ConfigurationHandlers handlers,
                    ControlMetrics& counts);
  ~ConfigurationHost();

  void Start();
  void Stop();

  /// Proposes `change` and waits for its first outcome, which may be
  /// kUnresolved.
  boost::asio::awaitable<ChangeOutcome>
  Propose(Change change, std::chrono::milliseconds timeout, bool may_be_resend);

  /// Waits until the state has passed `offset`, or for `timeout`.
  boost::asio::awaitable<void> AwaitBeyond(uint64_t offset,
                                           std::chrono::milliseconds timeout);

  /// Applies the snapshot of a peer.
  void OnSnapshot(const std::vector<std::string>& parts);

  void Tick(TimePoint now);

  const ConfigurationFollower& follower() const { return this->following; }
  const ChangeFeed& feed() const { return this->changes_feed; }

  /// @returns a random id for a change: 128 bits, so that it never repeats.
  std::string NewChangeId();

 private:
  struct PendingProposal;

  boost::asio::awaitable<void> ReadLoop();
  boost::asio::awaitable<bool> ReadOnce(std::chrono::milliseconds wait);
  boost::asio::awaitable<void> Append(ChangeHandle change, std::string record);
  boost::asio::awaitable<void> WriteCheckpointNow();
  void OnRead(const ReadResult& answer, uint64_t from, uint64_t ticket);
  void OnFollowed(const FollowResult& result);
  void SetLogAvailable(bool available, const Failure& failure);
  void Pump();
  void Reply(const ChangeOutcome& outcome);

  boost::asio::io_context& context;
  LogClient& log;
  std::string vm;
  ConfigurationHandlers handlers;
  ControlMetrics& counts;
  ConfigurationFollower following;
  ChangeTable changes;
  ChangeFeed changes_feed;
  CheckpointPlanner planner;
  std::map<uint64_t, std::shared_ptr<PendingProposal>> pending_proposals;
  boost::asio::steady_timer state_advanced;
  uint64_t next_cookie = 1;
  bool log_available = true;
  bool writing_checkpoint = false;
  bool pumping = false;
  bool stopped = false;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_CONFIGURATION_HOST_H_
