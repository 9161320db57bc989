#include "quota_host.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "basilsill/node/log.h"
#include "basilsill/node/task_end.h"

namespace basilsill {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// How often requests that wait for a credit or for other lenders are checked. A
// longer interval delays credits that have accrued.
constexpr milliseconds kPollInterval{5};

// Without a lease store, each VM has an equal share of its own.
QuotaCoordinatorOptions OptionsFor(QuotaCoordinatorOptions options,
                                   const QuotaLeaseStore* leases) {
  options.started = LeaseClock::now();
  if (leases == nullptr) {
    options.shares.clear();
  } else {
    options.start_allowance = leases->start_allowance();
  }
  return options;
}

}  // namespace

QuotaHost::QuotaHost(IoContext& context,
                     QuotaCoordinatorOptions options,
                     QuotaLeaseStore* leases,
                     ControlMetrics& counts,
                     QuotaHostHandlers handlers)
    : context(context),
      coordinator(OptionsFor(std::move(options), leases)),
      leases(leases),
      counts(counts),
      handlers(std::move(handlers)),
      timer(context) {}

void QuotaHost::ApplyView(const RoutingView& view) {
  const LeaseTime now = LeaseClock::now();
  this->coordinator.ApplyView(now, view);
  this->Pump(now);
}

void QuotaHost::RequestCredits(uint16_t worker, QuotaRequest request) {
  const LeaseTime now = LeaseClock::now();
  this->coordinator.OnWorkerRequest(now, worker, std::move(request));
  this->Pump(now);
}

void QuotaHost::OnRequest(VmHandle from, const QuotaRequest& request) {
  const LeaseTime now = LeaseClock::now();
  this->coordinator.OnRequest(now, from, request);
  this->Pump(now);
}

void QuotaHost::OnAnswer(VmHandle from, const QuotaAnswer& answer) {
  const LeaseTime now = LeaseClock::now();
  this->coordinator.OnAnswer(now, from, answer);
  this->Pump(now);
}

void QuotaHost::Tick() {
  const LeaseTime now = LeaseClock::now();
  this->coordinator.Tick(now);
  this->Pump(now);
}

void QuotaHost::Leave() {
  const LeaseTime now = LeaseClock::now();
  this->coordinator.Leave(now);
  this->Pump(now);
}

void QuotaHost::Stop() {
  this->stopped = true;
  this->timer.cancel();
}

void QuotaHost::Pump(LeaseTime now) {
  if (this->stopped) {
    return;
  }
  switch (this->coordinator.NextLeaseCall(now)) {
    case QuotaLeaseCall::kRead:
      asio::co_spawn(this->context, this->Read(), DetachedTask{"quota-read"});
      break;
    case QuotaLeaseCall::kWrite:
      asio::co_spawn(this->context, this->Write(), DetachedTask{"quota-write"});
      break;
    default:
      break;
  }
  // A message that can't be sent may cause the coordinator to queue others.
  for (std::vector<OutgoingQuotaMessage> sends =
           this->coordinator.TakeOutgoing();
       !sends.empty(); sends = this->coordinator.TakeOutgoing()) {
    for (const OutgoingQuotaMessage& send : sends) {
      this->Send(now, send);
    }
  }
  if (this->coordinator.has_pending_requests() &&
      !std::exchange(this->is_polling, true)) {
    asio::co_spawn(this->context, this->PollPendingRequests(),
                   DetachedTask{"quota-watch"});
  }
  this->ReportLending();
}

void QuotaHost::Send(LeaseTime now, const OutgoingQuotaMessage& send) {
  const auto* answer = std::get_if<QuotaAnswer>(&send.message);
  if (!IsValid(send.to.vm)) {
    if (answer != nullptr) {
      this->handlers.answer(send.to.worker, *answer);
    }
    return;
  }
  const bool is_sent =
      answer != nullptr ? this->handlers.send(send.to.vm, *answer)
                        : this->handlers.send(
                              send.to.vm, std::get<QuotaRequest>(send.message));
  if (!is_sent) {
    this->coordinator.OnUnsent(now, send);
  }
}

void QuotaHost::ReportLending() {
  const bool lends = this->coordinator.lends();
  if (lends == std::exchange(this->was_lending, lends)) {
    return;
  }
  this->counts.lends_quotas.Set(lends ? 1 : 0);
  if (!lends) {
    Log(Event::kQuotaLeaseEnded, {{"share", this->coordinator.share()}});
    return;
  }
  const std::optional<QuotaStart>& start = this->coordinator.start();
  if (!start) {
    Log(Event::kQuotaLeaseTaken,
        {{"share", this->coordinator.share()},
         {"history", NameOf(this->coordinator.lease().history().kind)}});
    return;
  }
  Log(Event::kQuotaLeaseTaken,
      {{"share", this->coordinator.share()},
       {"history", NameOf(this->coordinator.lease().history().kind)},
       {"unlent_ms",
        std::chrono::duration_cast<milliseconds>(start->unlent).count()},
       {"credits", start->credits},
       {"burst_fraction", start->burst_fraction}});
}

asio::awaitable<void> QuotaHost::PollPendingRequests() {
  while (!this->stopped && this->coordinator.has_pending_requests()) {
    this->timer.expires_after(kPollInterval);
    co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    this->Tick();
  }
  this->is_polling = false;
}

asio::awaitable<void> QuotaHost::Read() {
  const Result<QuotaLeaseStore::Newest> newest =
      co_await this->leases->ReadLease(this->coordinator.share());
  const LeaseTime now = LeaseClock::now();
  if (newest) {
    this->coordinator.OnLeaseRead(now, newest.value().record,
                                  newest.value().end, newest.value().era_since);
  } else {
    this->OnLeaseCallFailed(now, newest.error());
  }
  this->Pump(now);
}

asio::awaitable<void> QuotaHost::Write() {
  const Result<LogPosition> end = co_await this->leases->WriteLease(
      this->coordinator.share(), this->coordinator.lease().end(),
      this->coordinator.lease().record());
  const LeaseTime now = LeaseClock::now();
  if (end) {
    this->coordinator.OnLeaseWritten(now, end.value());
  } else if (end.error().kind == FailureKind::kConflict) {
    this->coordinator.OnLeaseConflict(now);
  } else {
    this->OnLeaseCallFailed(now, end.error());
  }
  this->Pump(now);
}

void QuotaHost::OnLeaseCallFailed(LeaseTime now, const Failure& failure) {
  this->coordinator.OnLeaseFailed(now);
  Log(Event::kQuotaLeaseFailed, {{"share", this->coordinator.share()},
                                 {"failure", failure.kind},
                                 {"detail", failure.detail}});
}

}  // namespace basilsill
