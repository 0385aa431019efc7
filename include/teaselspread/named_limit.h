// The rate of requests that an upstream says it takes, from all nodes together.
//
// An overloaded upstream names the rate in each of its responses for as long as
// the overload lasts. Every request to it passes the gate beside it, so the
// gate alone can keep to the rate, whichever nodes the requests come from.
//
// Pure: the caller passes the time in. Nothing here is thread safe.
#ifndef TEASELSPREAD_NAMED_LIMIT_H_
#define TEASELSPREAD_NAMED_LIMIT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "teaselspread/types.h"

namespace teaselspread {

// What happened to the limit of an upstream.
enum class LimitEvent : std::uint8_t {
  kNamed,
  kChanged,
  kLifted,
  // Another process holds the upstream's address.
  kForgotten,
  // A response named something that is no rate.
  kIgnored,
  kCount,
};

// Stable name for logs and metrics. Thread safe.
[[nodiscard]] std::string_view NameOf(LimitEvent event);

struct NamedLimit {
  // Requests a second; none while the upstream names no limit.
  std::optional<double> per_second;
  // Since when it has named one without a break, and when it last did.
  TimePoint first_named_at;
  TimePoint named_at;
  // Token bucket: requests that might start at once at `refilled_at`. It is
  // empty when a limit begins, as the upstream is overloaded already.
  double tokens = 0;
  TimePoint refilled_at;
};

// The rate that a response header holds; none if it is not a number from 0 to a
// million. Thread safe.
[[nodiscard]] std::optional<double> ParseLimit(std::string_view text);

// A response to a request that was sent to the upstream at `sent_at` names the
// rate `named`, or none. Responses cross, so one that names none ends a limit
// only if its request was sent after the last response that named one.
std::optional<LimitEvent> HearLimit(NamedLimit& limit,
                                    std::optional<double> named,
                                    TimePoint sent_at,
                                    TimePoint now);

// A health check found that the upstream may take requests again. Not all
// upstreams name their limit there, so a few requests are let through, whose
// responses tell.
void AllowTrial(NamedLimit& limit, TimePoint now);

// Whether so few requests start that their responses would not tell soon that
// the limit has ended.
[[nodiscard]] bool NeedsHealthChecks(const NamedLimit& limit);

// When the next request may start; `now` or earlier if it may start at once.
[[nodiscard]] TimePoint NextStart(const NamedLimit& limit, TimePoint now);

// When a request behind `ahead` waiting ones may start, if all of them start as
// soon as they may. With a limit of zero, the time after which the limit will
// have been checked again.
[[nodiscard]] TimePoint StartBehind(const NamedLimit& limit,
                                    std::size_t ahead,
                                    TimePoint now);

void RecordStart(NamedLimit& limit, TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_NAMED_LIMIT_H_
