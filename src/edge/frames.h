// What two nodes say to each other on a link: one TCP connection that carries
// many requests at a time.
#ifndef TEASELSPREAD_SRC_EDGE_FRAMES_H_
#define TEASELSPREAD_SRC_EDGE_FRAMES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "teaselspread/error.h"
#include "teaselspread/http.h"
#include "teaselspread/shortage.h"
#include "teaselspread/types.h"
#include "teaselspread/upstream_lease.h"
#include "teaselspread/upstream_model.h"
#include "teaselspread/version_trial.h"

namespace teaselspread {

// One row of the requests that may crash upstreams (suspects.h), as told to
// other nodes: their clocks differ, so the time is what is left of it.
struct SuspectNote {
  std::uint64_t fingerprint = 0;
  std::uint64_t origin = 0;
  std::uint32_t crashes = 0;
  std::uint32_t cleared = 0;
  std::uint32_t left_minutes = 0;

  bool operator==(const SuspectNote&) const = default;
};

// What a node tells of itself and of the upstream beside it.
struct GateStatus {
  // Identity of the upstream's process, as it names itself.
  std::string instance;
  std::string service;
  std::string version;
  LeaseState state = LeaseState::kNone;
  std::uint32_t slots = 0;
  // Requests at the upstream and waiting at its node.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  // Expected time of all that waits together.
  std::uint32_t queued_ms = 0;
  // Moving average of the time that the upstream takes, over all routes and for
  // each, as rounded by RefreshTold.
  std::uint32_t mean_ms = 0;
  std::vector<RouteTime> times;
  // How much longer the upstream is slow after its start, in milliseconds.
  std::uint32_t warm_up_ms = 0;
  ConfigVersion held = 0;
  // The node's last call to the store failed, or it is about to stop: it does
  // not count as a reader of the operators' stream.
  bool store_lost = false;
  // What this node knows of moves.
  std::vector<TrialStatus> moves;
  std::vector<SuspectNote> suspects;
  // Services that had no room for this node's requests, and calls that running
  // requests make.
  std::vector<ShortageReport> shortages;
  std::vector<CallReport> calls;

  bool operator==(const GateStatus&) const = default;
};

// First frame of a caller's side.
struct Hello {
  std::string node;
  std::string data_center;
  // Where this node takes links.
  Address link;
  // What the VM's line carries, in Mbit/s; 0 when that is not known.
  std::uint32_t line_mbit = 0;
};

// Parts of a status that change for different reasons, as bits. Notes of a move
// change several times a second, times and names hardly ever; told together
// they were most of what links carry beside requests.
enum class StatusPart : std::uint8_t {
  // The upstream, and what the node holds.
  kUpstream = 1U << 0U,
  kLoad = 1U << 1U,
  kTimes = 1U << 2U,
  kMoves = 1U << 3U,
  kSuspects = 1U << 4U,
  kDemand = 1U << 5U,
};

inline constexpr std::uint8_t kAllStatusParts = (1U << 6U) - 1;

// First frame of the other side, and again whenever it changed.
struct Status {
  // Bits of StatusPart: what the frame carries.
  std::uint8_t parts = kAllStatusParts;
  GateStatus status;
};

// Thread safe.
[[nodiscard]] inline bool Has(const Status& frame, StatusPart part) {
  return (frame.parts & static_cast<std::uint8_t>(part)) != 0;
}

// Bits of the parts in which two statuses differ. Thread safe.
[[nodiscard]] std::uint8_t ChangedParts(const GateStatus& a,
                                        const GateStatus& b);

// Replaces the parts of `known` that the frame carries. Thread safe.
void ApplyStatus(GateStatus& known, Status frame);

// The part of the status that changes with every request, when nothing else
// has changed.
struct LoadFrame {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t queued_ms = 0;
};

// A request for the upstream beside the receiver.
struct RunFrame {
  std::uint64_t call = 0;
  std::string route;
  std::uint8_t priority = 0;
  bool idempotent = false;
  std::uint32_t deadline_ms = 0;
  // Until an answer is worth less; 0 when it is already.
  std::uint32_t aim_ms = 0;
  // The run must reach this process and no other.
  std::string instance;
  HttpRequest request;
};

struct ResultFrame {
  std::uint64_t call = 0;
  // The upstream answered; otherwise `error` tells what went wrong.
  bool answered = false;
  ErrorKind error = ErrorKind::kInternal;
  Execution execution = Execution::kUnknown;
  std::uint32_t retry_after_ms = 0;
  // Time at the upstream, in microseconds.
  std::uint32_t took_us = 0;
  // Load of the gate when it gave the result.
  LoadFrame load;
  HttpResponse response;
};

// The caller has left.
struct CancelFrame {
  std::uint64_t call = 0;
};

struct PingFrame {
  std::uint32_t sequence = 0;
};
struct PongFrame {
  std::uint32_t sequence = 0;
};

// Asks for the configuration that the receiver holds.
struct ConfigAsk {
  // Digest of the record that the sender holds; 0 for none.
  std::uint64_t digest = 0;
};

// The record of a configuration, packed as config_copy.h tells.
struct ConfigFrame {
  ConfigVersion version = 0;
  std::string key;
  // Digests of the record against which it is packed, 0 for none, and of the
  // record itself; and the latter's length.
  std::uint64_t base = 0;
  std::uint64_t digest = 0;
  std::uint32_t bytes = 0;
  std::string packed;
};

// Instead of a ConfigFrame: ask another node, or this one again later.
struct ConfigBusy {};

using LinkFrame = std::variant<Hello,
                               Status,
                               RunFrame,
                               ResultFrame,
                               CancelFrame,
                               PingFrame,
                               PongFrame,
                               ConfigAsk,
                               ConfigFrame,
                               LoadFrame,
                               ConfigBusy>;

// The alternatives of LinkFrame, in its order.
enum class FrameKind : std::uint8_t {
  kHello,
  kStatus,
  kRun,
  kResult,
  kCancel,
  kPing,
  kPong,
  kConfigAsk,
  kConfig,
  kLoad,
  kConfigBusy,
  kCount,
};

static_assert(std::variant_size_v<LinkFrame> ==
              static_cast<std::size_t>(FrameKind::kCount));

// Stable name for logs and metrics. Thread safe.
[[nodiscard]] std::string_view NameOf(FrameKind kind);

// Thread safe.
[[nodiscard]] inline FrameKind KindOf(const LinkFrame& frame) {
  return static_cast<FrameKind>(frame.index());
}

// Bytes of the length that stands before each frame.
inline constexpr std::size_t kFrameLengthBytes = 4;
// Longest frame: the largest body that a configuration may allow, and headers.
inline constexpr std::size_t kMaxLinkFrame = (64U << 20) + (1U << 20);

// The frame with its length in front. Thread safe.
[[nodiscard]] std::string EncodeLinkFrame(const LinkFrame& frame);

// `bytes` without the length. kFrameMalformed for anything that the encoder
// does not write. Thread safe.
[[nodiscard]] Result<LinkFrame> DecodeLinkFrame(std::string_view bytes);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_FRAMES_H_
