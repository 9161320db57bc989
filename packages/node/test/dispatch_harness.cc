#include "dispatch_harness.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace basilsill::test {
namespace {

using std::chrono::milliseconds;

constexpr unsigned kOk = 200;
constexpr milliseconds kTick{1};
constexpr milliseconds kEndTime{20};
// Far longer than any wait needs.
constexpr milliseconds kWaitLimit{20'000};

HeaderNames MakeNames() {
  HeaderNames names;
  names.served_by = "X-Instance";
  names.load = "X-Load";
  names.request_id_is_echoed = true;
  names.promise_by_status = true;
  return names;
}

RoutingViewPtr MakeView(const Endpoint& upstream) {
  ViewFixture fixture;
  fixture.AddUpstream(0, 8);
  fixture.service.upstreams[0].endpoint = upstream;
  return fixture.Build();
}

}  // namespace

Task<bool> KeepingSink::Start(const AnswerHead& head,
                              std::span<const char> piece,
                              bool last) {
  this->status = head.status;
  if (this->hold) {
    co_await this->hold();
  }
  this->body.assign(piece.data(), piece.size());
  this->has_ended = last;
  co_return true;
}

Task<bool> KeepingSink::Continue(std::span<const char> piece,
                                 bool last,
                                 const HttpFields* /*trailers*/) {
  if (this->body.size() < kMaxKept) {
    this->body.append(piece.data(), piece.size());
  }
  this->has_ended = last;
  co_return true;
}

DispatchHarness::DispatchHarness()
    : names(MakeNames()),
      upstream(this->context,
               this->names,
               [this](bool is_health_check) {
                 return this->choose(is_health_check);
               }),
      view(MakeView(this->upstream.endpoint())) {}

void DispatchHarness::setup() {
  UpstreamPoolOptions options;
  options.names = this->names;
  options.hold_answers = true;
  options.answers_end_at_deadline = true;
  options.reader.body_bytes = UINT64_MAX;
  this->pool = std::make_unique<UpstreamPool>(this->context.get_executor(),
                                              options, this->metrics);
  this->dispatch =
      std::make_unique<DispatchHost>(Dispatcher::Create({}), *this->pool);
  this->dispatch->ApplyView(MonotonicClock::now(), this->view);
}

void DispatchHarness::teardown() {
  this->RunFor(kEndTime);
  this->dispatch.reset();
  this->pool.reset();
}

void DispatchHarness::RunFor(milliseconds time) {
  this->context.restart();
  this->context.run_for(time);
}

bool DispatchHarness::RunUntil(const std::function<bool()>& condition) {
  const auto limit = MonotonicClock::now() + kWaitLimit;
  bool is_met = condition();
  while (!is_met && MonotonicClock::now() < limit) {
    this->RunFor(kTick);
    this->dispatch->Tick(MonotonicClock::now());
    is_met = condition();
  }
  return is_met;
}

Served& DispatchHarness::Add(const std::string& id, milliseconds deadline) {
  this->requests.push_back(std::make_unique<Served>());
  Served& served = *this->requests.back();
  RequestMessage& request = served.request;
  request.method = "POST";
  request.target = "/confirm";
  request.request_id = id;
  request.headers.set(this->names.request_id, id);
  request.headers.set("Host", "levels.test");
  request.entry.service = {0, 0};
  request.entry.team = {0, 0};
  request.entry.deadline = MonotonicClock::now() + deadline;
  request.entry.max_attempts = 2;
  request.entry.replayable = true;
  return served;
}

void DispatchHarness::Send(Served& served) {
  boost::asio::co_spawn(this->context, this->Serve(served),
                        boost::asio::detached);
}

void DispatchHarness::Start(const std::string& id,
                            milliseconds deadline,
                            bool is_idempotent,
                            uint8_t max_attempts) {
  Served& served = this->Add(id, deadline);
  served.request.entry.idempotent = is_idempotent;
  served.request.entry.max_attempts = max_attempts;
  this->Send(served);
}

Task<void> DispatchHarness::Serve(Served& served) {
  Target target;
  target.shard = this->view->services[0]->shards.at(0).key;
  const ServeOutcome outcome =
      co_await this->dispatch->Serve(served.request, target, served.sink);
  served.outcome = outcome;
}

void DispatchHarness::Finish() {
  CHECK(this->RunUntil([this] {
    return std::all_of(this->requests.begin(), this->requests.end(),
                       [](const auto& served) { return served->outcome; });
  }));
}

void DispatchHarness::ServeOne() {
  CHECK(this->RunUntil([this] {
    this->Start("next-" + std::to_string(this->next++));
    this->Finish();
    return this->requests.back()->outcome->answered;
  }));
  this->CheckOutcomes();
}

LoadQueryReport DispatchHarness::QueryLoad() {
  std::optional<LoadQueryReport> report;
  boost::asio::co_spawn(this->context, this->RunQuery(report),
                        boost::asio::detached);
  while (!report) {
    this->RunFor(kTick);
  }
  return *report;
}

Task<void> DispatchHarness::RunQuery(std::optional<LoadQueryReport>& report) {
  AttemptTarget target;
  const UpstreamRow& row = this->view->services[0]->upstreams[0];
  target.endpoint = row.endpoint;
  target.upstream = row.handle;
  target.data_centre = row.data_centre;
  const LoadQueryReport done =
      co_await QueryUpstreamLoad(*this->pool, target, "/health");
  report = done;
}

size_t DispatchHarness::RunsOf(const std::string& id) const {
  const auto found = this->upstream.runs().find(id);
  return found == this->upstream.runs().end() ? 0 : found->second;
}

void DispatchHarness::CheckReleased() {
  CHECK_EQUAL(0, this->dispatch->active());
  CHECK_EQUAL(0, this->pool->idle_count());
  CHECK(this->RunUntil(
      [this] { return this->upstream.open_connections() == 0; }));
}

void DispatchHarness::CheckOutcomes() const {
  for (const auto& served : this->requests) {
    const std::string& id = served->request.request_id;
    const ServeOutcome& outcome = *served->outcome;
    CHECK(this->RunsOf(id) <= 1);
    if (outcome.answered) {
      CHECK_EQUAL(kOk, served->sink.status);
      CHECK(served->sink.body == AnswerBodyOf(id));
      CHECK_EQUAL(1, this->RunsOf(id));
    } else if (InfoOf(outcome.refusal).promise == Promise::kNotRun) {
      CHECK_EQUAL(0, this->RunsOf(id));
    }
  }
}

}  // namespace basilsill::test
