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
  const bool is_it = found != group->targets.end() && found->id == id;
  return is_it ? &*found : nullptr;
}

bool MayGetWork(const Member& member, std::string_view data_center) {
  return member.status == MemberStatus::kAlive &&
         member.upstream.state == UpstreamState::kReady &&
         member.data_center == data_center && member.upstream.slots > 0;
}

Target MakeTarget(const Member& member, Duration warm_up, bool own) {
  Target target;
  target.id = member.id;
  target.http = member.http;
  target.own = own;
  target.slots = member.upstream.slots;
  target.ready_since = member.upstream.ready_since;
  target.warm_up = warm_up;
  return target;
}

// A new ready_since is a new process: what is known of the old one's faults
// says nothing of it. Requests in flight go on being counted.
void KeepWhatIsKnown(Target& target, const Target& before) {
  target.in_flight = before.in_flight;
  if (target.ready_since != before.ready_since)
    return;
  target.others_load = before.others_load;
  target.load_seen = before.load_seen;
  target.failure_share = before.failure_share;
  target.latency_us = before.latency_us;
  target.answered = before.answered;
  target.failures_in_row = before.failures_in_row;
  target.ejections_in_row = before.ejections_in_row;
  target.ejected_until = before.ejected_until;
}

// Sorted, so that an answer finds its target among thousands quickly.
void SortById(TargetGroup& group) {
  std::sort(group.targets.begin(), group.targets.end(),
            [](const Target& a, const Target& b) { return a.id < b.id; });
  const auto own =
      std::find_if(group.targets.begin(), group.targets.end(),
                   [](const Target& target) { return target.own; });
  if (own != group.targets.end())
    group.own = static_cast<int>(own - group.targets.begin());
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

// A return that failed, or enough failures in a row.
bool IsFaulty(const EjectionSettings& settings, const Target& target) {
  if (target.ejections_in_row > 0)
    return true;
  return target.failures_in_row >= settings.consecutive_failures;
}

bool MayEjectOneMore(const EjectionSettings& settings,
                     const TargetGroup& group,
                     TimePoint now) {
  const auto out = std::count_if(
      group.targets.begin(), group.targets.end(),
      [now](const Target& target) { return IsEjected(target, now); });
  const double allowed =
      settings.max_share * static_cast<double>(group.targets.size());
  return static_cast<double>(out + 1) <= allowed;
}

void Eject(const EjectionSettings& settings, Target& target, TimePoint now) {
  constexpr int kMostDoublings = 10;
  const int doublings = std::min(target.ejections_in_row, kMostDoublings);
  const Duration time = settings.base_time * (1 << doublings);
  target.ejected_until = now + std::min(time, settings.longest_time);
  ++target.ejections_in_row;
  target.failures_in_row = 0;
}

void CountFailure(const EjectionSettings& settings,
                  TargetGroup& group,
                  Target& target,
                  int weight,
                  TimePoint now) {
  target.failures_in_row += weight;
  if (IsEjected(target, now) || !IsFaulty(settings, target))
    return;
  if (MayEjectOneMore(settings, group, now))
    Eject(settings, target, now);
}

// Answers to requests sent before an ejection may still be good; they do not
// show that the target has recovered.
void CountGoodAnswer(Target& target, TimePoint now) {
  target.failures_in_row = 0;
  if (!IsEjected(target, now))
    target.ejections_in_row = 0;
}

// A failure's time is left out: one that fails at once is not quick.
void LearnFromAnswer(Target& target,
                     AnswerKind kind,
                     Duration took,
                     TimePoint now) {
  constexpr double kNewest = 0.1;
  const double failed = kind == AnswerKind::kGood ? 0 : 1;
  target.failure_share += kNewest * (failed - target.failure_share);
  target.answered = now;
  if (kind != AnswerKind::kGood || took <= Duration{})
    return;
  const auto took_us = static_cast<double>(took.count());
  if (target.latency_us == 0)
    target.latency_us = took_us;
  target.latency_us += kNewest * (took_us - target.latency_us);
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
    if (!MayGetWork(member, data_center))
      continue;
    const Announcement& upstream = member.upstream;
    const auto config = snapshot.services.find(upstream.service);
    const Duration warm_up =
        config == snapshot.services.end() ? Duration{} : config->second.warm_up;
    Target target = MakeTarget(member, warm_up, member.id == own_id);
    if (const auto known = before.find(member.id); known != before.end())
      KeepWhatIsKnown(target, *known->second);
    services[upstream.service][upstream.version].targets.push_back(
        std::move(target));
  }
  for (auto& [service, versions] : services) {
    for (auto& [version, group] : versions)
      SortById(group);
  }
  table.services = std::move(services);
}

void OnSent(UpstreamTable& table,
            std::string_view service,
            std::string_view version,
            std::string_view id) {
  if (Target* target = FindTarget(FindGroup(table, service, version), id))
    ++target->in_flight;
}

void OnAnswer(UpstreamTable& table,
              std::string_view service,
              std::string_view version,
              std::string_view id,
              AnswerKind kind,
              int load,
              TimePoint now,
              Duration took) {
  TargetGroup* group = FindGroup(table, service, version);
  Target* target = FindTarget(group, id);
  if (target == nullptr)
    return;
  target->in_flight = std::max(0, target->in_flight - 1);
  if (load >= 0) {
    target->others_load = std::max(0, load - target->in_flight);
    target->load_seen = now;
  }
  if (kind != AnswerKind::kShed)
    LearnFromAnswer(*target, kind, took, now);
  if (kind == AnswerKind::kGood)
    CountGoodAnswer(*target, now);
  if (kind == AnswerKind::kFailed)
    CountFailure(table.ejection, *group, *target, 1, now);
  if (kind == AnswerKind::kTimedOut) {
    CountFailure(table.ejection, *group, *target, table.ejection.timeout_weight,
                 now);
  }
}

bool IsEjected(const Target& target, TimePoint now) {
  return now < target.ejected_until;
}

}  // namespace teaselspread
