#ifndef BASILSILL_BENCH_ALLOCATION_COUNT_H_
#define BASILSILL_BENCH_ALLOCATION_COUNT_H_

#include <cstdint>

/// Counts all calls of operator new and delete in the program. Link it only
/// into benchmarks, as it replaces the global operators.

namespace basilsill::bench {

struct AllocationCount {
  uint64_t allocations = 0;
  int64_t live_bytes = 0;
};

/// @returns the totals of the calling thread since its start.
AllocationCount AllocationsSoFar();

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_ALLOCATION_COUNT_H_
