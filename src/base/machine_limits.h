// What the VM gives to this process: memory and descriptors.
#ifndef TEASELSPREAD_SRC_BASE_MACHINE_LIMITS_H_
#define TEASELSPREAD_SRC_BASE_MACHINE_LIMITS_H_

#include <cstddef>

namespace teaselspread {

// Memory of the VM in bytes: `memory_mb` of the settings, or what the kernel
// reports if that is 0. Thread safe.
[[nodiscard]] std::size_t MachineMemory(double memory_mb);

// Descriptors that the process may open: `max_fds` of the settings, or its
// limit if that is 0. Thread safe.
[[nodiscard]] std::size_t MachineDescriptors(double max_fds);

// Has the allocator return large blocks to the kernel as soon as they are
// freed. By default it keeps up to twice the largest block for later, which
// counts toward the memory of the VM. Call it once, before other threads start.
void ReturnLargeBlocks();

// Returns the small blocks that are free to the kernel. Takes some
// milliseconds. Thread safe.
void ReturnFreeMemory();

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_BASE_MACHINE_LIMITS_H_
