#include "metrics_table.h"

#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <fstream>

#include "metrics_page.h"
#include "metrics_writer.h"

namespace basilsill {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::string_view ReasonName(Refusal reason) {
  return InfoOf(reason).name;
}

std::string_view ReasonName(Retry reason) {
  return NameOf(reason);
}

/// Calls `visit(value)` for each value of an enum that ends in kCount.
template <typename Enum, typename Visit>
void ForEachValue(Visit&& visit) {
  for (size_t i = 0; i < static_cast<size_t>(Enum::kCount); ++i) {
    visit(static_cast<Enum>(i));
  }
}

/// @returns the sum over all workers of the counter that `pick` selects.
template <typename Pick>
uint64_t SumOver(const MetricsPage& page, Pick&& pick) {
  uint64_t sum = 0;
  for (const auto& worker : page.worker_list()) {
    const Counter& counter = pick(*worker);
    sum += counter.value();
  }
  return sum;
}

// Render functions for the rows of the table below.

/// Follows a path of member pointers, such as
/// At<&Worker::links, &LinkCounters::open>.
template <auto First, auto... Rest, typename Object>
const auto& At(const Object& object) {
  if constexpr (sizeof...(Rest) == 0) {
    return object.*First;
  } else {
    return At<Rest...>(object.*First);
  }
}

template <auto... Path>
void WorkerCounter(const MetricsPage& page, MetricsWriter& writer) {
  writer.Sample({}, SumOver(
                        page, [](const WorkerMetrics& worker) -> auto& {
                          return At<Path...>(worker);
                        }));
}

template <auto... Path>
void WorkerGauge(const MetricsPage& page, MetricsWriter& writer) {
  for (size_t i = 0; i < page.worker_list().size(); ++i) {
    const Gauge& gauge = At<Path...>(*page.worker_list()[i]);
    writer.Sample({{"worker", std::to_string(i)}}, gauge.value());
  }
}

template <auto... Path>
void ControlValue(const MetricsPage& page, MetricsWriter& writer) {
  writer.Sample({}, At<Path...>(page.control).value());
}

template <typename Reason, auto Member>
void WorkerReasons(const MetricsPage& page, MetricsWriter& writer) {
  ForEachValue<Reason>([&](Reason reason) {
    if (reason == Reason::kNone) {
      return;
    }
    const auto pick = [reason](const WorkerMetrics& worker) -> auto& {
      return (worker.*Member)[static_cast<size_t>(reason)];
    };
    writer.Sample({{"reason", ReasonName(reason)}}, SumOver(page, pick));
  });
}

// Writes one sample for each value of `Enum`.
template <typename Enum, auto Member>
void SampleEach(const MetricsPage& page,
                MetricsWriter& writer,
                std::string_view label) {
  ForEachValue<Enum>([&](Enum value) {
    const auto pick = [value](const WorkerMetrics& worker) -> auto& {
      return (worker.*Member)[static_cast<size_t>(value)];
    };
    writer.Sample({{label, NameOf(value)}}, SumOver(page, pick));
  });
}

void Sheds(const MetricsPage& page, MetricsWriter& writer) {
  SampleEach<ShedCase, &WorkerMetrics::sheds>(page, writer, "case");
}

void NotRunPromises(const MetricsPage& page, MetricsWriter& writer) {
  SampleEach<RefusalSource, &WorkerMetrics::not_run_promises>(page, writer,
                                                              "source");
}

void Requests(const MetricsPage& page, MetricsWriter& writer) {
  ForEachValue<TrafficClass>([&](TrafficClass traffic_class) {
    ForEachValue<Outcome>([&](Outcome outcome) {
      const auto pick = [&](const WorkerMetrics& worker) -> auto& {
        return worker.requests[static_cast<size_t>(traffic_class)]
                              [static_cast<size_t>(outcome)];
      };
      writer.Sample(
          {{"class", NameOf(traffic_class)}, {"outcome", NameOf(outcome)}},
          SumOver(page, pick));
    });
  });
}

void Credits(const MetricsPage& page, MetricsWriter& writer) {
  ForEachValue<TrafficClass>([&](TrafficClass traffic_class) {
    ForEachValue<CreditUse>([&](CreditUse use) {
      const auto pick = [&](const WorkerMetrics& worker) -> auto& {
        return worker.credits[static_cast<size_t>(traffic_class)]
                             [static_cast<size_t>(use)];
      };
      writer.Sample({{"class", NameOf(traffic_class)}, {"use", NameOf(use)}},
                    SumOver(page, pick));
    });
  });
}

struct Quantile {
  std::string_view name;
  double ratio;
};
constexpr std::array kQuantiles = {Quantile{"0.5", 0.5}, Quantile{"0.9", 0.9},
                                   Quantile{"0.99", 0.99},
                                   Quantile{"0.999", 0.999}, Quantile{"1", 1}};

template <auto Member>
void Latency(const MetricsPage& page, MetricsWriter& writer) {
  const LatencyHistory& history = page.*Member;
  ForEachValue<TrafficClass>([&](TrafficClass traffic_class) {
    const auto position = static_cast<size_t>(traffic_class);
    const std::string_view class_name = NameOf(traffic_class);
    LatencyDigest recent = history.previous[position];
    recent.Merge(history.current[position]);
    for (const Quantile& quantile : kQuantiles) {
      if (recent.count > 0) {
        writer.Sample({{"class", class_name}, {"quantile", quantile.name}},
                      Seconds(recent.Quantile(quantile.ratio)));
      }
    }
    writer.SampleWithSuffix("_sum", {{"class", class_name}},
                            Seconds(history.sums[position]));
    writer.SampleWithSuffix("_count", {{"class", class_name}},
                            static_cast<double>(history.counts[position]));
  });
}

void Info(const MetricsPage& page, MetricsWriter& writer) {
  const NodeIdentity& node = page.node();
  writer.Sample({{"version", node.version},
                 {"tenant", node.tenant},
                 {"vm", node.vm},
                 {"data_centre", node.data_centre}},
                uint64_t{1});
}

void Vms(const MetricsPage& page, MetricsWriter& writer) {
  ForEachValue<VmState>([&](VmState state) {
    writer.Sample({{"state", NameOf(state)}},
                  page.control.vms[static_cast<size_t>(state)].value());
  });
}

void PlatformCalls(const MetricsPage& page, MetricsWriter& writer) {
  ForEachValue<PlatformCall>([&](PlatformCall purpose) {
    writer.Sample(
        {{"purpose", NameOf(purpose)}},
        page.control.platform_calls[static_cast<size_t>(purpose)].value());
  });
}

void RecordsIgnored(const MetricsPage& page, MetricsWriter& writer) {
  ForEachValue<FailureKind>([&](FailureKind reason) {
    writer.Sample(
        {{"reason", FailureName(reason)}},
        page.control.records_ignored[static_cast<size_t>(reason)].value());
  });
}

void AcceptFailures(const MetricsPage& page, MetricsWriter& writer) {
  const uint64_t at_workers = SumOver(
      page, [](const WorkerMetrics& worker) -> auto& {
        return worker.accept_failures;
      });
  writer.Sample({}, at_workers + page.control.accept_failures.value());
}

void WorkerCpu(const MetricsPage& page, MetricsWriter& writer) {
  for (size_t i = 0; i < page.worker_list().size(); ++i) {
    const auto cpu_time = static_cast<Duration::rep>(
        page.worker_list()[i]->cpu_nanoseconds.value());
    writer.Sample({{"worker", std::to_string(i)}}, Seconds(Duration(cpu_time)));
  }
}

void ControlCpu(const MetricsPage&, MetricsWriter& writer) {
  writer.Sample({}, Seconds(ThreadCpuTime()));
}

void ResidentMemory(const MetricsPage&, MetricsWriter& writer) {
  std::ifstream file("/proc/self/statm");
  uint64_t total_pages = 0;
  uint64_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  writer.Sample({},
                resident_pages * static_cast<uint64_t>(sysconf(_SC_PAGESIZE)));
}

using Worker = WorkerMetrics;
using Control = ControlMetrics;

constexpr MetricRow CounterRow(std::string_view name,
                               std::string_view labels,
                               std::string_view help,
                               void (*render)(const MetricsPage&,
                                              MetricsWriter&)) {
  return {{name, "counter", labels, help}, render};
}

constexpr MetricRow GaugeRow(std::string_view name,
                             std::string_view labels,
                             std::string_view help,
                             void (*render)(const MetricsPage&,
                                            MetricsWriter&)) {
  return {{name, "gauge", labels, help}, render};
}

constexpr MetricRow SummaryRow(std::string_view name,
                               std::string_view help,
                               void (*render)(const MetricsPage&,
                                              MetricsWriter&)) {
  return {{name, "summary", "class, quantile", help}, render};
}

constexpr std::array kMetrics = {
    GaugeRow("basilsill_info",
             "version, tenant, vm, data_centre",
             "Always 1; the labels say which node this is.",
             Info),

    // Callers.
    CounterRow("basilsill_requests_total",
               "class, outcome",
               "Requests of callers by how they ended.",
               Requests),
    CounterRow("basilsill_refusals_total",
               "reason",
               "Requests that the system answered itself.",
               WorkerReasons<Refusal, &Worker::refusals>),
    CounterRow("basilsill_not_run_promises_total",
               "source",
               "Requests that must not repeat and were refused as not run, by "
               "who refused them.",
               NotRunPromises),
    CounterRow("basilsill_withheld_promises_total",
               "",
               "Refusals that promised not-run without proof; their callers "
               "were told that the outcome is unknown.",
               WorkerCounter<&Worker::withheld_promises>),
    CounterRow("basilsill_retries_total",
               "reason",
               "Attempts made again, or denied although possible.",
               WorkerReasons<Retry, &Worker::retries>),
    CounterRow("basilsill_quota_credits_total",
               "class, use",
               "Requests of teams with a quota by what became of their credit.",
               Credits),
    CounterRow("basilsill_quota_void_credits_total",
               "",
               "Credits that were lent to this VM and not used in time.",
               WorkerCounter<&Worker::void_credits>),
    SummaryRow("basilsill_request_seconds",
               "Time from a request's head to the last byte of its answer.",
               Latency<&MetricsPage::request_latency>),
    GaugeRow("basilsill_requests_in_flight",
             "worker",
             "Requests of callers that are not answered yet.",
             WorkerGauge<&Worker::requests_in_flight>),
    GaugeRow("basilsill_peer_requests",
             "worker",
             "Requests that peers handed over and that have not ended here.",
             WorkerGauge<&Worker::peer_requests>),
    GaugeRow("basilsill_caller_connections",
             "worker",
             "Open connections of callers.",
             WorkerGauge<&Worker::caller_connections>),
    CounterRow("basilsill_caller_connections_opened_total",
               "",
               "Connections accepted from callers.",
               WorkerCounter<&Worker::caller_connections_opened>),
    CounterRow("basilsill_accept_failures_total",
               "",
               "Connections that could not be accepted, for want of "
               "descriptors for instance.",
               AcceptFailures),
    GaugeRow("basilsill_callers_not_taken",
             "",
             "1 while no further callers are taken, so that readiness fails.",
             ControlValue<&Control::callers_not_taken>),
    CounterRow("basilsill_caller_received_bytes_total",
               "",
               "Bytes received from callers.",
               WorkerCounter<&Worker::caller_bytes_received>),
    CounterRow("basilsill_caller_sent_bytes_total",
               "",
               "Bytes sent to callers.",
               WorkerCounter<&Worker::caller_bytes_sent>),

    // Dispatching and upstreams.
    GaugeRow("basilsill_queued_requests",
             "worker",
             "Requests that wait for a slot of an upstream.",
             WorkerGauge<&Worker::queued>),
    SummaryRow("basilsill_queue_seconds",
               "Time that requests waited so.",
               Latency<&MetricsPage::queue_latency>),
    CounterRow("basilsill_attempts_total",
               "",
               "Attempts to run a request at an upstream.",
               WorkerCounter<&Worker::attempts>),
    GaugeRow("basilsill_attempts_in_flight",
             "worker",
             "Attempts that run at an upstream.",
             WorkerGauge<&Worker::attempts_in_flight>),
    SummaryRow("basilsill_upstream_seconds",
               "Time from the start of an attempt to the end of its answer.",
               Latency<&MetricsPage::upstream_latency>),
    GaugeRow("basilsill_upstream_connections",
             "worker",
             "Open connections to upstreams.",
             WorkerGauge<&Worker::upstream_connections>),
    CounterRow("basilsill_upstream_connections_opened_total",
               "",
               "Connections opened to upstreams.",
               WorkerCounter<&Worker::upstream_connections_opened>),
    CounterRow("basilsill_upstream_sent_bytes_total",
               "",
               "Bytes sent to upstreams.",
               WorkerCounter<&Worker::upstream_bytes_sent>),
    CounterRow("basilsill_upstream_received_bytes_total",
               "",
               "Bytes received from upstreams.",
               WorkerCounter<&Worker::upstream_bytes_received>),

    // Cost of measuring upstreams.
    CounterRow("basilsill_probes_total",
               "",
               "Requests sent to upstreams only to measure them.",
               WorkerCounter<&Worker::probes>),
    CounterRow("basilsill_probe_bytes_total",
               "",
               "Bytes of those, both ways.",
               WorkerCounter<&Worker::probe_bytes>),
    GaugeRow("basilsill_rate_limited_upstreams",
             "worker",
             "Upstreams that name a rate limit, of those dispatched here.",
             WorkerGauge<&Worker::rate_limited_upstreams>),
    CounterRow("basilsill_rate_limited_requests_total",
               "",
               "Attempts at upstreams that name a rate limit.",
               WorkerCounter<&Worker::rate_limited_requests>),
    CounterRow("basilsill_rate_limited_probes_total",
               "",
               "Requests sent to such upstreams only to measure them.",
               WorkerCounter<&Worker::rate_limited_probes>),
    CounterRow("basilsill_rate_limit_holds_total",
               "",
               "Requests that waited where rate limits bind all upstreams.",
               WorkerCounter<&Worker::held_for_rate>),

    GaugeRow("basilsill_unreachable_data_centres",
             "worker",
             "Data centres in which no upstream can be connected to.",
             WorkerGauge<&Worker::unreachable_data_centres>),
    GaugeRow("basilsill_leaving_upstreams",
             "worker",
             "Upstreams that say in their answers that they leave.",
             WorkerGauge<&Worker::leaving_upstreams>),
    GaugeRow("basilsill_resting_upstreams",
             "worker",
             "Upstreams that asked for no requests for a time that lasts.",
             WorkerGauge<&Worker::resting_upstreams>),
    CounterRow("basilsill_notice_refusals_total",
               "",
               "Requests refused where upstreams leave or rest by their word.",
               WorkerCounter<&Worker::refused_for_notice>),
    CounterRow("basilsill_sheds_total",
               "case",
               "Requests that upstreams shed, by the cause that was found.",
               Sheds),

    // Other nodes.
    GaugeRow("basilsill_links",
             "worker",
             "Open data links to other workers.",
             WorkerGauge<&Worker::links, &LinkCounters::open>),
    CounterRow("basilsill_link_sent_messages_total",
               "",
               "Messages sent on data links.",
               WorkerCounter<&Worker::links, &LinkCounters::messages_sent>),
    CounterRow("basilsill_link_received_messages_total",
               "",
               "Messages received on data links.",
               WorkerCounter<&Worker::links, &LinkCounters::messages_received>),
    CounterRow("basilsill_link_sent_bytes_total",
               "",
               "Bytes sent on data links.",
               WorkerCounter<&Worker::links, &LinkCounters::bytes_sent>),
    CounterRow("basilsill_link_received_bytes_total",
               "",
               "Bytes received on data links.",
               WorkerCounter<&Worker::links, &LinkCounters::bytes_received>),

    // Control.
    GaugeRow("basilsill_vms",
             "state",
             "VMs of the VM list as this one sees "
             "them.",
             Vms),
    GaugeRow("basilsill_view_version",
             "",
             "Version of the routing view last published to the workers.",
             ControlValue<&Control::view_version>),
    GaugeRow("basilsill_applied_offset",
             "",
             "Next record of the configuration to be read from the log.",
             ControlValue<&Control::applied_offset>),
    GaugeRow("basilsill_drained_data_centres",
             "",
             "Data centres whose upstreams get nothing new, as the operator "
             "wants it.",
             ControlValue<&Control::drained_data_centres>),
    GaugeRow("basilsill_store_era",
             "",
             "Era of the platform's store, which rises each time that it is "
             "restored from a copy; 0 if it has none.",
             ControlValue<&Control::store_era>),
    GaugeRow("basilsill_lost_data_centres",
             "",
             "Data centres whose upstreams no VM can connect to.",
             ControlValue<&Control::lost_data_centres>),
    GaugeRow("basilsill_configuration_age_milliseconds",
             "",
             "Time since the configuration certainly was the newest; 0 where "
             "that is not followed.",
             ControlValue<&Control::configuration_age>),
    GaugeRow("basilsill_lends_quotas",
             "",
             "1 while this VM lends its data centre's share of quotas.",
             ControlValue<&Control::lends_quotas>),
    GaugeRow("basilsill_control_links",
             "",
             "Open control links to other VMs.",
             ControlValue<&Control::links, &LinkCounters::open>),
    CounterRow("basilsill_control_sent_bytes_total",
               "",
               "Bytes sent on control links.",
               ControlValue<&Control::links, &LinkCounters::bytes_sent>),
    CounterRow("basilsill_control_received_bytes_total",
               "",
               "Bytes received on control links.",
               ControlValue<&Control::links, &LinkCounters::bytes_received>),
    CounterRow("basilsill_log_reads_total",
               "",
               "Reads of the log service.",
               ControlValue<&Control::log_reads>),
    CounterRow("basilsill_log_appends_total",
               "",
               "Appends to the log service.",
               ControlValue<&Control::log_appends>),
    CounterRow("basilsill_platform_failures_total",
               "",
               "Calls to the platform that failed or were lost.",
               ControlValue<&Control::platform_failures>),
    CounterRow("basilsill_platform_calls_total",
               "purpose",
               "Calls to a platform with a record store, by what they are "
               "for.",
               PlatformCalls),
    CounterRow("basilsill_records_ignored_total",
               "reason",
               "Records of the platform that name nothing to be used.",
               RecordsIgnored),

    // Process.
    CounterRow("basilsill_worker_cpu_seconds_total",
               "worker",
               "Processor time of each traffic thread.",
               WorkerCpu),
    CounterRow("basilsill_control_cpu_seconds_total",
               "",
               "Processor time of the control thread.",
               ControlCpu),
    GaugeRow("process_resident_memory_bytes",
             "",
             "Resident memory of the process.",
             ResidentMemory),
};

}  // namespace

std::span<const MetricRow> MetricsTable() {
  return kMetrics;
}

}  // namespace basilsill
