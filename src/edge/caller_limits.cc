#include "edge/caller_limits.h"

namespace teaselspread {
namespace {

// A pause after which a transfer counts as slow. Longer than the round trips
// and the scheduling of a busy caller.
constexpr Duration kPause = std::chrono::milliseconds(500);
constexpr std::size_t kSlowBytesPerSecond = std::size_t{256} << 10U;
// Below this a body of the usual limit takes more than an hour.
constexpr std::size_t kMinBytesPerSecond = std::size_t{16} << 10U;
// A field is held by the parser, by the request and by its copy for an
// upstream, each time as an object beside its text.
constexpr std::size_t kFieldMemory = 256;
constexpr std::size_t kHeadCopies = 3;

// Time in which `bytes` move at this rate.
Duration TimeAt(std::size_t bytes_per_second, std::size_t bytes) {
  constexpr std::size_t kMicrosPerSecond = 1'000'000;
  return Duration(
      static_cast<std::int64_t>(bytes * kMicrosPerSecond / bytes_per_second));
}

}  // namespace

bool IsSlow(const Transfer& transfer, TimePoint now) {
  return now - transfer.last_moved >= kPause ||
         now - transfer.started >=
             kPause + TimeAt(kSlowBytesPerSecond, transfer.bytes);
}

bool HasStalled(const Transfer& transfer, Duration timeout, TimePoint now) {
  return now - transfer.last_moved > timeout ||
         now - transfer.started >
             timeout + TimeAt(kMinBytesPerSecond, transfer.bytes);
}

std::size_t HeadMemory(std::size_t fields, std::size_t bytes) {
  return fields * kFieldMemory + bytes * kHeadCopies;
}

}  // namespace teaselspread
