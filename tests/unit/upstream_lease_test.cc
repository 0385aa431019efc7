#include "teaselspread/upstream_lease.h"

#include <criterion/criterion.h>

#include <string>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};

UpstreamHeartbeat MakeHeartbeat(const std::string& instance,
                                std::int64_t born_ms,
                                std::uint64_t sequence) {
  UpstreamHeartbeat heartbeat;
  heartbeat.instance = instance;
  heartbeat.service = "registry-desk";
  heartbeat.version = "v1";
  heartbeat.slots = 14;
  heartbeat.sequence = sequence;
  heartbeat.born_ms = born_ms;
  return heartbeat;
}

Test(upstream_lease, nothing_is_ready_before_the_first_heartbeat) {
  const UpstreamLease lease;
  cr_assert(StateOf(lease, kStart) == LeaseState::kNone);
}

// A node restarts while its upstream leaves. It acknowledges the leave of a
// process that it does not know, and then a heartbeat sent earlier arrives. If
// that counted as a new process, requests would go to an upstream whose leave
// was acknowledged and that is about to end.
Test(upstream_lease, a_leave_holds_before_the_first_heartbeat) {
  UpstreamLease lease;
  cr_assert_not(OnLeave(lease, "i-1", 5000, kStart));
  cr_assert(ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5000, 21), kStart) ==
            HeartbeatResult::kAlreadyLeaving);
  cr_assert(StateOf(lease, kStart) == LeaseState::kNone);
  // After a restart under the same name it is another process.
  cr_assert(ApplyHeartbeat(lease, MakeHeartbeat("i-1", 8000, 1),
                           kStart + Ms(10)) == HeartbeatResult::kAccepted);
  cr_assert(StateOf(lease, kStart + Ms(10)) == LeaseState::kReady);
}

// Guards against a leaving process that is taken for ready, since its health
// check still says so and names no start time.
Test(upstream_lease, a_leave_holds_against_the_health_check) {
  UpstreamLease lease;
  cr_assert_not(OnLeave(lease, "i-1", 5000, kStart));
  cr_expect(ApplyHeartbeat(lease, MakeHeartbeat("i-1", 0, 0), kStart) ==
            HeartbeatResult::kAlreadyLeaving);
  cr_expect(ApplyHeartbeat(lease, MakeHeartbeat("i-2", 0, 0), kStart) ==
            HeartbeatResult::kAccepted);
}

// Leave calls may give only the name of the process, not its start time.
Test(upstream_lease, a_leave_without_start_time_holds_too) {
  UpstreamLease lease;
  cr_assert_not(OnLeave(lease, "i-1", 0, kStart));
  cr_assert(ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5000, 21),
                           kStart + Ms(2000)) ==
            HeartbeatResult::kAlreadyLeaving);
  cr_assert(ApplyHeartbeat(lease, MakeHeartbeat("i-1", 8000, 1),
                           kStart + Ms(4000)) == HeartbeatResult::kAccepted);
}

// The first heartbeat of the new process was lost, so its second looks like one
// of the process that left. The new process must not be rejected permanently.
Test(upstream_lease, a_leave_expires_after_the_maximum_heartbeat_delay) {
  UpstreamLease lease;
  cr_assert_not(OnLeave(lease, "i-1", 0, kStart));
  (void)ApplyHeartbeat(lease, MakeHeartbeat("i-1", 8000, 2), kStart + Ms(4000));
  cr_assert(ApplyHeartbeat(lease, MakeHeartbeat("i-1", 8000, 9),
                           kStart + Ms(14000)) == HeartbeatResult::kAccepted);
}

// A node that restarted beside an upstream knows it from its health check, and
// a response says that it leaves. The next heartbeat, which gives its start
// time and calls it ready, must not count as one of a new process.
Test(upstream_lease, a_leave_holds_for_a_process_known_from_its_health_check) {
  UpstreamLease lease;
  (void)ApplyHeartbeat(lease, MakeHeartbeat("i-1", 0, 0), kStart);
  cr_assert_not(HasAnnouncedLeave(lease, "i-1"));
  cr_assert(OnLeave(lease, "i-1", 0, kStart));
  cr_assert(HasAnnouncedLeave(lease, "i-1"));
  for (const int seconds : {1, 15, 30}) {
    cr_assert(ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5000, 20 + seconds),
                             kStart + std::chrono::seconds(seconds)) ==
              HeartbeatResult::kAlreadyLeaving);
  }
  cr_assert(ApplyHeartbeat(lease, MakeHeartbeat("i-1", 8000, 1),
                           kStart + std::chrono::seconds(31)) ==
            HeartbeatResult::kAccepted);
}

// Guards against a leaving upstream that gets requests again: all nodes that
// knew of its leave were killed, and a heartbeat from before it arrives.
Test(upstream_lease, after_a_start_a_heartbeat_needs_a_confirmation) {
  UpstreamLease lease;
  RequireConfirmation(lease, kStart);
  cr_assert(ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5000, 21), kStart) ==
            HeartbeatResult::kUnconfirmed);
  cr_assert(StateOf(lease, kStart) == LeaseState::kNone);
  const auto waiting = ConfirmReady(lease, "i-1");
  cr_assert(waiting.has_value());
  cr_assert(ApplyHeartbeat(lease, *waiting, kStart) ==
            HeartbeatResult::kAccepted);
  cr_assert(StateOf(lease, kStart) == LeaseState::kReady);
}

// Guards against a health check that is repeated for a process which is gone.
Test(upstream_lease, a_heartbeat_of_a_process_that_does_not_listen_is_dropped) {
  UpstreamLease lease;
  RequireConfirmation(lease, kStart);
  (void)ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5000, 21), kStart);
  cr_assert_not(ConfirmReady(lease, "i-2").has_value());
  cr_assert_not(lease.unconfirmed.has_value());
}

Test(upstream_lease, a_confirmation_counts_for_later_heartbeats_too) {
  UpstreamLease lease;
  RequireConfirmation(lease, kStart);
  cr_assert_not(ConfirmReady(lease, "i-1").has_value());
  cr_assert(ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5000, 21), kStart) ==
            HeartbeatResult::kAccepted);
}

// Guards against an upstream whose health check fails for good and that would
// stay out of service for ever: its heartbeats are not late any more.
Test(upstream_lease, after_the_maximum_delay_no_confirmation_is_needed) {
  UpstreamLease lease;
  RequireConfirmation(lease, kStart);
  cr_assert(ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5000, 21),
                           kStart + Ms(9999)) == HeartbeatResult::kUnconfirmed);
  cr_assert(ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5000, 22),
                           kStart + Ms(10000)) == HeartbeatResult::kAccepted);
}

// Guards against a health check that brings back a process which announced its
// leave after its heartbeat, or an older heartbeat than the newest one.
Test(upstream_lease, a_leave_and_a_newer_heartbeat_hold_against_what_waited) {
  UpstreamLease lease;
  RequireConfirmation(lease, kStart);
  (void)ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5000, 22), kStart);
  (void)ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5000, 21), kStart);
  (void)OnLeave(lease, "i-1", 5000, kStart);
  const auto waiting = ConfirmReady(lease, "i-1");
  cr_assert(waiting.has_value());
  cr_assert(waiting->sequence == 22);
  cr_assert(ApplyHeartbeat(lease, *waiting, kStart) ==
            HeartbeatResult::kAlreadyLeaving);
}

Test(upstream_lease, a_heartbeat_that_leaves_needs_no_confirmation) {
  UpstreamLease lease;
  RequireConfirmation(lease, kStart);
  UpstreamHeartbeat leaving = MakeHeartbeat("i-1", 5000, 21);
  leaving.leaving = true;
  cr_assert(ApplyHeartbeat(lease, leaving, kStart) ==
            HeartbeatResult::kAccepted);
  cr_assert(StateOf(lease, kStart) == LeaseState::kLeaving);
}

// A limit that an upstream named is forgotten when another process holds its
// address, and not when the first heartbeat completes what is known of it.
Test(upstream_lease, processes_are_told_apart_by_name_and_start_time) {
  const UpstreamHeartbeat probed = MakeHeartbeat("i-1", 0, 0);
  const UpstreamHeartbeat known = MakeHeartbeat("i-1", 5000, 3);
  cr_assert_not(IsAnotherProcess(probed, known));
  cr_assert_not(IsAnotherProcess(known, MakeHeartbeat("i-1", 5000, 4)));
  cr_assert(IsAnotherProcess(known, MakeHeartbeat("i-1", 8000, 1)));
  cr_assert(IsAnotherProcess(known, MakeHeartbeat("i-2", 5000, 4)));
}

// The same while an earlier process at the address still holds the lease.
Test(upstream_lease, a_leave_holds_while_an_earlier_process_is_held) {
  UpstreamLease lease;
  (void)ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5000, 3), kStart);
  cr_assert_not(OnLeave(lease, "i-2", 6000, kStart));
  cr_assert(
      ApplyHeartbeat(lease, MakeHeartbeat("i-2", 6000, 1), kStart + Ms(10)) ==
      HeartbeatResult::kAlreadyLeaving);
  cr_assert_str_eq(lease.current->instance.c_str(), "i-1");
}

Test(upstream_lease, a_heartbeat_makes_it_ready_until_the_lease_expires) {
  UpstreamLease lease;
  cr_assert(ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5, 1), kStart) ==
            HeartbeatResult::kAccepted);
  cr_assert(StateOf(lease, kStart + Ms(5900)) == LeaseState::kReady);
  cr_assert(StateOf(lease, kStart + Ms(6000)) == LeaseState::kLost);
}

// Heartbeats of a busy upstream may be seconds late. Its responses show that it
// is alive, so no request is refused meanwhile.
Test(upstream_lease, responses_renew_the_lease_too) {
  UpstreamLease lease;
  (void)ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5, 1), kStart);
  OnUpstreamResponse(lease, kStart + Ms(5000));
  cr_assert(StateOf(lease, kStart + Ms(9000)) == LeaseState::kReady);
}

// A network cut delays a heartbeat, its sender crashes, and a new process
// registers at the address. If the late heartbeat were accepted, requests would
// name the old process and be refused by the new one.
Test(upstream_lease, a_late_heartbeat_of_an_earlier_process_changes_nothing) {
  UpstreamLease lease;
  (void)ApplyHeartbeat(lease, MakeHeartbeat("i-2", 9000, 1), kStart);
  cr_assert(ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5000, 77),
                           kStart + Ms(10)) == HeartbeatResult::kStale);
  cr_assert_str_eq(lease.current->instance.c_str(), "i-2");
}

// A process restarts under the same name, and its sequence starts again. If its
// heartbeats counted as late ones, none would be accepted again.
Test(upstream_lease, a_restart_under_the_same_name_is_accepted) {
  UpstreamLease lease;
  (void)ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5000, 40), kStart);
  cr_assert(ApplyHeartbeat(lease, MakeHeartbeat("i-1", 8000, 1),
                           kStart + Ms(10)) == HeartbeatResult::kAccepted);
  cr_assert(lease.current->sequence == 1);
}

// The same without a start time: after the address has refused a connection, a
// lower number means a new process.
Test(upstream_lease, a_restart_without_start_time_is_accepted_after_a_loss) {
  UpstreamLease lease;
  (void)ApplyHeartbeat(lease, MakeHeartbeat("i-1", 0, 40), kStart);
  cr_assert(ApplyHeartbeat(lease, MakeHeartbeat("i-1", 0, 1),
                           kStart + Ms(10)) == HeartbeatResult::kStale);
  OnUpstreamUnreachable(lease);
  cr_assert(ApplyHeartbeat(lease, MakeHeartbeat("i-1", 0, 2),
                           kStart + Ms(20)) == HeartbeatResult::kAccepted);
}

// The response to a heartbeat is lost, and the upstream sends it again.
Test(upstream_lease, a_duplicate_heartbeat_is_accepted) {
  UpstreamLease lease;
  (void)ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5, 3), kStart);
  cr_assert(ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5, 3),
                           kStart + Ms(900)) == HeartbeatResult::kAccepted);
}

// An upstream's announcement that it leaves was acknowledged. A heartbeat that
// arrives out of order must not make it ready again.
Test(upstream_lease, leaving_is_final_for_one_process) {
  UpstreamLease lease;
  UpstreamHeartbeat heartbeat = MakeHeartbeat("i-1", 5, 3);
  heartbeat.leaving = true;
  (void)ApplyHeartbeat(lease, heartbeat, kStart);
  cr_assert(
      ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5, 4), kStart + Ms(10)) ==
      HeartbeatResult::kAlreadyLeaving);
  cr_assert(StateOf(lease, kStart + Ms(10)) == LeaseState::kLeaving);
  cr_assert(ApplyHeartbeat(lease, MakeHeartbeat("i-2", 6, 1),
                           kStart + Ms(20)) == HeartbeatResult::kAccepted);
  cr_assert(StateOf(lease, kStart + Ms(20)) == LeaseState::kReady);
}

Test(upstream_lease, only_the_process_itself_can_leave) {
  UpstreamLease lease;
  (void)ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5, 3), kStart);
  cr_assert_not(OnLeave(lease, "i-0", 0, kStart));
  cr_assert_not(OnLeave(lease, "i-1", 4, kStart));
  cr_assert(StateOf(lease, kStart) == LeaseState::kReady);
  cr_assert(OnLeave(lease, "i-1", 0, kStart));
  cr_assert(StateOf(lease, kStart) == LeaseState::kLeaving);
}

// The port refuses connections because the process has crashed. Requests go
// elsewhere until a heartbeat shows that it has restarted.
Test(upstream_lease, a_refused_connection_counts_until_the_next_heartbeat) {
  UpstreamLease lease;
  (void)ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5, 3), kStart);
  OnUpstreamUnreachable(lease);
  cr_assert(StateOf(lease, kStart + Ms(1)) == LeaseState::kLost);
  (void)ApplyHeartbeat(lease, MakeHeartbeat("i-1", 9, 1), kStart + Ms(2));
  cr_assert(StateOf(lease, kStart + Ms(2)) == LeaseState::kReady);
}

// An upstream that does not say how long it is slow may be so. Taken for warm,
// it would get more than it bears.
Test(upstream_lease, an_upstream_counts_as_slow_until_it_says_otherwise) {
  UpstreamLease lease;
  (void)ApplyHeartbeat(lease, MakeHeartbeat("i-1", 5000, 1), kStart);
  cr_assert(SlowUntil(lease, kStart) > kStart);
  UpstreamHeartbeat next = MakeHeartbeat("i-1", 5000, 2);
  next.warm_up_remaining = Ms(400);
  (void)ApplyHeartbeat(lease, next, kStart);
  cr_assert(SlowUntil(lease, kStart) == kStart + Ms(400));
  ForgetWarmUp(lease);
  cr_assert(SlowUntil(lease, kStart + Ms(800)) > kStart + Ms(800));
}

// An upstream crashes and restarts under its name. A heartbeat that it sent
// before arrives now and says that it is warm.
Test(upstream_lease, a_heartbeat_from_before_a_crash_does_not_make_it_warm) {
  UpstreamLease lease;
  UpstreamHeartbeat heartbeat = MakeHeartbeat("i-1", 5000, 7);
  heartbeat.warm_up_remaining = Duration{0};
  (void)ApplyHeartbeat(lease, heartbeat, kStart);
  OnUpstreamUnreachable(lease);
  heartbeat.sequence = 8;
  (void)ApplyHeartbeat(lease, heartbeat, kStart + Ms(100));
  cr_assert(SlowUntil(lease, kStart + Ms(100)) > kStart + Ms(100));
  heartbeat.sequence = 9;
  (void)ApplyHeartbeat(lease, heartbeat, kStart + Ms(1600));
  cr_assert(SlowUntil(lease, kStart + Ms(1600)) <= kStart + Ms(1600));
}

}  // namespace
}  // namespace teaselspread
