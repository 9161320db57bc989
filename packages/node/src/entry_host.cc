#include "entry_host.h"

#include <utility>

#include "refusal_answer.h"

namespace basilsill {

EntryHost::EntryHost(std::unique_ptr<EntryRouter> router,
                     DispatchHost& dispatch,
                     RemoteDispatch& remote)
    : router(std::move(router)), dispatch(dispatch), remote(remote) {}

void EntryHost::ApplyView(TimePoint now, const RoutingViewPtr& view) {
  this->router->ApplyView(now, view);
}

Task<ServeOutcome> EntryHost::Serve(RequestMessage& request, AnswerSink& sink) {
  const Admission admission =
      this->router->Admit(MonotonicClock::now(), request.entry);
  if (admission.refusal != Refusal::kNone) {
    co_return ServeOutcome{false, admission.refusal, admission.retry_after};
  }
  const ServeOutcome outcome =
      co_await this->ServeAdmitted(admission.entry, request, sink);
  this->router->Finish(MonotonicClock::now(), admission.entry);
  co_return outcome;
}

Task<ServeOutcome> EntryHost::ServeAdmitted(EntryHandle entry,
                                            RequestMessage& request,
                                            AnswerSink& sink) {
  for (;;) {
    // It may have been withdrawn while it waited for a quota or for a claim.
    if (request.withdrawn) {
      co_return ServeOutcome{false, Refusal::kShuttingDown, Duration(0)};
    }
    const Target target = this->router->Choose(MonotonicClock::now(), entry);
    if (target.kind == TargetKind::kRefuse) {
      co_return ServeOutcome{false, target.refusal, target.retry_after};
    }
    const uint32_t unsettled = request.sends.unsettled();
    const ServeOutcome reported = co_await this->ServeAt(target, request, sink);
    const ServeOutcome outcome = WithoutFalsePromise(
        request, unsettled, reported, this->dispatch.metrics());
    if (outcome.answered || request.caller_gone) {
      co_return outcome;
    }
    request.failed_choices.push_back({target, outcome.refusal, outcome.sends});
    const RetryDecision decision = this->router->OnRefused(
        MonotonicClock::now(), entry, outcome.refusal, outcome.sends);
    if (!decision.retry || request.withdrawn) {
      ServeOutcome refused = outcome;
      refused.refusal = decision.refusal;
      co_return refused;
    }
  }
}

Task<ServeOutcome> EntryHost::ServeAt(const Target& target,
                                      RequestMessage& request,
                                      AnswerSink& sink) {
  if (target.kind == TargetKind::kDirect) {
    const ServeOutcome outcome =
        co_await this->dispatch.ServeDirect(request, target.upstream, sink);
    const TimePoint now = MonotonicClock::now();
    this->router->OnRateLimit(now, target.upstream, outcome.rate_limit);
    co_return outcome;
  }
  if (!this->remote.IsLocal(target.vm, target.shard)) {
    co_return co_await this->remote.Serve(request, target, sink);
  }
  const ServeOutcome outcome =
      co_await this->dispatch.Serve(request, target, sink);
  if (this->dispatch.ReachesShard(target.shard)) {
    this->router->OnSummary(MonotonicClock::now(), target.vm,
                            this->dispatch.Summarize(target.shard));
  }
  co_return outcome;
}

void EntryHost::OnSummary(VmHandle from, const ShardSummary& summary) {
  this->router->OnSummary(MonotonicClock::now(), from, summary);
}

void EntryHost::OnLink(VmHandle vm, bool usable) {
  this->router->OnLink(MonotonicClock::now(), vm, usable);
}

void EntryHost::Tick(TimePoint now) {
  this->router->Tick(now);
}

}  // namespace basilsill
