// How long a caller has waited before it sent this attempt.
//
// A caller that was refused comes back with what is left of its time, and its
// answer is late if it comes later than the aim after its first attempt.
// Nothing in a request says that it is a repeat. But callers of a route give
// the same few deadlines when they ask for the first time, and what is left of
// one is any number below it. Counted from their last attempt those who come
// back look early, and make everybody late under overload.
//
// Pure. Nothing here is thread safe.
#ifndef TEASELSPREAD_TIME_SPENT_H_
#define TEASELSPREAD_TIME_SPENT_H_

#include <cstdint>
#include <map>

#include "teaselspread/types.h"

namespace teaselspread {

struct TimeSpentSettings {
  // Part of a route's requests that give one deadline, to the millisecond, for
  // it to count as one of first attempts. What is left of a deadline is spread
  // over hundreds of milliseconds.
  double usual_fraction = 0.05;
  // Requests before anything is said.
  double min_requests = 20;
  // Counts are halved when so many were seen, so that a new usual deadline is
  // learnt.
  double max_requests = 500;
};

// The deadlines that the callers of one route gave, in milliseconds.
struct DeadlineHistory {
  TimeSpentSettings settings;
  std::map<std::int64_t, double> counts;
  double total = 0;
};

void RecordDeadline(DeadlineHistory& history, Duration deadline);

// What lies between this deadline and the next usual one above it; zero when it
// is usual itself or none above it is.
[[nodiscard]] Duration TimeSpent(const DeadlineHistory& history,
                                 Duration deadline);

}  // namespace teaselspread

#endif  // TEASELSPREAD_TIME_SPENT_H_
