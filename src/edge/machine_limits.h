// What the VM gives to this process: memory and descriptors.
#ifndef TEASELSPREAD_SRC_EDGE_MACHINE_LIMITS_H_
#define TEASELSPREAD_SRC_EDGE_MACHINE_LIMITS_H_

#include <cstddef>

#include "teaselspread/edge.h"

namespace teaselspread {

struct MachineLimits {
  std::size_t memory_bytes = 0;
  std::size_t descriptors = 0;
};

// The figures of the settings; for those that are 0, what the kernel reports.
// Reads files. Thread safe.
[[nodiscard]] MachineLimits ReadMachineLimits(const EdgeSettings& settings);

// Has the allocator return large blocks to the kernel as soon as they are
// freed. By default it keeps up to twice the largest block for later, which
// counts toward the memory of the VM. Call it once, before other threads start.
void ReturnLargeBlocks();

// Returns the small blocks that are free to the kernel. Takes some
// milliseconds. Thread safe.
void ReturnFreeMemory();

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_MACHINE_LIMITS_H_
