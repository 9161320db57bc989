// Cost of configuration on the control thread, at the current size of the
// installation and at the size that it must support. Not part of CI, since the
// figures depend on the machine.

#include <cstdlib>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <benchmark/benchmark.h>

#include "basilsill/decision/checkpoint.h"
#include "basilsill/decision/view_builder.h"
#include "configuration_text.h"

namespace basilsill::test {
namespace {

struct Size {
  size_t services;
  size_t instances;
  size_t data_centres;
  size_t vms;
};

constexpr Size kCurrentSize{4, 31, 3, 14};
constexpr Size kTargetSize{350, 14000, 12, 1000};

// An installation with one rule per service, and one upstream set per service
// and data centre.
class Installation {
 public:
  explicit Installation(const Size& size) : size(size) {
    this->AddMembership();
    for (size_t i = 0; i < size.services; ++i) {
      this->AddService("s" + std::to_string(i));
    }
  }

  void Put(const Resource& body) {
    const ResourceEntry* current = this->state.Find({body.kind(), body.name});
    Change change =
        PutOf("c" + std::to_string(this->state.next_offset()), body);
    change.seen = this->state.next_offset();
    if (current != nullptr) {
      change.base = current->version;
    }
    this->Apply(WriteChange(change));
  }

  void Apply(const std::string& record) {
    const RecordOutcome outcome =
        this->state.Apply(this->state.next_offset(), record);
    if (outcome.verdict != RecordVerdict::kAccepted) {
      std::abort();
    }
  }

  // Takes one instance of one set in or out of rotation.
  void ChangeOneSet() {
    const std::string name = "s0-0";
    Resource set =
        *this->state.Find({ResourceKind::kUpstreamSet, name})->resource;
    auto& instances = std::get<UpstreamSetSpec>(set.spec).instances;
    instances.front().leaving = !instances.front().leaving;
    this->Put(set);
  }

  RoutingViewPtr Build() {
    return this->builder->Build(this->state,
                                {this->vms, this->data_centres, {0, 0}});
  }

  ConfigurationState state;
  std::vector<VmRow> vms;

 private:
  void AddMembership() {
    for (uint32_t i = 0; i < this->size.data_centres; ++i) {
      this->data_centres.push_back({{i, 0}, "dc" + std::to_string(i)});
    }
    for (uint32_t i = 0; i < this->size.vms; ++i) {
      VmRow row;
      row.handle = {i, 0};
      row.name = "vm" + std::to_string(i);
      row.data_centre = {static_cast<uint32_t>(i % this->size.data_centres), 0};
      this->vms.push_back(row);
    }
  }

  void AddService(const std::string& name) {
    this->Put(TeamOf("team-" + name));
    this->Put(ServiceOf(name, "team-" + name));
    this->Put(RuleOf(name, name, "/" + name));
    const size_t count = this->size.instances / this->size.services;
    for (size_t data_centre_index = 0;
         data_centre_index < this->size.data_centres; ++data_centre_index) {
      UpstreamSetSpec spec{name, "dc" + std::to_string(data_centre_index), {}};
      for (size_t i = data_centre_index; i < count;
           i += this->size.data_centres) {
        ++this->next_address;
        spec.instances.push_back(
            {{"10.0." + std::to_string(this->next_address / 250) + "." +
                  std::to_string(this->next_address % 250),
              80}});
      }
      this->Put(
          {name + "-" + std::to_string(data_centre_index), std::move(spec)});
    }
  }

  Size size;
  size_t next_address = 0;
  std::vector<DataCentreRow> data_centres;
  std::unique_ptr<ViewBuilder> builder = ViewBuilder::Create();
};

void FoldOneChange(benchmark::State& bench, const Size& size) {
  Installation installation(size);
  for (auto _ : bench) {
    installation.ChangeOneSet();
  }
}

void ViewAfterOneChange(benchmark::State& bench, const Size& size) {
  Installation installation(size);
  installation.Build();
  for (auto _ : bench) {
    bench.PauseTiming();
    installation.ChangeOneSet();
    bench.ResumeTiming();
    benchmark::DoNotOptimize(installation.Build());
  }
}

void ViewAfterVmLeft(benchmark::State& bench, const Size& size) {
  Installation installation(size);
  installation.Build();
  VmRow& vm = installation.vms.back();
  for (auto _ : bench) {
    vm.state = vm.state == VmState::kLive ? VmState::kLeaving : VmState::kLive;
    benchmark::DoNotOptimize(installation.Build());
  }
}

void WriteWholeCheckpoint(benchmark::State& bench, const Size& size) {
  const Installation installation(size);
  size_t bytes = 0;
  size_t parts = 0;
  for (auto _ : bench) {
    const auto records = WriteCheckpoint(installation.state, "k");
    parts = records.size();
    bytes = 0;
    for (const std::string& record : records) {
      bytes += record.size();
    }
  }
  bench.counters["parts"] = static_cast<double>(parts);
  bench.counters["bytes"] = static_cast<double>(bytes);
}

void ReadWholeCheckpoint(benchmark::State& bench, const Size& size) {
  const Installation installation(size);
  const auto records = WriteCheckpoint(installation.state, "k");
  for (auto _ : bench) {
    CheckpointReader reader;
    bool is_whole = false;
    for (const std::string& record : records) {
      is_whole = reader.Add(record).has_value();
    }
    if (!is_whole) {
      std::abort();
    }
  }
}

BENCHMARK_CAPTURE(FoldOneChange, today, kCurrentSize);
BENCHMARK_CAPTURE(FoldOneChange, big, kTargetSize);
BENCHMARK_CAPTURE(ViewAfterOneChange, today, kCurrentSize);
BENCHMARK_CAPTURE(ViewAfterOneChange, big, kTargetSize);
BENCHMARK_CAPTURE(ViewAfterVmLeft, today, kCurrentSize);
BENCHMARK_CAPTURE(ViewAfterVmLeft, big, kTargetSize);
BENCHMARK_CAPTURE(WriteWholeCheckpoint, today, kCurrentSize);
BENCHMARK_CAPTURE(WriteWholeCheckpoint, big, kTargetSize);
BENCHMARK_CAPTURE(ReadWholeCheckpoint, today, kCurrentSize);
BENCHMARK_CAPTURE(ReadWholeCheckpoint, big, kTargetSize);

}  // namespace
}  // namespace basilsill::test

BENCHMARK_MAIN();
