#include "teaselspread/upstream_lease.h"

#include <algorithm>
#include <array>
#include <utility>

namespace teaselspread {
namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(HeartbeatResult::kCount)>
    kResultNames = {"taken", "stale", "already-leaving", "unconfirmed"};
constexpr std::array<std::string_view, 4> kStateNames = {"none", "ready",
                                                         "leaving", "lost"};

// Enough for the processes whose late heartbeats may still arrive.
constexpr std::size_t kMaxLeftProcesses = 8;
// Maximum delay of a heartbeat. After it, a heartbeat with the name of a
// process that left comes from another process.
constexpr Duration kMaxHeartbeatDelay = std::chrono::seconds(10);

bool SameProcess(const UpstreamHeartbeat& a, const UpstreamHeartbeat& b) {
  return a.instance == b.instance && a.born_ms == b.born_ms;
}

// Processes that do not report their start time are distinguished by name only,
// and the later call wins.
bool IsOlderProcess(const UpstreamHeartbeat& heartbeat,
                    const UpstreamHeartbeat& held) {
  return heartbeat.born_ms != 0 && held.born_ms != 0 &&
         heartbeat.born_ms < held.born_ms;
}

// A leave call may give no start time. The process that left is then the first
// one of that name with a heartbeat after its first, since the sequence of a
// new process starts at 1.
bool HasLeft(UpstreamLease& lease,
             const UpstreamHeartbeat& heartbeat,
             TimePoint now) {
  for (LeftProcess& process : lease.left_processes) {
    if (process.instance != heartbeat.instance ||
        now - process.left_at > kMaxHeartbeatDelay)
      continue;
    // One known from its health check alone may be the process that left.
    if (heartbeat.sequence == 0 && heartbeat.born_ms == 0)
      return true;
    if (process.born_ms == 0 && heartbeat.sequence > 1)
      process.born_ms = heartbeat.born_ms;
    if (process.born_ms == heartbeat.born_ms)
      return true;
  }
  return false;
}

bool NeedsConfirmation(const UpstreamLease& lease,
                       const UpstreamHeartbeat& heartbeat,
                       TimePoint now) {
  return !heartbeat.leaving && now < lease.confirm_until &&
         heartbeat.instance != lease.confirmed_instance;
}

void KeepUnconfirmed(UpstreamLease& lease, const UpstreamHeartbeat& heartbeat) {
  const auto& kept = lease.unconfirmed;
  const bool is_late =
      kept &&
      (IsOlderProcess(heartbeat, *kept) ||
       (SameProcess(heartbeat, *kept) && heartbeat.sequence < kept->sequence));
  if (!is_late)
    lease.unconfirmed = heartbeat;
}

}  // namespace

void RequireConfirmation(UpstreamLease& lease, TimePoint now) {
  lease.confirm_until = now + kMaxHeartbeatDelay;
}

std::optional<UpstreamHeartbeat> ConfirmReady(UpstreamLease& lease,
                                              std::string_view instance) {
  lease.confirmed_instance = instance;
  auto waiting = std::exchange(lease.unconfirmed, std::nullopt);
  if (waiting && waiting->instance != instance)
    waiting.reset();
  return waiting;
}

std::string_view NameOf(HeartbeatResult result) {
  return kResultNames.at(static_cast<std::size_t>(result));
}

std::string_view NameOf(LeaseState state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

HeartbeatResult ApplyHeartbeat(UpstreamLease& lease,
                               const UpstreamHeartbeat& heartbeat,
                               TimePoint now) {
  if (!heartbeat.leaving && HasLeft(lease, heartbeat, now))
    return HeartbeatResult::kAlreadyLeaving;
  if (NeedsConfirmation(lease, heartbeat, now)) {
    KeepUnconfirmed(lease, heartbeat);
    return HeartbeatResult::kUnconfirmed;
  }
  // A heartbeat that was sent before its process crashed may arrive after it. A
  // process that has restarted under that name is slow.
  const bool may_be_late = lease.refused_connection && lease.current &&
                           SameProcess(heartbeat, *lease.current);
  if (lease.current) {
    UpstreamHeartbeat& held = *lease.current;
    // A process that is leaving, and known from its health check alone, has no
    // start time yet. If its next heartbeat counted as that of a new process,
    // the leaving one would get requests again.
    if (held.leaving && held.born_ms == 0 &&
        held.instance == heartbeat.instance && heartbeat.sequence > 1)
      held.born_ms = heartbeat.born_ms;
    if (IsOlderProcess(heartbeat, held))
      return HeartbeatResult::kStale;
    if (SameProcess(heartbeat, held)) {
      // A heartbeat whose response was lost is sent again with the same number.
      // One with a lower number is late, unless the process may have restarted
      // under its name without reporting its start time.
      const bool may_be_new =
          heartbeat.born_ms == 0 && StateOf(lease, now) == LeaseState::kLost;
      if (heartbeat.sequence < held.sequence && !may_be_new)
        return HeartbeatResult::kStale;
      if (held.leaving && !heartbeat.leaving)
        return HeartbeatResult::kAlreadyLeaving;
    }
  }
  lease.current = heartbeat;
  lease.unconfirmed.reset();
  lease.renewed_at = now;
  lease.refused_connection = false;
  lease.warm_at.reset();
  if (heartbeat.warm_up_remaining && !may_be_late)
    lease.warm_at = now + *heartbeat.warm_up_remaining;
  return HeartbeatResult::kAccepted;
}

bool OnLeave(UpstreamLease& lease,
             std::string_view instance,
             std::int64_t born_ms,
             TimePoint now) {
  const std::int64_t held = lease.current ? lease.current->born_ms : 0;
  const bool holds = lease.current && lease.current->instance == instance &&
                     (born_ms == 0 || held == 0 || born_ms == held);
  if (holds) {
    lease.current->leaving = true;
    return true;
  }
  lease.left_processes.push_back({std::string(instance), born_ms, now});
  if (lease.left_processes.size() > kMaxLeftProcesses)
    lease.left_processes.pop_front();
  return false;
}

bool HasAnnouncedLeave(const UpstreamLease& lease, std::string_view instance) {
  if (lease.current && lease.current->instance == instance)
    return lease.current->leaving;
  return std::any_of(lease.left_processes.begin(), lease.left_processes.end(),
                     [instance](const LeftProcess& process) {
                       return process.instance == instance;
                     });
}

bool KnowsLeave(const UpstreamLease& lease,
                std::string_view instance,
                std::int64_t born_ms) {
  const auto& held = lease.current;
  if (held && held->leaving && held->instance == instance &&
      (held->born_ms == born_ms || held->born_ms == 0 || born_ms == 0))
    return true;
  return std::any_of(lease.left_processes.begin(), lease.left_processes.end(),
                     [&](const LeftProcess& process) {
                       return process.instance == instance &&
                              process.born_ms == born_ms;
                     });
}

bool IsAnotherProcess(const UpstreamHeartbeat& before,
                      const UpstreamHeartbeat& after) {
  return before.instance != after.instance ||
         (before.born_ms != 0 && before.born_ms != after.born_ms);
}

void OnUpstreamResponse(UpstreamLease& lease, TimePoint now) {
  lease.renewed_at = now;
}

void OnUpstreamUnreachable(UpstreamLease& lease) {
  lease.refused_connection = true;
}

LeaseState StateOf(const UpstreamLease& lease, TimePoint now) {
  if (!lease.current)
    return LeaseState::kNone;
  if (lease.current->leaving)
    return LeaseState::kLeaving;
  if (lease.refused_connection || now >= ExpiryOf(lease))
    return LeaseState::kLost;
  return LeaseState::kReady;
}

void ForgetWarmUp(UpstreamLease& lease) {
  lease.warm_at.reset();
}

TimePoint SlowUntil(const UpstreamLease& lease, TimePoint now) {
  return lease.warm_at.value_or(now + lease.settings.heartbeat_interval);
}

TimePoint ExpiryOf(const UpstreamLease& lease) {
  if (!lease.current)
    return TimePoint{};
  return lease.renewed_at + lease.settings.heartbeat_interval *
                                (lease.settings.max_missed_heartbeats + 1);
}

}  // namespace teaselspread
