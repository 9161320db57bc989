#ifndef BASILSILL_NODE_TEST_DISPATCH_HARNESS_H_
#define BASILSILL_NODE_TEST_DISPATCH_HARNESS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "copying_upstream.h"
#include "decision_fixture.h"
#include "dispatch_host.h"
#include "load_query.h"
#include "upstream_pool.h"

#include <CppUTest/TestHarness.h>

/// A dispatcher with one upstream, whose answers a test chooses.

namespace basilsill::test {

/// Keeps the answer that it gets, or the start of a long one.
class KeepingSink final : public AnswerSink {
 public:
  static constexpr size_t kMaxKept = 64 * 1024;

  Task<bool> Start(const AnswerHead& head,
                   std::span<const char> piece,
                   bool last) override;
  Task<bool> Continue(std::span<const char> piece,
                      bool last,
                      const HttpFields* trailers) override;
  void Break() override { this->is_broken = true; }

  unsigned status = 0;
  bool is_broken = false;
  bool has_ended = false;  ///< The end of the answer has arrived.
  std::string body;
  /// If set, the sink takes the first piece only once this returns.
  std::function<Task<void>()> hold;
};

/// A request that must not run twice, and its outcome.
struct Served {
  RequestMessage request;
  KeepingSink sink;
  std::optional<ServeOutcome> outcome;
};

/// Base of test groups.
class DispatchHarness : public Utest {
 public:
  static constexpr std::chrono::milliseconds kDeadline{5'000};

  DispatchHarness();

  void setup() override;
  /// Ends the coroutines before the objects to which they refer.
  void teardown() override;

  void RunFor(std::chrono::milliseconds time);

  /// @returns false if `condition` is not true within kWaitLimit.
  bool RunUntil(const std::function<bool()>& condition);

  /// Adds a request, which `Send` then sends.
  Served& Add(const std::string& id,
              std::chrono::milliseconds deadline = kDeadline);

  void Send(Served& served);

  /// Adds and sends a request.
  void Start(const std::string& id,
             std::chrono::milliseconds deadline = kDeadline,
             bool is_idempotent = false,
             uint8_t max_attempts = 2);

  /// Runs until all requests have an outcome.
  void Finish();

  /// Sends requests until one is answered. The dispatcher gives an upstream
  /// that has rejected or failed all requests no work for a moment.
  void ServeOne();

  /// Sends a health check and waits for its end.
  LoadQueryReport QueryLoad();

  size_t RunsOf(const std::string& id) const;

  /// Checks that nothing is left of the requests and their connections.
  void CheckReleased();

  /// Checks each outcome against what the upstream ran.
  void CheckOutcomes() const;

  IoContext context{1};
  HeaderNames names;
  std::function<UpstreamReply(bool is_health_check)> choose;
  CopyingUpstream upstream;
  std::shared_ptr<WorkerMetrics> metrics = std::make_shared<WorkerMetrics>();
  std::unique_ptr<UpstreamPool> pool;
  std::unique_ptr<DispatchHost> dispatch;
  RoutingViewPtr view;
  std::vector<std::unique_ptr<Served>> requests;

 private:
  Task<void> Serve(Served& served);
  Task<void> RunQuery(std::optional<LoadQueryReport>& report);

  int next = 0;
};

}  // namespace basilsill::test

#endif  // BASILSILL_NODE_TEST_DISPATCH_HARNESS_H_
