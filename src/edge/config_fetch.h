// Whom a node asks for a configuration that is newer than its own, and when.
//
// One copy is asked for at a time, and no clock ends the wait for it: a copy
// that is under way over a narrow line is not lost, and a second one would make
// both late. It is lost when its link is, or when the node has answered what
// was sent after the question.
//
// Pure: the caller passes time and chance in. Not thread safe.
#ifndef TEASELSPREAD_SRC_EDGE_CONFIG_FETCH_H_
#define TEASELSPREAD_SRC_EDGE_CONFIG_FETCH_H_

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "teaselspread/backoff.h"
#include "teaselspread/types.h"

namespace teaselspread {

// A node in touch, and what it tells.
struct ConfigHolder {
  std::string_view node;
  ConfigVersion held = 0;
  // Of the own data centre.
  bool in_own_data_center = false;
};

struct FetchState {
  // The node that owes an answer; empty when none does.
  std::string queried;
  // For the log.
  TimePoint queried_at;
  // When somebody was first seen to hold a newer one; the epoch while nobody
  // does.
  TimePoint newer_seen_at;
  // Until when nodes that had too many copies under way are left alone.
  std::map<std::string, TimePoint, std::less<>> busy_until;
};

// The node to ask now, which then owes an answer; none when this node has to
// wait, or nobody holds more than `held`. `reads`: this node reads the
// operators' stream and may expect to have it from there.
[[nodiscard]] std::optional<std::string> NextToQuery(
    FetchState& state,
    std::span<const ConfigHolder> holders,
    ConfigVersion held,
    bool is_reader,
    TimePoint now,
    Rng& rng);

// `node` answered. Other nodes may be asked from now on.
void OnFetchResponse(FetchState& state, const std::string& node);

// `node` sends no copy now, if it still owes one: it has too many under way, or
// passed the question over.
void OnFetchBusy(FetchState& state, const std::string& node, TimePoint now);

// The link to `node` is gone, and with it the answer.
void OnFetchLost(FetchState& state, const std::string& node);

// Copies that a node has handed out and that may still be on their way.
//
// All of them share one line. Some at a time get through it sooner than all at
// once, and whoever has one can hand it on.
struct CopiesInFlight {
  struct Copy {
    std::size_t bytes = 0;
    ConfigVersion version = 0;
    TimePoint sent_at;
  };
  std::map<std::string, Copy> by_node;
};

// Whether a copy of `bytes` may be handed out now.
[[nodiscard]] bool MaySendCopy(const CopiesInFlight& copies, std::size_t bytes);

// `node` tells that it holds `held`.
void OnVersionHeld(CopiesInFlight& copies,
                   const std::string& node,
                   ConfigVersion held);

// Forgets copies that must have come or been lost by now.
void ExpireCopies(CopiesInFlight& copies, TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_CONFIG_FETCH_H_
