#ifndef BASILSILL_BENCH_BOUNDS_H_
#define BASILSILL_BENCH_BOUNDS_H_

#include <filesystem>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "figures.h"
#include "model/cases.h"

/// Checks on the figures. A bar is what the project aims for; a bound is what
/// was last measured, with a small margin, and is what CI holds.

namespace basilsill::bench {

struct Check {
  std::string name;
  double value = 0;
  double bar = kNoBar;
  double bound = 0;
  bool at_least = false;  ///< The value must not be below, else not above.
  /// Room of the bound over the measured value: a share of it, and at least
  /// so much. The figures are the same on every run; the room is for changes
  /// of the code that are no regression.
  double margin = 0.05;
  double min_margin = 0.001;

  bool MissesBar() const;
  bool BreaksBound() const;
};

/// @returns true if a check of `spec` looks at runs of `strategy`.
bool IsChecked(const CaseSpec& spec, std::string_view strategy);

/// @returns the checks that `results` have the runs for, without bounds.
std::vector<Check> MakeChecks(const std::vector<Figures>& results);

/// Sets the bounds of `checks` to their values and a margin, though no weaker
/// than a bar that is met.
void SetBounds(std::vector<Check>& checks);

/// Takes the bounds of `checks` from a file.
/// @throws FailureError if the file can't be read, or a check isn't in it.
void ReadBounds(const std::filesystem::path& path, std::vector<Check>& checks);

/// Replaces the rows of `checks` in a file and keeps its others.
/// @throws FailureError if the file can't be read or written.
void UpdateBounds(const std::filesystem::path& path,
                  const std::vector<Check>& checks);

/// Writes a table of all checks, then the bars missed and bounds broken.
/// @returns the number of broken bounds.
size_t WriteCheckResults(std::ostream& out, const std::vector<Check>& checks);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_BOUNDS_H_
