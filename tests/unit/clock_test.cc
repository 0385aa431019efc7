#include "base/clock.h"

#include <criterion/criterion.h>

#include "teaselspread/upstream_lease.h"

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

const ClockAnchor kAnchor = {TimePoint(std::chrono::hours(500000)),
                             TimePoint(Ms(70))};

// The time of day of a VM is set forward or back by seconds while a process
// runs. Time spans must not change: after the first read of the time of day,
// only the steady clock counts.
Test(clock, spans_follow_the_steady_clock_alone) {
  const TimePoint before = AnchoredTime(kAnchor, TimePoint(Ms(1000)));
  const TimePoint after = AnchoredTime(kAnchor, TimePoint(Ms(1250)));
  cr_assert(after - before == Ms(250));
}

// An upstream sent its last heartbeat just before the time of day of its VM
// jumped. Measured by the time of day, the lease would expire at once, and
// callers would be refused although their upstream is healthy.
Test(clock, a_lease_outlives_a_jump_of_the_time_of_day) {
  UpstreamLease lease;
  UpstreamHeartbeat report;
  report.instance = "i-1";
  report.sequence = 1;
  const TimePoint received = AnchoredTime(kAnchor, TimePoint(Ms(1000)));
  (void)ApplyHeartbeat(lease, report, received);
  // 40 s forward by the time of day, 2 s by the steady clock.
  const TimePoint later = AnchoredTime(kAnchor, TimePoint(Ms(3000)));
  cr_assert(StateOf(lease, later) == LeaseState::kReady);
}

Test(clock, time_never_goes_back_within_a_process) {
  TimePoint last = SystemNow();
  for (int i = 0; i < 1000; ++i) {
    const TimePoint now = SystemNow();
    cr_assert(now >= last);
    last = now;
  }
}

}  // namespace
}  // namespace teaselspread
