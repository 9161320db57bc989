#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "allocation_count.h"
#include "basilsill/decision/checkpoint.h"
#include "basilsill/decision/configuration.h"
#include "basilsill/decision/membership.h"
#include "basilsill/decision/view_builder.h"
#include "basilsill/wire/frame.h"
#include "configuration_text.h"
#include "decision_load.h"

/// Figures for docs/CAPACITY.md: memory, message sizes and processor time of
/// each role at several sizes, with a linear fit.

namespace basilsill::bench {
namespace {

constexpr size_t kInstancesPerService = 40;
constexpr size_t kInstancesPerVm = 14;
constexpr size_t kDataCentres = 12;
constexpr int kRepetitions = 5;
constexpr int kSteps = 100000;
constexpr std::array<size_t, 4> kInstances = {100, 1000, 5000, 14000};
constexpr std::array<size_t, 4> kVms = {14, 100, 240, 1000};

struct Point {
  double size = 0;
  double value = 0;
};

/// Prints the points and the least-squares line through them.
void PrintFit(const char* name,
              const char* unit,
              const std::vector<Point>& points) {
  double size_sum = 0;
  double value_sum = 0;
  for (const Point& point : points) {
    size_sum += point.size;
    value_sum += point.value;
  }
  const auto count = static_cast<double>(points.size());
  const double size_mean = size_sum / count;
  const double value_mean = value_sum / count;
  double covariance = 0;
  double variance = 0;
  double total_variance = 0;
  for (const Point& point : points) {
    covariance += (point.size - size_mean) * (point.value - value_mean);
    variance += (point.size - size_mean) * (point.size - size_mean);
    total_variance += (point.value - value_mean) * (point.value - value_mean);
  }
  const double slope = covariance / variance;
  const double r_squared =
      total_variance > 0 ? slope * covariance / total_variance : 1;
  std::printf("| %-34s | %-5s |", name, unit);
  for (const Point& point : points) {
    std::printf(" %.4g |", point.value);
  }
  std::printf(" %.4g + %.4g n | %.3f |\n", value_mean - slope * size_mean,
              slope, r_squared);
}

void PrintHeader(const char* axis, std::span<const size_t> sizes) {
  std::printf("\n| n = %s | unit |", axis);
  for (const size_t size : sizes) {
    std::printf(" %zu |", size);
  }
  std::printf(" line | R2 |\n| --- | --- |");
  for (size_t i = 0; i < sizes.size(); ++i) {
    std::printf(" ---: |");
  }
  std::printf(" --- | ---: |\n");
}

using Measure = std::function<double(size_t)>;

void Report(const char* name,
            const char* unit,
            std::span<const size_t> sizes,
            const Measure& measure) {
  std::vector<Point> points;
  for (const size_t size : sizes) {
    points.push_back({static_cast<double>(size), measure(size)});
  }
  PrintFit(name, unit, points);
  std::fflush(stdout);
}

double ProcessorMicros() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / 1e3;
}

/// @returns the processor time of one `step` in microseconds, as the median
/// over kRepetitions runs.
double MicrosOf(int steps, const std::function<void()>& step) {
  std::array<double, kRepetitions> times{};
  step();
  for (double& time : times) {
    const double before = ProcessorMicros();
    for (int i = 0; i < steps; ++i) {
      step();
    }
    time = (ProcessorMicros() - before) / steps;
  }
  std::sort(times.begin(), times.end());
  return times[kRepetitions / 2];
}

/// @returns the heap bytes that the result of `make` holds.
template <typename Make>
double BytesOf(const Make& make) {
  const int64_t before = AllocationsSoFar().live_bytes;
  const auto held = make();
  return static_cast<double>(AllocationsSoFar().live_bytes - before);
}

InstallationSize SizeOf(size_t instances) {
  return {instances, std::max<size_t>(instances / kInstancesPerService, 1)};
}

template <typename Load>
std::unique_ptr<Load> MakeWarmedUp(const RoutingViewPtr& view) {
  auto load = std::make_unique<Load>(view);
  for (int i = 0; i < kSteps; ++i) {
    load->Step();
  }
  return load;
}

template <typename Load>
double StepMicros(size_t instances) {
  const auto load = MakeWarmedUp<Load>(MakeSizedView(SizeOf(instances)));
  return MicrosOf(kSteps, [&load] { load->Step(); });
}

template <typename Load>
double StateBytes(size_t instances) {
  const RoutingViewPtr view = MakeSizedView(SizeOf(instances));
  return BytesOf([&view] { return MakeWarmedUp<Load>(view); });
}

/// Configuration and VMs of an installation. Each service has a team, a rule,
/// and an upstream set in each data centre.
class Installation {
 public:
  Installation(size_t instances, size_t vms) {
    for (uint32_t i = 0; i < kDataCentres; ++i) {
      this->data_centres.push_back({{i, 0}, "dc-" + std::to_string(i)});
    }
    for (uint32_t i = 0; i < vms; ++i) {
      VmRow row;
      row.handle = {i, 0};
      row.name = "vm-" + std::to_string(i);
      row.data_centre = this->data_centres[i % kDataCentres].handle;
      this->vms.push_back(row);
    }
    const InstallationSize size = SizeOf(instances);
    for (size_t i = 0; i < size.services; ++i) {
      this->AddService("service-" + std::to_string(i),
                       size.instances / size.services);
    }
  }

  RoutingViewPtr Build() {
    return this->builder->Build(this->state,
                                {this->vms, this->data_centres, {0, 0}});
  }

  /// Toggles whether the first instance of one upstream set is leaving.
  /// @returns the record of the change.
  std::string ChangeOneSet() {
    Resource set =
        *this->state.Find({ResourceKind::kUpstreamSet, "service-0-0"})
             ->resource;
    auto& instances = std::get<UpstreamSetSpec>(set.spec).instances;
    instances.front().leaving = !instances.front().leaving;
    return this->Put(set);
  }

  void ChangeOneVm() {
    VmState& last = this->vms.back().state;
    last = last == VmState::kLive ? VmState::kLeaving : VmState::kLive;
  }

  ConfigurationState state;

 private:
  std::string Put(const Resource& body) {
    const uint64_t next = this->state.next_offset();
    Change change = test::PutOf("change-" + std::to_string(next), body);
    change.seen = next;
    const ResourceEntry* current = this->state.Find({body.kind(), body.name});
    if (current != nullptr) {
      change.base = current->version;
    }
    std::string record = WriteChange(change);
    this->state.Apply(next, record);
    return record;
  }

  void AddService(const std::string& name, size_t instances) {
    this->Put(test::TeamOf("team-" + name));
    this->Put(test::ServiceOf(name, "team-" + name));
    this->Put(test::RuleOf(name, name, "/" + name));
    for (size_t data_centre_index = 0; data_centre_index < kDataCentres;
         ++data_centre_index) {
      UpstreamSetSpec spec{
          name, this->data_centres[data_centre_index].name, {}};
      for (size_t i = data_centre_index; i < instances; i += kDataCentres) {
        ++this->addresses;
        spec.instances.push_back(
            {{"10.0." + std::to_string(this->addresses / 250) + "." +
                  std::to_string(this->addresses % 250),
              80}});
      }
      this->Put(
          {name + "-" + std::to_string(data_centre_index), std::move(spec)});
    }
  }

  std::vector<VmRow> vms;
  std::vector<DataCentreRow> data_centres;
  std::unique_ptr<ViewBuilder> builder = ViewBuilder::Create();
  size_t addresses = 0;
};

constexpr size_t VmsFor(size_t instances) {
  return std::max<size_t>(instances / kInstancesPerVm, kDataCentres);
}

double ApplyChangeMicros(size_t instances) {
  Installation installation(instances, VmsFor(instances));
  return MicrosOf(1000, [&] { installation.ChangeOneSet(); });
}

/// Processor time to build a view after one change, without the time to apply
/// the change.
double ViewMicros(size_t instances) {
  Installation installation(instances, VmsFor(instances));
  const double apply_only =
      MicrosOf(1000, [&] { installation.ChangeOneSet(); });
  const double both = MicrosOf(20, [&] {
    installation.ChangeOneSet();
    installation.Build();
  });
  return both - apply_only;
}

double VmChangeMicros(size_t instances, size_t vms) {
  Installation installation(instances, vms);
  return MicrosOf(5, [&] {
    installation.ChangeOneVm();
    installation.Build();
  });
}

double ConfigurationBytes(size_t instances) {
  return BytesOf([instances] {
    auto installation =
        std::make_unique<Installation>(instances, VmsFor(instances));
    installation->Build();
    return installation;
  });
}

std::vector<std::string> Checkpoint(size_t instances) {
  return WriteCheckpoint(Installation(instances, VmsFor(instances)).state, "k");
}

double CheckpointOctets(size_t instances) {
  double octets = 0;
  for (const std::string& part : Checkpoint(instances)) {
    octets += static_cast<double>(part.size());
  }
  return octets;
}

double CheckpointReadMicros(size_t instances) {
  const std::vector<std::string> parts = Checkpoint(instances);
  return MicrosOf(1, [&parts] {
    CheckpointReader reader;
    for (const std::string& part : parts) {
      reader.Add(part);
    }
  });
}

double RecordOctets(size_t instances) {
  Installation installation(instances, VmsFor(instances));
  return static_cast<double>(installation.ChangeOneSet().size());
}

/// Membership of VM `self` after it read a VM list of `vms` VMs.
struct FleetMembership {
  FleetMembership(size_t vms, size_t self) {
    std::vector<ListedVm> listed;
    for (size_t i = 0; i < vms; ++i) {
      listed.push_back({"vm-" + std::to_string(i),
                        "dc-" + std::to_string(i % kDataCentres),
                        {"10.0.0.1", static_cast<uint16_t>(i + 1)},
                        false});
    }
    MembershipOptions options;
    options.self = {listed[self].name,
                    listed[self].data_centre,
                    1,
                    listed[self].control,
                    {},
                    false};
    this->members = Membership::Create(this->now, options);
    this->members->OnVmList(this->now, 1, listed);
    for (const VmRow& row : this->members->rows()) {
      if (row.handle != this->members->self()) {
        this->needs.push_back({row.handle, PeerUse::kShard});
      }
    }
    this->Step();
  }

  void Step() {
    this->now += limits::kControlTick;
    this->members->SetNeeds(this->now, this->needs);
    this->members->Tick(this->now);
  }

  TimePoint now{std::chrono::seconds(1)};
  std::unique_ptr<Membership> members;
  std::vector<PeerNeed> needs;
};

/// @returns the mean number of links of a VM: those that it or its peer opens.
double LinksPerVm(size_t vms) {
  std::set<std::pair<std::string, std::string>> pairs;
  for (size_t self = 0; self < vms; ++self) {
    const FleetMembership fleet(vms, self);
    const std::string own = "vm-" + std::to_string(self);
    for (const MembershipAction& action : fleet.members->actions()) {
      if (action.kind == MembershipActionKind::kOpenLink) {
        pairs.insert(std::minmax(own, action.name));
      }
    }
  }
  return 2.0 * static_cast<double>(pairs.size()) / static_cast<double>(vms);
}

double TickMicros(size_t vms) {
  FleetMembership fleet(vms, 0);
  return MicrosOf(10, [&fleet] {
    fleet.Step();
    fleet.members->ClearActions();
  });
}

double MembershipBytes(size_t vms) {
  return BytesOf([vms] {
    auto fleet = std::make_unique<FleetMembership>(vms, 0);
    fleet->members->ClearActions();
    return fleet;
  });
}

void PrintFrames() {
  wire::FrameEncoder encoder;
  wire::FrameBuffer buffer;
  wire::Heartbeat heartbeat;
  heartbeat.incarnation = 1;
  if (encoder.Encode(heartbeat, buffer)) {
    std::printf("\noctets of a heartbeat's frame: %zu\n", buffer.size());
  }
  buffer.Clear();
  if (encoder.Encode(wire::Summary{}, buffer)) {
    std::printf("octets of a summary's frame: %zu\n", buffer.size());
  }
}

void ReportDecisions() {
  PrintHeader("instances", kInstances);
  Report("dispatcher, a request", "us", kInstances, StepMicros<DispatchLoad>);
  Report("entry, a request", "us", kInstances, StepMicros<EntryLoad>);
  Report("dispatcher, state", "bytes", kInstances, StateBytes<DispatchLoad>);
  Report("entry, state", "bytes", kInstances, StateBytes<EntryLoad>);
  Report("view", "bytes", kInstances, [](size_t instances) {
    return BytesOf([instances] { return MakeSizedView(SizeOf(instances)); });
  });
}

void ReportConfiguration() {
  PrintHeader("instances", kInstances);
  Report("fold of a change", "us", kInstances, ApplyChangeMicros);
  Report("view after a change", "us", kInstances, ViewMicros);
  Report("record of a change", "bytes", kInstances, RecordOctets);
  Report("configuration and its view", "bytes", kInstances, ConfigurationBytes);
  Report("checkpoint", "bytes", kInstances, CheckpointOctets);
  Report("reading a checkpoint", "us", kInstances, CheckpointReadMicros);
  Report("view after a VM left, 240 VMs", "us", kInstances,
         [](size_t instances) { return VmChangeMicros(instances, 240); });
}

void ReportMembership() {
  PrintHeader("VMs", kVms);
  Report("view after a VM left, 14,000 inst.", "us", kVms,
         [](size_t vms) { return VmChangeMicros(kTargetSize.instances, vms); });
  Report("membership, a tick", "us", kVms, TickMicros);
  Report("membership, state", "bytes", kVms, MembershipBytes);
  Report("control links of a VM", "", kVms, LinksPerVm);
}

}  // namespace
}  // namespace basilsill::bench

int main() {
  basilsill::bench::ReportDecisions();
  basilsill::bench::ReportConfiguration();
  basilsill::bench::ReportMembership();
  basilsill::bench::PrintFrames();
}
