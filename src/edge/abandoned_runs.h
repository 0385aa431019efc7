// Runs that the gate no longer waits for, since their callers have left or
// their deadlines have passed, and that the upstream may still be working on,
// even if it has responded with a time-out. If it crashes, one of them may be
// the cause.
//
// Pure: the caller passes the time in. Not thread safe.
#ifndef TEASELSPREAD_SRC_EDGE_ABANDONED_RUNS_H_
#define TEASELSPREAD_SRC_EDGE_ABANDONED_RUNS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "teaselspread/suspects.h"
#include "teaselspread/types.h"

namespace teaselspread {

inline constexpr std::size_t kMaxAbandonedRuns = 128;

struct AbandonedRun {
  Fingerprint fingerprint = 0;
  // X-Request-Id, for logs.
  std::string request_id;
  TimePoint abandoned_at;
  // The deadline that the upstream was told.
  TimePoint deadline;
};

// At most kMaxAbandonedRuns, one for each fingerprint; the newest last.
struct AbandonedRuns {
  std::vector<AbandonedRun> runs;
  // Runs that were dropped as there were too many.
  std::uint64_t dropped = 0;
};

void Abandon(AbandonedRuns& abandoned, AbandonedRun run);

// The upstream has responded to another request: it has survived the runs that
// must have ended by now.
void DropSurvived(AbandonedRuns& abandoned, TimePoint responded_at);

// Takes the runs that may have crashed an upstream which was found gone at
// `now`.
[[nodiscard]] std::vector<AbandonedRun> TakeAbandoned(AbandonedRuns& abandoned,
                                                      TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_ABANDONED_RUNS_H_
