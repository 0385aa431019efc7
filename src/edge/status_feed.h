// Which parts of a node's status each of its callers receives, and when.
//
// Every node holds a link to every other one, so a change that goes to all of
// them at once costs a deployment the square of its size. Only what no caller
// may miss does: the state of the upstream, suspects, and the progress of a
// move. Loads and times reach the callers that send requests here several times
// a second, as results carry them too, and the others at intervals that grow
// with their number, so that a node sends a bounded number of frames a second.
// Response counters of a move reach only the nodes that evaluate it.
//
// Pure: the caller passes the time in. Not thread safe.
#ifndef TEASELSPREAD_SRC_EDGE_STATUS_FEED_H_
#define TEASELSPREAD_SRC_EDGE_STATUS_FEED_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "edge/frames.h"
#include "teaselspread/types.h"

namespace teaselspread {

// What changes together and is sent at the same intervals.
enum class StatusTopic : std::uint8_t {
  // State, identity and slots of the upstream.
  kUpstream,
  // Configuration held, access to the store, warm-up.
  kVersion,
  kLoad,
  // The upstream has nothing left to do. A move ends when those of the old
  // version have come to rest.
  kIdle,
  kTimes,
  // Orders and verdicts of moves.
  kProgress,
  // Response counters of moves, summed over all nodes.
  kMoveSummary,
  // This node's response counters of moves, and its count of bad responses.
  kEvidence,
  kBadResponses,
  kSuspects,
  kDemand,
  // Rows of other nodes about suspects, for callers that those nodes cannot
  // reach.
  kRelayedSuspects,
  // The rate of requests that the upstream says it takes.
  kLimit,
  kCount,
};

// Stable name for logs and metrics. Thread safe.
[[nodiscard]] std::string_view NameOf(StatusTopic topic);

inline constexpr auto kStatusTopics =
    static_cast<std::size_t>(StatusTopic::kCount);

// A set of topics, one bit each.
using TopicSet = std::uint16_t;

// Thread safe.
[[nodiscard]] constexpr TopicSet BitOf(StatusTopic topic) {
  return static_cast<TopicSet>(1U << static_cast<unsigned>(topic));
}

inline constexpr TopicSet kAllTopics =
    static_cast<TopicSet>((1U << kStatusTopics) - 1);

// Topics that go to at least some callers at once when they change.
inline constexpr TopicSet kUrgentTopics =
    BitOf(StatusTopic::kUpstream) | BitOf(StatusTopic::kVersion) |
    BitOf(StatusTopic::kProgress) | BitOf(StatusTopic::kBadResponses) |
    BitOf(StatusTopic::kSuspects);

// Topics in which two statuses differ. The age of a move changes with the time
// alone and is no difference. Thread safe.
[[nodiscard]] TopicSet ChangedTopics(const GateStatus& before,
                                     const GateStatus& after);

// Counts the changes of each topic.
struct StatusFeed {
  std::array<std::uint64_t, kStatusTopics> revisions{};
};

void RecordChanges(StatusFeed& feed, TopicSet changed);

// A caller that receives the status.
struct StatusReader {
  bool in_own_data_center = false;
  // It evaluates moves (move_evaluators.h).
  bool evaluates_moves = false;
  // When it last sent a request here; the epoch if it never did.
  TimePoint last_request_at;
  // What was last sent of each topic, and when.
  std::array<std::uint64_t, kStatusTopics> sent_revisions{};
  std::array<TimePoint, kStatusTopics> sent_at{};
};

// What the intervals depend on.
struct StatusAudience {
  std::size_t near_callers = 0;
  std::size_t far_callers = 0;
  // This node evaluates moves.
  bool evaluates_moves = false;
  // This node reads the operators' stream.
  bool reads_orders = false;
};

// Interval at which a caller that sends no requests gets loads, if there are
// `callers` of its kind. Thread safe.
[[nodiscard]] Duration SharedInterval(std::size_t callers);

// Topics to send to `reader` now.
[[nodiscard]] TopicSet TopicsDue(const StatusFeed& feed,
                                 const StatusReader& reader,
                                 const StatusAudience& audience,
                                 TimePoint now);

// Records that `topics` were sent to `reader`.
void MarkSent(const StatusFeed& feed,
              StatusReader& reader,
              TopicSet topics,
              TimePoint now);

// Bits of StatusPart that carry `topics`. Thread safe.
[[nodiscard]] std::uint8_t PartsOf(TopicSet topics);

// Topics that a change of the load alone consists of.
inline constexpr TopicSet kLoadTopics =
    BitOf(StatusTopic::kLoad) | BitOf(StatusTopic::kIdle);

// Topics that a frame with the parts of `topics` carries: several share a part.
// `with_evidence`: the frame holds this node's response counters. Thread safe.
[[nodiscard]] TopicSet TopicsCarried(TopicSet topics, bool with_evidence);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_STATUS_FEED_H_
