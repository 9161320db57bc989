#ifndef BASILSILL_DECISION_TEST_VM_ROWS_H_
#define BASILSILL_DECISION_TEST_VM_ROWS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "basilsill/decision/view.h"

/// VM rows of a test fleet: a few large VMs, many small ones.

namespace basilsill::test {

inline constexpr uint32_t kLargeCapacity = 500;
inline constexpr uint32_t kSmallCapacity = 100;

/// @returns rows of `count` live VMs, distributed round-robin over
/// `data_centres` data centres. Every twentieth VM is large.
inline std::vector<VmRow> MakeVmRows(uint32_t count, uint32_t data_centres) {
  constexpr uint32_t large_every = 20;
  std::vector<VmRow> rows;
  for (uint32_t i = 0; i < count; ++i) {
    VmRow row;
    row.handle = {i, 0};
    row.name = "vm-" + std::to_string(i);
    row.data_centre = {i % data_centres, 0};
    row.capacity = i % large_every == 0 ? kLargeCapacity : kSmallCapacity;
    rows.push_back(row);
  }
  return rows;
}

}  // namespace basilsill::test

#endif  // BASILSILL_DECISION_TEST_VM_ROWS_H_
