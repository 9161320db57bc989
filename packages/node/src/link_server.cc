#include "link_server.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "refusal_answer.h"

namespace basilsill {
namespace {

using std::chrono::microseconds;

// Handles are valid on one VM only, so peers send names.
template <typename Row>
const Row* FindByName(const std::vector<Row>& rows, std::string_view name) {
  const auto found =
      std::find_if(rows.begin(), rows.end(), [name](const Row& row) {
        return IsValid(row.handle) && row.name == name;
      });
  return found == rows.end() ? nullptr : &*found;
}

ServiceHandle FindServiceByName(const RoutingView& view,
                                std::string_view name) {
  for (const auto& service : view.services) {
    if (service && service->name == name) {
      return service->handle;
    }
  }
  return {};
}

void FillRequest(const RoutingView& view,
                 wire::Open& open,
                 RequestMessage& request) {
  request.method = std::move(open.method);
  request.target = std::move(open.target);
  request.headers = FromHeaderList(open.headers);
  request.framing = FromWireFraming(open.framing);
  request.hedge = open.hedge;
  EntryRequest& entry = request.entry;
  if (const TeamRow* team = FindByName(view.teams, open.team)) {
    entry.team = team->handle;
  }
  if (const RuleRow* rule = FindByName(view.rules, open.rule)) {
    request.rule = rule->handle;
  }
  entry.service = FindServiceByName(view, open.service);
  entry.traffic_class = open.traffic_class;
  entry.deadline = MonotonicClock::now() + microseconds(open.deadline);
  entry.idempotent = open.idempotent;
  entry.fingerprint = open.fingerprint;
  entry.max_attempts = open.attempts_left;
  if (open.good_for > microseconds(0)) {
    request.good_until = MonotonicClock::now() + open.good_for;
  }
}

void Refuse(PeerLink& link,
            const LinkStream& stream,
            const ServeOutcome& outcome) {
  wire::Refused refused;
  refused.stream = stream.id;
  refused.refusal = outcome.refusal;
  refused.sends = outcome.sends;
  refused.not_run = InfoOf(outcome.refusal).promise == Promise::kNotRun;
  refused.retry_after =
      std::chrono::duration_cast<microseconds>(outcome.retry_after);
  link.TrySend([&refused](wire::LinkMux& mux) { return mux.Refuse(refused); });
}

// Failure: the head of an answer exceeds the limits of messages between VMs. It
// can't be sent, and the caller at the other VM waits until its deadline.
ServeOutcome WithoutAnswer(ServeOutcome outcome) {
  if (outcome.answered) {
    outcome.refusal = Refusal::kUpstreamMalformed;
  }
  return outcome;
}

}  // namespace

void RefuseLinkStream(PeerLink& link, LinkStream& stream, Refusal refusal) {
  ServeOutcome outcome;
  outcome.refusal = refusal;
  Refuse(link, stream, outcome);
  link.Forget(stream);
}

void PostSummary(PeerLink& link, const DispatchHost& dispatch, ShardKey shard) {
  if (!dispatch.ReachesShard(shard)) {
    return;
  }
  const wire::Summary summary{dispatch.Summarize(shard),
                              dispatch.NoticesOf(shard)};
  link.TrySend([&summary](wire::LinkMux& mux) { return mux.Post(summary); });
}

Task<void> ServeLinkStream(RoutingViewPtr view,
                           DispatchHost& dispatch,
                           PeerLinkPtr link,
                           LinkStreamPtr stream,
                           wire::Open open,
                           std::string request_id_header) {
  Target target;
  target.kind = TargetKind::kDispatcher;
  target.shard = open.shard;
  target.max_wait = open.max_wait;
  target.sends = open.sends;
  RequestMessage request;
  FillRequest(*view, open, request);
  request.request_id =
      std::string(HeaderValue(request.headers, request_id_header));
  LinkBodySource source(link, stream);
  if (open.end) {
    request.whole_body = std::move(open.body);
  } else {
    source.SetInitialBytes(std::move(open.body));
    request.source = &source;
  }
  LinkAnswerSink sink(link, stream);
  stream->on_closed = [&request] {
    request.caller_gone = true;
    if (request.on_caller_gone) {
      const auto notify = request.on_caller_gone;
      notify();
    }
  };
  stream->on_withdrawn = [&request] { Withdraw(request); };
  request.withdrawn = stream->withdrawn;
  const ServeOutcome reported = co_await dispatch.Serve(request, target, sink);
  const ServeOutcome outcome =
      WithoutFalsePromise(request, 0, reported, dispatch.metrics());
  stream->on_closed = nullptr;
  stream->on_withdrawn = nullptr;
  if (sink.is_unfinished()) {
    sink.Break();
  } else if (!sink.has_started() && !stream->closed) {
    Refuse(*link, *stream, WithoutAnswer(outcome));
  }
  PostSummary(*link, dispatch, target.shard);
  link->Forget(*stream);
}

}  // namespace basilsill
