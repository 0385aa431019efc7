// Estimates how long a caller has waited before it sent this attempt.
//
// A refused caller retries with its remaining time, and its response is late if
// it comes later than the aim after its first attempt. Nothing in a request
// marks it as a retry. But first attempts on a route use the same few
// deadlines, while the remaining time of a retry is any number below one of
// them. If the aim counted from the latest attempt, retries would seem early
// and make all requests late under overload.
//
// Pure. Nothing here is thread safe.
#ifndef TEASELSPREAD_TIME_SPENT_H_
#define TEASELSPREAD_TIME_SPENT_H_

#include <cstdint>
#include <map>

#include "teaselspread/types.h"

namespace teaselspread {

struct TimeSpentSettings {
  // Minimum fraction of a route's requests with the same deadline, to the
  // millisecond, for it to count as a deadline of first attempts. The remaining
  // times of retries are spread over hundreds of milliseconds.
  double usual_fraction = 0.05;
  // Minimum number of requests for an estimate.
  double min_requests = 20;
  // Counts are halved at this total, so that a new usual deadline is learnt.
  double max_requests = 500;
};

// Counts of the deadlines that callers of one route gave, in milliseconds.
struct DeadlineHistory {
  TimeSpentSettings settings;
  std::map<std::int64_t, double> counts;
  double total = 0;
};

void RecordDeadline(DeadlineHistory& history, Duration deadline);

// Time between this deadline and the next usual one above it; zero if it is
// usual itself or there is none above it.
[[nodiscard]] Duration TimeSpent(const DeadlineHistory& history,
                                 Duration deadline);

}  // namespace teaselspread

#endif  // TEASELSPREAD_TIME_SPENT_H_
