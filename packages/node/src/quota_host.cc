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

// How often questions to other lenders are looked at while there are any.
constexpr milliseconds kWatchInterval{20};

// Without leases to keep, each VM has a share of its own.
QuotaCoordinatorOptions OptionsFor(QuotaCoordinatorOptions options,
                                   const QuotaLeaseStore* leases) {
  if (leases == nullptr) {
    options.shares.clear();
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
      office(OptionsFor(std::move(options), leases)),
      leases(leases),
      counts(counts),
      handlers(std::move(handlers)),
      timer(context) {}

void QuotaHost::ApplyView(const RoutingView& view) {
  const LeaseTime now = LeaseClock::now();
  this->office.ApplyView(now, view);
  this->Pump(now);
}

void QuotaHost::Ask(uint16_t worker, QuotaRequest request) {
  const LeaseTime now = LeaseClock::now();
  this->office.Ask(now, worker, std::move(request));
  this->Pump(now);
}

void QuotaHost::OnRequest(VmHandle from, const QuotaRequest& request) {
  const LeaseTime now = LeaseClock::now();
  this->office.OnRequest(now, from, request);
  this->Pump(now);
}

void QuotaHost::OnAnswer(VmHandle from, const QuotaAnswer& answer) {
  const LeaseTime now = LeaseClock::now();
  this->office.OnAnswer(now, from, answer);
  this->Pump(now);
}

void QuotaHost::Tick() {
  const LeaseTime now = LeaseClock::now();
  this->office.Tick(now);
  this->Pump(now);
}

void QuotaHost::Leave() {
  const LeaseTime now = LeaseClock::now();
  this->office.Leave(now);
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
  switch (this->office.NextLeaseCall(now)) {
    case QuotaLeaseCall::kRead:
      asio::co_spawn(this->context, this->Read(), DetachedTask{"quota-read"});
      break;
    case QuotaLeaseCall::kWrite:
      asio::co_spawn(this->context, this->Write(), DetachedTask{"quota-write"});
      break;
    default:
      break;
  }
  // One that can't be sent may make others.
  for (std::vector<OutgoingQuotaMessage> sends = this->office.TakeOutgoing();
       !sends.empty(); sends = this->office.TakeOutgoing()) {
    for (const OutgoingQuotaMessage& send : sends) {
      this->Send(now, send);
    }
  }
  if (this->office.has_pending_requests() &&
      !std::exchange(this->watches, true)) {
    asio::co_spawn(this->context, this->WatchOthers(),
                   DetachedTask{"quota-watch"});
  }
  this->NoteLending();
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
    this->office.OnUnsent(now, send);
  }
}

void QuotaHost::NoteLending() {
  const bool lends = this->office.lends();
  if (lends == std::exchange(this->was_lending, lends)) {
    return;
  }
  this->counts.lends_quotas.Set(lends ? 1 : 0);
  Log(lends ? Event::kQuotaLeaseTaken : Event::kQuotaLeaseEnded,
      {{"share", this->office.share()}});
}

asio::awaitable<void> QuotaHost::WatchOthers() {
  while (!this->stopped && this->office.has_pending_requests()) {
    this->timer.expires_after(kWatchInterval);
    co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    this->Tick();
  }
  this->watches = false;
}

asio::awaitable<void> QuotaHost::Read() {
  const Result<QuotaLeaseStore::Newest> newest =
      co_await this->leases->ReadLease(this->office.share());
  const LeaseTime now = LeaseClock::now();
  if (newest) {
    this->office.OnLeaseRead(now, newest.value().record, newest.value().end);
  } else {
    this->NoteFailed(now, newest.error());
  }
  this->Pump(now);
}

asio::awaitable<void> QuotaHost::Write() {
  const Result<uint64_t> end = co_await this->leases->WriteLease(
      this->office.share(), this->office.lease().end(),
      this->office.lease().record());
  const LeaseTime now = LeaseClock::now();
  if (end) {
    this->office.OnLeaseWritten(now, end.value());
  } else if (end.error().kind == FailureKind::kConflict) {
    this->office.OnLeaseConflict(now);
  } else {
    this->NoteFailed(now, end.error());
  }
  this->Pump(now);
}

void QuotaHost::NoteFailed(LeaseTime now, const Failure& failure) {
  this->office.OnLeaseFailed(now);
  Log(Event::kQuotaLeaseFailed, {{"share", this->office.share()},
                                 {"failure", failure.kind},
                                 {"detail", failure.detail}});
}

}  // namespace basilsill
