// Tests of the parts of the load generator that need no network.

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include <pcg_random.hpp>

#include "basilsill/ctl/load_histogram.h"
#include "load_executions.h"
#include "load_mix.h"
#include "load_process.h"
#include "load_report.h"
#include "load_resend.h"
#include "load_schedule.h"

#include <CppUTest/TestHarness.h>

using basilsill::Duration;
using basilsill::FailureKind;
using basilsill::Promise;
using basilsill::TimePoint;
using basilsill::WallTime;
using basilsill::ctl::LoadAttemptResult;
using basilsill::ctl::LoadCall;
using basilsill::ctl::LoadHistogram;
using basilsill::ctl::LoadReport;
using basilsill::ctl::LoadResendState;
using basilsill::ctl::LoadSchedule;
using basilsill::ctl::LoadScheduleOptions;
using basilsill::ctl::LoadSide;
using basilsill::ctl::LoadVerdict;
using basilsill::ctl::ResendDelay;
using std::chrono::milliseconds;

TEST_GROUP(LoadHistogram) {
  LoadHistogram histogram;
};

TEST(LoadHistogram, Quantile_LongTail_IsWithinOneBucket) {
  pcg32 random(3);
  std::vector<int64_t> values;
  for (int i = 0; i < 10000; ++i) {
    // From microseconds to seconds, the range of real latencies.
    const double exponent = 3 + 6 * (random() / 4294967296.0);
    values.push_back(std::llround(std::pow(10, exponent)));
    this->histogram.Add(Duration(values.back()));
  }
  std::sort(values.begin(), values.end());
  for (const double fraction : {0.5, 0.9, 0.99, 0.999, 1.0}) {
    const auto index = static_cast<size_t>(
        std::ceil(fraction * static_cast<double>(values.size())));
    const auto exact = static_cast<double>(values[index - 1]);
    const auto shown =
        static_cast<double>(this->histogram.Quantile(fraction).count());
    CHECK(shown >= exact);
    CHECK(shown <= exact * (1 + 1.0 / 128));
  }
}

TEST(LoadHistogram, Merge_TwoHalves_EqualsWhole) {
  LoadHistogram other;
  LoadHistogram whole;
  for (int i = 0; i < 1000; ++i) {
    const Duration value(i * i);
    (i % 2 == 0 ? this->histogram : other).Add(value);
    whole.Add(value);
  }
  this->histogram.Merge(other);
  CHECK_EQUAL(1000, this->histogram.count());
  CHECK(this->histogram.Quantile(0.9) == whole.Quantile(0.9));
  CHECK(this->histogram.max() == whole.max());
  CHECK(this->histogram.mean() == whole.mean());
}

TEST(LoadHistogram, Add_BeyondTable_KeepsMaximum) {
  this->histogram.Add(std::chrono::hours(100));
  CHECK(this->histogram.Quantile(0.5) <= std::chrono::hours(100));
  CHECK(this->histogram.max() == std::chrono::hours(100));
}

TEST_GROUP(LoadSchedule) {
  LoadScheduleOptions options{{LoadSide::kThrough, LoadSide::kDirect},
                              {3, 1},
                              {false, true},
                              1000,
                              5,
                              0};
  WallTime wall{milliseconds(0x0198765432ab)};
};

TEST(LoadSchedule, NextGap_ManyCalls_MatchRateAndRepeatWithSeed) {
  LoadSchedule schedule(this->options);
  LoadSchedule same_seed(this->options);
  Duration sum{};
  for (int i = 0; i < 10000; ++i) {
    const Duration gap = schedule.NextGap();
    CHECK(gap == same_seed.NextGap());
    sum += gap;
  }
  DOUBLES_EQUAL(10.0, std::chrono::duration<double>(sum).count(), 0.5);
}

TEST(LoadSchedule, Next_TwoSidesTwoKinds_AlternatesSidesAndWeighsKinds) {
  LoadSchedule schedule(this->options);
  std::array<int, 2> kinds{};
  for (int i = 0; i < 4000; ++i) {
    const LoadCall call = schedule.Next(TimePoint(), this->wall);
    CHECK(call.side == this->options.sides[i % 2]);
    CHECK(call.key.empty() == (call.kind == 0));
    ++kinds[call.kind];
  }
  DOUBLES_EQUAL(3000, kinds[0], 150);
}

TEST(LoadSchedule, Key_RequestThatMustNotRunTwice_ContainsCreationTime) {
  this->options.weights = {0, 1};
  LoadSchedule schedule(this->options);
  const std::string key = schedule.Next(TimePoint(), this->wall).key;
  CHECK_EQUAL(36, key.size());
  STRCMP_EQUAL("01987654-32ab-7", key.substr(0, 15).c_str());
  CHECK(key != schedule.Next(TimePoint(), this->wall).key);
}

TEST_GROUP(LoadResend) {
  LoadAttemptResult refusal{LoadVerdict::kRefused, 503,
                            "queue-full",          Promise::kNotRun,
                            milliseconds(30),      0};
  LoadAttemptResult broken{LoadVerdict::kCutShort, 0, "", Promise::kUnknown,
                           std::nullopt,           0};
  LoadResendState not_repeatable{0, 2, false};
  LoadResendState repeatable{0, 2, true};
};

TEST(LoadResend, NotRun_WithRetryAfter_ReturnsThatDelay) {
  CHECK(ResendDelay(this->refusal, this->not_repeatable) == milliseconds(30));
}

TEST(LoadResend, NotRun_BadRequestWithoutRetryAfter_IsFinal) {
  this->refusal.retry_after.reset();
  this->refusal.status = 400;
  CHECK_FALSE(ResendDelay(this->refusal, this->repeatable).has_value());
}

TEST(LoadResend, UnknownOrBroken_OnlyIfRepeatable_IsSentAgain) {
  // Failure: the response to a request that changes data is lost, and the
  // caller sends the request again without an idempotency key, so that it runs
  // twice.
  this->refusal.promise = Promise::kUnknown;
  CHECK_FALSE(ResendDelay(this->refusal, this->not_repeatable).has_value());
  CHECK_FALSE(ResendDelay(this->broken, this->not_repeatable).has_value());
  CHECK(ResendDelay(this->refusal, this->repeatable).has_value());
  CHECK(ResendDelay(this->broken, this->repeatable).has_value());
}

TEST(LoadResend, Resends_Exhausted_IsFinal) {
  this->repeatable.resends_done = 2;
  CHECK_FALSE(ResendDelay(this->refusal, this->repeatable).has_value());
}

TEST_GROUP(LoadExecutions){};

TEST(LoadExecutions, Compare_EachContradiction_IsCounted) {
  basilsill::ctl::LoadExecutions executions;
  CHECK(basilsill::ctl::AddExecutions(
            R"({"executions": {"once": 1, "twice": 1, "broken-promise": 1}})",
            executions)
            .has_value());
  CHECK(basilsill::ctl::AddExecutions(R"({"executions": {"twice": 1}})",
                                      executions)
            .has_value());
  CHECK(basilsill::ctl::AddExecutions("[]", executions).has_error());
  const auto report = basilsill::ctl::CompareExecutions(
      {{"once", LoadVerdict::kRight, false},
       {"twice", LoadVerdict::kRight, false},
       {"broken-promise", LoadVerdict::kRefused, true},
       {"kept-promise", LoadVerdict::kRefused, true},
       {"never", LoadVerdict::kRight, false}},
      executions);
  CHECK_EQUAL(5, report.keys);
  CHECK_EQUAL(2, report.ran_once);
  CHECK_EQUAL(1, report.ran_twice);
  CHECK_EQUAL(1, report.not_run_but_ran);
  CHECK_EQUAL(1, report.right_but_not_run);
}

TEST_GROUP(LoadReport) {
  LoadReport report;
  size_t right = static_cast<size_t>(LoadVerdict::kRight);
  size_t refused = static_cast<size_t>(LoadVerdict::kRefused);
  size_t cut = static_cast<size_t>(LoadVerdict::kCutShort);
  size_t wrong = static_cast<size_t>(LoadVerdict::kWrongBody);

  void setup() override {
    this->report.sides.emplace_back();
    this->report.sides[0].kinds.emplace_back();
    this->report.sides[0].kinds[0].verdicts[this->right] = 10;
    this->report.sides[0].attempts[this->right] = 10;
  }
};

TEST(LoadReport, IsGood_RefusalsAndBroken_OnlyIfAllowed) {
  CHECK(IsGood(this->report, {}));
  this->report.sides[0].kinds[0].verdicts[this->refused] = 1;
  CHECK_FALSE(IsGood(this->report, {}));
  CHECK(IsGood(this->report, {.refusals = true}));
  this->report.sides[0].attempts[this->cut] = 1;
  CHECK_FALSE(IsGood(this->report, {.refusals = true}));
  CHECK(IsGood(this->report, {.refusals = true, .broken = true}));
}

TEST(LoadReport, IsGood_WrongResponseBeforeSuccessfulResend_IsBad) {
  this->report.sides[0].attempts[this->wrong] = 1;
  CHECK_FALSE(IsGood(this->report, {.refusals = true, .broken = true}));
}

TEST(LoadReport, IsGood_NothingSent_IsBad) {
  this->report.sides[0].kinds[0].verdicts[this->right] = 0;
  CHECK_FALSE(IsGood(this->report, {}));
}

TEST_GROUP(LoadProcess){};

TEST(LoadProcess, ParseStat_NameWithSpacesAndBrackets_FindsFields) {
  const auto sample = basilsill::ctl::ParseProcessStat(
      "12 (a) b (c) S 1 1 1 0 -1 4194560 10 0 0 0 150 50 0 0 20 0 4 0 100 "
      "2000000 25 18446744073709551615 1 1 0\n");
  CHECK(sample.has_value());
  CHECK(sample.value().cpu == std::chrono::seconds(2));
  CHECK_EQUAL(25 * 4096, sample.value().memory);
  CHECK(basilsill::ctl::ParseProcessStat("12 (x) S 1").has_error());
}

TEST_GROUP(LoadMix){};

TEST(LoadMix, Parse_WithComments_ReadsEachKind) {
  const auto mix = basilsill::ctl::ParseLoadMix(R"({
    // Requests of a recycling division.
    "requests": [
      {"name": "fill", "weight": 9, "host": "banklevel.rodopa.test",
       "path": "/fill", "headers": {"X-Class": "reading"}},
      {"name": "pickup", "method": "POST", "body_bytes": 200, "once": true},
    ]})");
  CHECK(mix.has_value());
  CHECK_EQUAL(2, mix.value().size());
  CHECK_EQUAL(9, mix.value()[0].weight);
  CHECK(mix.value()[0].headers.at(0).value == "reading");
  CHECK_EQUAL(200, mix.value()[1].body_bytes);
  CHECK(mix.value()[1].once);
}

TEST(LoadMix, Parse_SeveralErrors_ReportsEachWithPath) {
  const auto mix = basilsill::ctl::ParseLoadMix(
      R"({"requests": [{"weight": 0}, {"path": 1, "x": 1}, 5], "y": 1})");
  CHECK(mix.has_error());
  const auto& failures = mix.error();
  CHECK_EQUAL(5, failures.size());
  STRCMP_EQUAL("/requests/0/weight", failures[0].path.c_str());
  CHECK(failures[1].kind == FailureKind::kWrongType);
  CHECK(failures[2].kind == FailureKind::kUnknownField);
  STRCMP_EQUAL("/requests/2", failures[3].path.c_str());
  STRCMP_EQUAL("/y", failures[4].path.c_str());
}
