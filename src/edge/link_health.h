// When to send a ping on a link, when to stop using it, and when to close it.
//
// Silence alone ends no call: on a full line a sound link is silent for as long
// as its bytes queue there.
//
// Pure: the caller passes the time in. Thread safe.
#ifndef TEASELSPREAD_SRC_EDGE_LINK_HEALTH_H_
#define TEASELSPREAD_SRC_EDGE_LINK_HEALTH_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "teaselspread/types.h"

namespace teaselspread {

// A ping is sent on a link on which nothing was received for this long. If
// there is no response kPingTimeout after that, the link counts as silent: it
// is not used any more, and a connection that may replace it is opened.
inline constexpr Duration kPingAfter = std::chrono::milliseconds(500);
inline constexpr Duration kPingTimeout = std::chrono::milliseconds(700);
// The end that opened a link sends at least this often, however much it
// receives. Either end closes links on which nothing was received for
// kLinkTimeout, so that sockets of stopped nodes do not accumulate. The
// accepting end waits for kBusyLinkTimeout while calls are in flight; the end
// that opened the link waits for them until their deadlines.
inline constexpr Duration kMaxSendInterval = std::chrono::milliseconds(2400);
inline constexpr Duration kLinkTimeout = std::chrono::seconds(5);
inline constexpr Duration kBusyLinkTimeout = std::chrono::seconds(15);

// A link to a node that stops is closed this long after the node said so, once
// no call is in flight on it: until then its status still counts, and the node
// waits for the close before it ends.
inline constexpr Duration kStoppingLinkTime = std::chrono::seconds(1);

// A link whose response has been due for this long counts as unresponsive: new
// requests go elsewhere. Lost packets are retransmitted after some 200 ms, so
// most links recover. Without this limit a disconnected data centre would get
// requests until its links are closed, and only those that may run twice could
// be retried.
inline constexpr Duration kUnresponsiveAfter = std::chrono::milliseconds(150);

struct LinkTimes {
  // When bytes were last received and sent.
  TimePoint last_received;
  TimePoint last_sent;
  // When a frame was sent to which the other end responds; the epoch if no
  // response is due. Any received bytes clear it.
  TimePoint response_due_since;
};

// A frame was sent to which the other end responds. Not thread safe.
inline void MarkResponseDue(LinkTimes& times, TimePoint now) {
  if (times.response_due_since == TimePoint{})
    times.response_due_since = now;
}

// Thread safe.
[[nodiscard]] inline bool IsUnresponsive(const LinkTimes& times,
                                         TimePoint now) {
  return times.response_due_since != TimePoint{} &&
         now - times.response_due_since > kUnresponsiveAfter;
}

enum class LinkAction : std::uint8_t { kNone, kPing, kMarkSilent, kClose };

// Of a connection that this node opened.
enum class LinkState : std::uint8_t {
  // No status has been received yet.
  kConnecting,
  kUp,
  // Nothing was received within kPingTimeout of a ping.
  kSilent,
  // Another connection has taken its place; only results are awaited.
  kReplaced,
};

// Pings on links that are not in use are spread out to about one in this time,
// up to kMaxPingAfter: a node holds a link to every other one. More than the
// time between two loads on such links, which make a ping needless.
inline constexpr Duration kTimePerIdlePing = std::chrono::milliseconds(18);
inline constexpr Duration kMaxPingAfter = kMaxSendInterval;

// What decides how soon a silent link is pinged.
struct LinkUse {
  bool has_requests_in_flight = false;
  // Another link to the same data centre is unresponsive. A cut takes all of
  // them, and each one that is not pinged would still get a request.
  bool data_center_suspected = false;
  // Links that this node opened: to the own data centre if this one leads
  // there, otherwise to the others.
  std::size_t similar_links = 0;
};

// Thread safe.
[[nodiscard]] inline Duration PingAfter(const LinkUse& use) {
  if (use.has_requests_in_flight || use.data_center_suspected)
    return kPingAfter;
  return std::clamp(
      kTimePerIdlePing * static_cast<std::int64_t>(use.similar_links),
      kPingAfter, kMaxPingAfter);
}

// For the end that opened the link. Thread safe.
[[nodiscard]] inline LinkAction CheckOpened(const LinkTimes& times,
                                            LinkState state,
                                            bool has_calls,
                                            TimePoint now,
                                            Duration ping_after = kPingAfter) {
  const bool response_due = times.response_due_since != TimePoint{};
  const bool timed_out =
      response_due && now - times.response_due_since > kPingTimeout;
  const bool must_send =
      now - times.last_sent > std::max(ping_after, kMaxSendInterval);
  switch (state) {
    case LinkState::kConnecting:
      return timed_out ? LinkAction::kClose : LinkAction::kNone;
    case LinkState::kUp:
      if (timed_out)
        return LinkAction::kMarkSilent;
      return !response_due &&
                     (must_send || now - times.last_received > ping_after)
                 ? LinkAction::kPing
                 : LinkAction::kNone;
    case LinkState::kSilent:
      if (!has_calls && now - times.last_received > kLinkTimeout)
        return LinkAction::kClose;
      break;
    case LinkState::kReplaced:
      if (!has_calls)
        return LinkAction::kClose;
      break;
  }
  return must_send ? LinkAction::kPing : LinkAction::kNone;
}

// For the end that accepted the link. Thread safe.
[[nodiscard]] inline LinkAction CheckAccepted(const LinkTimes& times,
                                              bool has_calls,
                                              TimePoint now) {
  const Duration limit = has_calls ? kBusyLinkTimeout : kLinkTimeout;
  return now - times.last_received > limit ? LinkAction::kClose
                                           : LinkAction::kNone;
}

// Whether the link to a node that began to stop at `stopping_since` has served
// its purpose. Thread safe.
[[nodiscard]] inline bool IsDrained(TimePoint stopping_since,
                                    bool has_calls,
                                    TimePoint now) {
  return stopping_since != TimePoint{} && !has_calls &&
         now - stopping_since > kStoppingLinkTime;
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_LINK_HEALTH_H_
