// The rate that an upstream names in its responses, and the gate that keeps to
// it. Virtual clock, seeds.
#include "teaselspread/named_limit.h"

#include "teaselspread/admission.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kWindow = std::chrono::seconds(4);
constexpr Duration kRunTime = Ms(70);

// What the platform allows in any kWindow.
double AllowedInWindow(double per_second) {
  return 1.5 * per_second * 4 + 5;
}

std::size_t MostInWindow(const std::vector<TimePoint>& starts) {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < starts.size(); ++last) {
    while (starts[last] - starts[first] >= kWindow)
      ++first;
    most = std::max(most, last - first + 1);
  }
  return most;
}

Duration MicrosOf(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

NamedLimit LimitOf(double per_second) {
  NamedLimit limit;
  (void)HearLimit(limit, per_second, kStart, kStart);
  return limit;
}

Test(limit_pace, only_rates_are_heard) {
  cr_assert(ParseLimit("34.3") == 34.3);
  cr_assert(ParseLimit("0") == 0.0);
  for (const char* text : {"", "fast", "-1", "nan", "inf", "-inf", "1e300",
                           "12/s", "12,5", "12 13"})
    cr_assert_not(ParseLimit(text).has_value(), "%s", text);
}

// A bucket that fills while nothing comes must not let through more at once
// than the limit allows.
Test(limit_pace, no_window_holds_more_starts_than_are_allowed) {
  for (const double per_second : {0.0, 0.2, 1.0, 3.7, 34.3, 500.0}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      NamedLimit limit = LimitOf(per_second);
      Rng rng(seed);
      const double attempts_per_second = 10 * (per_second + 1);
      std::exponential_distribution<double> gap(attempts_per_second);
      std::uniform_real_distribution<double> draw(0, 1);
      std::vector<TimePoint> starts;
      for (TimePoint now = kStart; now < kStart + std::chrono::seconds(30);) {
        // Pauses in which the bucket fills, for a fifth of the time.
        const bool pauses = draw(rng) * attempts_per_second < 0.1;
        const double pause = pauses ? 5 * draw(rng) : 0;
        now += MicrosOf(gap(rng) + pause);
        if (NextStart(limit, now) > now)
          continue;
        RecordStart(limit, now);
        starts.push_back(now);
      }
      cr_assert_leq(static_cast<double>(MostInWindow(starts)),
                    AllowedInWindow(per_second), "%.1f, seed %lu", per_second,
                    seed);
      // A limit is no ban.
      cr_assert_geq(static_cast<double>(starts.size()),
                    std::max(0.0, 15 * per_second - 2), "%.1f, seed %lu",
                    per_second, seed);
    }
  }
}

// A response that was begun before the need arrives after one that names it.
// Taken for the end of the limit, it would let a burst through each time.
Test(limit_pace, a_response_to_an_earlier_request_ends_no_limit) {
  NamedLimit limit;
  const TimePoint named_at = kStart + Ms(100);
  cr_assert(HearLimit(limit, 12.0, kStart, named_at) == LimitEvent::kNamed);
  cr_assert_not(
      HearLimit(limit, std::nullopt, kStart + Ms(50), kStart + Ms(150))
          .has_value());
  cr_assert(limit.per_second == 12.0);
  cr_assert(HearLimit(limit, std::nullopt, kStart + Ms(110),
                      kStart + Ms(160)) == LimitEvent::kLifted);
  cr_assert_not(limit.per_second.has_value());
  cr_assert(NextStart(limit, kStart + Ms(160)) == kStart + Ms(160));
}

// The rate changes with each response: the bucket is kept, so that a change
// lets nothing through by itself.
Test(limit_pace, changes_of_the_rate_give_no_burst) {
  NamedLimit limit = LimitOf(10);
  std::vector<TimePoint> starts;
  for (TimePoint now = kStart; now < kStart + std::chrono::seconds(20);
       now += Ms(5)) {
    const bool even = (now - kStart) / Ms(10) % 2 == 0;
    (void)HearLimit(limit, even ? 10.0 : 8.0, now, now);
    if (NextStart(limit, now) > now)
      continue;
    RecordStart(limit, now);
    starts.push_back(now);
  }
  cr_assert_leq(MostInWindow(starts), 44U);
  cr_assert_geq(starts.size(), 150U);
}

// Nothing starts, so no response tells that the need has ended: a health check
// that names no limit lets single requests through, whose responses tell.
Test(limit_pace, a_limit_of_zero_ends_by_a_trial) {
  NamedLimit limit = LimitOf(0);
  cr_assert(NeedsHealthChecks(limit));
  const TimePoint checked_at = kStart + std::chrono::seconds(2);
  cr_assert(NextStart(limit, checked_at) > checked_at);
  AllowTrial(limit, checked_at);
  const TimePoint later = checked_at + std::chrono::seconds(1);
  cr_assert(NextStart(limit, later) <= later);
  RecordStart(limit, later);
  cr_assert(NextStart(limit, later) > later + Ms(900));
  cr_assert_not(NeedsHealthChecks(LimitOf(1)));
}

// Replays callers that press on a gate with a named limit.
struct PressedGate {
  explicit PressedGate(std::uint64_t seed) : rng(seed) {
    this->gate.settings.slots = 14;
    this->gate.service_times["lookup"].mean_us = 70'000;
    this->gate.overall_service_time.mean_us = 70'000;
  }

  void Begin(std::uint64_t id, TimePoint now) {
    this->starts.push_back(now);
    this->ends.emplace_back(now + kRunTime, id);
  }
  void Apply(const GateActions& actions, TimePoint now) {
    for (const std::uint64_t id : actions.run)
      this->Begin(id, now);
    this->refused_late += static_cast<int>(actions.refused.size());
    for (const Refusal& refusal : actions.refused) {
      const Duration held = now - this->arrived_at.at(refusal.id);
      this->longest_held = std::max(this->longest_held, held);
    }
  }
  void Advance(TimePoint now) {
    while (!this->ends.empty() && this->ends.front().first <= now) {
      const std::uint64_t ended = this->ends.front().second;
      this->ends.erase(this->ends.begin());
      this->Apply(Finish(this->gate, ended, kRunTime, true, now, this->rng),
                  now);
    }
    if (const auto due = NextAdvance(this->gate, now); due && *due <= now)
      this->Apply(teaselspread::Advance(this->gate, now, this->rng), now);
  }
  // Requests come at this rate, at random, until `end`.
  void Press(double per_second, TimePoint begin, TimePoint end, Duration aim) {
    std::exponential_distribution<double> gap(per_second);
    std::uniform_real_distribution<double> draw(0, 1);
    TimePoint next = begin;
    for (TimePoint now = begin; now < end; now += Ms(1)) {
      this->Advance(now);
      for (; next <= now; next += MicrosOf(gap(this->rng))) {
        Arrival arrival;
        arrival.id = ++this->last_id;
        arrival.route = "lookup";
        arrival.aim = now + aim;
        arrival.deadline = now + 2 * aim;
        arrival.priority = draw(this->rng) < this->urgent_share
                               ? Priority::kNormal
                               : Priority::kBackground;
        this->arrived_at[arrival.id] = now;
        const auto arrived = Arrive(this->gate, arrival, now, this->rng);
        if (arrived.admission == Admission::kRun)
          this->Begin(arrival.id, now);
        this->Apply({{}, arrived.overtaken}, now);
        if (arrived.refusal)
          this->refusals.push_back(*arrived.refusal);
      }
    }
  }

  Gatekeeper gate;
  Rng rng;
  std::vector<TimePoint> starts;
  std::vector<std::pair<TimePoint, std::uint64_t>> ends;
  std::vector<Refusal> refusals;
  // Refused after they have waited, and for how long at most.
  int refused_late = 0;
  Duration longest_held{0};
  std::map<std::uint64_t, TimePoint> arrived_at;
  double urgent_share = 0;
  std::uint64_t last_id = 0;
};

// All entries send to an overloaded upstream what its slots take. It is to get
// what it named, and the rest is refused on arrival and not when its time is
// used up.
Test(limit_pace, a_gate_under_pressure_keeps_to_the_limit) {
  for (const double per_second : {3.7, 12.0, 34.3}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      PressedGate pressed(seed);
      (void)HearLimit(pressed.gate.limit, per_second, kStart, kStart);
      pressed.Press(5 * per_second, kStart, kStart + std::chrono::seconds(12),
                    Ms(400));
      cr_assert_leq(static_cast<double>(MostInWindow(pressed.starts)),
                    AllowedInWindow(per_second), "seed %lu", seed);
      cr_assert_geq(static_cast<double>(pressed.starts.size()),
                    0.9 * 12 * per_second - 2, "seed %lu", seed);
      cr_assert_eq(pressed.refused_late, 0, "seed %lu", seed);
      cr_assert_eq(pressed.gate.refused_by_limit, pressed.refusals.size());
      for (const Refusal& refusal : pressed.refusals)
        cr_assert_gt(refusal.retry_after.count(), 0);
    }
  }
}

// More urgent requests take nearly all that the upstream takes. The others were
// queued behind few, overtaken by many, and held until their time was used up.
Test(limit_pace, overtaken_requests_are_told_before_their_aim) {
  constexpr Duration kAim = Ms(400);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    PressedGate pressed(seed);
    pressed.urgent_share = 0.3;
    constexpr double kPerSecond = 34.3;
    (void)HearLimit(pressed.gate.limit, kPerSecond, kStart, kStart);
    pressed.Press(3 * kPerSecond, kStart, kStart + std::chrono::seconds(12),
                  kAim);
    // They may wait for half of the time to the latest start within the aim;
    // the clock steps by a millisecond.
    cr_assert_leq(pressed.longest_held.count(),
                  ((kAim - kRunTime) / 2 + Duration(Ms(1))).count(), "seed %lu",
                  seed);
    cr_assert_geq(static_cast<double>(pressed.starts.size()),
                  0.9 * 12 * kPerSecond, "seed %lu", seed);
  }
}

// Requests wait for a slot when the limit is named: those that it lets start
// too late are told at once, while their callers have time to go elsewhere.
Test(limit_pace, what_waits_when_a_limit_is_named_is_refused_at_once) {
  PressedGate pressed(1);
  // More than the slots run, with an aim that lets many wait.
  pressed.Press(300, kStart, kStart + std::chrono::seconds(1),
                std::chrono::seconds(2));
  const std::size_t waited = pressed.gate.queue.size();
  cr_assert_gt(waited, 10U);
  const TimePoint now = kStart + std::chrono::seconds(1);
  (void)HearLimit(pressed.gate.limit, 2.0, now, now);
  const GateActions actions = OnLimitChanged(pressed.gate, now, pressed.rng);
  cr_assert(actions.run.empty());
  // Two a second start in the four seconds that they have.
  cr_assert_leq(pressed.gate.queue.size(), 8U);
  cr_assert_eq(actions.refused.size(), waited - pressed.gate.queue.size());
  // What is left takes four seconds, and Retry-After is spread up to its
  // double.
  for (const Refusal& refusal : actions.refused)
    cr_assert_leq(refusal.retry_after.count(), Duration(Ms(10000)).count());
}

// An upstream that is slow after its start names a limit, too: the lower one
// counts.
Test(limit_pace, the_lower_of_two_rates_counts) {
  for (const double named : {4.0, 40.0}) {
    PressedGate pressed(1);
    pressed.gate.pace.settings = {10, 1};
    pressed.gate.pace.slow_until = kStart + std::chrono::seconds(30);
    (void)HearLimit(pressed.gate.limit, named, kStart, kStart);
    pressed.Press(100, kStart, kStart + std::chrono::seconds(10), Ms(400));
    const double lower = std::min(named, 10.0);
    cr_assert_leq(static_cast<double>(pressed.starts.size()),
                  10 * (lower + 1) + 1);
    cr_assert_geq(static_cast<double>(pressed.starts.size()), 8 * lower);
  }
}

// The need ends: what waited for the limit starts at once.
Test(limit_pace, waiting_requests_start_when_the_limit_is_lifted) {
  PressedGate pressed(1);
  (void)HearLimit(pressed.gate.limit, 10.0, kStart, kStart);
  const TimePoint now = kStart + std::chrono::seconds(2);
  pressed.Press(100, kStart, now, std::chrono::seconds(1));
  const std::size_t waited = pressed.gate.queue.size();
  cr_assert_gt(waited, 3U);
  (void)HearLimit(pressed.gate.limit, std::nullopt, now, now);
  const GateActions actions = OnLimitChanged(pressed.gate, now, pressed.rng);
  cr_assert_eq(actions.run.size(), waited);
  cr_assert(actions.refused.empty());
}

}  // namespace
}  // namespace teaselspread
