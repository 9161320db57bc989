// Tests the body patterns and the JSON of the control interface.

#include "upstream_body.h"

#include <string>

#include "upstream_json.h"

#include <CppUTest/TestHarness.h>

using basilsill::FailureKind;
using basilsill::ctl::BodyDigest;
using basilsill::ctl::DigestText;
using basilsill::ctl::MakePattern;
using basilsill::ctl::PatternCheck;
using basilsill::ctl::PatternSeed;
using basilsill::ctl::UpstreamBehaviour;

TEST_GROUP(UpstreamBody) {
  uint64_t seed = PatternSeed("tag");
  std::string whole = MakePattern(this->seed, 1003);
};

TEST(UpstreamBody, FillPattern_InUnalignedPieces_EqualsWholePattern) {
  std::string pieces(this->whole.size(), '\0');
  size_t offset = 0;
  for (size_t size = 1; offset < pieces.size(); size += 6) {
    const size_t piece = std::min(size, pieces.size() - offset);
    basilsill::ctl::FillPattern(this->seed, offset,
                                std::span(pieces).subspan(offset, piece));
    offset += piece;
  }
  CHECK(pieces == this->whole);
}

TEST(UpstreamBody, PatternCheck_PiecesInOrder_Matches) {
  PatternCheck check(this->seed);
  CHECK(check.Add(std::span(this->whole).first(17)));
  CHECK(check.Add(std::span(this->whole).subspan(17)));
  CHECK_EQUAL(1003, check.size());
}

TEST(UpstreamBody, PatternCheck_PieceMissing_DoesNotMatch) {
  PatternCheck check(this->seed);
  check.Add(std::span(this->whole).first(16));
  CHECK_FALSE(check.Add(std::span(this->whole).subspan(24)));
  CHECK_FALSE(check.matches());
}

TEST(UpstreamBody, PatternCheck_PatternOfAnotherTag_DoesNotMatch) {
  PatternCheck check(PatternSeed("other"));
  CHECK_FALSE(check.Add(this->whole));
}

TEST(UpstreamBody, BodyDigest_InPieces_EqualsDigestOfWholeBody) {
  BodyDigest digest;
  digest.Add(std::span(this->whole).first(500));
  digest.Add(std::span(this->whole).subspan(500));
  CHECK(digest.Text() == DigestText(this->whole));
  this->whole[700] = static_cast<char>(this->whole[700] ^ 1);
  CHECK(digest.Text() != DigestText(this->whole));
}

TEST_GROUP(UpstreamJson) {
  UpstreamBehaviour behaviour;
};

TEST(UpstreamJson, ParseChange_SomeFields_KeepsOthers) {
  this->behaviour.slots = 9;
  const auto change = basilsill::ctl::ParseUpstreamChange(
      R"({"draining": true, "service_ms": 1.5, "crash_ms": 20})",
      this->behaviour);
  CHECK(change.has_value());
  CHECK_EQUAL(9, change.value().behaviour.slots);
  CHECK(change.value().behaviour.draining);
  CHECK(change.value().behaviour.service_mean ==
        std::chrono::microseconds(1500));
  CHECK(change.value().crash == std::chrono::milliseconds(20));
}

TEST(UpstreamJson, ParseChange_SeveralFaults_ReportsAllErrors) {
  const auto change = basilsill::ctl::ParseUpstreamChange(
      R"({"slots": 0, "shed": 1, "service_dist": "gamma", "nix": 1})",
      this->behaviour);
  CHECK(change.has_error());
  const auto& failures = change.error();
  CHECK_EQUAL(4, failures.size());
  CHECK(failures[0].kind == FailureKind::kOutOfRange);
  CHECK(failures[1].kind == FailureKind::kWrongType);
  CHECK(failures[2].kind == FailureKind::kWrongType);
  CHECK(failures[3].kind == FailureKind::kUnknownField);
  CHECK(failures[3].path == "nix");
}

TEST(UpstreamJson, BehaviourJson_ReadBack_IsTheSame) {
  this->behaviour.service_distribution =
      basilsill::ctl::ServiceDistribution::kLognormal;
  this->behaviour.report_lag = std::chrono::milliseconds(250);
  const std::string text = basilsill::ctl::BehaviourJson(this->behaviour);
  const auto change = basilsill::ctl::ParseUpstreamChange(text, {});
  CHECK(change.has_value());
  CHECK(text == basilsill::ctl::BehaviourJson(change.value().behaviour));
}
