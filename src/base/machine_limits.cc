#include "base/machine_limits.h"

#include <malloc.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>

namespace teaselspread {
namespace {

constexpr std::size_t kBytesPerMb = 1'000'000;
// Blocks from this size on are mapped on their own, larger than the bodies of
// most uploads.
constexpr int kMappedBlockBytes = 256 * 1024;
constexpr int kTrimBytes = 1024 * 1024;

std::size_t ReportedMemory() {
  struct sysinfo machine {};
  if (::sysinfo(&machine) != 0)
    return 0;
  return std::size_t{machine.totalram} * machine.mem_unit;
}

std::size_t ReportedDescriptors() {
  rlimit descriptors{};
  if (::getrlimit(RLIMIT_NOFILE, &descriptors) != 0)
    return 0;
  return descriptors.rlim_cur;
}

}  // namespace

std::size_t MachineMemory(double memory_mb) {
  return memory_mb > 0 ? static_cast<std::size_t>(memory_mb) * kBytesPerMb
                       : ReportedMemory();
}

std::size_t MachineDescriptors(double max_fds) {
  return max_fds > 0 ? static_cast<std::size_t>(max_fds)
                     : ReportedDescriptors();
}

void ReturnLargeBlocks() {
  ::mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kTrimBytes);
}

void ReturnFreeMemory() {
  ::malloc_trim(0);
}

}  // namespace teaselspread
