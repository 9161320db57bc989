// Tests of counters, latency windows and the metrics page.

#include "metrics_page.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <fstream>
#include <map>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "metrics_table.h"

#include <CppUTest/TestHarness.h>

namespace {

using basilsill::Duration;
using basilsill::LatencyDigest;
using basilsill::LatencyDigests;
using basilsill::LatencyRecorder;
using basilsill::MetricsPage;
using basilsill::TimePoint;
using basilsill::TrafficClass;
using basilsill::WorkerMetrics;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kSeed = 20250310;
constexpr int kSamples = 200000;
constexpr size_t kOrdinary = static_cast<size_t>(TrafficClass::kOrdinary);

TimePoint At(Duration offset) {
  return TimePoint(std::chrono::hours(1)) + offset;
}

/// @returns the exact quantile of `sorted` by nearest rank.
Duration ExactQuantile(const std::vector<Duration>& sorted, double ratio) {
  const auto rank = static_cast<size_t>(
      std::ceil(ratio * static_cast<double>(sorted.size())));
  return sorted[std::max<size_t>(rank, 1) - 1];
}

/// @returns the value of each sample on `page`, by its name with labels.
std::map<std::string, std::string> Samples(const std::string& page) {
  std::map<std::string, std::string> samples;
  std::istringstream lines(page);
  for (std::string line; std::getline(lines, line);) {
    const size_t space = line.rfind(' ');
    if (!line.starts_with('#')) {
      samples[line.substr(0, space)] = line.substr(space + 1);
    }
  }
  return samples;
}

}  // namespace

TEST_GROUP(LatencyRecorder) {
  LatencyRecorder recorder;
  LatencyDigests digests;

  void Record(Duration duration) {
    this->recorder.Record(TrafficClass::kOrdinary, duration);
  }
  const LatencyDigest& digest() const {
    return this->digests[kOrdinary];
  }
};

// Failure: the latency of a service rises eightfold within one window. An
// estimator with adaptive markers (P-square) then reports a median and a tail
// latency that no request had.
TEST(LatencyRecorder, Quantile_LatencyShiftsInAWindow_IsWithinOneBin) {
  std::mt19937_64 random(kSeed);
  std::lognormal_distribution<double> latency_ms(1.0, 1.0);
  std::vector<Duration> all;
  for (int i = 0; i < 20000; ++i) {
    const double slowdown = i < 10000 ? 1 : 8;
    all.emplace_back(static_cast<int64_t>(latency_ms(random) * slowdown * 1e6));
    this->Record(all.back());
  }
  this->recorder.HandOver(At(seconds(0)));
  this->recorder.Collect(this->digests);
  std::sort(all.begin(), all.end());
  for (const double ratio : {0.01, 0.5, 0.9, 0.99, 0.999, 1.0}) {
    const auto exact = static_cast<double>(ExactQuantile(all, ratio).count());
    const auto found =
        static_cast<double>(this->digest().Quantile(ratio).count());
    CHECK(std::abs(found / exact - 1) < 0.05);
  }
  CHECK_EQUAL(20000U, this->digest().count);
  CHECK(this->digest().longest == all.back());
}

TEST(LatencyRecorder, Quantile_OutsideTheBins_UsesTheOuterBins) {
  this->Record(std::chrono::hours(5));
  this->Record(Duration(0));
  this->recorder.HandOver(At(seconds(0)));
  this->recorder.Collect(this->digests);
  CHECK(this->digest().Quantile(1) == std::chrono::hours(5));
  CHECK(this->digest().Quantile(0.1) < LatencyDigest::kLowerBound);
  CHECK(LatencyDigest().Quantile(0.5) == Duration(0));
}

TEST(LatencyRecorder, HandOver_ReaderIsLate_LosesNoSamples) {
  for (int i = 0; i < 10; ++i) {
    this->Record(milliseconds(1));
    this->recorder.HandOver(At(seconds(i)));
  }
  this->recorder.Collect(this->digests);
  CHECK_EQUAL(1U, this->digest().count);  // Only the first window.
  this->recorder.HandOver(At(seconds(10)));
  this->recorder.Collect(this->digests);
  CHECK_EQUAL(10U, this->digest().count);
  CHECK(this->digest().sum == milliseconds(10));
}

TEST(LatencyRecorder, Collect_WhileWorkerRecords_CountsEachSampleOnce) {
  std::atomic<bool> done{false};
  std::thread worker([this, &done] {
    for (int i = 0; i < kSamples; ++i) {
      this->Record(std::chrono::microseconds(i));
      this->recorder.HandOver(At(seconds(i)));
    }
    done = true;
  });
  while (!done) {
    this->recorder.Collect(this->digests);
  }
  worker.join();
  this->recorder.Collect(this->digests);
  this->recorder.HandOver(At(seconds(kSamples)));
  this->recorder.Collect(this->digests);
  CHECK_EQUAL(static_cast<uint64_t>(kSamples), this->digest().count);
}

TEST_GROUP(MetricsPage) {
  MetricsPage page{{"1.0", "rodopa", "lyulin-1", "quote\"back\\line\n"}};
  std::shared_ptr<WorkerMetrics> first = std::make_shared<WorkerMetrics>();
  std::shared_ptr<WorkerMetrics> second = std::make_shared<WorkerMetrics>();

  void setup() override {
    this->page.AddWorker(this->first);
    this->page.AddWorker(this->second);
  }
  std::string Value(const std::string& sample) const {
    const auto samples = Samples(this->page.Render());
    const auto found = samples.find(sample);
    return found == samples.end() ? "absent" : found->second;
  }
};

TEST(MetricsPage, Render_CountersOfWorkers_AreSummed) {
  this->first->CountOutcome(TrafficClass::kUrgent,
                            basilsill::Outcome::kAnswered);
  this->second->CountOutcome(TrafficClass::kUrgent,
                             basilsill::Outcome::kAnswered);
  this->second->probes.Add(5);
  STRCMP_EQUAL("2", this->Value("basilsill_requests_total{class=\"urgent\","
                                "outcome=\"answered\"}")
                        .c_str());
  STRCMP_EQUAL("5", this->Value("basilsill_probes_total").c_str());
}

TEST(MetricsPage, Render_GaugesOfWorkers_AreLabelledByWorker) {
  this->first->queued.Add(3);
  this->second->queued.Add(-1);
  STRCMP_EQUAL("3",
               this->Value("basilsill_queued_requests{worker=\"0\"}").c_str());
  STRCMP_EQUAL("-1",
               this->Value("basilsill_queued_requests{worker=\"1\"}").c_str());
}

TEST(MetricsPage, Render_EachReason_HasACounterFromTheStart) {
  const auto samples = Samples(this->page.Render());
  for (int i = 1; i < static_cast<int>(basilsill::Refusal::kCount); ++i) {
    const std::string name(InfoOf(static_cast<basilsill::Refusal>(i)).name);
    CHECK_EQUAL(
        1U, samples.count("basilsill_refusals_total{reason=\"" + name + "\"}"));
  }
  for (int i = 1; i < static_cast<int>(basilsill::Retry::kCount); ++i) {
    const std::string name(NameOf(static_cast<basilsill::Retry>(i)));
    CHECK_EQUAL(
        1U, samples.count("basilsill_retries_total{reason=\"" + name + "\"}"));
  }
}

TEST(MetricsPage, Render_LabelWithSpecialCharacters_IsEscaped) {
  STRCMP_CONTAINS("data_centre=\"quote\\\"back\\\\line\\n\"} 1\n",
                  this->page.Render().c_str());
}

TEST(MetricsPage, Render_Latency_CoversRecentSpansAndAllTotals) {
  const std::string name = "basilsill_request_seconds";
  this->first->request_latency.Record(TrafficClass::kBulk, seconds(4));
  this->second->request_latency.Record(TrafficClass::kBulk, seconds(4));
  this->first->Tick(At(seconds(0)));
  this->second->Tick(At(seconds(0)));
  this->page.Tick(At(seconds(0)));
  STRCMP_EQUAL("4",
               this->Value(name + "{class=\"bulk\",quantile=\"1\"}").c_str());
  STRCMP_EQUAL("absent",
               this->Value(name + "{class=\"urgent\",quantile=\"1\"}").c_str());
  this->page.Tick(At(MetricsPage::kQuantileSpan));
  STRCMP_EQUAL("4",
               this->Value(name + "{class=\"bulk\",quantile=\"1\"}").c_str());
  this->page.Tick(At(2 * MetricsPage::kQuantileSpan));
  STRCMP_EQUAL("absent",
               this->Value(name + "{class=\"bulk\",quantile=\"1\"}").c_str());
  STRCMP_EQUAL("2", this->Value(name + "_count{class=\"bulk\"}").c_str());
  STRCMP_EQUAL("8", this->Value(name + "_sum{class=\"bulk\"}").c_str());
}

TEST(MetricsPage, Render_EachMetric_HasHelpAndType) {
  const std::string text = this->page.Render();
  for (const basilsill::MetricRow& row : basilsill::MetricsTable()) {
    const basilsill::MetricInfo& metric = row.info;
    const std::string name(metric.name);
    std::ostringstream head;
    head << "# HELP " << name << ' ' << metric.help << "\n# TYPE " << name
         << ' ' << metric.type << '\n';
    STRCMP_CONTAINS(head.str().c_str(), text.c_str());
  }
}

TEST(MetricsPage, MetricsDocument_EachMetric_HasARow) {
  std::ifstream file(BASILSILL_METRICS_PAGE);
  std::string line;
  std::vector<std::string> rows;
  while (std::getline(file, line)) {
    if (line.starts_with("| `")) {
      rows.push_back(line);
    }
  }
  std::vector<std::string> expected;
  for (const basilsill::MetricRow& row : basilsill::MetricsTable()) {
    const basilsill::MetricInfo& metric = row.info;
    std::ostringstream text;
    text << "| `" << metric.name << "` | " << metric.type << " | "
         << metric.labels << " | " << metric.help << " |";
    expected.push_back(text.str());
  }
  CHECK_EQUAL(expected.size(), rows.size());
  for (size_t i = 0; i < expected.size(); ++i) {
    STRCMP_EQUAL(expected[i].c_str(), rows[i].c_str());
  }
}
