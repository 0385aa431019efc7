#include "http/caller_limits.h"

#include <algorithm>

namespace teaselspread {
namespace {

// A pause after which a transfer counts as slow. Longer than the round trips
// and the scheduling of a busy caller.
constexpr Duration kPause = std::chrono::milliseconds(500);
constexpr std::size_t kSlowBytesPerSecond = std::size_t{256} << 10U;
// Below this a body of the usual limit takes more than an hour.
constexpr std::size_t kMinBytesPerSecond = std::size_t{16} << 10U;
// Time in which the first request comes on a connection that was opened for it.
constexpr Duration kFirstRequestTime = std::chrono::milliseconds(25);
// Time in which an ordinary head comes. The largest takes 13 ms at 10 Mbit/s,
// and 80 ms if six callers share the line.
constexpr Duration kHeadTime = std::chrono::milliseconds(100);
// The first part of a body, which comes as fast as a head.
constexpr std::size_t kBodyStart = std::size_t{16} << 10U;
// Connections to each address but the one for callers.
constexpr std::size_t kCheckConnections = 64;
constexpr std::size_t kMinOutbound = 64;
// Descriptors that a platform keeps for files.
constexpr std::size_t kFiles = 200;
// Pending requests of one connection that are always allowed.
constexpr std::size_t kMinPipelined = 4;
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

bool IsSlowBody(const Transfer& body, TimePoint now) {
  return IsSlow(body, now) ||
         (body.bytes < kBodyStart && now - body.started >= kHeadTime);
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

void AdjustDepth(PipelineDepth& depth, std::uint64_t refusals) {
  if (refusals > 0)
    depth.requests = std::max(depth.requests / 2, kMinPipelined);
  else
    depth.requests = std::min(depth.requests + 1, kMaxPipelined);
}

Dispensable DispensableAs(const ConnectionState& state, TimePoint now) {
  if (state.busy)
    return Dispensable::kNo;
  if (state.receives_body)
    return IsSlowBody(state.body, now) ? Dispensable::kSlow : Dispensable::kNo;
  if (state.lingers || (state.used && state.receives_head)) {
    return now - state.since >= kHeadTime ? Dispensable::kSlow
                                          : Dispensable::kNo;
  }
  if (state.used)
    return Dispensable::kIdle;
  return now - state.since >= kFirstRequestTime ? Dispensable::kNeverUsed
                                                : Dispensable::kNew;
}

ConnectionShares SharesOf(std::size_t descriptors) {
  const std::size_t checks = 3 * kCheckConnections;
  const std::size_t others =
      std::min(kFiles, descriptors / 4) + checks + descriptors / 4;
  return {std::max(descriptors, others + kMinOutbound) - others,
          kCheckConnections};
}

std::size_t HeadMemory(std::size_t fields, std::size_t bytes) {
  return fields * kFieldMemory + bytes * kHeadCopies;
}

}  // namespace teaselspread
