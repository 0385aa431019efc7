#include <algorithm>

#include "teaselspread/routing.h"

namespace teaselspread {
namespace {

// Age at which the load that a response reported counts half, since requests
// that other nodes sent before have been served meanwhile.
constexpr Duration kLoadHalfLife = std::chrono::milliseconds(50);
// Reported load older than this is ignored. A remnant, however small, would
// make a target lose every comparison with an idle one that never reported any.
constexpr Duration kMaxLoadAge = std::chrono::seconds(1);
// Age at which failure ratio and latency count half.
constexpr Duration kResponseHalfLife = std::chrono::seconds(5);
constexpr double kMinWeight = 0.1;
// Maximum draws before a full scan. With the cap on ejections two thirds of a
// group are usable, so eight draws all miss once in 6,561 times.
constexpr int kMaxDraws = 8;

double Decay(Duration age, Duration half_life) {
  const auto half = static_cast<double>(half_life.count());
  return half / (half + std::max(0.0, static_cast<double>(age.count())));
}

double OtherNodesLoad(const Target& target, TimePoint now) {
  if (now - target.load_reported_at > kMaxLoadAge)
    return 0;
  return target.other_nodes_load *
         Decay(now - target.load_reported_at, kLoadHalfLife);
}

double Score(const ChoiceSettings& settings,
             const Target& target,
             TimePoint now) {
  const double load = target.in_flight + OtherNodesLoad(target, now) + 1;
  const double failures =
      target.failure_ratio *
      Decay(now - target.last_response_at, kResponseHalfLife) *
      settings.failure_weight;
  return load * (1 + failures) / (target.slots * WarmUpWeight(target, now));
}

// Latency of `target` relative to `other`, decaying towards 1 with its age; 1
// unless both are known.
double LatencyRatio(const ChoiceSettings& settings,
                    const Target& target,
                    const Target& other,
                    TimePoint now) {
  if (!settings.by_latency || target.latency_us == 0 || other.latency_us == 0)
    return 1;
  const double ratio = target.latency_us / other.latency_us;
  return 1 +
         (ratio - 1) * Decay(now - target.last_response_at, kResponseHalfLife);
}

bool IsBetter(const ChoiceSettings& settings,
              const Target& target,
              const Target& other,
              TimePoint now) {
  return Score(settings, target, now) *
             LatencyRatio(settings, target, other, now) <
         Score(settings, other, now);
}

bool IsUsable(const Target& target,
              std::span<const std::string> excluded,
              TimePoint now) {
  if (IsEjected(target, now))
    return false;
  return std::find(excluded.begin(), excluded.end(), target.id) ==
         excluded.end();
}

// While it warms up, the own upstream counts with fewer slots, too.
bool OwnHasFreeSlot(const UpstreamTable& table,
                    const Target& own,
                    TimePoint now) {
  return table.own_load < own.slots * WarmUpWeight(own, now);
}

const Target* DrawTarget(const ChoiceSettings& settings,
                         const TargetGroup& group,
                         std::span<const std::string> excluded,
                         TimePoint now,
                         Rng& rng) {
  for (int i = 0; i < kMaxDraws; ++i) {
    const Target& target = group.targets[rng() % group.targets.size()];
    if (IsUsable(target, excluded, now))
      return &target;
  }
  const Target* best = nullptr;
  for (const Target& target : group.targets) {
    if (!IsUsable(target, excluded, now))
      continue;
    if (best == nullptr || IsBetter(settings, target, *best, now))
      best = &target;
  }
  return best;
}

const TargetGroup* FindGroup(const UpstreamTable& table,
                             std::string_view service,
                             std::string_view version) {
  const auto versions = table.services.find(service);
  if (versions == table.services.end())
    return nullptr;
  const auto group = versions->second.find(version);
  return group == versions->second.end() ? nullptr : &group->second;
}

}  // namespace

double WarmUpWeight(const Target& target, TimePoint now) {
  if (target.warm_up <= Duration{})
    return 1.0;
  const auto age = static_cast<double>((now - target.ready_since).count());
  const double fraction = age / static_cast<double>(target.warm_up.count());
  return std::clamp(fraction, kMinWeight, 1.0);
}

Result<const Target*> ChooseUpstream(const UpstreamTable& table,
                                     std::string_view service,
                                     std::string_view version,
                                     std::span<const std::string> excluded,
                                     TimePoint now,
                                     Rng& rng) {
  const TargetGroup* group = FindGroup(table, service, version);
  if (group == nullptr || group->targets.empty())
    return Fail(ErrorKind::kNoUpstream, "no ready upstream of this version");
  if (group->own_index >= 0) {
    const Target& own =
        group->targets[static_cast<std::size_t>(group->own_index)];
    if (IsUsable(own, excluded, now) && OwnHasFreeSlot(table, own, now))
      return &own;
  }
  const Target* first = DrawTarget(table.choice, *group, excluded, now, rng);
  if (first == nullptr)
    return Fail(ErrorKind::kNoUpstream, "every upstream was tried or is out");
  const Target* second = DrawTarget(table.choice, *group, excluded, now, rng);
  return IsBetter(table.choice, *second, *first, now) ? second : first;
}

}  // namespace teaselspread
