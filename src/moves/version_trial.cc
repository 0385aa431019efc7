#include "teaselspread/version_trial.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace teaselspread {
namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;
// Cap on the latency that one response adds to a mean: a hung request shows
// that an upstream is slow, but not how slow.
constexpr std::int64_t kMaxTimedMillis = 10000;

constexpr std::array<std::string_view, 3> kProgressNames = {"running", "done",
                                                            "taken-back"};

// Sums of counters over all nodes.
struct Sums {
  double runs = 0;
  double bad = 0;
  double slow = 0;
  double timed = 0;
  double sum_ms = 0;
};

void Add(Sums& sums, const TrialCounters& counters) {
  sums.runs += counters.runs;
  sums.bad += counters.bad;
  sums.slow += counters.slow;
  sums.timed += counters.timed;
  sums.sum_ms += counters.total_ms;
}

void Add(Sums& sums, const Sums& more) {
  sums.runs += more.runs;
  sums.bad += more.bad;
  sums.slow += more.slow;
  sums.timed += more.timed;
  sums.sum_ms += more.sum_ms;
}

struct RouteSums {
  Sums old_version;
  // By upstream of the new version.
  std::map<std::string_view, Sums> new_by_upstream;
};

using RouteTable = std::map<std::string_view, RouteSums>;

void AddToTable(RouteTable& table, const TrialCounters& counters) {
  RouteSums& route = table[counters.route];
  if (counters.of_new_version)
    Add(route.new_by_upstream[counters.instance], counters);
  else
    Add(route.old_version, counters);
}

RouteTable RouteTableOf(const VersionTrial& trial) {
  RouteTable table;
  for (const auto& [key, cell] : trial.own)
    AddToTable(table, cell);
  for (const auto& [node, status] : trial.peers) {
    for (const TrialCounters& cell : status.counters)
      AddToTable(table, cell);
  }
  for (const TrialCounters& cell : trial.earlier_counters)
    AddToTable(table, cell);
  return table;
}

double RatioOf(double numerator, double denominator) {
  return denominator > 0 ? numerator / denominator : 0;
}

bool FailsMore(const TrialSettings& settings,
               const Sums& new_version,
               const Sums& old_version) {
  const double allowed =
      std::min(1.0, RatioOf(old_version.bad, old_version.runs) +
                        settings.max_extra_bad_ratio);
  const double expected = new_version.runs * allowed;
  const double deviation = std::sqrt(expected * (1 - allowed));
  return new_version.bad >= settings.min_bad &&
         new_version.bad > expected + settings.min_deviations * deviation;
}

bool IsSlower(const TrialSettings& settings,
              const Sums& new_version,
              const Sums& old_version) {
  if (new_version.timed < settings.min_timed ||
      old_version.timed < settings.min_timed)
    return false;
  const double old_mean = RatioOf(old_version.sum_ms, old_version.timed);
  return RatioOf(new_version.sum_ms, new_version.timed) >
         old_mean * settings.max_slowdown + settings.max_slowdown_ms;
}

bool IsSlowerTogether(const TrialSettings& settings, const RouteSums& route) {
  Sums new_version;
  for (const auto& [instance, sums] : route.new_by_upstream)
    Add(new_version, sums);
  if (new_version.timed < settings.min_timed_together ||
      route.old_version.timed < settings.min_timed_together)
    return false;
  const double old_mean =
      RatioOf(route.old_version.sum_ms, route.old_version.timed);
  return RatioOf(new_version.sum_ms, new_version.timed) >
         std::max(old_mean * settings.max_slowdown_together,
                  old_mean + settings.max_slowdown_ms);
}

bool IsSlowResponse(const VersionTrial& trial, const TrialResponse& response) {
  const auto mean = trial.old_mean_ms.find(response.route);
  if (!response.timed || mean == trial.old_mean_ms.end())
    return false;
  const double took_ms =
      static_cast<double>(response.latency.count()) / kMicrosPerMilli;
  const TrialSettings& settings = trial.settings;
  return took_ms >
         mean->second * settings.max_slowdown + settings.max_slowdown_ms;
}

void UpdateOldMeans(VersionTrial& trial) {
  for (const auto& [name, route] : RouteTableOf(trial)) {
    if (route.old_version.timed >= trial.settings.min_runs) {
      trial.old_mean_ms[std::string(name)] =
          RatioOf(route.old_version.sum_ms, route.old_version.timed);
    }
  }
}

// Time since `start` as a fraction of the order's duration.
double FractionSince(const VersionTrial& trial,
                     TimePoint start,
                     TimePoint now) {
  const double duration = static_cast<double>(trial.order.duration.count());
  const double passed = static_cast<double>((now - start).count());
  return duration > 0 ? passed / duration : 1;
}

double FractionElapsed(const VersionTrial& trial, TimePoint now) {
  return FractionSince(trial, trial.started_at, now);
}

TrialFinding FindingOn(const TrialSettings& settings, const RouteSums& route) {
  if (IsSlowerTogether(settings, route))
    return TrialFinding::kFault;
  double judged_upstreams = 0;
  double bad_upstreams = 0;
  for (const auto& [instance, sums] : route.new_by_upstream) {
    const bool failing = FailsMore(settings, sums, route.old_version);
    const bool slow = IsSlower(settings, sums, route.old_version);
    if (sums.runs < settings.min_runs && !failing)
      continue;
    judged_upstreams += 1;
    bad_upstreams += failing || slow ? 1 : 0;
  }
  const double bad_fraction = RatioOf(bad_upstreams, judged_upstreams);
  if (bad_upstreams == 0 || bad_fraction < settings.suspect_fraction)
    return TrialFinding::kNone;
  return bad_fraction >= settings.fault_fraction ? TrialFinding::kFault
                                                 : TrialFinding::kSuspect;
}

}  // namespace

std::string_view NameOf(MoveProgress progress) {
  return kProgressNames.at(static_cast<std::size_t>(progress));
}

void RecordTrialResponse(VersionTrial& trial, const TrialResponse& response) {
  TrialCounters& counters =
      trial.own[{std::string(response.instance), std::string(response.route)}];
  if (counters.runs == 0) {
    counters.instance = std::string(response.instance);
    counters.route = std::string(response.route);
    counters.of_new_version = response.from_new_version;
  }
  ++counters.runs;
  const bool slow = !response.bad && IsSlowResponse(trial, response);
  counters.bad += response.bad || slow ? 1 : 0;
  counters.slow += slow ? 1 : 0;
  if (!response.timed)
    return;
  ++counters.timed;
  counters.total_ms += static_cast<std::uint32_t>(
      std::min(response.latency.count() / kMicrosPerMilli, kMaxTimedMillis));
}

namespace {

// State of the move without counters.
TrialStatus ProgressOf(const VersionTrial& trial, TimePoint now) {
  TrialStatus status;
  status.service = trial.order.service;
  status.to = trial.order.to;
  status.progress = trial.progress;
  status.reported = trial.reported;
  status.incarnation = trial.incarnation;
  status.duration_ms = static_cast<std::uint32_t>(trial.order.duration.count() /
                                                  kMicrosPerMilli);
  status.moved = ShareOf(trial, now) >= 1;
  if (trial.progress != MoveProgress::kRunning)
    return status;
  status.age_ms = static_cast<std::uint32_t>((now - trial.started_at).count() /
                                             kMicrosPerMilli);
  return status;
}

// A row without responses. Nodes that do not know of it add nothing.
TrialCounters SuspicionMark() {
  TrialCounters mark;
  mark.of_new_version = true;
  return mark;
}

void AddTo(TrialCounters& sum, const TrialCounters& cell) {
  sum.route = cell.route;
  sum.runs += cell.runs;
  sum.bad += cell.bad;
  sum.slow += cell.slow;
  sum.timed += cell.timed;
  sum.total_ms += cell.total_ms;
}

using SumsByRoute = std::map<std::string_view, TrialCounters>;

void AddOldVersion(SumsByRoute& by_route, const TrialCounters& cell) {
  if (!cell.of_new_version)
    AddTo(by_route[cell.route], cell);
}

void AppendTo(std::vector<TrialCounters>& counters,
              const SumsByRoute& by_route) {
  for (const auto& [route, sum] : by_route)
    counters.push_back(sum);
}

bool IsSuspectedByPeers(const VersionTrial& trial) {
  return std::any_of(
      trial.peers.begin(), trial.peers.end(),
      [](const auto& peer) { return ReportsSuspicion(peer.second); });
}

}  // namespace

TrialStatus StatusOf(const VersionTrial& trial, TimePoint now) {
  TrialStatus status = ProgressOf(trial, now);
  if (trial.progress != MoveProgress::kRunning)
    return status;
  SumsByRoute old_version;
  for (const auto& [key, cell] : trial.own)
    AddOldVersion(old_version, cell);
  AppendTo(status.counters, old_version);
  for (const auto& [key, cell] : trial.own) {
    if (cell.of_new_version)
      status.counters.push_back(cell);
  }
  return status;
}

TrialStatus SummaryOf(const VersionTrial& trial,
                      bool evaluates,
                      TimePoint now) {
  TrialStatus status = ProgressOf(trial, now);
  if (trial.progress != MoveProgress::kRunning || !evaluates)
    return status;
  SumsByRoute old_version;
  for (const auto& [key, cell] : trial.own)
    AddOldVersion(old_version, cell);
  for (const auto& [node, peer] : trial.peers) {
    for (const TrialCounters& cell : peer.counters)
      AddOldVersion(old_version, cell);
  }
  AppendTo(status.counters, old_version);
  if (trial.finding == TrialFinding::kSuspect)
    status.counters.push_back(SuspicionMark());
  return status;
}

bool ReportsSuspicion(const TrialStatus& status) {
  return std::any_of(status.counters.begin(), status.counters.end(),
                     [](const TrialCounters& cell) {
                       return cell.of_new_version && cell.instance.empty() &&
                              cell.runs == 0;
                     });
}

void ForgetState(VersionTrial& trial, const std::string& node) {
  const auto found = trial.peers.find(node);
  if (found == trial.peers.end())
    return;
  found->second.moved = false;
  std::erase(found->second.counters, SuspicionMark());
}

void MergeStatus(VersionTrial& trial,
                 const std::string& node,
                 const TrialStatus& status,
                 TimePoint now) {
  TrialStatus& known = trial.peers[node];
  if (known.incarnation != status.incarnation) {
    trial.earlier_counters.insert(trial.earlier_counters.end(),
                                  known.counters.begin(), known.counters.end());
  }
  known = status;
  trial.started_at = std::min(trial.started_at,
                              now - std::chrono::milliseconds(status.age_ms));
  trial.reported =
      trial.reported || (status.reported && status.progress == trial.progress);
  if (trial.progress == MoveProgress::kRunning &&
      status.progress != MoveProgress::kRunning) {
    trial.progress = status.progress;
    trial.reported = status.reported;
  }
}

double ShareOf(const VersionTrial& trial, TimePoint now) {
  if (trial.progress != MoveProgress::kRunning)
    return trial.progress == MoveProgress::kDone ? 1 : 0;
  const TrialSettings& settings = trial.settings;
  const bool ready = trial.ready_since != TimePoint{} &&
                     now - trial.ready_since >= settings.settling_time;
  if (!ready)
    return 0;
  const double elapsed = FractionElapsed(trial, now);
  const double elapsed_since_cleared =
      FractionSince(trial, trial.cleared_at, now);
  const double step = settings.step_fraction_after_suspicion;
  if (elapsed < settings.second_share_from ||
      trial.finding != TrialFinding::kNone)
    return settings.first_share;
  if (elapsed < settings.third_share_from || elapsed_since_cleared < step)
    return settings.second_share;
  if (elapsed < settings.full_share_from || elapsed_since_cleared < 2 * step)
    return settings.third_share;
  return 1;
}

std::size_t UpstreamsInUse(const VersionTrial& trial,
                           std::size_t ready,
                           double share) {
  const TrialSettings& settings = trial.settings;
  const bool uses_all =
      share > settings.first_share && share <= settings.second_share;
  if (uses_all || trial.finding != TrialFinding::kNone)
    return ready;
  const auto needed =
      static_cast<std::size_t>(std::ceil(share * static_cast<double>(ready)));
  const std::size_t min_upstreams = settings.first_upstreams;
  return std::min(ready, std::max(needed, min_upstreams));
}

TrialFinding JudgeTrial(const VersionTrial& trial) {
  TrialFinding strongest = TrialFinding::kNone;
  Sums new_version;
  Sums old_version;
  for (const auto& [name, route] : RouteTableOf(trial)) {
    strongest = std::max(strongest, FindingOn(trial.settings, route));
    Add(old_version, route.old_version);
    for (const auto& [instance, sums] : route.new_by_upstream)
      Add(new_version, sums);
  }
  const TrialSettings& settings = trial.settings;
  const double extra_slow = RatioOf(new_version.slow, new_version.runs) -
                            RatioOf(old_version.slow, old_version.runs);
  const double extra_failed =
      RatioOf(new_version.bad - new_version.slow, new_version.runs) -
      RatioOf(old_version.bad - old_version.slow, old_version.runs);
  const bool worse = extra_slow > settings.max_extra_slow_together ||
                     extra_failed > settings.max_extra_failed_together;
  if (new_version.bad >= settings.min_bad_together && worse)
    return TrialFinding::kFault;
  return strongest;
}

bool StepTrial(VersionTrial& trial, const TrialView& view, TimePoint now) {
  if (trial.progress != MoveProgress::kRunning)
    return false;
  if (!view.new_ready)
    trial.ready_since = TimePoint{};
  else if (trial.ready_since == TimePoint{})
    trial.ready_since = now;
  if (!view.all_moved)
    trial.all_moved_since = TimePoint{};
  else if (trial.all_moved_since == TimePoint{})
    trial.all_moved_since = now;
  UpdateOldMeans(trial);
  const TrialFinding reported =
      IsSuspectedByPeers(trial) ? TrialFinding::kSuspect : TrialFinding::kNone;
  const TrialFinding finding = view.evaluates ? JudgeTrial(trial) : reported;
  if (finding == TrialFinding::kNone && trial.finding != TrialFinding::kNone)
    trial.cleared_at = now;
  trial.finding = finding;
  if (!view.evaluates)
    return false;
  const double elapsed = FractionElapsed(trial, now);
  const bool moved =
      trial.all_moved_since != TimePoint{} &&
      now - trial.all_moved_since >= trial.settings.min_all_moved;
  const bool done = elapsed >= trial.settings.done_from && moved &&
                    view.old_idle && finding == TrialFinding::kNone;
  const bool is_overdue = elapsed >= trial.settings.rollback_from;
  if (finding == TrialFinding::kFault || (is_overdue && !done))
    trial.progress = MoveProgress::kRolledBack;
  else if (done)
    trial.progress = MoveProgress::kDone;
  return trial.progress != MoveProgress::kRunning;
}

}  // namespace teaselspread
