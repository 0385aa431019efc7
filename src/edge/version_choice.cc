#include "edge/version_choice.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "base/clock.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

// Weights of the two versions are in thousandths.
constexpr double kWeightScale = 1000;

void LogProgress(const VersionTrial& trial, const char* why) {
  std::uint64_t runs = 0;
  std::uint64_t bad = 0;
  const auto add = [&](const TrialCounters& cell) {
    runs += cell.of_new_version ? cell.runs : 0;
    bad += cell.of_new_version ? cell.bad : 0;
  };
  for (const auto& [key, cell] : trial.own)
    add(cell);
  for (const auto& [node, status] : trial.peers)
    std::for_each(status.counters.begin(), status.counters.end(), add);
  constexpr std::int64_t kMicrosPerMilli = 1000;
  Log(LogLevel::kInfo, "moves", "progress",
      {{"move", trial.order.service},
       {"to", trial.order.to},
       {"progress", NameOf(trial.progress)},
       {"why", why},
       {"new_runs", runs},
       {"new_bad", bad},
       {"nodes_heard", trial.peers.size()},
       {"age_ms", (SteadyNow() - trial.started_at).count() / kMicrosPerMilli}});
}

bool AllHaveMoved(const VersionTrial& trial,
                  const std::vector<std::string>& nodes) {
  return std::all_of(nodes.begin(), nodes.end(),
                     [&trial](const std::string& node) {
                       const auto peer = trial.peers.find(node);
                       return peer != trial.peers.end() && peer->second.moved;
                     });
}

}  // namespace

VersionFit FitOf(const PickedVersion& picked,
                 std::string_view version,
                 std::string_view instance) {
  if (version.empty() && picked.allow_unknown)
    return VersionFit::kPreferred;
  if (version.empty())
    return picked.fallback_unknown ? VersionFit::kFallback : VersionFit::kNone;
  const bool chosen =
      picked.instances.empty() ||
      std::find(picked.instances.begin(), picked.instances.end(), instance) !=
          picked.instances.end();
  if (version == picked.version && chosen)
    return VersionFit::kPreferred;
  return version == picked.fallback ? VersionFit::kFallback : VersionFit::kNone;
}

void VersionChoice::SetReady(const std::vector<ReadyUpstream>& all) {
  this->ready.clear();
  for (const ReadyUpstream& upstream : all) {
    Version& version = this->ready[upstream.service][upstream.version];
    version.slots += std::max(upstream.slots, 1U);
    version.load += upstream.load;
    version.instances.push_back(upstream.instance);
  }
  // Sorted, so that every node uses the same instances first.
  for (auto& [service, versions] : this->ready) {
    for (auto& [name, version] : versions)
      std::sort(version.instances.begin(), version.instances.end());
  }
}

// The version with the most slots, so that a new version whose upstreams are
// up before its order is read gets nothing while another one serves.
std::string VersionChoice::MostReady(const Versions& versions,
                                     std::string_view excluded) {
  std::string best;
  std::uint32_t most_slots = 0;
  for (const auto& [name, version] : versions) {
    if (name.empty() || name == excluded || version.slots <= most_slots)
      continue;
    best = name;
    most_slots = version.slots;
  }
  return best;
}

bool VersionChoice::MostlyUnknown(const Versions& versions,
                                  std::string_view version) {
  const auto unknown = versions.find("");
  const auto known = versions.find(version);
  return unknown != versions.end() && known != versions.end() &&
         unknown->second.slots >= known->second.slots;
}

// After a restart the first heartbeats may come from a version that was not
// ordered yet, while the upstreams of still unknown version are in service.
PickedVersion VersionChoice::PickWithoutOrder(const Versions& versions) {
  const std::string known = MostReady(versions, "");
  PickedVersion picked;
  picked.allow_unknown = true;
  if (!known.empty() && MostlyUnknown(versions, known))
    picked.fallback = known;
  else
    picked.version = known;
  return picked;
}

PickedVersion VersionChoice::PickAfterMove(const std::string& to,
                                           const Versions& versions) {
  if (!versions.contains(to))
    return PickWithoutOrder(versions);
  PickedVersion picked;
  picked.version = to;
  picked.allow_unknown = MostlyUnknown(versions, to);
  picked.fallback_unknown = true;
  return picked;
}

// The version in service may be among the unknown ones: the new version must
// not get more than its share, and nothing after a rollback.
PickedVersion VersionChoice::PickWithoutOld(const VersionTrial& trial,
                                            const Versions& versions) {
  const std::string& to = trial.order.to;
  const bool is_rollback = trial.progress == MoveProgress::kRolledBack;
  PickedVersion picked;
  picked.allow_unknown =
      is_rollback || !versions.contains(to) || MostlyUnknown(versions, to);
  picked.fallback_unknown = !is_rollback;
  if (!picked.allow_unknown)
    picked.version = to;
  return picked;
}

PickedVersion VersionChoice::PickByShare(const VersionTrial& trial,
                                         const std::string& old_version,
                                         const Version& new_version) {
  const double share = ShareOf(trial, SteadyNow());
  const auto new_weight =
      static_cast<std::uint32_t>(std::lround(share * kWeightScale));
  const std::array<std::uint32_t, 2> weights = {
      new_weight, static_cast<std::uint32_t>(kWeightScale) - new_weight};
  PickedVersion picked;
  // A node that has moved no longer sends requests to the old version.
  picked.fallback_unknown = share < 1;
  if (NextIndex(this->turns[trial.order.service], weights) != 0) {
    picked.version = old_version;
    return picked;
  }
  picked.version = trial.order.to;
  picked.instances = new_version.instances;
  picked.instances.resize(
      UpstreamsInUse(trial, new_version.instances.size(), share));
  if (share < 1)
    picked.fallback = old_version;
  return picked;
}

PickedVersion VersionChoice::PickInTrial(const VersionTrial& trial,
                                         const Versions& versions) {
  const std::string& to = trial.order.to;
  if (trial.progress == MoveProgress::kDone)
    return PickAfterMove(to, versions);
  const std::string old_version = MostReady(versions, to);
  if (old_version.empty())
    return PickWithoutOld(trial, versions);
  const auto new_version = versions.find(to);
  if (new_version != versions.end() && trial.progress == MoveProgress::kRunning)
    return this->PickByShare(trial, old_version, new_version->second);
  PickedVersion picked;
  picked.version = old_version;
  picked.fallback_unknown = trial.progress == MoveProgress::kRunning;
  return picked;
}

PickedVersion VersionChoice::Pick(const std::string& service) {
  const auto found = this->ready.find(service);
  if (found == this->ready.end())
    return {};
  const auto trial = this->trials.find(service);
  return trial == this->trials.end()
             ? PickWithoutOrder(found->second)
             : this->PickInTrial(trial->second, found->second);
}

void VersionChoice::OnOrder(const MoveOrder& order) {
  const auto found = this->trials.find(order.service);
  if (found != this->trials.end()) {
    VersionTrial& trial = found->second;
    if (trial.order.to == order.to) {
      trial.from_peer = false;
      return;
    }
    // A node that reads the store late reads older orders first.
    const Duration age = SteadyNow() - trial.started_at;
    if (trial.from_peer && age < trial.order.duration)
      return;
  }
  this->BeginTrial(order, false);
}

void VersionChoice::BeginTrial(const MoveOrder& order, bool from_peer) {
  VersionTrial trial;
  trial.order = order;
  trial.started_at = SteadyNow();
  trial.incarnation = this->incarnation;
  trial.from_peer = from_peer;
  if (const auto known = this->reports.find(order.service);
      known != this->reports.end() && known->second.to == order.to) {
    trial.progress = known->second.progress;
    trial.reported = true;
  }
  this->MergeEarlierReports(trial);
  LogProgress(trial, from_peer ? "ordered-peer" : "ordered");
  this->trials.insert_or_assign(order.service, std::move(trial));
}

void VersionChoice::MergeEarlierReports(VersionTrial& trial) const {
  const TimePoint now = SteadyNow();
  for (const auto& [node, report] : this->peer_reports) {
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - report.received_at);
    for (TrialStatus status : report.statuses) {
      if (status.service != trial.order.service || status.to != trial.order.to)
        continue;
      if (status.progress == MoveProgress::kRunning)
        status.age_ms += static_cast<std::uint32_t>(elapsed.count());
      MergeStatus(trial, node, status, now);
    }
  }
}

void VersionChoice::OnReport(const MoveReport& report) {
  this->reports[report.service] = report;
  const auto found = this->trials.find(report.service);
  if (found == this->trials.end() || found->second.order.to != report.to)
    return;
  VersionTrial& trial = found->second;
  if (report.progress != MoveProgress::kRunning &&
      report.progress != trial.progress) {
    trial.progress = report.progress;
    LogProgress(trial, "store");
  }
  trial.reported = report.progress == trial.progress;
}

bool VersionChoice::AwaitsReports(const VersionTrial& trial) const {
  return !this->reports_read && !trial.from_peer && !trial.reported &&
         trial.progress == MoveProgress::kRunning;
}

bool VersionChoice::AwaitsReports() const {
  return std::any_of(
      this->trials.begin(), this->trials.end(),
      [this](const auto& entry) { return this->AwaitsReports(entry.second); });
}

void VersionChoice::OnPeerStatuses(const std::string& node,
                                   const std::vector<TrialStatus>& statuses) {
  this->peer_reports[node] = {statuses, SteadyNow()};
  for (const TrialStatus& status : statuses) {
    if (this->IsNewOrder(status)) {
      const auto duration = std::chrono::milliseconds(status.duration_ms);
      this->BeginTrial({status.service, status.to, duration}, true);
    }
    const auto found = this->trials.find(status.service);
    if (found == this->trials.end() || found->second.order.to != status.to)
      continue;
    const MoveProgress before = found->second.progress;
    MergeStatus(found->second, node, status, SteadyNow());
    if (found->second.progress != before)
      LogProgress(found->second, "peer");
  }
}

// A node that is cut off from the store cannot read orders. Without the orders
// from its peers it would send all its requests to the old version, and no move
// could be done until it is connected again.
bool VersionChoice::IsNewOrder(const TrialStatus& status) const {
  const auto found = this->trials.find(status.service);
  if (found == this->trials.end())
    return status.duration_ms > 0;
  const VersionTrial& own = found->second;
  const Duration own_age = SteadyNow() - own.started_at;
  return own.order.to != status.to &&
         status.progress == MoveProgress::kRunning && status.duration_ms > 0 &&
         std::chrono::milliseconds(status.age_ms) < own_age;
}

void VersionChoice::ForgetNode(const std::string& node) {
  this->peer_reports.erase(node);
  for (auto& [service, trial] : this->trials)
    ForgetState(trial, node);
}

void VersionChoice::OnResponse(std::string_view service,
                               std::string_view version,
                               const TrialResponse& response) {
  const auto found = this->trials.find(std::string(service));
  // A response of an unknown version is no evidence.
  if (version.empty() || found == this->trials.end() ||
      found->second.progress != MoveProgress::kRunning)
    return;
  TrialResponse counted = response;
  counted.from_new_version = version == found->second.order.to;
  RecordTrialResponse(found->second, counted);
}

void VersionChoice::Step(const std::vector<std::string>& nodes,
                         bool evaluates) {
  const TimePoint now = SteadyNow();
  for (auto& [service, trial] : this->trials) {
    TrialView view;
    view.evaluates = evaluates;
    const auto found = this->ready.find(service);
    view.old_idle = true;
    if (found != this->ready.end()) {
      for (const auto& [name, version] : found->second) {
        const bool is_new = name == trial.order.to;
        view.new_ready = view.new_ready || is_new;
        view.old_idle = view.old_idle && (is_new || version.load == 0);
      }
    }
    view.new_ready = view.new_ready && !this->AwaitsReports(trial);
    view.all_moved = ShareOf(trial, now) >= 1 && AllHaveMoved(trial, nodes);
    if (!StepTrial(trial, view, now))
      continue;
    trial.reported = false;
    LogProgress(trial, "judged");
  }
}

std::vector<TrialStatus> VersionChoice::Statuses() const {
  std::vector<TrialStatus> statuses;
  for (const auto& [service, trial] : this->trials)
    statuses.push_back(StatusOf(trial, SteadyNow()));
  return statuses;
}

std::vector<TrialStatus> VersionChoice::Summaries(bool evaluates) const {
  std::vector<TrialStatus> summaries;
  for (const auto& [service, trial] : this->trials)
    summaries.push_back(SummaryOf(trial, evaluates, SteadyNow()));
  return summaries;
}

void VersionChoice::MarkReported(const std::string& service,
                                 MoveProgress progress) {
  const auto found = this->trials.find(service);
  if (found != this->trials.end() && found->second.progress == progress)
    found->second.reported = true;
}

}  // namespace teaselspread
