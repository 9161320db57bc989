#ifndef BASILSILL_NODE_TEST_CALLER_HARNESS_H_
#define BASILSILL_NODE_TEST_CALLER_HARNESS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "caller_session.h"
#include "dispatch_host.h"
#include "entry_host.h"
#include "link_exchange.h"
#include "once_exchange.h"
#include "peer_link.h"
#include "upstream_pool.h"

/// Connections of callers without the rest of a node: their requests go over a
/// real link to a dispatcher that follows a script.

namespace basilsill::test {

/// How the scripted dispatcher ends an answer.
enum class AnswerEnd : uint8_t {
  kComplete,
  kReset,            ///< Reset halfway.
  kLinkLost,         ///< The link closes halfway.
  kShort,            ///< Ends halfway, as if it were complete.
  kRefused,          ///< The request is refused instead of answered.
  kRefusedUnproven,  ///< As before, but the message does not say not-run.
  kNoAnswer,
  kCount
};

struct ScriptedAnswer {
  AnswerEnd end = AnswerEnd::kComplete;
  size_t body_bytes = 0;
  bool chunked = false;
  std::chrono::milliseconds delay{0};  ///< Before the head.
  std::chrono::milliseconds pause{0};  ///< Halfway through the body.
};

/// One connection of a caller: the requests that it sends at once, and what
/// happens meanwhile.
struct CallerScript {
  std::vector<ScriptedAnswer> answers;               ///< One for each request.
  std::vector<std::chrono::milliseconds> deadlines;  ///< Of the requests.
  std::chrono::milliseconds closes_after{0};         ///< 0: closes at the end.
  bool http_1_0 = false;
};

/// What the caller received until its connection ended.
struct CallerRecord {
  std::string bytes;
  bool was_reset = false;
};

/// @returns the octet of which the body of answer `number` consists.
char BodyOctet(size_t number);

/// @returns the request id of request `number` of connection `caller`.
std::string RequestIdOf(size_t caller, size_t number);

class CallerHarness final : private CallerHost, private RemoteDispatch {
 public:
  CallerHarness();
  ~CallerHarness() override;

  /// Plays all scripts at the same time, one connection each.
  /// @param drains_after When the node begins to shut down; 0: never.
  std::vector<CallerRecord> Play(const std::vector<CallerScript>& scripts,
                                 std::chrono::milliseconds drains_after = {});

 private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  Task<void> RunCaller(ConnectionPtr connection);
  Task<void> ReadAnswers(ConnectionPtr connection);
  Task<void> TickSession(ConnectionPtr connection);
  Task<void> Answer(ConnectionPtr connection,
                    LinkStreamPtr stream,
                    size_t number);
  Task<void> Sleep(std::chrono::milliseconds time);
  void OpenLink(const ConnectionPtr& connection);
  std::pair<Socket, Socket> ConnectPair();

  // CallerHost
  const RoutingViewPtr& view() const override { return this->current_view; }
  const HeaderNames& names() const override { return this->header_names; }
  EntryHost& entry() override { return *this->entry_host; }
  const Executor& executor() const override { return this->run_on; }
  bool buffers_unsized_bodies() const override { return true; }
  bool leaving() const override { return this->is_draining; }
  bool draining() const override { return this->is_draining; }
  bool Admits(const RequestMessage& /*request*/) const override { return true; }
  std::string NewRequestId() override { return "none"; }
  const std::string& via() const override { return this->via_text; }
  const CallerLimits& caller_limits() const override { return this->limits; }
  WorkerMetrics& counters() override { return *this->counts; }
  std::chrono::milliseconds request_total() const override {
    return std::chrono::seconds(30);
  }
  OnceServices once_services() override { return {nullptr, this->run_on}; }
  uint64_t NextOnceSequence() override { return 0; }
  ServiceHandle ChooseService(const RuleRow& rule) override {
    return rule.service;
  }
  bool api_keys_verified() const override { return true; }
  bool routes_verified() const override { return true; }
  Task<QuotaDecision> TakeQuota(TeamKey team,
                                RuleHandle rule,
                                CreditClaim claim) override;
  void OnServed(RuleHandle rule, Duration time) override;
  void ReturnQuota(TeamKey team, const QuotaCredit& credit) override;
  void OnRequestStarted() override {}
  void OnRequestDone(const RequestMessage& request,
                     const RequestEnd& end) override;

  // RemoteDispatch
  bool IsLocal(VmHandle vm, ShardKey shard) const override;
  Task<ServeOutcome> Serve(RequestMessage& request,
                           const Target& target,
                           AnswerSink& sink) override;

  IoContext context{1};
  Executor run_on = this->context.get_executor();
  Acceptor acceptor;
  HeaderNames header_names;
  std::string via_text = "1.1 vm-0";
  CallerLimits limits;
  std::shared_ptr<WorkerMetrics> counts = std::make_shared<WorkerMetrics>();
  LinkCounters link_counts;
  UpstreamPool pool;
  std::unique_ptr<DispatchHost> dispatch_host;
  std::unique_ptr<EntryHost> entry_host;
  RoutingViewPtr current_view;
  std::vector<ConnectionPtr> connections;
  size_t unfinished = 0;
  std::chrono::milliseconds drains_after{0};
  bool is_draining = false;
};

}  // namespace basilsill::test

#endif  // BASILSILL_NODE_TEST_CALLER_HARNESS_H_
