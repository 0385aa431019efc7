// A move of a service to a new version within some seconds: how much traffic
// the new one gets, and when it is bad, in force for good, or neither yet.
//
// The judge of longer moves (judge.h) compares the versions in strata of five
// seconds at least and learns the demand for ten; an order that has to be done
// in twelve leaves no time for that. Here the versions are compared upstream by
// upstream: a fault of one upstream is not one of its version, however many
// answers it spoils.
//
// Pure: the caller passes the time in. Nothing here is thread safe.
#ifndef TEASELSPREAD_VERSION_TRIAL_H_
#define TEASELSPREAD_VERSION_TRIAL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "teaselspread/edge.h"
#include "teaselspread/types.h"

namespace teaselspread {

// Answers of one upstream on one route, as one node saw them.
struct TrialCounters {
  std::string instance;
  std::string route;
  // Of the new version.
  bool of_new_version = false;
  std::uint32_t runs = 0;
  std::uint32_t bad = 0;
  // Those of the bad ones that were whole but slow.
  std::uint32_t slow = 0;
  // Of the answers that say something of the speed.
  std::uint32_t timed = 0;
  std::uint32_t total_ms = 0;

  bool operator==(const TrialCounters&) const = default;
};

// What one node tells of one move.
struct TrialStatus {
  std::string service;
  std::string to;
  MoveProgress progress = MoveProgress::kRunning;
  // `progress` stands in the store.
  bool reported = false;
  // The node sends nothing to old versions any more.
  bool moved = false;
  // Time since the order was first read, as far as the node knows; 0 once the
  // move has ended.
  std::uint32_t age_ms = 0;
  // Time that the order allows, for nodes that could not read it themselves.
  std::uint32_t duration_ms = 0;
  // Tells one life of the node from the next.
  std::uint64_t incarnation = 0;
  std::vector<TrialCounters> counters;

  bool operator==(const TrialStatus&) const = default;
};

struct TrialSettings {
  // Share of the new version from a part of the order's time on. Before the
  // last step about a twenty-fifth of all requests of that time have gone to
  // it, which leaves most of the tenth that a bad version may have for faults
  // that show under full load only.
  double first_share = 0.02;
  double second_share = 0.06;
  double second_share_from = 0.2;
  double third_share = 0.2;
  double third_share_from = 0.45;
  double full_share_from = 0.55;
  // The move is done from this part on if nothing speaks against it.
  double done_from = 0.78;
  // Without a verdict by this part it is taken back.
  double rollback_from = 0.93;
  // Answers of one upstream on one route before it is judged.
  std::uint32_t min_runs = 5;
  // Bad answers of it, how much their share lies above the old version's, and
  // by how many standard deviations of such a count beyond that: of a handful
  // of answers a few are slow by chance.
  std::uint32_t min_bad = 3;
  double max_extra_bad_ratio = 0.15;
  double min_deviations = 1.5;
  // Times the old version's mean on the route, and milliseconds above it:
  // beyond both an answer counts as bad, and so does a mean of answers. VMs
  // differ in speed by more than two, so a new upstream may take twice the mean
  // of the old ones without any fault of its version, and a good version would
  // be taken back.
  double max_slowdown = 3;
  double max_slowdown_ms = 25;
  std::uint32_t min_timed = 8;
  // So many bad answers of the new version together, a larger part than the old
  // version's by this much, take it back whatever single upstreams show. Slow
  // ones count apart: upstreams on slow VMs give some.
  std::uint32_t min_bad_together = 25;
  double max_extra_failed_together = 0.05;
  double max_extra_slow_together = 0.12;
  // Over many answers of all its upstreams on one route the new version's mean
  // says more than single ones: beyond this factor it is not the VMs.
  double max_slowdown_together = 2.2;
  std::uint32_t min_timed_together = 60;
  // Part of the new version's judged upstreams that must be bad to take it
  // back, and that holds its share down. A smaller part is the fault of single
  // upstreams.
  double fault_fraction = 0.6;
  double suspect_fraction = 0.4;
  // After a suspicion that was not confirmed the share rises by a step in each
  // such part of the order's time.
  double step_fraction_after_suspicion = 0.06;
  // Upstreams that get the new version's first requests. Few of them are loaded
  // as all will be later, so faults under load show while the share is small;
  // one alone could not be told from its version.
  std::uint32_t first_upstreams = 2;
  // Time between being ready and the first requests.
  Duration settling_time = std::chrono::milliseconds(200);
  // All nodes have moved for this long before the move is done: what ran at the
  // old version has ended or has been given up.
  Duration min_all_moved = std::chrono::milliseconds(1300);
};

// One answer of an upstream.
struct TrialResponse {
  std::string_view instance;
  std::string_view route;
  bool from_new_version = false;
  bool bad = false;
  // Says something of the speed: the upstream is not cold.
  bool timed = false;
  Duration latency{};
};

enum class TrialFinding : std::uint8_t { kNone, kSuspect, kFault };

struct VersionTrial {
  MoveOrder order;
  TrialSettings settings;
  // When the first node read the order, as far as this one has heard. A node
  // that starts in the middle of a move would otherwise begin it anew, and the
  // move would miss its time.
  TimePoint started_at;
  // When the new version had an upstream ready; the epoch before.
  TimePoint ready_since;
  MoveProgress progress = MoveProgress::kRunning;
  bool reported = false;
  // Since when all known nodes have moved; the epoch if they have not.
  TimePoint all_moved_since;
  // Own answers, and the newest note of each other node.
  std::map<std::pair<std::string, std::string>, TrialCounters> own;
  std::map<std::string, TrialStatus> peers;
  // What nodes told before they were restarted. Their new life begins to count
  // at nothing, and in a rolling restart all that was seen of a bad version
  // would be forgotten, node by node.
  std::vector<TrialCounters> earlier_counters;
  // Another node told the order; this one has not read it yet.
  bool from_peer = false;
  // This node's own life.
  std::uint64_t incarnation = 0;
  // What the answers showed at the last step.
  TrialFinding finding = TrialFinding::kNone;
  // When the last suspicion ended; the epoch when there was none.
  TimePoint cleared_at;
  // The old version's mean by route, in milliseconds, as of the last step.
  std::map<std::string, double, std::less<>> old_mean_ms;
};

// Counts one answer that this node got. One that is far slower than the old
// version's answers on its route is bad too: a version that is slow to some of
// its callers hides in a mean.
void RecordTrialResponse(VersionTrial& trial, const TrialResponse& answer);

// What this node tells the others.
[[nodiscard]] TrialStatus StatusOf(const VersionTrial& trial, TimePoint now);

// What another node told. A verdict that it names is taken over.
void MergeStatus(VersionTrial& trial,
                 const std::string& node,
                 const TrialStatus& note,
                 TimePoint now);

// Share of the service's requests that the new version gets now, 0..1.
[[nodiscard]] double ShareOf(const VersionTrial& trial, TimePoint now);

// Upstreams of the new version that may get requests at `share`, out of
// `ready`. At the second step all of them do, so that slow VMs and fast ones
// even out; and so under suspicion: if only the first ones are at fault, the
// others show it.
[[nodiscard]] std::size_t UpstreamsInUse(const VersionTrial& trial,
                                         std::size_t ready,
                                         double share);

// What the answers of all nodes show.
[[nodiscard]] TrialFinding JudgeTrial(const VersionTrial& trial);

// What the node knows beside the answers.
struct TrialView {
  bool new_ready = false;
  // Nothing runs or waits at an upstream of an old version.
  bool old_idle = false;
  // Every node in touch tells that it has moved.
  bool all_moved = false;
};

// One step, a few times a second: sets `progress`. True when it changed.
bool StepTrial(VersionTrial& trial, const TrialView& view, TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_VERSION_TRIAL_H_
