#include "teaselspread/backoff.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace teaselspread {
namespace {

// Any practical cap is reached within this many doublings.
constexpr int kMaxDoublings = 20;

}  // namespace

Duration NextDelay(Backoff& backoff, Rng& rng) {
  backoff.failures = std::min(backoff.failures + 1, kMaxDoublings);
  const std::int64_t exponential = backoff.base.count() << backoff.failures;
  const std::int64_t max_delay =
      std::min<std::int64_t>(exponential, backoff.cap.count());
  return Duration(std::uniform_int_distribution<std::int64_t>(
      backoff.base.count(), max_delay)(rng));
}

}  // namespace teaselspread
