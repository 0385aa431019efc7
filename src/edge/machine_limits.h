// What the VM gives to this process: memory and descriptors.
#ifndef TEASELSPREAD_SRC_EDGE_MACHINE_LIMITS_H_
#define TEASELSPREAD_SRC_EDGE_MACHINE_LIMITS_H_

#include <cstddef>

#include "teaselspread/edge.h"

namespace teaselspread {

// Memory of the VM in bytes: that of the settings, or what the kernel reports.
// Thread safe.
[[nodiscard]] std::size_t MachineMemory(const EdgeSettings& settings);

// Descriptors that the process may open: those of the settings, or its limit.
// Thread safe.
[[nodiscard]] std::size_t MachineDescriptors(const EdgeSettings& settings);

// Has the allocator return large blocks to the kernel as soon as they are
// freed. By default it keeps up to twice the largest block for later, which
// counts toward the memory of the VM. Call it once, before other threads start.
void ReturnLargeBlocks();

// Returns the small blocks that are free to the kernel. Takes some
// milliseconds. Thread safe.
void ReturnFreeMemory();

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_MACHINE_LIMITS_H_
