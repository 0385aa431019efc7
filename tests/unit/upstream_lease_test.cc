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

// A node is restarted while its upstream leaves. It acknowledges the leave of a
// process that it has never heard of, and then a heartbeat arrives that was
// sent before. Taken for news of a new process it brings requests to an
// upstream that was promised none, and that is about to end.
Test(upstream_lease, a_leave_holds_before_the_first_heartbeat) {
  UpstreamLease lease;
  cr_assert_not(OnLeave(lease, "i-1", 5000, kStart));
  cr_assert(OnHeartbeat(lease, MakeHeartbeat("i-1", 5000, 21), kStart) ==
            HeartbeatResult::kAlreadyLeaving);
  cr_assert(StateOf(lease, kStart) == LeaseState::kNone);
  // The next life under the name is another process.
  cr_assert(OnHeartbeat(lease, MakeHeartbeat("i-1", 8000, 1),
                        kStart + Ms(10)) == HeartbeatResult::kAccepted);
  cr_assert(StateOf(lease, kStart + Ms(10)) == LeaseState::kReady);
}

// Leave calls may name the process only, not its birth.
Test(upstream_lease, a_leave_without_start_time_holds_too) {
  UpstreamLease lease;
  cr_assert_not(OnLeave(lease, "i-1", 0, kStart));
  cr_assert(OnHeartbeat(lease, MakeHeartbeat("i-1", 5000, 21),
                        kStart + Ms(2000)) == HeartbeatResult::kAlreadyLeaving);
  cr_assert(OnHeartbeat(lease, MakeHeartbeat("i-1", 8000, 1),
                        kStart + Ms(4000)) == HeartbeatResult::kAccepted);
}

// The new process's first heartbeat was lost, so its second looks like that of
// the one that left. It must not be shut out for good.
Test(upstream_lease, a_leave_expires_after_the_maximum_heartbeat_delay) {
  UpstreamLease lease;
  cr_assert_not(OnLeave(lease, "i-1", 0, kStart));
  (void)OnHeartbeat(lease, MakeHeartbeat("i-1", 8000, 2), kStart + Ms(4000));
  cr_assert(OnHeartbeat(lease, MakeHeartbeat("i-1", 8000, 9),
                        kStart + Ms(14000)) == HeartbeatResult::kAccepted);
}

// The same with an earlier process still on the books at the address.
Test(upstream_lease, a_leave_holds_while_an_earlier_process_is_held) {
  UpstreamLease lease;
  (void)OnHeartbeat(lease, MakeHeartbeat("i-1", 5000, 3), kStart);
  cr_assert_not(OnLeave(lease, "i-2", 6000, kStart));
  cr_assert(OnHeartbeat(lease, MakeHeartbeat("i-2", 6000, 1),
                        kStart + Ms(10)) == HeartbeatResult::kAlreadyLeaving);
  cr_assert_str_eq(lease.current->instance.c_str(), "i-1");
}

Test(upstream_lease, a_heartbeat_makes_it_ready_until_the_lease_expires) {
  UpstreamLease lease;
  cr_assert(OnHeartbeat(lease, MakeHeartbeat("i-1", 5, 1), kStart) ==
            HeartbeatResult::kAccepted);
  cr_assert(StateOf(lease, kStart + Ms(5900)) == LeaseState::kReady);
  cr_assert(StateOf(lease, kStart + Ms(6000)) == LeaseState::kLost);
}

// Heartbeats of a busy upstream may be seconds late. Its answers show that it
// lives, so nobody is refused meanwhile.
Test(upstream_lease, responses_renew_the_lease_too) {
  UpstreamLease lease;
  (void)OnHeartbeat(lease, MakeHeartbeat("i-1", 5, 1), kStart);
  OnUpstreamResponse(lease, kStart + Ms(5000));
  cr_assert(StateOf(lease, kStart + Ms(9000)) == LeaseState::kReady);
}

// A heartbeat is held up by a cut of the network, its sender crashes, and a new
// process registers at the address. When the old heartbeat arrives after all,
// requests that name the old process would be refused by the new one.
Test(upstream_lease, a_late_heartbeat_of_an_earlier_process_changes_nothing) {
  UpstreamLease lease;
  (void)OnHeartbeat(lease, MakeHeartbeat("i-2", 9000, 1), kStart);
  cr_assert(OnHeartbeat(lease, MakeHeartbeat("i-1", 5000, 77),
                        kStart + Ms(10)) == HeartbeatResult::kStale);
  cr_assert_str_eq(lease.current->instance.c_str(), "i-2");
}

// A process starts again under the name that it had, and its count begins
// anew. Taken for late ones, its heartbeats would never count again.
Test(upstream_lease, a_restart_under_the_same_name_is_accepted) {
  UpstreamLease lease;
  (void)OnHeartbeat(lease, MakeHeartbeat("i-1", 5000, 40), kStart);
  cr_assert(OnHeartbeat(lease, MakeHeartbeat("i-1", 8000, 1),
                        kStart + Ms(10)) == HeartbeatResult::kAccepted);
  cr_assert(lease.current->sequence == 1);
}

// The same without a time of birth: after the address has refused connections
// a lower number means a new process.
Test(upstream_lease, a_restart_without_start_time_is_accepted_after_a_loss) {
  UpstreamLease lease;
  (void)OnHeartbeat(lease, MakeHeartbeat("i-1", 0, 40), kStart);
  cr_assert(OnHeartbeat(lease, MakeHeartbeat("i-1", 0, 1), kStart + Ms(10)) ==
            HeartbeatResult::kStale);
  OnUpstreamUnreachable(lease);
  cr_assert(OnHeartbeat(lease, MakeHeartbeat("i-1", 0, 2), kStart + Ms(20)) ==
            HeartbeatResult::kAccepted);
}

// The answer to a heartbeat is lost, and the upstream sends the same again.
Test(upstream_lease, a_duplicate_heartbeat_is_accepted) {
  UpstreamLease lease;
  (void)OnHeartbeat(lease, MakeHeartbeat("i-1", 5, 3), kStart);
  cr_assert(OnHeartbeat(lease, MakeHeartbeat("i-1", 5, 3), kStart + Ms(900)) ==
            HeartbeatResult::kAccepted);
}

// An upstream said that it leaves, and was told that this is known. A heartbeat
// that overtook that one must not send it work again.
Test(upstream_lease, leaving_is_final_for_one_process) {
  UpstreamLease lease;
  UpstreamHeartbeat heartbeat = MakeHeartbeat("i-1", 5, 3);
  heartbeat.leaving = true;
  (void)OnHeartbeat(lease, heartbeat, kStart);
  cr_assert(OnHeartbeat(lease, MakeHeartbeat("i-1", 5, 4), kStart + Ms(10)) ==
            HeartbeatResult::kAlreadyLeaving);
  cr_assert(StateOf(lease, kStart + Ms(10)) == LeaseState::kLeaving);
  cr_assert(OnHeartbeat(lease, MakeHeartbeat("i-2", 6, 1), kStart + Ms(20)) ==
            HeartbeatResult::kAccepted);
  cr_assert(StateOf(lease, kStart + Ms(20)) == LeaseState::kReady);
}

Test(upstream_lease, only_the_process_itself_can_leave) {
  UpstreamLease lease;
  (void)OnHeartbeat(lease, MakeHeartbeat("i-1", 5, 3), kStart);
  cr_assert_not(OnLeave(lease, "i-0", 0, kStart));
  cr_assert_not(OnLeave(lease, "i-1", 4, kStart));
  cr_assert(StateOf(lease, kStart) == LeaseState::kReady);
  cr_assert(OnLeave(lease, "i-1", 0, kStart));
  cr_assert(StateOf(lease, kStart) == LeaseState::kLeaving);
}

// Its port takes no connection: it has crashed. Requests go elsewhere until a
// heartbeat shows that it is back.
Test(upstream_lease, a_refused_connection_counts_until_the_next_heartbeat) {
  UpstreamLease lease;
  (void)OnHeartbeat(lease, MakeHeartbeat("i-1", 5, 3), kStart);
  OnUpstreamUnreachable(lease);
  cr_assert(StateOf(lease, kStart + Ms(1)) == LeaseState::kLost);
  (void)OnHeartbeat(lease, MakeHeartbeat("i-1", 9, 1), kStart + Ms(2));
  cr_assert(StateOf(lease, kStart + Ms(2)) == LeaseState::kReady);
}

}  // namespace
}  // namespace teaselspread
