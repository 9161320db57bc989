#include "caller_harness.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include "decision_fixture.h"
#include "plain_peer.h"

namespace basilsill::test {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{5};
// Far longer than any script takes.
constexpr milliseconds kCallerTimeout{20'000};
constexpr size_t kReadBytes = 16 * 1024;

// All upstreams are in the other data centre, so requests go over links.
RoutingViewPtr MakeView() {
  ViewFixture fixture;
  fixture.view.teams[0].limits.concurrency = 1 << 20;
  fixture.AddUpstream(1);
  RuleRow rule;
  rule.handle = {0, 0};
  rule.name = "levels";
  rule.service = fixture.service.handle;
  rule.match.host = "levels.test";
  rule.max_attempts = 1;
  fixture.view.rules = {rule};
  fixture.view.rule_order = {rule.handle};
  return fixture.Build();
}

// The last request asks to close the connection after its answer.
std::string RequestText(const CallerScript& script,
                        const HeaderNames& names,
                        size_t caller,
                        size_t number) {
  const std::string version = script.http_1_0 ? "HTTP/1.0" : "HTTP/1.1";
  const bool is_last = number + 1 == script.answers.size();
  return "GET /" + std::to_string(caller) + "/" + std::to_string(number) + " " +
         version + "\r\nHost: levels.test\r\n" + names.request_id + ": " +
         RequestIdOf(caller, number) + "\r\n" + names.deadline + ": " +
         std::to_string(script.deadlines.at(number).count()) +
         (is_last ? "\r\nConnection: close" : "") + "\r\n\r\n";
}

// @returns the numbers of a target of the form /caller/request.
std::pair<size_t, size_t> ParseTarget(const std::string& target) {
  const size_t slash = target.find('/', 1);
  return {std::stoul(target.substr(1, slash - 1)),
          std::stoul(target.substr(slash + 1))};
}

}  // namespace

struct CallerHarness::Connection {
  explicit Connection(Socket socket) : caller(std::move(socket)) {}

  size_t number = 0;
  CallerScript script;
  CallerRecord record;
  Socket caller;
  std::shared_ptr<CallerSession> session;
  PeerLinkPtr entry_link;
  PeerLinkPtr dispatcher_link;
  bool session_ended = false;
};

char BodyOctet(size_t number) {
  return static_cast<char>('a' + number);
}

std::string RequestIdOf(size_t caller, size_t number) {
  return "c" + std::to_string(caller) + "-" + std::to_string(number);
}

CallerHarness::CallerHarness()
    : acceptor(Listen(this->context, {"127.0.0.1", 0}, false).value()),
      pool(this->run_on, {}, this->counts) {
  this->current_view = MakeView();
  this->dispatch_host =
      std::make_unique<DispatchHost>(Dispatcher::Create({}), this->pool);
  RemoteDispatch& remote = *this;
  this->entry_host = std::make_unique<EntryHost>(EntryRouter::Create({}),
                                                 *this->dispatch_host, remote);
  const TimePoint now = MonotonicClock::now();
  this->dispatch_host->ApplyView(now, this->current_view);
  this->entry_host->ApplyView(now, this->current_view);
}

CallerHarness::~CallerHarness() = default;

std::vector<CallerRecord> CallerHarness::Play(
    const std::vector<CallerScript>& scripts,
    milliseconds drains_after) {
  this->connections.clear();
  this->drains_after = drains_after;
  for (const CallerScript& script : scripts) {
    auto [caller, served] = this->ConnectPair();
    const auto connection = std::make_shared<Connection>(std::move(caller));
    connection->number = this->connections.size();
    connection->script = script;
    CallerHost& host = *this;
    connection->session =
        std::make_shared<CallerSession>(host, std::move(served));
    this->OpenLink(connection);
    this->connections.push_back(connection);
  }
  this->unfinished = this->connections.size();
  for (const ConnectionPtr& connection : this->connections) {
    boost::asio::co_spawn(this->run_on, this->RunCaller(connection),
                          boost::asio::detached);
  }
  while (this->unfinished > 0) {
    this->context.restart();
    this->context.run_for(kTick);
  }
  std::vector<CallerRecord> records;
  for (const ConnectionPtr& connection : this->connections) {
    connection->entry_link->Close();
    connection->dispatcher_link->Close();
    records.push_back(std::move(connection->record));
  }
  this->context.restart();
  this->context.run_for(kTick);
  return records;
}

std::pair<Socket, Socket> CallerHarness::ConnectPair() {
  Socket connecting(this->run_on);
  connecting.connect(this->acceptor.local_endpoint());
  Socket accepted(this->run_on);
  this->acceptor.accept(accepted);
  return {std::move(connecting), std::move(accepted)};
}

void CallerHarness::OpenLink(const ConnectionPtr& connection) {
  auto [connecting, accepted] = this->ConnectPair();
  wire::LinkMuxOptions entry;
  entry.side = wire::LinkSide::kConnector;
  entry.hello = PeerHello(wire::LinkRole::kData, "vm-0");
  connection->entry_link = std::make_shared<PeerLink>(
      std::move(connecting), entry, LinkHandlers{}, this->link_counts);
  wire::LinkMuxOptions dispatcher;
  dispatcher.side = wire::LinkSide::kAcceptor;
  dispatcher.hello = PeerHello(wire::LinkRole::kData, "vm-1");
  LinkHandlers handlers;
  const std::weak_ptr<Connection> weak = connection;
  handlers.on_open = [this, weak](const PeerLinkPtr&, LinkStreamPtr stream,
                                  const wire::Open& open) {
    const ConnectionPtr opened = weak.lock();
    const size_t number = ParseTarget(open.target).second;
    boost::asio::co_spawn(this->run_on,
                          this->Answer(opened, std::move(stream), number),
                          boost::asio::detached);
  };
  connection->dispatcher_link = std::make_shared<PeerLink>(
      std::move(accepted), dispatcher, std::move(handlers), this->link_counts);
  for (const PeerLinkPtr& link :
       {connection->entry_link, connection->dispatcher_link}) {
    boost::asio::co_spawn(this->run_on, link->Run(), boost::asio::detached);
  }
}

Task<void> CallerHarness::RunCaller(ConnectionPtr connection) {
  boost::asio::co_spawn(this->run_on, connection->session->Run(),
                        [connection](const std::exception_ptr& /*error*/) {
                          connection->session_ended = true;
                        });
  boost::asio::co_spawn(this->run_on, this->TickSession(connection),
                        boost::asio::detached);
  boost::asio::co_spawn(this->run_on, this->ReadAnswers(connection),
                        boost::asio::detached);
  std::string requests;
  for (size_t i = 0; i < connection->script.answers.size(); ++i) {
    requests += RequestText(connection->script, this->header_names,
                            connection->number, i);
  }
  co_await boost::asio::async_write(connection->caller,
                                    boost::asio::buffer(requests), kTask);
}

Task<void> CallerHarness::ReadAnswers(ConnectionPtr connection) {
  std::vector<char> piece(kReadBytes);
  NetError error;
  while (!error) {
    const auto [failed, size] = co_await connection->caller.async_read_some(
        boost::asio::buffer(piece), kTask);
    error = failed;
    connection->record.bytes.append(piece.data(), size);
  }
  connection->record.was_reset = error == boost::asio::error::connection_reset;
  NetError ignored;
  connection->caller.close(ignored);
}

// Ticks the session until its end and plays the events of the script.
Task<void> CallerHarness::TickSession(ConnectionPtr connection) {
  const CallerScript& script = connection->script;
  const TimePoint began = MonotonicClock::now();
  const milliseconds closes_after =
      script.closes_after.count() > 0 ? script.closes_after : kCallerTimeout;
  while (!connection->session_ended) {
    co_await this->Sleep(kTick);
    const TimePoint now = MonotonicClock::now();
    connection->session->Tick(now);
    if (this->drains_after.count() > 0 && now - began > this->drains_after) {
      this->is_draining = true;
      connection->session->Drain();
    }
    if (now - began > closes_after) {
      NetError ignored;
      connection->caller.shutdown(Tcp::socket::shutdown_both, ignored);
    }
  }
  --this->unfinished;
}

Task<void> CallerHarness::Answer(ConnectionPtr connection,
                                 LinkStreamPtr stream,
                                 size_t number) {
  const ScriptedAnswer script = connection->script.answers.at(number);
  const PeerLinkPtr link = connection->dispatcher_link;
  co_await this->Sleep(script.delay);
  if (script.end == AnswerEnd::kNoAnswer) {
    co_return;
  }
  if (script.end == AnswerEnd::kRefused ||
      script.end == AnswerEnd::kRefusedUnproven) {
    wire::Refused refused;
    refused.stream = stream->id;
    refused.refusal = Refusal::kQueueFull;
    refused.not_run = script.end == AnswerEnd::kRefused;
    link->TrySend(
        [&refused](wire::LinkMux& mux) { return mux.Refuse(refused); });
    co_return;
  }
  const std::string body(script.body_bytes, BodyOctet(number));
  const std::span<const char> all(body);
  const size_t half = body.size() / 2;
  AnswerHead head;
  head.status = 200;
  head.reason = "OK";
  head.headers.set(this->header_names.request_id,
                   RequestIdOf(connection->number, number));
  head.framing = {script.chunked ? BodyKind::kChunked : BodyKind::kLength,
                  body.size()};
  LinkAnswerSink sink(link, stream);
  const bool started = co_await sink.Start(head, all.first(half), false);
  co_await this->Sleep(script.pause);
  if (!started) {
    co_return;
  }
  if (script.end == AnswerEnd::kLinkLost) {
    link->Close();
  } else if (script.end == AnswerEnd::kShort) {
    co_await sink.Continue({}, true, nullptr);
  } else if (script.end == AnswerEnd::kComplete) {
    co_await sink.Continue(all.subspan(half), true, nullptr);
  }
  if (sink.is_unfinished()) {
    sink.Break();
  }
}

Task<void> CallerHarness::Sleep(milliseconds time) {
  Timer timer(this->run_on, time);
  co_await timer.async_wait(kTask);
}

Task<QuotaDecision> CallerHarness::TakeQuota(TeamKey /*team*/,
                                             RuleHandle /*rule*/,
                                             CreditClaim /*claim*/) {
  co_return QuotaDecision{};
}

void CallerHarness::OnServed(RuleHandle /*rule*/, Duration /*time*/) {}

void CallerHarness::ReturnQuota(TeamKey /*team*/,
                                const QuotaCredit& /*credit*/) {}

void CallerHarness::OnRequestDone(const RequestMessage& /*request*/,
                                  const RequestEnd& /*end*/) {}

bool CallerHarness::IsLocal(VmHandle /*vm*/, ShardKey /*shard*/) const {
  return false;
}

Task<ServeOutcome> CallerHarness::Serve(RequestMessage& request,
                                        const Target& target,
                                        AnswerSink& sink) {
  const size_t caller = ParseTarget(request.target).first;
  const PeerLinkPtr link = this->connections.at(caller)->entry_link;
  wire::Open open = PeerRequest(target.shard);
  open.target = request.target;
  const LinkStreamPtr stream = link->Open(std::move(open));
  if (!stream) {
    co_return ServeOutcome{false, Refusal::kPeerUnreachable, Duration(0)};
  }
  LinkExchange exchange(link, stream, request, sink);
  co_return co_await exchange.Run(0);
}

}  // namespace basilsill::test
