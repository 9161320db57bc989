#ifndef BASILSILL_BENCH_BOUNDS_H_
#define BASILSILL_BENCH_BOUNDS_H_

#include <filesystem>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "figures.h"
#include "model/cases.h"

/// Checks of the benchmark figures. A bar is the target of the project. A bound
/// is the last committed value plus a small margin; CI fails if a bound is
/// broken.

namespace basilsill::bench {

struct Check {
  std::string name;
  double value = 0;
  double bar = kNoBar;
  double bound = 0;
  /// True: bar and bound are lower limits. False: upper limits.
  bool at_least = false;
  /// Distance of the bound from the value: `margin` is a share of the value,
  /// `min_margin` the least distance. The figures are the same on every run;
  /// the margin allows for code changes that are no regression.
  double margin = 0.05;
  double min_margin = 0.001;

  bool MissesBar() const;
  bool BreaksBound() const;
};

/// @returns true if a check of `spec` uses runs of `strategy`.
bool IsChecked(const CaseSpec& spec, std::string_view strategy);

/// @returns the checks for which `results` has the runs. Their bounds are not
/// set.
std::vector<Check> MakeChecks(const std::vector<Figures>& results);

/// Sets the bound of each check to its value plus the margin, but no weaker
/// than its bar if the bar is met.
void SetBounds(std::vector<Check>& checks);

/// Reads the bounds of `checks` from a file.
/// @throws FailureError if the file can't be read or lacks a check.
void ReadBounds(const std::filesystem::path& path, std::vector<Check>& checks);

/// Adds or replaces the rows of `checks` in a file and keeps its other rows.
/// @throws FailureError if the file can't be read or written.
void UpdateBounds(const std::filesystem::path& path,
                  const std::vector<Check>& checks);

/// Writes a table of all checks, then the numbers of missed bars and broken
/// bounds.
/// @returns the number of broken bounds.
size_t WriteCheckResults(std::ostream& out, const std::vector<Check>& checks);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_BOUNDS_H_
