#include "log_source.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>

#include "basilsill/node/task_end.h"

namespace basilsill {
namespace {

constexpr std::chrono::milliseconds kVmListWait{20000};

FailoverSettings PlatformClient(const Settings& settings) {
  FailoverSettings client;
  client.endpoints = settings.platform.endpoints;
  return client;
}

ClaimOptions ClaimSettings(const Settings& settings, uint64_t incarnation) {
  ClaimOptions claims;
  claims.vm = settings.vm.name;
  claims.incarnation = incarnation;
  return claims;
}

}  // namespace

Result<std::unique_ptr<LogSource>> LogSource::Create(
    boost::asio::io_context& context,
    const Settings& settings,
    uint64_t incarnation,
    ControlMetrics& counts) {
  Result<LogClient> log =
      LogClient::Create(context.get_executor(), PlatformClient(settings));
  if (!log) {
    return log.error();
  }
  Result<VmListClient> vm_list =
      VmListClient::Create(context.get_executor(), PlatformClient(settings));
  if (!vm_list) {
    return vm_list.error();
  }
  return std::unique_ptr<LogSource>(
      new LogSource(context, settings, incarnation, counts,
                    std::move(log).value(), std::move(vm_list).value()));
}

LogSource::LogSource(boost::asio::io_context& context,
                     const Settings& settings,
                     uint64_t incarnation,
                     ControlMetrics& counts,
                     LogClient log,
                     VmListClient vm_list)
    : context(context),
      log(std::move(log)),
      vm_list(std::move(vm_list)),
      configuration(context,
                    this->log,
                    settings.vm.name,
                    {[this] { this->host->OnStateChanged(); },
                     [this] { return this->CheckpointRank(); }},
                    counts),
      claims(context, this->log, ClaimSettings(settings, incarnation), counts),
      snapshots(this->configuration.follower(),
                {[this](VmHandle vm, const wire::SnapshotRequest& request) {
                   return this->host->SendToPeer(vm, request);
                 },
                 [this](const std::vector<std::string>& parts) {
                   this->configuration.OnSnapshot(parts);
                 }}) {}

void LogSource::Start(StateSourceHost& state_host) {
  this->host = &state_host;
  this->configuration.Start();
  this->claims.Start();
  boost::asio::co_spawn(this->context, this->FollowVmList(),
                        DetachedTask{"log-source"});
}

void LogSource::Stop() {
  this->stopped = true;
  this->configuration.Stop();
  this->claims.Stop();
  this->log.Close();
  this->vm_list.Close();
}

void LogSource::Tick(TimePoint now) {
  this->configuration.Tick(now);
  this->snapshots.Tick(now, this->host->LinkedPeers());
}

void LogSource::OnPeerMessage(VmHandle from, const wire::PeerMessage& message) {
  if (const auto* request = std::get_if<wire::SnapshotRequest>(&message)) {
    this->host->SendToPeer(from, this->snapshots.Answer(*request));
  } else if (const auto* chunk = std::get_if<wire::SnapshotChunk>(&message)) {
    this->snapshots.OnChunk(from, *chunk);
  }
}

void LogSource::OnFleetChanged() {
  this->claims.ApplyFleet(this->MakeClaimFleet());
}

boost::asio::awaitable<void> LogSource::FollowVmList() {
  uint64_t version = 0;
  while (!this->stopped) {
    const Result<VmList> list =
        co_await this->vm_list.Watch(version, kVmListWait);
    if (!list) {
      continue;
    }
    version = list.value().version;
    std::vector<ListedVm> listed;
    for (const VmListEntry& entry : list.value().vms) {
      listed.push_back(
          {entry.name, entry.data_centre, entry.control, entry.leaving});
    }
    this->host->OnVmList(version, listed);
  }
}

ClaimFleet LogSource::MakeClaimFleet() const {
  const Membership& members = this->host->membership();
  ClaimFleet fleet;
  for (const VmRow& row : members.rows()) {
    if (IsValid(row.handle) && row.incarnation != 0 &&
        row.state != VmState::kSuspected) {
      fleet.live_origins.push_back(MakeClaimOrigin(row.name, row.incarnation));
    }
  }
  fleet.appenders = std::max<size_t>(1, members.LiveCount());
  // No partition is read ahead: entry workers use only the claim table of their
  // own VM, which reads a stream when a key of it is requested.
  return fleet;
}

size_t LogSource::CheckpointRank() const {
  const Membership& members = this->host->membership();
  size_t rank = 0;
  const VmRow& self = members.rows().at(members.self().index);
  for (const VmRow& row : members.rows()) {
    const bool before = IsValid(row.handle) && row.state == VmState::kLive &&
                        row.name < self.name;
    rank += before ? 1 : 0;
  }
  return rank;
}

}  // namespace basilsill
