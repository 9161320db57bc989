#include <malloc.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>
#include <pcg_random.hpp>

#include "basilsill/decision/claims.h"
#include "model_log.h"

/// Cost of claims in virtual time: latency of a claim as a multiple of the
/// append latency of the log, claims per second that the fleet's append budget
/// allows, and memory per key. The runs are deterministic, so the bounds hold
/// on any machine.

namespace basilsill::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kAppendLatency = milliseconds(5);
constexpr Duration kServiceTime = milliseconds(5);
constexpr Duration kControlTick = milliseconds(100);
constexpr Duration kWarmUp = seconds(5);
constexpr Duration kMeasured = seconds(20);
constexpr double kAppendsPerSecond = 300;
constexpr size_t kAnswerBytes = 300;
constexpr WallTime kWallStart{std::chrono::hours(480'000)};

/// VMs that append the claims of a partition.
enum class Placement : uint8_t { kOwner, kAnyVm, kCount };

struct ClaimCase {
  const char* name;
  size_t vms;
  Placement placement;
  double offered;      ///< Claims per second of the whole fleet.
  double max_p99;      ///< Bound on p99, in append latencies.
  double min_granted;  ///< Bound on the share of offered claims.
};

/// The bounds include a margin of a tenth over the figures of the current code.
constexpr std::array kCases = {
    ClaimCase{"14 VMs, owners", 14, Placement::kOwner, 10, 1.1, 0.9},
    ClaimCase{"14 VMs, owners", 14, Placement::kOwner, 100, 1.6, 0.9},
    ClaimCase{"14 VMs, owners", 14, Placement::kOwner, 1000, 52, 0.95},
    ClaimCase{"14 VMs, owners", 14, Placement::kOwner, 10000, 52, 0.95},
    ClaimCase{"14 VMs, any VM", 14, Placement::kAnyVm, 10, 1.1, 0.9},
    ClaimCase{"14 VMs, any VM", 14, Placement::kAnyVm, 100, 1.1, 0.9},
    ClaimCase{"14 VMs, any VM", 14, Placement::kAnyVm, 1000, 570, 0.95},
    ClaimCase{"64 owners", 64, Placement::kOwner, 100, 31, 0.9},
    ClaimCase{"64 owners", 64, Placement::kOwner, 1000, 59, 0.95},
    ClaimCase{"64 owners", 64, Placement::kOwner, 10000, 49, 0.95},
};
constexpr double kMaxBytesPerKey = 160;
constexpr size_t kKeys = 50'000;

struct ClaimFigures {
  double granted = 0;    ///< Per second.
  double refused = 0;    ///< Per second.
  double p50 = 0;        ///< In append latencies.
  double p99 = 0;        ///< In append latencies.
  double appends = 0;    ///< Per second.
  double records = 0;    ///< Per append.
  double kilobytes = 0;  ///< Written to the log, per second.
};

class ClaimRun {
 public:
  explicit ClaimRun(const ClaimCase& run) : run(run) {
    for (size_t i = 0; i < run.vms; ++i) {
      ClaimOptions options;
      options.vm = "vm" + std::to_string(i);
      options.appends_per_second = kAppendsPerSecond;
      this->tables.push_back(ClaimTable::Create(options));
      ClaimFleet fleet;
      fleet.appenders = run.vms;
      for (uint32_t p = 0; p < limits::kClaimPartitions; ++p) {
        const bool owner = run.placement == Placement::kOwner;
        fleet.owned.set(p, owner && p % run.vms == i);
      }
      this->tables.back()->ApplyFleet(this->time.now(), fleet);
      this->Tick(i);
    }
  }

  ClaimFigures Run() {
    this->ScheduleArrival();
    this->time.RunUntil(test::VirtualTime::kStart + kWarmUp + kMeasured);
    return this->Summarize();
  }

 private:
  struct Pending {
    TimePoint submitted_at;
    ClaimKey key;
    size_t vm = 0;
  };

  WallTime WallNow() const {
    return kWallStart + std::chrono::duration_cast<milliseconds>(
                            this->time.now() - test::VirtualTime::kStart);
  }

  bool IsMeasured() const {
    return this->time.now() >= test::VirtualTime::kStart + kWarmUp;
  }

  void Tick(size_t vm) {
    this->tables[vm]->Tick(this->time.now(), this->WallNow());
    this->ExecuteActions(vm);
    this->time.After(kControlTick, [this, vm] { this->Tick(vm); });
  }

  void ScheduleArrival() {
    const double gap =
        -std::log(1 - this->random() / 4294967296.0) / this->run.offered;
    this->time.After(std::chrono::duration_cast<Duration>(
                         std::chrono::duration<double>(gap)),
                     [this] {
                       this->SubmitClaim();
                       this->ScheduleArrival();
                     });
  }

  void SubmitClaim() {
    const uint64_t id = ++this->submitted;
    ClaimRequest request;
    request.key =
        ParseClaimKey(
            MakeTeamKey("team"),
            std::to_string(this->WallNow().time_since_epoch().count()) + "-" +
                std::to_string(id))
            .key;
    request.attempt = {1, id};
    request.deadline = this->time.now() + seconds(10);
    request.cookie = id;
    const bool owner = this->run.placement == Placement::kOwner;
    const size_t vm = owner
                          ? StreamOf(request.key).partition % this->run.vms
                          : this->random(static_cast<uint32_t>(this->run.vms));
    this->pending[id] = {this->time.now(), request.key, vm};
    this->tables[vm]->Request(this->time.now(), this->WallNow(), request);
    this->ExecuteActions(vm);
  }

  void ExecuteActions(size_t vm) {
    const std::vector<ClaimAction> actions = this->tables[vm]->actions();
    this->tables[vm]->ClearActions();
    for (const ClaimAction& action : actions) {
      switch (action.kind) {
        case ClaimActionKind::kAppend:
          this->Append(vm, action);
          break;
        case ClaimActionKind::kRead:
          this->Read(vm, action);
          break;
        case ClaimActionKind::kGrant:
          this->OnGrant(action);
          break;
        case ClaimActionKind::kRefuse:
          this->refused += this->IsMeasured() ? 1 : 0;
          this->pending.erase(action.cookie);
          break;
        default:
          break;
      }
    }
  }

  void Append(size_t vm, const ClaimAction& action) {
    if (this->IsMeasured()) {
      ++this->appends;
      this->records += action.records.size();
      for (const std::string& record : action.records) {
        this->bytes += record.size();
      }
    }
    this->time.After(kAppendLatency, [this, vm, action] {
      this->log.Append(action.stream, action.records);
      this->tables[vm]->OnAppend(this->time.now(), action.call,
                                 AppendOutcome::kAppended);
      this->ExecuteActions(vm);
    });
  }

  void Read(size_t vm, const ClaimAction& action) {
    const auto answer = [this, vm, call = action.call](const ClaimRead& read) {
      // Delivered as a separate event, as the log may be in the middle of an
      // append.
      this->time.After(Duration::zero(), [this, vm, call, read] {
        this->tables[vm]->OnRead(this->time.now(), call, read);
        this->ExecuteActions(vm);
      });
    };
    const ClaimRead read =
        this->log.Read(action.stream, action.from, action.max);
    if (read.records.empty() && action.wait.count() > 0) {
      this->log.Await(action.stream, action.from, action.max, answer);
    } else {
      answer(read);
    }
  }

  void OnGrant(const ClaimAction& action) {
    const Pending granted = this->pending.at(action.cookie);
    this->pending.erase(action.cookie);
    if (this->IsMeasured()) {
      this->latencies.push_back(this->time.now() - granted.submitted_at);
    }
    this->time.After(kServiceTime, [this, granted, attempt = action.attempt] {
      this->tables[granted.vm]->Finish(
          this->time.now(), {granted.key,
                             {},
                             attempt,
                             ClaimOutcome::kDone,
                             {200, true, {}, std::string(kAnswerBytes, 'x')},
                             0});
      this->ExecuteActions(granted.vm);
    });
  }

  ClaimFigures Summarize() {
    const double span = std::chrono::duration<double>(kMeasured).count();
    std::sort(this->latencies.begin(), this->latencies.end());
    const auto quantile = [this](double share) {
      if (this->latencies.empty()) {
        return 0.0;
      }
      const auto rank =
          static_cast<size_t>(share * (this->latencies.size() - 1));
      return static_cast<double>(this->latencies[rank].count()) /
             kAppendLatency.count();
    };
    return {this->latencies.size() / span,
            this->refused / span,
            quantile(0.5),
            quantile(0.99),
            this->appends / span,
            this->appends > 0 ? this->records / this->appends : 0,
            this->bytes / span / 1024};
  }

  const ClaimCase run;
  test::VirtualTime time;
  test::ModelLog log;
  pcg32 random{7};
  std::vector<std::unique_ptr<ClaimTable>> tables;
  std::map<uint64_t, Pending> pending;
  std::vector<Duration> latencies;
  uint64_t submitted = 0;
  double refused = 0;
  double appends = 0;
  double records = 0;
  double bytes = 0;
};

/// @returns the heap bytes that a reader of a claim stream keeps for each key.
double MeasureBytesPerKey() {
  ClaimOptions options;
  options.max_waiting = 16;
  options.max_open_ends = 16;
  const std::unique_ptr<ClaimTable> table = ClaimTable::Create(options);
  // The table reads one partition with records that another VM wrote.
  ClaimFleet fleet;
  fleet.owned.set(0);
  table->ApplyFleet(TimePoint(), fleet);
  table->Tick(TimePoint(), kWallStart);
  const uint64_t call = table->actions().front().call;
  table->ClearActions();
  ClaimRead read{ReadOutcome::kRecords, 0, kKeys, kKeys, {}};
  std::array<char, 256> record{};
  for (size_t i = 0; i < kKeys; ++i) {
    std::snprintf(record.data(), record.size(),
                  R"({"kind":"claim","key":"%048zx","attempt":"%032zx",)"
                  R"("vm":"v","body":"%032zx","left_ms":1000})",
                  i, i, i);
    read.records.push_back({i, record.data()});
  }
  const size_t input = mallinfo2().uordblks;
  table->OnRead(TimePoint(), call, read);
  const size_t after = mallinfo2().uordblks;
  return static_cast<double>(after - input) / kKeys;
}

bool Report(const ClaimCase& run, const ClaimFigures& figures) {
  std::printf(
      "| %-14s | %6.0f | %7.0f | %7.0f | %6.1f | %6.1f | %5.0f | %6.1f "
      "| %6.0f |\n",
      run.name, run.offered, figures.granted, figures.refused, figures.p50,
      figures.p99, figures.appends, figures.records, figures.kilobytes);
  const bool within_bounds = figures.p99 <= run.max_p99 &&
                             figures.granted >= run.min_granted * run.offered;
  return within_bounds;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Claims benchmark of basilsill, in virtual time");
  TCLAP::SwitchArg check("", "check", "Exit 1 if a bound is broken", line);
  line.parse(argc, argv);
  std::printf(
      "| appended by | claims/s | granted/s | refused/s | p50 | p99 | "
      "appends/s | records/append | KiB/s |\n");
  std::printf(
      "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: "
      "|\n");
  bool within_bounds = true;
  for (const ClaimCase& run : kCases) {
    within_bounds &= Report(run, ClaimRun(run).Run());
  }
  const double bytes = MeasureBytesPerKey();
  std::printf("\nbytes of memory a key: %.0f\n", bytes);
  within_bounds &= bytes <= kMaxBytesPerKey;
  return check.getValue() && !within_bounds ? 1 : 0;
}

}  // namespace
}  // namespace basilsill::bench

int main(int argc, char** argv) {
  return basilsill::bench::Main(argc, argv);
}
