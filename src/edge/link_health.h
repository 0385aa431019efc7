// When to ask whether a link still works, and when to give it up.
//
// Pure: the caller passes the time in. Thread safe.
#ifndef TEASELSPREAD_SRC_EDGE_LINK_HEALTH_H_
#define TEASELSPREAD_SRC_EDGE_LINK_HEALTH_H_

#include "teaselspread/types.h"

namespace teaselspread {

// A link on which nothing came for this long is asked; a node that has not
// answered kSilenceLimit after that is taken for cut off.
inline constexpr Duration kPingAfter = std::chrono::milliseconds(500);
inline constexpr Duration kSilenceLimit = std::chrono::milliseconds(700);
// The end that opened a link says something at least this often, however much
// it hears: the other end closes links on which nothing comes, so that sockets
// of nodes that are gone do not pile up.
inline constexpr Duration kSpeakAfter = std::chrono::milliseconds(1500);
inline constexpr Duration kCallerSilence = std::chrono::seconds(5);

// A question that has been open for this long puts the link in doubt: new
// requests go elsewhere. Lost packets are sent again after some 200 ms, so most
// doubts pass; a data centre that is cut off would otherwise get requests until
// its links are given up, and none of them can be sent again unless it may run
// twice.
inline constexpr Duration kDoubtAfter = std::chrono::milliseconds(150);

struct LinkTimes {
  // When the last bytes came and went.
  TimePoint heard;
  TimePoint spoke;
  // When something was sent that the other end answers; the epoch when nothing
  // is owed.
  TimePoint asked;
};

// Thread safe.
[[nodiscard]] inline bool InDoubt(const LinkTimes& times, TimePoint now) {
  return times.asked != TimePoint{} && now - times.asked > kDoubtAfter;
}

enum class LinkAction : std::uint8_t { kNone, kAsk, kGiveUp };

// For the end that opened the link; `up` once the other end has answered.
[[nodiscard]] inline LinkAction CheckOpened(const LinkTimes& times,
                                            bool up,
                                            TimePoint now) {
  const bool owed = times.asked != TimePoint{};
  if (owed && now - times.asked > kSilenceLimit)
    return LinkAction::kGiveUp;
  const bool quiet =
      now - times.heard > kPingAfter || now - times.spoke > kSpeakAfter;
  return up && !owed && quiet ? LinkAction::kAsk : LinkAction::kNone;
}

// For the other end.
[[nodiscard]] inline LinkAction CheckAccepted(const LinkTimes& times,
                                              TimePoint now) {
  return now - times.heard > kCallerSilence ? LinkAction::kGiveUp
                                            : LinkAction::kNone;
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_LINK_HEALTH_H_
