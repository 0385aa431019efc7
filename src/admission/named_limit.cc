#include "teaselspread/named_limit.h"

#include <array>
#include <cmath>
#include <string>

#include <absl/strings/numbers.h>

namespace teaselspread {
namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(LimitEvent::kCount)>
    kEventNames = {"named", "changed", "lifted", "ignored"};

// Above it, a value is taken for a mistake.
constexpr double kMaxPerSecond = 1e6;

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
  limit.per_second = named;
  limit.named_at = now;
  if (!before) {
    limit.first_named_at = now;
    return LimitEvent::kNamed;
  }
  if (*before == *named)
    return std::nullopt;
  return LimitEvent::kChanged;
}

}  // namespace teaselspread
