#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "allocation_count.h"
#include "basilsill/base/error.h"
#include "bounds.h"
#include "decision_load.h"

/// Costs of the decision code that are the same on every run: allocations per
/// decision, and bytes per instance, service and request.

namespace basilsill::bench {
namespace {

constexpr int kWarmUpSteps = 200000;
constexpr int kCountedSteps = 200000;
constexpr double kNoAllocation = 0;

/// The target size with half of the instances, and with half of the services.
constexpr InstallationSize kHalfInstances{kTargetSize.instances / 2,
                                          kTargetSize.services};
constexpr InstallationSize kHalfServices{kTargetSize.instances,
                                         kTargetSize.services / 2};

template <typename Load>
double AllocationsPerStep() {
  Load load(MakeSizedView(kTargetSize));
  for (int i = 0; i < kWarmUpSteps; ++i) {
    load.Step();
  }
  const uint64_t before = AllocationsSoFar().allocations;
  for (int i = 0; i < kCountedSteps; ++i) {
    load.Step();
  }
  return static_cast<double>(AllocationsSoFar().allocations - before) /
         kCountedSteps;
}

/// @returns the heap bytes that the result of `make` holds.
template <typename Make>
double BytesOf(const Make& make) {
  const int64_t before = AllocationsSoFar().live_bytes;
  const auto held = make();
  return static_cast<double>(AllocationsSoFar().live_bytes - before);
}

double ViewBytes(const InstallationSize& size) {
  return BytesOf([&size] { return MakeSizedView(size); });
}

/// @returns the heap bytes of a VM's dispatcher and entry router after requests
/// to all shards.
double StateBytes(const InstallationSize& size) {
  const RoutingViewPtr view = MakeSizedView(size);
  const auto use = [](auto load) {
    for (int i = 0; i < kWarmUpSteps; ++i) {
      load->Step();
    }
    return load;
  };
  return BytesOf([&] { return use(std::make_unique<DispatchLoad>(view)); }) +
         BytesOf([&] { return use(std::make_unique<EntryLoad>(view)); });
}

double RequestBytes() {
  const auto bytes = [](size_t requests) {
    DispatcherOptions dispatch;
    dispatch.max_requests = requests;
    EntryOptions entry;
    entry.max_requests = requests;
    return BytesOf([&] { return Dispatcher::Create(dispatch); }) +
           BytesOf([&] { return EntryRouter::Create(entry); });
  };
  const size_t most = limits::kMaxRequestsPerWorker;
  return (bytes(most) - bytes(most / 2)) / (static_cast<double>(most) / 2);
}

std::vector<Check> MeasureCosts() {
  const double view = ViewBytes(kTargetSize);
  const double state = StateBytes(kTargetSize);
  const double instances = kTargetSize.instances - kHalfInstances.instances;
  const double services = kTargetSize.services - kHalfServices.services;
  const auto slope = [](double all, double half, double count) {
    return (all - half) / count;
  };
  return {
      {"cost/allocations_per_dispatch", AllocationsPerStep<DispatchLoad>(),
       kNoAllocation},
      {"cost/allocations_per_entry", AllocationsPerStep<EntryLoad>(),
       kNoAllocation},
      {"cost/view_bytes", view},
      {"cost/view_bytes_per_instance",
       slope(view, ViewBytes(kHalfInstances), instances)},
      {"cost/view_bytes_per_service",
       slope(view, ViewBytes(kHalfServices), services)},
      {"cost/state_bytes", state},
      {"cost/state_bytes_per_instance",
       slope(state, StateBytes(kHalfInstances), instances)},
      {"cost/state_bytes_per_service",
       slope(state, StateBytes(kHalfServices), services)},
      {"cost/bytes_per_request", RequestBytes()},
  };
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine line("Allocations and memory of the decision code");
  TCLAP::ValueArg<std::string> check(
      "", "check", "Compare with bounds; exit 1 if one is broken", false, "",
      "file", line);
  TCLAP::ValueArg<std::string> write("", "write-bounds",
                                     "Write bounds from this run", false, "",
                                     "file", line);
  line.parse(argc, argv);
  std::vector<Check> checks = MeasureCosts();
  SetBounds(checks);
  if (!write.getValue().empty()) {
    UpdateBounds(write.getValue(), checks);
  }
  if (!check.getValue().empty()) {
    ReadBounds(check.getValue(), checks);
  }
  return WriteCheckResults(std::cout, checks) > 0 ? 1 : 0;
}

}  // namespace
}  // namespace basilsill::bench

int main(int argc, char** argv) {
  try {
    return basilsill::bench::Run(argc, argv);
  } catch (const basilsill::FailureError& error) {
    std::cerr << error.what() << "\n";
  }
  return 2;
}
