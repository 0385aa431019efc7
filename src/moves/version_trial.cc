#include "teaselspread/version_trial.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace teaselspread {
namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;
// A hung request counts this long at most: it says "slow", not how slow.
constexpr std::int64_t kMostMillis = 10000;

constexpr std::array<std::string_view, 3> kNames = {"running", "done",
                                                    "taken-back"};

// Sums over all nodes.
struct Sums {
  double runs = 0;
  double bad = 0;
  double slow = 0;
  double timed = 0;
  double sum_ms = 0;
};

void Add(Sums& sums, const TrialCell& cell) {
  sums.runs += cell.runs;
  sums.bad += cell.bad;
  sums.slow += cell.slow;
  sums.timed += cell.timed;
  sums.sum_ms += cell.sum_ms;
}

void Add(Sums& sums, const Sums& more) {
  sums.runs += more.runs;
  sums.bad += more.bad;
  sums.slow += more.slow;
  sums.timed += more.timed;
  sums.sum_ms += more.sum_ms;
}

struct RouteSums {
  Sums old;
  // By upstream of the new version.
  std::map<std::string_view, Sums> fresh;
};

using Table = std::map<std::string_view, RouteSums>;

void AddCell(Table& table, const TrialCell& cell) {
  RouteSums& route = table[cell.route];
  if (cell.fresh)
    Add(route.fresh[cell.instance], cell);
  else
    Add(route.old, cell);
}

Table TableOf(const VersionTrial& trial) {
  Table table;
  for (const auto& [key, cell] : trial.own)
    AddCell(table, cell);
  for (const auto& [node, note] : trial.peers) {
    for (const TrialCell& cell : note.cells)
      AddCell(table, cell);
  }
  for (const TrialCell& cell : trial.earlier)
    AddCell(table, cell);
  return table;
}

double RatioOf(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

bool FailsMore(const TrialSettings& settings,
               const Sums& fresh,
               const Sums& old) {
  const double allowed =
      std::min(1.0, RatioOf(old.bad, old.runs) + settings.extra_bad);
  const double expected = fresh.runs * allowed;
  const double deviation = std::sqrt(expected * (1 - allowed));
  return fresh.bad >= settings.least_bad &&
         fresh.bad > expected + settings.deviations * deviation;
}

bool IsSlower(const TrialSettings& settings,
              const Sums& fresh,
              const Sums& old) {
  if (fresh.timed < settings.least_timed || old.timed < settings.least_timed)
    return false;
  const double old_mean = RatioOf(old.sum_ms, old.timed);
  return RatioOf(fresh.sum_ms, fresh.timed) >
         old_mean * settings.slowdown + settings.slowdown_ms;
}

bool IsSlowerTogether(const TrialSettings& settings, const RouteSums& route) {
  Sums fresh;
  for (const auto& [instance, sums] : route.fresh)
    Add(fresh, sums);
  if (fresh.timed < settings.least_timed_together ||
      route.old.timed < settings.least_timed_together)
    return false;
  const double old_mean = RatioOf(route.old.sum_ms, route.old.timed);
  return RatioOf(fresh.sum_ms, fresh.timed) >
         std::max(old_mean * settings.slowdown_together,
                  old_mean + settings.slowdown_ms);
}

bool IsSlowAnswer(const VersionTrial& trial, const TrialAnswer& answer) {
  const auto mean = trial.old_means.find(answer.route);
  if (!answer.timed || mean == trial.old_means.end())
    return false;
  const double took_ms =
      static_cast<double>(answer.took.count()) / kMicrosPerMilli;
  const TrialSettings& settings = trial.settings;
  return took_ms > mean->second * settings.slowdown + settings.slowdown_ms;
}

void LearnOldMeans(VersionTrial& trial) {
  for (const auto& [name, route] : TableOf(trial)) {
    if (route.old.timed >= trial.settings.least_runs) {
      trial.old_means[std::string(name)] =
          RatioOf(route.old.sum_ms, route.old.timed);
    }
  }
}

// Part of the order's time that has passed since `start`.
double PartSince(const VersionTrial& trial, TimePoint start, TimePoint now) {
  const double whole = static_cast<double>(trial.order.duration.count());
  const double passed = static_cast<double>((now - start).count());
  return whole > 0 ? passed / whole : 1;
}

double PartPassed(const VersionTrial& trial, TimePoint now) {
  return PartSince(trial, trial.started, now);
}

TrialFinding FindingOn(const TrialSettings& settings, const RouteSums& route) {
  if (IsSlowerTogether(settings, route))
    return TrialFinding::kBad;
  double judged = 0;
  double bad = 0;
  for (const auto& [instance, sums] : route.fresh) {
    const bool failing = FailsMore(settings, sums, route.old);
    const bool slow = IsSlower(settings, sums, route.old);
    if (sums.runs < settings.least_runs && !failing)
      continue;
    judged += 1;
    bad += failing || slow ? 1 : 0;
  }
  const double part = RatioOf(bad, judged);
  if (bad == 0 || part < settings.suspect_part)
    return TrialFinding::kCalm;
  return part >= settings.bad_part ? TrialFinding::kBad
                                   : TrialFinding::kSuspect;
}

}  // namespace

std::string_view NameOf(MoveProgress progress) {
  return kNames.at(static_cast<std::size_t>(progress));
}

void RecordTrial(VersionTrial& trial, const TrialAnswer& answer) {
  TrialCell& cell =
      trial.own[{std::string(answer.instance), std::string(answer.route)}];
  if (cell.runs == 0) {
    cell.instance = std::string(answer.instance);
    cell.route = std::string(answer.route);
    cell.fresh = answer.fresh;
  }
  ++cell.runs;
  const bool slow = !answer.bad && IsSlowAnswer(trial, answer);
  cell.bad += answer.bad || slow ? 1 : 0;
  cell.slow += slow ? 1 : 0;
  if (!answer.timed)
    return;
  ++cell.timed;
  cell.sum_ms += static_cast<std::uint32_t>(
      std::min(answer.took.count() / kMicrosPerMilli, kMostMillis));
}

TrialNote NoteOf(const VersionTrial& trial, TimePoint now) {
  TrialNote note;
  note.service = trial.order.service;
  note.to = trial.order.to;
  note.progress = trial.progress;
  note.reported = trial.reported;
  note.life = trial.life;
  note.duration_ms = static_cast<std::uint32_t>(trial.order.duration.count() /
                                                kMicrosPerMilli);
  note.moved = ShareOf(trial, now) >= 1;
  if (trial.progress != MoveProgress::kRunning)
    return note;
  note.age_ms = static_cast<std::uint32_t>((now - trial.started).count() /
                                           kMicrosPerMilli);
  for (const auto& [key, cell] : trial.own)
    note.cells.push_back(cell);
  return note;
}

void TakeNote(VersionTrial& trial,
              const std::string& node,
              const TrialNote& note,
              TimePoint now) {
  TrialNote& known = trial.peers[node];
  if (known.life != note.life) {
    trial.earlier.insert(trial.earlier.end(), known.cells.begin(),
                         known.cells.end());
  }
  known = note;
  trial.started =
      std::min(trial.started, now - std::chrono::milliseconds(note.age_ms));
  trial.reported =
      trial.reported || (note.reported && note.progress == trial.progress);
  if (trial.progress == MoveProgress::kRunning &&
      note.progress != MoveProgress::kRunning) {
    trial.progress = note.progress;
    trial.reported = note.reported;
  }
}

double ShareOf(const VersionTrial& trial, TimePoint now) {
  if (trial.progress != MoveProgress::kRunning)
    return trial.progress == MoveProgress::kDone ? 1 : 0;
  const TrialSettings& settings = trial.settings;
  const bool ready = trial.ready_since != TimePoint{} &&
                     now - trial.ready_since >= settings.settle;
  if (!ready)
    return 0;
  const double part = PartPassed(trial, now);
  const double calm_part = PartSince(trial, trial.calm_since, now);
  const double step = settings.step_after_suspicion;
  if (part < settings.second_from || trial.finding != TrialFinding::kCalm)
    return settings.first_share;
  if (part < settings.third_from || calm_part < step)
    return settings.second_share;
  if (part < settings.full_from || calm_part < 2 * step)
    return settings.third_share;
  return 1;
}

std::size_t UpstreamsInUse(const VersionTrial& trial,
                           std::size_t ready,
                           double share) {
  const TrialSettings& settings = trial.settings;
  const bool evened =
      share > settings.first_share && share <= settings.second_share;
  if (evened || trial.finding != TrialFinding::kCalm)
    return ready;
  const auto needed =
      static_cast<std::size_t>(std::ceil(share * static_cast<double>(ready)));
  const std::size_t least = settings.first_upstreams;
  return std::min(ready, std::max(needed, least));
}

TrialFinding JudgeTrial(const VersionTrial& trial) {
  TrialFinding worst = TrialFinding::kCalm;
  Sums fresh;
  Sums old;
  for (const auto& [name, route] : TableOf(trial)) {
    worst = std::max(worst, FindingOn(trial.settings, route));
    Add(old, route.old);
    for (const auto& [instance, sums] : route.fresh)
      Add(fresh, sums);
  }
  const TrialSettings& settings = trial.settings;
  const double extra_slow =
      RatioOf(fresh.slow, fresh.runs) - RatioOf(old.slow, old.runs);
  const double extra_failed = RatioOf(fresh.bad - fresh.slow, fresh.runs) -
                              RatioOf(old.bad - old.slow, old.runs);
  const bool worse = extra_slow > settings.extra_slow_together ||
                     extra_failed > settings.extra_failed_together;
  if (fresh.bad >= settings.most_bad && worse)
    return TrialFinding::kBad;
  return worst;
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
  LearnOldMeans(trial);
  const TrialFinding finding = JudgeTrial(trial);
  if (finding == TrialFinding::kCalm && trial.finding != TrialFinding::kCalm)
    trial.calm_since = now;
  trial.finding = finding;
  const double part = PartPassed(trial, now);
  const bool moved = trial.all_moved_since != TimePoint{} &&
                     now - trial.all_moved_since >= trial.settings.moved_for;
  const bool done = part >= trial.settings.done_from && moved &&
                    view.old_idle && finding == TrialFinding::kCalm;
  const bool too_late = part >= trial.settings.give_up_from;
  if (finding == TrialFinding::kBad || (too_late && !done))
    trial.progress = MoveProgress::kRolledBack;
  else if (done)
    trial.progress = MoveProgress::kDone;
  return trial.progress != MoveProgress::kRunning;
}

}  // namespace teaselspread
