// The factor by which work takes longer at an upstream, and the estimates of
// its gate that follow it.
#include "teaselspread/upstream_speed.h"
#include "admission/estimate.h"
#include "teaselspread/admission.h"

#include <criterion/criterion.h>

#include <cstdint>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};

SpeedFactor Heard(double percent, TimePoint at = kStart) {
  SpeedFactor speed;
  HearSpeed(speed, percent, at);
  return speed;
}

// Guards against an upstream on a slow machine that counts as slowed all the
// time: its measured run times would be divided by its own level, and other
// nodes would take it for as fast as the rest.
Test(upstream_speed, only_the_deviation_from_the_own_level_counts) {
  WorkLevel level;
  TimePoint now = kStart;
  for (int i = 0; i < 100; ++i) {
    now += Ms(20);
    cr_assert_float_eq(RelativeToLevel(level, 170, now), 100, 1e-6);
  }
  // A slow moment of 400 ms hardly raises the level.
  for (int i = 0; i < 20; ++i) {
    now += Ms(20);
    const double slowed = RelativeToLevel(level, 425, now);
    cr_assert(slowed > 240 && slowed <= 250, "%f", slowed);
  }
  cr_assert_float_eq(RelativeToLevel(level, 170, now + Ms(20)), 100, 1e-6);
}

// Guards against a first report in a slow moment, after which an upstream at
// its usual speed would count as faster than that.
Test(upstream_speed, the_level_falls_at_once_and_rises_within_a_minute) {
  WorkLevel level;
  TimePoint now = kStart;
  cr_assert_float_eq(RelativeToLevel(level, 425, now), 100, 1e-6);
  cr_assert_float_eq(RelativeToLevel(level, 170, now + Ms(20)), 100, 1e-6);
  for (; now < kStart + std::chrono::minutes(1); now += Ms(20))
    (void)RelativeToLevel(level, 250, now);
  cr_assert_float_eq(RelativeToLevel(level, 250, now), 100, 1e-6);
}

// Guards against estimates that change without a figure.
Test(upstream_speed, without_a_figure_nothing_changes) {
  const SpeedFactor none;
  cr_assert_eq(FactorAt(none, kStart), 1.0);
  cr_assert_eq(PercentAt(none, kStart), 100U);
  cr_assert_not(NeedsReport(none, none, kStart));
  for (const std::int64_t micros : {0L, 1L, 86'999L, 3'600'000'001L}) {
    cr_assert(SlowedBy(1, Duration(micros)) == Duration(micros));
    cr_assert(UsualTime(1, Duration(micros)) == Duration(micros));
  }
}

// Guards against an absurd figure that makes every wait endless, or zero.
Test(upstream_speed, a_figure_is_limited) {
  cr_assert_eq(FactorAt(Heard(250), kStart), 2.5);
  cr_assert_eq(FactorAt(Heard(1e300), kStart), 20.0);
  cr_assert_eq(FactorAt(Heard(1e-300), kStart), 0.1);
  cr_assert_eq(PercentAt(Heard(1e300), kStart), kMaxWorkPercent);
  cr_assert_eq(PercentAt(Heard(1e-300), kStart), kMinWorkPercent);
}

// Guards against an upstream that is avoided long after its slow moment, as
// nothing is sent there that could tell.
Test(upstream_speed, a_figure_decays_with_its_age) {
  const SpeedFactor slow = Heard(250);
  double last = FactorAt(slow, kStart);
  for (int ms = 100; ms <= 4000; ms += 100) {
    const double factor = FactorAt(slow, kStart + Ms(ms));
    cr_assert_lt(factor, last);
    cr_assert_gt(factor, 1.0);
    last = factor;
  }
  cr_assert_gt(FactorAt(slow, kStart + Ms(200)), 1.9);
  cr_assert_lt(FactorAt(slow, kStart + Ms(2000)), 1.05);
  const SpeedFactor fast = Heard(50);
  cr_assert_lt(FactorAt(fast, kStart + Ms(100)), 0.7);
  cr_assert_gt(FactorAt(fast, kStart + Ms(2000)), 0.95);
  // A figure of a clock that is ahead is as new as can be.
  cr_assert_eq(FactorAt(slow, kStart - Ms(100)), 2.5);
}

// Guards against a frame with every result, and against a caller whose copy has
// decayed while the upstream is still slow.
Test(upstream_speed, a_caller_is_told_when_what_it_assumes_is_wrong) {
  const SpeedFactor slow = Heard(250);
  cr_assert(NeedsReport({}, slow, kStart));
  cr_assert_not(NeedsReport(slow, slow, kStart));
  cr_assert_not(NeedsReport(slow, slow, kStart + Ms(300)));
  cr_assert_not(NeedsReport(slow, Heard(240), kStart));
  cr_assert_not(NeedsReport({}, Heard(105), kStart));
  cr_assert(NeedsReport(slow, Heard(250, kStart + Ms(300)), kStart + Ms(300)));
  cr_assert(NeedsReport(slow, Heard(100, kStart + Ms(300)), kStart + Ms(300)));
}

// One gate with a slot, at which requests of one route take 100 ms.
struct MeasuredGate {
  Gatekeeper gate;
  Rng rng{1};
  std::uint64_t next_id = 1;

  MeasuredGate() {
    this->gate.settings.slots = 1;
    (void)this->RunOne(Ms(100), kStart);
  }

  Arrival Request(TimePoint now, Duration deadline) {
    Arrival arrival;
    arrival.id = this->next_id++;
    arrival.route = "read";
    arrival.deadline = now + deadline;
    return arrival;
  }

  // Runs a request of `run_time` and returns when it ended.
  TimePoint RunOne(Duration run_time, TimePoint start) {
    const Arrival arrival = this->Request(start, std::chrono::seconds(10));
    (void)Arrive(this->gate, arrival, start, this->rng);
    const TimePoint end = start + run_time;
    (void)Finish(this->gate, arrival.id, run_time, true, end, this->rng);
    return end;
  }
};

// Guards against a slow moment that goes into the moving average, which would
// make the upstream look slow for the next ten requests after it.
Test(upstream_speed, run_times_are_recorded_at_the_usual_speed) {
  MeasuredGate measured;
  TimePoint now = kStart + std::chrono::seconds(1);
  for (int i = 0; i < 20; ++i) {
    HearSpeed(measured.gate.speed, 250, now);
    const TimePoint end = now + Ms(250);
    const Arrival arrival = measured.Request(now, std::chrono::seconds(10));
    (void)Arrive(measured.gate, arrival, now, measured.rng);
    HearSpeed(measured.gate.speed, 250, end);
    (void)Finish(measured.gate, arrival.id, Ms(250), true, end, measured.rng);
    now = end;
  }
  cr_assert(ExpectedServiceTime(measured.gate, "read") == Ms(100));
}

// Guards against a run through the end of a slow moment that is recorded as one
// at either speed alone.
Test(upstream_speed, a_run_counts_with_the_mean_of_both_ends) {
  MeasuredGate measured;
  const TimePoint now = kStart + std::chrono::seconds(1);
  HearSpeed(measured.gate.speed, 300, now);
  const Arrival arrival = measured.Request(now, std::chrono::seconds(10));
  (void)Arrive(measured.gate, arrival, now, measured.rng);
  HearSpeed(measured.gate.speed, 100, now + Ms(200));
  (void)Finish(measured.gate, arrival.id, Ms(200), true, now + Ms(200),
               measured.rng);
  cr_assert(ExpectedServiceTime(measured.gate, "read") == Ms(100));
}

// Guards against a request that is queued at a slowed upstream although it can
// no longer meet its deadline there, and would be served in time elsewhere.
Test(upstream_speed, a_slowed_gate_refuses_what_it_cannot_run_in_time) {
  for (const bool slowed : {false, true}) {
    MeasuredGate measured;
    const TimePoint now = kStart + std::chrono::seconds(1);
    (void)Arrive(measured.gate, measured.Request(now, std::chrono::seconds(10)),
                 now, measured.rng);
    if (slowed)
      HearSpeed(measured.gate.speed, 250, now);
    const ArrivalResult result = Arrive(
        measured.gate, measured.Request(now, Ms(300)), now, measured.rng);
    cr_assert(result.admission ==
              (slowed ? Admission::kRefused : Admission::kQueued));
  }
}

// Guards against a request that waits until its deadline at an upstream that
// has slowed since: its caller could still go elsewhere.
Test(upstream_speed, a_queued_request_is_refused_as_soon_as_it_is_too_late) {
  MeasuredGate measured;
  const TimePoint now = kStart + std::chrono::seconds(1);
  (void)Arrive(measured.gate, measured.Request(now, std::chrono::seconds(10)),
               now, measured.rng);
  const Arrival queued = measured.Request(now, Ms(300));
  cr_assert(Arrive(measured.gate, queued, now, measured.rng).admission ==
            Admission::kQueued);
  const TimePoint later = now + Ms(60);
  cr_assert(Advance(measured.gate, later, measured.rng).refused.empty());
  HearSpeed(measured.gate.speed, 250, later);
  const GateActions actions = Advance(measured.gate, later, measured.rng);
  cr_assert_eq(actions.refused.size(), 1U);
  cr_assert_eq(actions.refused.front().id, queued.id);
}

// Guards against loads that hold the factor already, which the entries would
// multiply a second time.
Test(upstream_speed, the_reported_queue_is_at_the_usual_speed) {
  MeasuredGate measured;
  const TimePoint now = kStart + std::chrono::seconds(1);
  for (int i = 0; i < 3; ++i) {
    (void)Arrive(measured.gate, measured.Request(now, std::chrono::seconds(10)),
                 now, measured.rng);
  }
  const Duration before = QueuedTime(measured.gate, now);
  HearSpeed(measured.gate.speed, 250, now);
  cr_assert(QueuedTime(measured.gate, now) == before);
  cr_assert(before == Ms(200));
}

}  // namespace
}  // namespace teaselspread
