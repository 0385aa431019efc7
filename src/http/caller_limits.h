// Decisions about what a connection of a caller may hold, and how slowly it may
// send or read. Free functions on plain values; the caller tells the time.
#ifndef TEASELSPREAD_SRC_HTTP_CALLER_LIMITS_H_
#define TEASELSPREAD_SRC_HTTP_CALLER_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "teaselspread/types.h"

namespace teaselspread {

// Maximum number of pending requests of one connection. Reading pauses at this
// limit, so that further requests wait in the caller's buffers and not here.
inline constexpr std::size_t kMaxPipelined = 32;

// Bytes of one request, or of responses, that move in one direction.
struct Transfer {
  TimePoint started;
  TimePoint last_moved;
  std::size_t bytes = 0;
};

// Records that `bytes` have moved. Not thread safe on the same transfer.
inline void OnMoved(Transfer& transfer, std::size_t bytes, TimePoint now) {
  transfer.bytes += bytes;
  transfer.last_moved = now;
}

// Whether the transfer may be ended to free its memory, if that is short: it
// has paused, or is far slower than a line of 10 Mbit/s. Thread safe.
[[nodiscard]] bool IsSlow(const Transfer& transfer, TimePoint now);

// Whether the transfer is ended in any case: no byte has moved for `timeout`,
// or hardly any since its start. Thread safe.
[[nodiscard]] bool HasStalled(const Transfer& transfer,
                              Duration timeout,
                              TimePoint now);

// How many requests of one connection may be pending. Those that a caller sends
// ahead compete with the first requests of others, so there are fewer while
// requests are refused for lack of capacity.
struct PipelineDepth {
  std::size_t requests = kMaxPipelined;
};

// To be called a few times a second, with the capacity refusals since the last
// call. Not thread safe on the same depth.
void AdjustDepth(PipelineDepth& depth, std::uint64_t refusals);

// A connection that may be closed in favour of a new one, in the order in which
// they are.
enum class Dispensable : std::uint8_t {
  // No request has come on it, or only a part of its head. An ordinary caller
  // sends one at once.
  kNeverUsed,
  // Its request has been coming for longer than an ordinary one takes, or its
  // last response has been sent.
  kSlow,
  // The caller may use it again, or open another one.
  kIdle,
  // Its first request may be on the way.
  kNew,
  kNo,
};

// What a connection does at the moment.
struct ConnectionState {
  // A request has been received on it.
  bool used = false;
  bool receives_head = false;
  // It runs a request or sends a response.
  bool busy = false;
  bool receives_body = false;
  // Its last response has been sent, and it waits for the caller to close.
  bool lingers = false;
  // Since when, or since the head began.
  TimePoint since;
  // Of the request, while its body is received.
  Transfer body;
};

// Thread safe.
[[nodiscard]] Dispensable DispensableAs(const ConnectionState& state,
                                        TimePoint now);

// Connections that each of a node's addresses may have open at a time, of the
// descriptors of the process.
struct ConnectionShares {
  // For callers.
  std::size_t outbound = 0;
  // For the readiness check, the upstream's calls and the metrics, each.
  std::size_t check = 0;
};

// Leaves descriptors for files, links, the store and the upstream. Thread safe.
[[nodiscard]] ConnectionShares SharesOf(std::size_t descriptors);

// A body in chunks gets memory for the largest body from this length on: a
// string that grows is copied, and takes twice its size meanwhile.
inline constexpr std::size_t kReserveChunksFrom = std::size_t{1} << 20U;

// Memory that a head of `fields` takes, which came in `bytes`. Short fields
// take far more than their bytes. Thread safe.
[[nodiscard]] std::size_t HeadMemory(std::size_t fields, std::size_t bytes);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_HTTP_CALLER_LIMITS_H_
