// The limit on starts at an upstream that is slow after its start, and the gate
// that keeps it. Virtual clock, seeds.
#include "teaselspread/start_pace.h"

#include "teaselspread/admission.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr double kPerSecond = 11;
constexpr double kBurst = 5.5;
// One more: a start at each end of the second.
constexpr std::size_t kMostInASecond = 17;

StartPace MakePace(Duration slow_for) {
  StartPace pace;
  pace.settings = {kPerSecond, kBurst};
  pace.slow_until = kStart + slow_for;
  return pace;
}

std::size_t MostInASecond(const std::vector<TimePoint>& starts) {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < starts.size(); ++last) {
    while (starts[last] - starts[first] >= std::chrono::seconds(1))
      ++first;
    most = std::max(most, last - first + 1);
  }
  return most;
}

// An upstream that is slow after its start gets requests as fast as its slots
// allow, and crashes.
Test(start_pace, no_second_holds_more_starts_than_the_limit) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    StartPace pace = MakePace(std::chrono::seconds(30));
    Rng rng(seed);
    std::exponential_distribution<double> gap(40);
    std::vector<TimePoint> starts;
    for (TimePoint now = kStart; now < kStart + std::chrono::seconds(20);
         now += Duration(static_cast<std::int64_t>(gap(rng) * 1e6))) {
      if (NextStart(pace, now) > now)
        continue;
      RecordStart(pace, now);
      starts.push_back(now);
    }
    cr_assert_leq(MostInASecond(starts), kMostInASecond, "seed %lu", seed);
    // Most of what it bears is used.
    cr_assert_geq(starts.size(), 200U, "seed %lu", seed);
  }
}

// An upstream becomes slow while it runs at full speed: what it got just before
// counts towards the first second.
Test(start_pace, starts_before_the_slow_time_count) {
  StartPace pace = MakePace(Duration{0});
  std::vector<TimePoint> starts;
  TimePoint now = kStart;
  for (int i = 0; i < 20; ++i, now += Ms(20)) {
    cr_assert(NextStart(pace, now) <= now);
    RecordStart(pace, now);
  }
  pace.slow_until = now + std::chrono::seconds(3);
  const TimePoint next = NextStart(pace, now);
  cr_assert_geq((next - now).count(), Duration(Ms(400)).count());
  cr_assert_leq((next - now).count(), Duration(Ms(1000)).count());
}

Test(start_pace, a_request_behind_others_waits_for_each_of_them) {
  StartPace pace = MakePace(std::chrono::seconds(3));
  cr_assert(StartBehind(pace, 0, kStart) == kStart);
  cr_assert(StartBehind(pace, 11, kStart) == kStart + std::chrono::seconds(1));
  cr_assert(StartBehind(pace, 1000, kStart) == pace.slow_until);
  pace.slow_until = kStart;
  cr_assert(StartBehind(pace, 11, kStart) == kStart);
}

Test(start_pace, without_a_rate_nothing_is_limited) {
  StartPace pace;
  pace.slow_until = kStart + std::chrono::seconds(3);
  for (int i = 0; i < 100; ++i) {
    cr_assert(NextStart(pace, kStart) == kStart);
    RecordStart(pace, kStart);
  }
  cr_assert(pace.starts.empty());
}

Arrival ArrivalOf(std::uint64_t id, TimePoint now, Duration aim) {
  Arrival arrival;
  arrival.id = id;
  arrival.route = "lookup";
  arrival.aim = now + aim;
  arrival.deadline = now + 2 * aim;
  return arrival;
}

void SetUpSlow(Gatekeeper& gate, Duration slow_for) {
  gate.settings.slots = 4;
  gate.service_times["lookup"].mean_us = 70'000;
  gate.overall_service_time.mean_us = 70'000;
  gate.pace = MakePace(slow_for);
}

// All entries send to an upstream that has just started: five times what it
// bears. It is to get just that, at once or after a wait that fits the aim, and
// the rest is refused on arrival and not when its time is used up.
Test(start_pace, a_slow_upstream_gets_what_it_bears_and_the_rest_is_refused) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Gatekeeper gate;
    SetUpSlow(gate, std::chrono::seconds(10));
    Rng rng(seed);
    std::exponential_distribution<double> gap(5 * kPerSecond);
    std::vector<TimePoint> starts;
    std::vector<std::pair<TimePoint, std::uint64_t>> ends;
    int refused_late = 0;
    std::uint64_t id = 0;
    TimePoint next = kStart;
    const auto begin = [&](std::uint64_t started, TimePoint now) {
      starts.push_back(now);
      ends.emplace_back(now + Ms(70), started);
    };
    const auto apply = [&](const GateActions& actions, TimePoint now) {
      for (const std::uint64_t started : actions.run)
        begin(started, now);
      refused_late += static_cast<int>(actions.refused.size());
    };
    for (TimePoint now = kStart; now < kStart + std::chrono::seconds(9);
         now += Ms(1)) {
      while (!ends.empty() && ends.front().first <= now) {
        const std::uint64_t ended = ends.front().second;
        ends.erase(ends.begin());
        apply(Finish(gate, ended, Ms(70), true, now, rng), now);
      }
      if (const auto due = NextAdvance(gate, now); due && *due <= now)
        apply(Advance(gate, now, rng), now);
      for (; next <= now;
           next += Duration(static_cast<std::int64_t>(gap(rng) * 1e6))) {
        const auto arrived =
            Arrive(gate, ArrivalOf(++id, now, Ms(250)), now, rng);
        if (arrived.admission == Admission::kRun)
          begin(id, now);
      }
    }
    cr_assert_leq(MostInASecond(starts), kMostInASecond, "seed %lu", seed);
    cr_assert_geq(starts.size(), 90U, "seed %lu", seed);
    cr_assert_eq(refused_late, 0, "seed %lu", seed);
  }
}

// The upstream is warm again: what waited for the limit starts at once.
Test(start_pace, waiting_requests_start_when_the_upstream_is_warm) {
  Gatekeeper gate;
  SetUpSlow(gate, Ms(60));
  Rng rng(1);
  // These used up the burst.
  std::uint64_t id = 0;
  while (
      Arrive(gate, ArrivalOf(++id, kStart, Ms(250)), kStart, rng).admission ==
      Admission::kRun)
    (void)Finish(gate, id, Ms(1), true, kStart, rng);
  cr_assert_eq(gate.queue.size(), 1U);
  const auto due = NextAdvance(gate, kStart);
  cr_assert(due.has_value());
  cr_assert_leq((*due - kStart).count(), Duration(Ms(60)).count());
  cr_assert_not(Advance(gate, kStart + Ms(60), rng).run.empty());
}

}  // namespace
}  // namespace teaselspread
