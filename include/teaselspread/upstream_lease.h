// What the node beside an upstream believes of it: from the upstream's own
// heartbeats, its leave call and what happens on its connections.
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

// One heartbeat, checked and decoded.
struct UpstreamHeartbeat {
  // Identity of the process; a restart may or may not keep it.
  std::string instance;
  std::string service;
  std::string version;
  int slots = 0;
  bool leaving = false;
  // Rises with each heartbeat of one process.
  std::uint64_t sequence = 0;
  // Milliseconds of the time of day at which the process started; tells two
  // processes of one identity apart. 0 when it was not told.
  std::int64_t born_ms = 0;
  // How much longer the process is slow after its start.
  Duration warm_up_remaining{};
};

enum class HeartbeatResult : std::uint8_t {
  kAccepted,
  // Sent before one that was taken already, or by a process that is gone.
  kStale,
  // The process has said that it leaves and cannot take that back.
  kAlreadyLeaving,
  kCount,
};

// Stable name for logs and metrics. Thread safe.
[[nodiscard]] std::string_view NameOf(HeartbeatResult result);

enum class LeaseState : std::uint8_t { kNone, kReady, kLeaving, kLost };

// Stable name for logs and metrics. Thread safe.
[[nodiscard]] std::string_view NameOf(LeaseState state);

struct LeaseSettings {
  // Heartbeats come at about this interval.
  Duration heartbeat_interval = std::chrono::milliseconds(1500);
  // Heartbeats that may be missing in a row. They may be seconds late, and a
  // process that answers requests renews its lease with each answer.
  int max_missed_heartbeats = 3;
};

// A process that has said that it leaves.
struct LeftProcess {
  std::string instance;
  // 0 until a heartbeat has shown which process of that name it was.
  std::int64_t born_ms = 0;
  TimePoint left_at;
};

struct UpstreamLease {
  LeaseSettings settings;
  std::optional<UpstreamHeartbeat> current;
  // The last ones that left without holding the lease. A node that was
  // restarted does not know the upstream whose leave it acknowledges, and a
  // heartbeat sent before the leave may come after it: taken for a new process,
  // it would get requests until it ends.
  std::deque<LeftProcess> left_processes;
  // When the last heartbeat or good answer came.
  TimePoint renewed_at;
  // Its address took no connection; a newer heartbeat ends this.
  bool refused_connection = false;
  // When the process stops being slow after its start.
  TimePoint warm_at;
};

// Takes in one heartbeat. A late one of an earlier process at the same address
// must not bring that process back: requests would go to a stranger.
[[nodiscard]] HeartbeatResult OnHeartbeat(UpstreamLease& lease,
                                          const UpstreamHeartbeat& heartbeat,
                                          TimePoint now);

// The process `instance` leaves, whether it is known or not. `born_ms` of 0
// fits any process of that name that holds the lease. False when it does not
// hold the lease.
bool OnLeave(UpstreamLease& lease,
             std::string_view instance,
             std::int64_t born_ms,
             TimePoint now);

// It answered a request that named it.
void OnUpstreamResponse(UpstreamLease& lease, TimePoint now);

// It took no connection, or another process answered in its place.
void OnUpstreamUnreachable(UpstreamLease& lease);

[[nodiscard]] LeaseState StateOf(const UpstreamLease& lease, TimePoint now);

// When the lease runs out by itself; the epoch when none is held.
[[nodiscard]] TimePoint ExpiryOf(const UpstreamLease& lease);

}  // namespace teaselspread

#endif  // TEASELSPREAD_UPSTREAM_LEASE_H_
