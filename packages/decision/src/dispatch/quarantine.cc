#include "basilsill/decision/quarantine.h"

#include <algorithm>
#include <utility>

#include <boost/unordered/unordered_flat_map.hpp>
#include <pcg_random.hpp>

namespace basilsill {
namespace {

constexpr uint32_t kMaxDoublings = 6;

struct Crash {
  CrashReport report;
  TimePoint at;
};

/// State of a request that was in flight at a crash.
struct Suspect {
  TimePoint last_crash{};
  TimePoint
      last_quarantined_crash{};  ///< Latest crash that led to a quarantine.
  TimePoint refused_until{};
  uint32_t quarantine_count = 0;
};

std::span<const Fingerprint> SuspectsOf(const CrashReport& report) {
  return {report.suspects.data(), report.suspect_count};
}

bool HasSuspect(const CrashReport& report, Fingerprint fingerprint) {
  const auto suspects = SuspectsOf(report);
  return std::find(suspects.begin(), suspects.end(), fingerprint) !=
         suspects.end();
}

bool AddSuspect(CrashReport& report, Fingerprint fingerprint) {
  if (fingerprint == 0 || HasSuspect(report, fingerprint) ||
      report.suspect_count == CrashReport::kMaxSuspects) {
    return false;
  }
  report.suspects[report.suspect_count++] = fingerprint;
  return true;
}

bool RemoveSuspect(CrashReport& report, Fingerprint fingerprint) {
  const auto end = report.suspects.begin() + report.suspect_count;
  const auto place = std::find(report.suspects.begin(), end, fingerprint);
  if (place == end) {
    return false;
  }
  std::move(place + 1, end, place);
  report.suspects[--report.suspect_count] = 0;
  return true;
}

class QuarantineTable final : public Quarantine {
 public:
  explicit QuarantineTable(const QuarantineOptions& options)
      : options(options), random(options.seed) {}

  Fingerprint OnCrash(TimePoint now,
                      UpstreamKey upstream,
                      std::span<const Fingerprint> in_flight) override;
  void OnAnswered(TimePoint now, Fingerprint fingerprint) override;
  Duration RefusedFor(TimePoint now, Fingerprint fingerprint) const override;
  bool IsSuspect(TimePoint now, Fingerprint fingerprint) const override;
  std::vector<CrashReport> TakeNewReports(TimePoint now) override;
  std::vector<CrashReport> AllReports(TimePoint now) const override;
  void Import(TimePoint now, const CrashReport& report) override;

 private:
  void RemoveExpired(TimePoint now);
  void Add(TimePoint now, const Crash& crash);
  void MergeReport(Crash& known, const CrashReport& report);
  void ClearSuspect(Crash& crash, Fingerprint fingerprint);
  bool IsInAnyReport(Fingerprint fingerprint) const;
  void QuarantineIfRuleMet(Fingerprint fingerprint);
  bool MeetsRule(Fingerprint fingerprint) const;

  QuarantineOptions options;
  pcg64 random;
  std::vector<Crash> crashes;  ///< Oldest first.
  std::vector<uint64_t> changed;
  boost::unordered_flat_map<Fingerprint, Suspect> suspects;
};

Fingerprint QuarantineTable::OnCrash(TimePoint now,
                                     UpstreamKey upstream,
                                     std::span<const Fingerprint> in_flight) {
  Crash crash;
  crash.at = now;
  crash.report.id = this->random();
  crash.report.upstream = upstream;
  for (const Fingerprint fingerprint : in_flight) {
    AddSuspect(crash.report, fingerprint);
  }
  if (crash.report.suspect_count == 0) {
    return 0;
  }
  this->Add(now, crash);
  this->changed.push_back(crash.report.id);
  for (const Fingerprint fingerprint : SuspectsOf(crash.report)) {
    if (this->RefusedFor(now, fingerprint) > Duration(0)) {
      return fingerprint;
    }
  }
  return 0;
}

void QuarantineTable::Add(TimePoint now, const Crash& crash) {
  this->RemoveExpired(now);
  if (this->crashes.size() == this->options.max_crashes) {
    this->crashes.erase(this->crashes.begin());
  }
  this->crashes.push_back(crash);
  for (const Fingerprint fingerprint : SuspectsOf(crash.report)) {
    Suspect& suspect = this->suspects[fingerprint];
    suspect.last_crash = std::max(suspect.last_crash, crash.at);
  }
  for (const Fingerprint fingerprint : SuspectsOf(crash.report)) {
    this->QuarantineIfRuleMet(fingerprint);
  }
}

void QuarantineTable::RemoveExpired(TimePoint now) {
  std::erase_if(this->crashes, [&](const Crash& crash) {
    return now - crash.at > this->options.suspicion;
  });
  boost::unordered::erase_if(this->suspects, [&](const auto& entry) {
    return now - entry.second.last_crash > this->options.suspicion &&
           entry.second.refused_until <= now;
  });
}

void QuarantineTable::OnAnswered(TimePoint /*now*/, Fingerprint fingerprint) {
  if (this->suspects.empty() || !this->suspects.contains(fingerprint)) {
    return;
  }
  for (Crash& crash : this->crashes) {
    this->ClearSuspect(crash, fingerprint);
  }
  this->suspects.erase(fingerprint);
}

// Removes a cleared request from the suspects of a crash. With fewer suspects,
// the rule may now apply to one of the others, so they are evaluated again.
void QuarantineTable::ClearSuspect(Crash& crash, Fingerprint fingerprint) {
  if (!RemoveSuspect(crash.report, fingerprint)) {
    return;
  }
  this->changed.push_back(crash.report.id);
  for (const Fingerprint other : SuspectsOf(crash.report)) {
    this->QuarantineIfRuleMet(other);
  }
}

bool QuarantineTable::IsInAnyReport(Fingerprint fingerprint) const {
  return std::any_of(this->crashes.begin(), this->crashes.end(),
                     [fingerprint](const Crash& crash) {
                       return HasSuspect(crash.report, fingerprint);
                     });
}

void QuarantineTable::QuarantineIfRuleMet(Fingerprint fingerprint) {
  const auto found = this->suspects.find(fingerprint);
  if (found == this->suspects.end()) {
    return;
  }
  Suspect& suspect = found->second;
  if (suspect.last_quarantined_crash == suspect.last_crash ||
      !this->MeetsRule(fingerprint)) {
    return;
  }
  const uint32_t doublings = std::min(suspect.quarantine_count, kMaxDoublings);
  suspect.last_quarantined_crash = suspect.last_crash;
  suspect.refused_until =
      suspect.last_crash + this->options.quarantine * (1 << doublings);
  ++suspect.quarantine_count;
}

// Implements the rule described in quarantine.h.
bool QuarantineTable::MeetsRule(Fingerprint fingerprint) const {
  const Crash* first = nullptr;
  bool distinct = false;
  bool alone = false;
  std::vector<Fingerprint> beside;
  for (const Crash& crash : this->crashes) {
    if (!HasSuspect(crash.report, fingerprint)) {
      continue;
    }
    alone |= crash.report.suspect_count == 1;
    if (first == nullptr) {
      const auto suspects = SuspectsOf(crash.report);
      first = &crash;
      beside.assign(suspects.begin(), suspects.end());
      continue;
    }
    distinct |= crash.report.upstream != first->report.upstream;
    std::erase_if(beside, [&crash](Fingerprint other) {
      return !HasSuspect(crash.report, other);
    });
  }
  return distinct && (alone || beside.size() == 1);
}

Duration QuarantineTable::RefusedFor(TimePoint now,
                                     Fingerprint fingerprint) const {
  if (this->suspects.empty()) {
    return Duration(0);
  }
  const auto found = this->suspects.find(fingerprint);
  return found == this->suspects.end()
             ? Duration(0)
             : std::max(Duration(0), found->second.refused_until - now);
}

bool QuarantineTable::IsSuspect(TimePoint now, Fingerprint fingerprint) const {
  if (this->suspects.empty()) {
    return false;
  }
  const auto found = this->suspects.find(fingerprint);
  return found != this->suspects.end() && found->second.refused_until <= now &&
         now - found->second.last_crash <= this->options.suspicion;
}

std::vector<CrashReport> QuarantineTable::TakeNewReports(TimePoint now) {
  std::vector<CrashReport> reports;
  const std::vector<uint64_t> ids = std::exchange(this->changed, {});
  for (const Crash& crash : this->crashes) {
    if (std::find(ids.begin(), ids.end(), crash.report.id) != ids.end()) {
      reports.push_back(crash.report);
      reports.back().age = now - crash.at;
    }
  }
  return reports;
}

std::vector<CrashReport> QuarantineTable::AllReports(TimePoint now) const {
  std::vector<CrashReport> reports;
  for (const Crash& crash : this->crashes) {
    reports.push_back(crash.report);
    reports.back().age = now - crash.at;
  }
  return reports;
}

void QuarantineTable::Import(TimePoint now, const CrashReport& report) {
  const auto known = std::find_if(
      this->crashes.begin(), this->crashes.end(),
      [&report](const Crash& crash) { return crash.report.id == report.id; });
  if (known != this->crashes.end()) {
    this->MergeReport(*known, report);
    return;
  }
  const bool valid = report.suspect_count <= CrashReport::kMaxSuspects &&
                     report.age >= Duration(0) &&
                     report.age <= this->options.suspicion;
  if (valid) {
    this->Add(now, {report, now - report.age});
  }
}

void QuarantineTable::MergeReport(Crash& known, const CrashReport& report) {
  const CrashReport before = known.report;
  for (const Fingerprint fingerprint : SuspectsOf(before)) {
    if (HasSuspect(report, fingerprint)) {
      continue;
    }
    this->ClearSuspect(known, fingerprint);
    if (!this->IsInAnyReport(fingerprint)) {
      this->suspects.erase(fingerprint);
    }
  }
}

}  // namespace

std::unique_ptr<Quarantine> Quarantine::Create(
    const QuarantineOptions& options) {
  return std::make_unique<QuarantineTable>(options);
}

}  // namespace basilsill
