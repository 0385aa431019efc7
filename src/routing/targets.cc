#include <algorithm>
#include <unordered_map>
#include <utility>

#include "teaselspread/routing.h"

namespace teaselspread {
namespace {

TargetGroup* FindGroup(UpstreamTable& table,
                       std::string_view service,
                       std::string_view version) {
  const auto versions = table.services.find(service);
  if (versions == table.services.end())
    return nullptr;
  const auto group = versions->second.find(version);
  return group == versions->second.end() ? nullptr : &group->second;
}

Target* FindTarget(TargetGroup* group, std::string_view id) {
  if (group == nullptr)
    return nullptr;
  const auto found =
      std::lower_bound(group->targets.begin(), group->targets.end(), id,
                       [](const Target& target, std::string_view wanted) {
                         return target.id < wanted;
                       });
  const bool matches = found != group->targets.end() && found->id == id;
  return matches ? &*found : nullptr;
}

bool IsEligible(const Member& member, std::string_view data_center) {
  return member.status == MemberStatus::kAlive &&
         member.upstream.state == UpstreamState::kReady &&
         member.data_center == data_center && member.upstream.slots > 0;
}

Target MakeTarget(const Member& member, Duration warm_up, bool own) {
  Target target;
  target.id = member.id;
  target.http = member.http;
  target.is_own = own;
  target.slots = member.upstream.slots;
  target.ready_since = member.upstream.ready_since;
  target.warm_up = warm_up;
  return target;
}

// A new ready_since means a new process, to which the failures of the old one
// do not apply. Requests in flight are still counted.
void CopyKnownState(Target& target, const Target& before) {
  target.in_flight = before.in_flight;
  if (target.ready_since != before.ready_since)
    return;
  target.other_nodes_load = before.other_nodes_load;
  target.load_reported_at = before.load_reported_at;
  target.failure_ratio = before.failure_ratio;
  target.latency_us = before.latency_us;
  target.last_response_at = before.last_response_at;
  target.consecutive_failures = before.consecutive_failures;
  target.consecutive_ejections = before.consecutive_ejections;
  target.ejected_until = before.ejected_until;
}

// Allows a response's target to be found by binary search among thousands.
void SortById(TargetGroup& group) {
  std::sort(group.targets.begin(), group.targets.end(),
            [](const Target& a, const Target& b) { return a.id < b.id; });
  const auto own =
      std::find_if(group.targets.begin(), group.targets.end(),
                   [](const Target& target) { return target.is_own; });
  if (own != group.targets.end())
    group.own_index = static_cast<int>(own - group.targets.begin());
}

using TargetIndex = std::unordered_map<std::string_view, const Target*>;

TargetIndex IndexOf(const UpstreamTable& table) {
  TargetIndex index;
  for (const auto& [service, versions] : table.services) {
    for (const auto& [version, group] : versions) {
      for (const Target& target : group.targets)
        index.emplace(target.id, &target);
    }
  }
  return index;
}

// True after a failure that follows an ejection, or after enough consecutive
// failures.
bool IsFaulty(const EjectionSettings& settings, const Target& target) {
  if (target.consecutive_ejections > 0)
    return true;
  return target.consecutive_failures >= settings.consecutive_failures;
}

bool MayEjectOneMore(const EjectionSettings& settings,
                     const TargetGroup& group,
                     TimePoint now) {
  const auto ejected = std::count_if(
      group.targets.begin(), group.targets.end(),
      [now](const Target& target) { return IsEjected(target, now); });
  const double allowed =
      settings.max_ejected_fraction * static_cast<double>(group.targets.size());
  return static_cast<double>(ejected + 1) <= allowed;
}

void Eject(const EjectionSettings& settings, Target& target, TimePoint now) {
  constexpr int kMaxDoublings = 10;
  const int doublings = std::min(target.consecutive_ejections, kMaxDoublings);
  const Duration ejection_time = settings.base_ejection_time * (1 << doublings);
  target.ejected_until =
      now + std::min(ejection_time, settings.max_ejection_time);
  ++target.consecutive_ejections;
  target.consecutive_failures = 0;
}

void CountFailure(const EjectionSettings& settings,
                  TargetGroup& group,
                  Target& target,
                  int weight,
                  TimePoint now) {
  target.consecutive_failures += weight;
  if (IsEjected(target, now) || !IsFaulty(settings, target))
    return;
  if (MayEjectOneMore(settings, group, now))
    Eject(settings, target, now);
}

// Responses to requests sent before an ejection may still succeed; they do not
// show that the target has recovered.
void CountSuccess(Target& target, TimePoint now) {
  target.consecutive_failures = 0;
  if (!IsEjected(target, now))
    target.consecutive_ejections = 0;
}

// The time of a failure is ignored: a target that fails at once is not fast.
void UpdateAverages(Target& target,
                    ResponseKind kind,
                    Duration response_time,
                    TimePoint now) {
  constexpr double kNewestWeight = 0.1;
  const double failed = kind == ResponseKind::kSucceeded ? 0 : 1;
  target.failure_ratio += kNewestWeight * (failed - target.failure_ratio);
  target.last_response_at = now;
  if (kind != ResponseKind::kSucceeded || response_time <= Duration{})
    return;
  const auto response_time_us = static_cast<double>(response_time.count());
  if (target.latency_us == 0)
    target.latency_us = response_time_us;
  target.latency_us += kNewestWeight * (response_time_us - target.latency_us);
}

}  // namespace

void UpdateTargets(UpstreamTable& table,
                   const Snapshot& snapshot,
                   std::span<const Member> members,
                   std::string_view own_id,
                   std::string_view data_center) {
  const TargetIndex before = IndexOf(table);
  decltype(table.services) services;
  for (const Member& member : members) {
    if (!IsEligible(member, data_center))
      continue;
    const Announcement& upstream = member.upstream;
    const auto config = snapshot.services.find(upstream.service);
    const Duration warm_up =
        config == snapshot.services.end() ? Duration{} : config->second.warm_up;
    Target target = MakeTarget(member, warm_up, member.id == own_id);
    if (const auto known = before.find(member.id); known != before.end())
      CopyKnownState(target, *known->second);
    services[upstream.service][upstream.version].targets.push_back(
        std::move(target));
  }
  for (auto& [service, versions] : services) {
    for (auto& [version, group] : versions)
      SortById(group);
  }
  table.services = std::move(services);
}

void OnRequestSent(UpstreamTable& table,
                   std::string_view service,
                   std::string_view version,
                   std::string_view id) {
  if (Target* target = FindTarget(FindGroup(table, service, version), id))
    ++target->in_flight;
}

void OnResponse(UpstreamTable& table,
                std::string_view service,
                std::string_view version,
                std::string_view id,
                ResponseKind kind,
                int load,
                TimePoint now,
                Duration response_time) {
  TargetGroup* group = FindGroup(table, service, version);
  Target* target = FindTarget(group, id);
  if (target == nullptr)
    return;
  target->in_flight = std::max(0, target->in_flight - 1);
  if (load >= 0) {
    target->other_nodes_load = std::max(0, load - target->in_flight);
    target->load_reported_at = now;
  }
  if (kind != ResponseKind::kShed)
    UpdateAverages(*target, kind, response_time, now);
  if (kind == ResponseKind::kSucceeded)
    CountSuccess(*target, now);
  if (kind == ResponseKind::kFailed)
    CountFailure(table.ejection, *group, *target, 1, now);
  if (kind == ResponseKind::kTimedOut) {
    CountFailure(table.ejection, *group, *target, table.ejection.timeout_weight,
                 now);
  }
}

bool IsEjected(const Target& target, TimePoint now) {
  return now < target.ejected_until;
}

}  // namespace teaselspread
