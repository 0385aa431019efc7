// Exponential backoff with jitter between attempts.
#ifndef TEASELSPREAD_BACKOFF_H_
#define TEASELSPREAD_BACKOFF_H_

#include <chrono>

#include "teaselspread/types.h"

namespace teaselspread {

struct Backoff {
  Duration base = std::chrono::milliseconds(50);
  Duration cap = std::chrono::seconds(5);
  // Failed attempts in a row.
  int failures = 0;
};

// Counts a failure and returns the delay before the next attempt: uniform
// between `base` and base * 2^failures, at most `cap`. Without the jitter,
// clients that lost the same peer at one moment would keep retrying at the same
// moments. Precondition: 0 < base <= cap. Not thread safe.
[[nodiscard]] Duration NextDelay(Backoff& backoff, Rng& rng);

// To be called after a success. Not thread safe.
inline void Reset(Backoff& backoff) {
  backoff.failures = 0;
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_BACKOFF_H_
