#include "teaselspread/named_limit.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>

#include <absl/strings/numbers.h>

namespace teaselspread {
namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(LimitEvent::kCount)>
    kEventNames = {"named", "changed", "lifted", "forgotten", "ignored"};

// Above it, a value is taken for a mistake.
constexpr double kMaxPerSecond = 1e6;

// Requests that come together may start at once, as many as the limit allows in
// this time: otherwise those that could use a free slot would wait for the
// pace, and a fluctuating load would use less than the upstream takes.
constexpr double kBurstSeconds = 0.25;
// Rate, in requests a second, while it is not known whether a limit lower than
// this has ended.
constexpr double kTrialPerSecond = 1;
// Longest wait that is worked out. Callers of later requests have left by then.
constexpr Duration kMaxWait = std::chrono::seconds(10);
constexpr double kMicrosPerSecond = 1e6;
// Absorbs rounding to whole microseconds.
constexpr double kWholeToken = 1 - 1e-6;

double BurstOf(const NamedLimit& limit) {
  return std::max(1.0, *limit.per_second * kBurstSeconds);
}

double TokensAt(const NamedLimit& limit, TimePoint now) {
  const double seconds =
      static_cast<double>((now - limit.refilled_at).count()) / kMicrosPerSecond;
  const double refilled =
      limit.tokens + std::max(seconds, 0.0) * *limit.per_second;
  return std::min(refilled, BurstOf(limit));
}

void Refill(NamedLimit& limit, TimePoint now) {
  limit.tokens = TokensAt(limit, now);
  limit.refilled_at = now;
}

void SetRate(NamedLimit& limit, double per_second, TimePoint now) {
  if (limit.per_second)
    Refill(limit, now);
  limit.per_second = per_second;
  limit.tokens = std::min(limit.tokens, BurstOf(limit));
  limit.refilled_at = now;
}

}  // namespace

std::string_view NameOf(LimitEvent event) {
  return kEventNames.at(static_cast<std::size_t>(event));
}

std::optional<double> ParseLimit(std::string_view text) {
  double per_second = 0;
  if (!absl::SimpleAtod(std::string(text), &per_second) ||
      !std::isfinite(per_second) || per_second < 0 ||
      per_second > kMaxPerSecond)
    return std::nullopt;
  return per_second;
}

std::optional<LimitEvent> HearLimit(NamedLimit& limit,
                                    std::optional<double> named,
                                    TimePoint sent_at,
                                    TimePoint now) {
  if (!named) {
    if (!limit.per_second || sent_at <= limit.named_at)
      return std::nullopt;
    limit = {};
    return LimitEvent::kLifted;
  }
  const std::optional<double> before = limit.per_second;
  SetRate(limit, *named, now);
  limit.named_at = now;
  if (!before) {
    limit.first_named_at = now;
    return LimitEvent::kNamed;
  }
  if (*before == *named)
    return std::nullopt;
  return LimitEvent::kChanged;
}

void AllowTrial(NamedLimit& limit, TimePoint now) {
  if (NeedsHealthChecks(limit))
    SetRate(limit, kTrialPerSecond, now);
}

bool NeedsHealthChecks(const NamedLimit& limit) {
  return limit.per_second && *limit.per_second < kTrialPerSecond;
}

TimePoint NextStart(const NamedLimit& limit, TimePoint now) {
  return StartBehind(limit, 0, now);
}

TimePoint StartBehind(const NamedLimit& limit,
                      std::size_t ahead,
                      TimePoint now) {
  if (!limit.per_second)
    return now;
  const double missing =
      static_cast<double>(ahead) + kWholeToken - TokensAt(limit, now);
  if (missing <= 0)
    return now;
  const double micros =
      std::ceil(missing / *limit.per_second * kMicrosPerSecond);
  const auto max_micros = static_cast<double>(kMaxWait.count());
  // Also for the infinite wait that a limit of zero gives.
  return now +
         Duration(static_cast<std::int64_t>(std::min(micros, max_micros)));
}

void RecordStart(NamedLimit& limit, TimePoint now) {
  if (!limit.per_second)
    return;
  Refill(limit, now);
  limit.tokens -= 1;
}

}  // namespace teaselspread
