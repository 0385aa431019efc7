// Waits between attempts that grow and are spread at random.
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

// Counts a failure and returns the wait before the next attempt: uniform
// between `base` and base * 2^failures, at most `cap`. A herd that lost the
// same peer at one moment would otherwise come back at one moment, again and
// again. Precondition: 0 < base <= cap. Not thread safe.
[[nodiscard]] Duration NextDelay(Backoff& backoff, Rng& rng);

// After a success. Not thread safe.
inline void Reset(Backoff& backoff) {
  backoff.failures = 0;
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_BACKOFF_H_
