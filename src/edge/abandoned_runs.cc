#include "edge/abandoned_runs.h"

#include <chrono>
#include <utility>

namespace teaselspread {
namespace {

// How long after its deadline an upstream may still work on a request: it
// counts the deadline from when it reads the request.
constexpr Duration kStopMargin = std::chrono::seconds(1);
// A crash is noticed by the next request. Without one for this long, the
// upstream may have ended for any other reason.
constexpr Duration kMaxNoticeTime = std::chrono::seconds(5);

}  // namespace

void Abandon(AbandonedRuns& abandoned, AbandonedRun run) {
  std::vector<AbandonedRun>& runs = abandoned.runs;
  std::erase_if(runs, [&run](const AbandonedRun& each) {
    return each.fingerprint == run.fingerprint;
  });
  if (runs.size() == kMaxAbandonedRuns) {
    runs.erase(runs.begin());
    ++abandoned.dropped;
  }
  runs.push_back(std::move(run));
}

void DropSurvived(AbandonedRuns& abandoned, TimePoint responded_at) {
  std::erase_if(abandoned.runs, [responded_at](const AbandonedRun& run) {
    return run.deadline + kStopMargin < responded_at;
  });
}

std::vector<AbandonedRun> TakeAbandoned(AbandonedRuns& abandoned,
                                        TimePoint now) {
  std::vector<AbandonedRun> taken = std::exchange(abandoned.runs, {});
  std::erase_if(taken, [now](const AbandonedRun& run) {
    return run.deadline + kStopMargin + kMaxNoticeTime < now;
  });
  return taken;
}

}  // namespace teaselspread
