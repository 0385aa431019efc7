// State of an upstream as the node beside it sees it, derived from the
// upstream's heartbeats, its leave call and the outcome of connections to it.
//
// Pure: the caller passes the time in. Nothing here is thread safe.
#ifndef TEASELSPREAD_UPSTREAM_LEASE_H_
#define TEASELSPREAD_UPSTREAM_LEASE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "teaselspread/types.h"

namespace teaselspread {

// One heartbeat, decoded and validated.
struct UpstreamHeartbeat {
  // Identity of the process; it may or may not change with a restart.
  std::string instance;
  std::string service;
  std::string version;
  int slots = 0;
  bool leaving = false;
  // Increases with each heartbeat of one process.
  std::uint64_t sequence = 0;
  // Wall-clock time in milliseconds at which the process started; distinguishes
  // processes of the same identity. 0 when not given.
  std::int64_t born_ms = 0;
  // Remaining time for which the process is slow after its start; none if it
  // did not say.
  std::optional<Duration> warm_up_remaining;
};

enum class HeartbeatResult : std::uint8_t {
  kAccepted,
  // Older than one accepted before, or from an earlier process.
  kStale,
  // The process has announced that it leaves, which is final.
  kAlreadyLeaving,
  // It counts once the process has confirmed that it is ready (ConfirmReady).
  kUnconfirmed,
  kCount,
};

// Stable name for logs and metrics. Thread safe.
[[nodiscard]] std::string_view NameOf(HeartbeatResult result);

enum class LeaseState : std::uint8_t { kNone, kReady, kLeaving, kLost };

// Stable name for logs and metrics. Thread safe.
[[nodiscard]] std::string_view NameOf(LeaseState state);

struct LeaseSettings {
  // Approximate interval between heartbeats.
  Duration heartbeat_interval = std::chrono::milliseconds(1500);
  // Consecutive heartbeats that may be missing. They may be seconds late, and a
  // process that responds to requests renews its lease with each response.
  int max_missed_heartbeats = 3;
};

// A process that has announced that it leaves.
struct LeftProcess {
  std::string instance;
  // 0 until a heartbeat has identified the process of that name.
  std::int64_t born_ms = 0;
  TimePoint left_at;
};

struct UpstreamLease {
  LeaseSettings settings;
  std::optional<UpstreamHeartbeat> current;
  // Recent processes that left without holding the lease. A restarted node does
  // not know the upstream whose leave it acknowledges, and a heartbeat sent
  // before the leave may arrive after it. If that counted as a new process, the
  // leaving one would get requests until it ends.
  std::deque<LeftProcess> left_processes;
  // Time of the last heartbeat or successful response.
  TimePoint renewed_at;
  // Its address refused a connection; a newer heartbeat resets this.
  bool refused_connection = false;
  // When the process stops being slow after its start; none while that is not
  // known.
  std::optional<TimePoint> warm_at;
  // Until then a heartbeat that says ready needs a confirmation; see
  // RequireConfirmation.
  TimePoint confirm_until;
  // The process that has confirmed last that it is ready.
  std::string confirmed_instance;
  // The newest heartbeat that waits for a confirmation.
  std::optional<UpstreamHeartbeat> unconfirmed;
};

// To be called when the node starts. It does not know whether the upstream
// announced to its predecessor that it leaves, and a heartbeat that was sent
// before that may still arrive. So for the maximum delay of a heartbeat, one
// that says ready counts only once the process has confirmed that it is.
void RequireConfirmation(UpstreamLease& lease, TimePoint now);

// The process that listens says now that it is ready. Returns its heartbeat
// that waited for this, to be applied again. One of another process waits no
// longer.
[[nodiscard]] std::optional<UpstreamHeartbeat> ConfirmReady(
    UpstreamLease& lease,
    std::string_view instance);

// Processes one heartbeat. A late one of an earlier process at the same address
// must not restore that process: its requests would reach another process.
[[nodiscard]] HeartbeatResult ApplyHeartbeat(UpstreamLease& lease,
                                             const UpstreamHeartbeat& heartbeat,
                                             TimePoint now);

// Records that the process `instance` leaves, whether it is known or not.
// `born_ms` of 0 matches any process of that name that holds the lease. Returns
// false when it does not hold the lease.
bool OnLeave(UpstreamLease& lease,
             std::string_view instance,
             std::int64_t born_ms,
             TimePoint now);

// Whether the process `instance` that holds the lease, or a recent one of that
// name, has announced that it leaves.
[[nodiscard]] bool HasAnnouncedLeave(const UpstreamLease& lease,
                                     std::string_view instance);
// Whether OnLeave with these arguments would change nothing.
[[nodiscard]] bool KnowsLeave(const UpstreamLease& lease,
                              std::string_view instance,
                              std::int64_t born_ms);

// Whether the heartbeats come from different processes. One known from its
// health check alone has no start time yet. Thread safe.
[[nodiscard]] bool IsAnotherProcess(const UpstreamHeartbeat& before,
                                    const UpstreamHeartbeat& after);

// The upstream responded to a request that named it.
void OnUpstreamResponse(UpstreamLease& lease, TimePoint now);

// The upstream refused a connection, or another process responded in its place.
void OnUpstreamUnreachable(UpstreamLease& lease);

[[nodiscard]] LeaseState StateOf(const UpstreamLease& lease, TimePoint now);

// The process may have become slow again: it may have restarted under its name,
// or was out of service. It counts as slow until its next heartbeat.
void ForgetWarmUp(UpstreamLease& lease);

// Until when the process counts as slow after its start. While that is not
// known, it is the time at which the next heartbeat is due at the latest.
[[nodiscard]] TimePoint SlowUntil(const UpstreamLease& lease, TimePoint now);

// When the lease expires if not renewed; the epoch when none is held.
[[nodiscard]] TimePoint ExpiryOf(const UpstreamLease& lease);

}  // namespace teaselspread

#endif  // TEASELSPREAD_UPSTREAM_LEASE_H_
