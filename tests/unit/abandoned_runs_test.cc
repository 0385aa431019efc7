// Which runs that nobody waits for may have crashed an upstream.
#include "edge/abandoned_runs.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <vector>

namespace teaselspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kDeadline = milliseconds(400);

AbandonedRun RunAt(Fingerprint fingerprint, TimePoint abandoned_at) {
  return {fingerprint, "q-" + std::to_string(fingerprint), abandoned_at,
          abandoned_at + kDeadline};
}

std::vector<Fingerprint> Taken(AbandonedRuns& abandoned, TimePoint now) {
  std::vector<Fingerprint> taken;
  for (const AbandonedRun& run : TakeAbandoned(abandoned, now))
    taken.push_back(run.fingerprint);
  return taken;
}

// Guards against blaming what cannot have crashed the upstream: its response
// shows that it outlived the run.
Test(abandoned_runs, a_response_after_the_deadline_ends_the_suspicion) {
  AbandonedRuns abandoned;
  Abandon(abandoned, RunAt(1, kStart));
  Abandon(abandoned, RunAt(2, kStart + seconds(1)));
  DropSurvived(abandoned, kStart + kDeadline);
  cr_assert_eq(abandoned.runs.size(), 2U, "the upstream may be late");
  DropSurvived(abandoned, kStart + milliseconds(1500));
  const std::vector<Fingerprint> expected = {2};
  cr_assert(Taken(abandoned, kStart + milliseconds(1600)) == expected);
}

// Guards against a request that goes on crashing upstreams that get hardly any
// others: the crash is noticed seconds later, by the next request.
Test(abandoned_runs, without_responses_the_cause_is_remembered_for_seconds) {
  AbandonedRuns abandoned;
  Abandon(abandoned, RunAt(1, kStart));
  const std::vector<Fingerprint> expected = {1};
  cr_assert(Taken(abandoned, kStart + seconds(5)) == expected);
  cr_assert(Taken(abandoned, kStart + seconds(5)).empty(), "blamed once");
  Abandon(abandoned, RunAt(1, kStart));
  cr_assert(Taken(abandoned, kStart + seconds(10)).empty());
}

// Guards against memory and reports that grow with the callers that leave, and
// against dropping the newest runs, which are the likeliest causes.
Test(abandoned_runs, the_newest_are_kept_once_each) {
  AbandonedRuns abandoned;
  for (int round = 0; round < 2; ++round) {
    for (std::size_t i = 0; i < kMaxAbandonedRuns + 10; ++i)
      Abandon(abandoned, RunAt(i, kStart + milliseconds(i)));
    Abandon(abandoned, RunAt(kMaxAbandonedRuns, kStart + seconds(1)));
  }
  cr_assert_eq(abandoned.runs.size(), kMaxAbandonedRuns);
  cr_assert_eq(abandoned.runs.back().fingerprint, kMaxAbandonedRuns);
  cr_assert_eq(abandoned.runs.back().abandoned_at, kStart + seconds(1));
  cr_assert_gt(abandoned.dropped, 0U);
}

}  // namespace
}  // namespace teaselspread
