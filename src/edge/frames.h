// The frames that two nodes exchange on a link: one TCP connection that
// carries many requests at a time.
#ifndef TEASELSPREAD_SRC_EDGE_FRAMES_H_
#define TEASELSPREAD_SRC_EDGE_FRAMES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "edge/request_body.h"
#include "teaselspread/error.h"
#include "teaselspread/http.h"
#include "teaselspread/shortage.h"
#include "teaselspread/types.h"
#include "teaselspread/upstream_lease.h"
#include "teaselspread/upstream_model.h"
#include "teaselspread/version_trial.h"

namespace teaselspread {

// One row of the requests that may crash upstreams (suspects.h), as sent to
// other nodes. It carries the remaining time, as the nodes' clocks differ.
struct SuspectNote {
  std::uint64_t fingerprint = 0;
  std::uint64_t origin = 0;
  std::uint32_t crashes = 0;
  std::uint32_t cleared = 0;
  std::uint32_t remaining_minutes = 0;

  bool operator==(const SuspectNote&) const = default;
};

// What a node reports about itself and the upstream beside it.
struct GateStatus {
  // Identity of the upstream's process, as the upstream reports it.
  std::string instance;
  std::string service;
  std::string version;
  LeaseState state = LeaseState::kNone;
  std::uint32_t slots = 0;
  // Requests at the upstream and waiting at its node.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  // Expected run time of all waiting requests together.
  std::uint32_t queued_ms = 0;
  // Moving average of the upstream's response time, over all routes and for
  // each route, as rounded by the gate.
  std::uint32_t mean_ms = 0;
  std::vector<RouteTime> route_times;
  // Requests a second that the upstream says it takes; none without a limit.
  std::optional<double> limit_per_second;
  // Distinguishes processes of the same identity; 0 if not known.
  std::uint32_t process_stamp = 0;
  // Remaining time in which the upstream is slow after its start.
  std::uint32_t warm_up_ms = 0;
  ConfigVersion held_version = 0;
  // The node's last call to the store failed, or the node is about to stop: it
  // does not count as a reader of the operators' stream.
  bool store_unavailable = false;
  // State of each move at this node.
  std::vector<TrialStatus> trial_statuses;
  // The same for nodes that do not evaluate moves: SummaryOf in place of
  // StatusOf. Sent in place of `trial_statuses`, and not on the wire itself.
  std::vector<TrialStatus> trial_summaries;
  // What this node has counted or cleared itself, and rows of other nodes about
  // requests near the limit. Sent as one list, in `suspects`.
  std::vector<SuspectNote> suspects;
  std::vector<SuspectNote> relayed_suspects;
  // Services that refused requests of this node for lack of capacity, and the
  // services that the requests of a route call while they run.
  std::vector<ShortageReport> shortages;
  std::vector<CallReport> calls;

  bool operator==(const GateStatus&) const = default;
};

// First frame of the side that opened the link.
struct Hello {
  std::string node;
  std::string data_center;
  // Address on which this node accepts links.
  Address link;
  // Bandwidth of the VM's network line, in Mbit/s; 0 if unknown.
  std::uint32_t line_mbit = 0;
};

// Parts of a status, as bits, by how often they change. Notes of a move change
// several times a second, times and names hardly ever; sent together they would
// make up most of the traffic on links besides requests.
enum class StatusPart : std::uint8_t {
  // The upstream, and the configuration version that the node holds.
  kUpstream = 1U << 0U,
  kLoad = 1U << 1U,
  kTimes = 1U << 2U,
  kMoves = 1U << 3U,
  kSuspects = 1U << 4U,
  kDemand = 1U << 5U,
};

inline constexpr std::uint8_t kAllStatusParts = (1U << 6U) - 1;

// First frame of the side that accepted the link, sent again on each change.
struct Status {
  // Bits of StatusPart: the parts that the frame carries.
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

// Sent instead of a Status if only the load changed, as it does with every
// request.
struct LoadFrame {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t queued_ms = 0;
};

// A request for the upstream beside the receiver.
struct RunFrame {
  std::uint64_t call_id = 0;
  std::string route;
  std::uint8_t priority = 0;
  bool idempotent = false;
  std::uint32_t deadline_ms = 0;
  // Time until the response loses value; 0 if that has passed.
  std::uint32_t aim_ms = 0;
  // Only the upstream process of this identity may run the request.
  std::string instance;
  HttpRequest request;
  // Body of `request`, which then has none itself; null if it has.
  RequestBodyPtr body;
};

// The view lives as long as the frame. Not thread safe.
[[nodiscard]] inline std::string_view BodyOf(const RunFrame& frame) {
  return frame.body ? BytesOf(frame.body)
                    : std::string_view(frame.request.body);
}

struct ResultFrame {
  std::uint64_t call_id = 0;
  // The upstream responded; otherwise `error` holds the reason.
  bool has_response = false;
  ErrorKind error = ErrorKind::kInternal;
  Execution execution = Execution::kUnknown;
  std::uint32_t retry_after_ms = 0;
  // Time at the upstream, in microseconds.
  std::uint32_t upstream_time_us = 0;
  // Load of the gate when it sent the result.
  LoadFrame load;
  HttpResponse response;
};

// The caller has disconnected.
struct CancelFrame {
  std::uint64_t call_id = 0;
};

struct PingFrame {
  std::uint32_t sequence = 0;
};
struct PongFrame {
  // Of the ping; kStoppingPong if it answers none.
  std::uint32_t sequence = 0;
};

// A pong that says that the sender stops: the receiver closes the link once it
// has the results of its calls. Nodes of earlier releases, which would end the
// link on a frame of another kind, ignore it.
inline constexpr std::uint32_t kStoppingPong = 0xffffffff;

// Requests the configuration that the receiver holds.
struct ConfigRequest {
  // Digest of the record that the sender holds; 0 for none.
  std::uint64_t digest = 0;
};

// The record of a configuration, packed as described in config_copy.h, or of
// another order, as described in order_copy.h.
struct ConfigFrame {
  ConfigVersion version = 0;
  std::string key;
  // Digest of the record against which this one is packed (0 for none), and
  // the digest and length of the unpacked record.
  std::uint64_t base_digest = 0;
  std::uint64_t digest = 0;
  std::uint32_t size_bytes = 0;
  std::string packed;
};

// Sent instead of a ConfigFrame: the receiver should request the configuration
// from another node, or later from this one.
struct ConfigBusy {};

// Upper bounds on fields of TokenRequest and TokenGrantFrame. A larger value
// makes a frame malformed.
inline constexpr std::uint32_t kMaxTokensPerFrame = 1'000'000;
inline constexpr std::uint32_t kMaxQuotaRetryMs = 60'000;

// Asks the receiver, the lender of the account's tokens (quota.h), for tokens.
// Sent by the side that opened the link.
struct TokenRequest {
  // Increases with each request of the sender; the answer repeats it.
  std::uint32_t sequence = 0;
  std::string account;
  // At most kMaxTokensPerFrame each.
  std::uint32_t wanted = 0;
  // Tokens that expired at the sender without being spent.
  std::uint32_t unspent = 0;
};

// Answers a TokenRequest, at once.
struct TokenGrantFrame {
  std::uint32_t sequence = 0;
  // False if the sender does not lend for this account; `tokens` is 0 then.
  bool is_lender = false;
  // At most kMaxTokensPerFrame.
  std::uint32_t tokens = 0;
  // Time until the next token if fewer than requested were lent, otherwise 0;
  // at most kMaxQuotaRetryMs.
  std::uint32_t retry_after_ms = 0;
};

// The sender stops as planned: it no longer counts as a known node, and its
// share of the limits is free for others.
struct LeavingFrame {};

// How long work takes at the upstream beside the sender, in percent of the
// usual. Sent before a result or a load, and only by nodes whose upstream
// reports it: a node of an earlier release closes the link on it.
struct SpeedFrame {
  std::uint32_t percent = 0;
};

using LinkFrame = std::variant<Hello,
                               Status,
                               RunFrame,
                               ResultFrame,
                               CancelFrame,
                               PingFrame,
                               PongFrame,
                               ConfigRequest,
                               ConfigFrame,
                               LoadFrame,
                               ConfigBusy,
                               TokenRequest,
                               TokenGrantFrame,
                               LeavingFrame,
                               SpeedFrame>;

// The alternatives of LinkFrame, in its order.
enum class FrameKind : std::uint8_t {
  kHello,
  kStatus,
  kRun,
  kResult,
  kCancel,
  kPing,
  kPong,
  kConfigRequest,
  kConfig,
  kLoad,
  kConfigBusy,
  kTokenRequest,
  kTokenGrant,
  kLeaving,
  kSpeed,
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

// Size of the length prefix of each frame.
inline constexpr std::size_t kFrameLengthBytes = 4;
// Maximum frame length: the largest body that a configuration may allow, plus
// headers.
inline constexpr std::size_t kMaxLinkFrame = (64U << 20) + (1U << 20);
// Maximum on a connection whose other end has not said which node it is: a
// Hello and no more.
inline constexpr std::size_t kMaxFrameBeforeHello = std::size_t{4} << 10U;
// Bytes of a frame that suffice for CallOf.
inline constexpr std::size_t kCallIdBytes = 16;

// The frame with its length prefix. Not thread safe.
[[nodiscard]] std::string EncodeLinkFrame(const LinkFrame& frame);

// The same without the bytes of the request's body, which ends the frame. Not
// thread safe.
[[nodiscard]] std::string EncodeWithoutBody(const RunFrame& frame);

// `bytes` excludes the length prefix. Errors: kFrameMalformed for anything that
// the encoder does not write. Thread safe.
[[nodiscard]] Result<LinkFrame> DecodeLinkFrame(std::string_view bytes);

// The same; a body that ends the frame takes over the memory of `bytes`. Thread
// safe.
[[nodiscard]] Result<LinkFrame> DecodeOwnedLinkFrame(std::string bytes);

// A call, and whether a frame is its run or its result.
struct FrameCall {
  FrameKind kind = FrameKind::kRun;
  std::uint64_t call = 0;
};

// The call of the run or the result that begins so; none for another frame.
// Thread safe.
[[nodiscard]] std::optional<FrameCall> CallOf(std::string_view bytes);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_FRAMES_H_
