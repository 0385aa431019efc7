// From which node, and when, a node requests a configuration that is newer than
// its own.
//
// One copy is requested at a time, without a time-out: a copy on a slow line is
// not lost, and a second one would delay both. It counts as lost when its link
// is lost, or when the node has responded to a later message on that link.
//
// Pure: the caller passes the time and the random generator. Not thread safe.
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

// A connected node and the configuration that it reports.
struct ConfigHolder {
  std::string_view node;
  ConfigVersion held = 0;
  bool in_own_data_center = false;
};

struct FetchState {
  // The node whose response is awaited; empty when there is none.
  std::string queried;
  // Used for the log only.
  TimePoint queried_at;
  // When a node was first seen to hold a newer configuration; the clock's epoch
  // while none does.
  TimePoint newer_seen_at;
  // Nodes that had too many copies in flight, and until when not to query them.
  std::map<std::string, TimePoint, std::less<>> busy_until;
};

// Chooses the node to query now and records it in `state.queried`. None when
// this node has to wait or no node holds a version above `held`. `is_reader`:
// this node reads the operators' stream and can expect the change from there.
[[nodiscard]] std::optional<std::string> NextToQuery(
    FetchState& state,
    std::span<const ConfigHolder> holders,
    ConfigVersion held,
    bool is_reader,
    TimePoint now,
    Rng& rng);

// `node` sent a copy. The next query may follow.
void OnFetchResponse(FetchState& state, const std::string& node);

// `node` will not send the awaited copy: it has too many in flight, or it
// ignored the request. No effect if no copy is awaited from `node`.
void OnFetchBusy(FetchState& state, const std::string& node, TimePoint now);

// The link to `node` was lost, and with it the response.
void OnFetchLost(FetchState& state, const std::string& node);

// Copies that a node has sent and that may still be in flight.
//
// All of them share one network line. Sent a few at a time, the first ones
// arrive sooner than if all were sent at once, and their receivers can pass
// them on.
struct CopiesInFlight {
  struct Copy {
    std::size_t bytes = 0;
    ConfigVersion version = 0;
    TimePoint sent_at;
  };
  std::map<std::string, Copy> by_node;
};

// Whether a copy of `bytes` may be sent now.
[[nodiscard]] bool MaySendCopy(const CopiesInFlight& copies, std::size_t bytes);

// `node` reports that it holds `held`; its copy up to that version has arrived.
void OnVersionHeld(CopiesInFlight& copies,
                   const std::string& node,
                   ConfigVersion held);

// Drops copies that must have arrived or been lost by now.
void ExpireCopies(CopiesInFlight& copies, TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_CONFIG_FETCH_H_
