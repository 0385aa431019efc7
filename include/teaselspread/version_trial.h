// A trial moves a service to a new version within seconds: it sets the share of
// the new version and decides whether the move is done or rolled back.
//
// The judge of longer moves (judge.h) compares the versions in strata of at
// least five seconds and measures the demand for ten, which is too slow for an
// order that has to be done in twelve. Here the versions are compared upstream
// by upstream, so that a fault of a single upstream is not blamed on its
// version, however many responses it affects.
//
// No I/O and no clock: the caller passes the time. Nothing here is thread safe.
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

// Counters of the responses of one upstream on one route, seen by one node.
struct TrialCounters {
  // Empty for all upstreams of the old version together, in what nodes send.
  std::string instance;
  std::string route;
  // The upstream runs the new version.
  bool of_new_version = false;
  std::uint32_t runs = 0;
  std::uint32_t bad = 0;
  // Bad responses that were complete but slow; included in `bad`.
  std::uint32_t slow = 0;
  // Number and total latency of the responses of upstreams that are not cold.
  std::uint32_t timed = 0;
  std::uint32_t total_ms = 0;

  bool operator==(const TrialCounters&) const = default;
};

// State of one move as one node reports it to the others.
struct TrialStatus {
  std::string service;
  std::string to;
  MoveProgress progress = MoveProgress::kRunning;
  // `progress` is recorded in the store.
  bool reported = false;
  // The node no longer sends requests to old versions.
  bool moved = false;
  // Time since the first node read the order, as far as known; 0 after the move
  // has ended.
  std::uint32_t age_ms = 0;
  // Duration of the order, for nodes that could not read the order themselves.
  std::uint32_t duration_ms = 0;
  // Differs after each restart of the node.
  std::uint64_t incarnation = 0;
  std::vector<TrialCounters> counters;

  bool operator==(const TrialStatus&) const = default;
};

struct TrialSettings {
  // Shares of the new version, and the fractions of the order's duration from
  // which they apply. Before the last step the new version has got about 1/25
  // of all requests of that time. A bad version may get 1/10, so most of that
  // is left for faults that show under full load only.
  double first_share = 0.02;
  double second_share = 0.06;
  double second_share_from = 0.2;
  double third_share = 0.2;
  double third_share_from = 0.45;
  double full_share_from = 0.55;
  // Fraction of the duration from which the move can be done if no fault is
  // found.
  double done_from = 0.78;
  // Fraction of the duration at which a move without a verdict is rolled back.
  double rollback_from = 0.93;
  // Responses of one upstream on one route before it is judged.
  std::uint32_t min_runs = 5;
  // An upstream fails if it has at least `min_bad` bad responses and their
  // number is more than `min_deviations` standard deviations above that
  // expected at the old version's ratio plus `max_extra_bad_ratio`. The
  // deviations matter since among a few responses some are slow by chance.
  std::uint32_t min_bad = 3;
  double max_extra_bad_ratio = 0.15;
  double min_deviations = 1.5;
  // A response, or an upstream's mean, is slow above the old version's mean on
  // the route times the factor plus the milliseconds. VMs differ in speed by a
  // factor of more than two, so with a factor of two a good version would be
  // rolled back because of slow VMs.
  double max_slowdown = 3;
  double max_slowdown_ms = 25;
  std::uint32_t min_timed = 8;
  // With this many bad responses of the new version in total, it is rolled back
  // whatever single upstreams show if its ratio of failed or of slow responses
  // exceeds the old version's by these amounts. Slow ones are counted
  // separately, as upstreams on slow VMs give some.
  std::uint32_t min_bad_together = 25;
  double max_extra_failed_together = 0.05;
  double max_extra_slow_together = 0.12;
  // Factor between the versions' means over many responses of all upstreams on
  // one route above which the new version is slow. Differences between VMs even
  // out in these means, so it is smaller than `max_slowdown`.
  double max_slowdown_together = 2.2;
  std::uint32_t min_timed_together = 60;
  // Fractions of the new version's judged upstreams that must be bad to roll it
  // back and to hold its share down. A smaller fraction is taken as a fault of
  // single upstreams.
  double fault_fraction = 0.6;
  double suspect_fraction = 0.4;
  // After a suspicion that was not confirmed the share rises by one step per
  // this fraction of the order's duration.
  double step_fraction_after_suspicion = 0.06;
  // Number of upstreams that get the new version's first requests. A few
  // upstreams get as much load as all will later, so that faults under load
  // show at a small share; a fault of a single one could not be told from a
  // fault of the version.
  std::uint32_t first_upstreams = 2;
  // Time from the new version's first ready upstream to its first requests.
  Duration settling_time = std::chrono::milliseconds(200);
  // All nodes must have moved for this long before the move is done, so that
  // requests at the old version have ended or timed out.
  Duration min_all_moved = std::chrono::milliseconds(1300);
};

// One response of an upstream.
struct TrialResponse {
  std::string_view instance;
  std::string_view route;
  bool from_new_version = false;
  bool bad = false;
  // The latency counts, as the upstream is not cold.
  bool timed = false;
  Duration latency{};
};

enum class TrialFinding : std::uint8_t { kNone, kSuspect, kFault };

struct VersionTrial {
  MoveOrder order;
  TrialSettings settings;
  // When the first node read the order, as far as this node knows. A node that
  // starts in the middle of a move would otherwise start it again, and the move
  // would miss its deadline.
  TimePoint started_at;
  // Since when the new version has had a ready upstream; the epoch if it has
  // none.
  TimePoint ready_since;
  MoveProgress progress = MoveProgress::kRunning;
  bool reported = false;
  // Since when all known nodes have moved; the epoch if they have not.
  TimePoint all_moved_since;
  // Own counters, and the latest status of each other node.
  std::map<std::pair<std::string, std::string>, TrialCounters> own;
  std::map<std::string, TrialStatus> peers;
  // Counters that nodes reported before they were restarted. A restarted node
  // counts from zero, so in a rolling restart all evidence against a bad
  // version would otherwise be lost.
  std::vector<TrialCounters> earlier_counters;
  // The order is known from another node only; this one has not read it yet.
  bool from_peer = false;
  // This node's own incarnation.
  std::uint64_t incarnation = 0;
  // The finding of the last step.
  TrialFinding finding = TrialFinding::kNone;
  // When the last suspicion ended; the epoch if there was none.
  TimePoint cleared_at;
  // The old version's mean by route, in milliseconds, as of the last step.
  std::map<std::string, double, std::less<>> old_mean_ms;
};

// Counts one response that this node received. A response far slower than the
// old version's mean on its route counts as bad, too, because a mean hides a
// version that is slow for some of its callers.
void RecordTrialResponse(VersionTrial& trial, const TrialResponse& response);

// The status that this node reports to nodes that evaluate the trial. Upstreams
// of the old version are summed up, as they are compared with as a whole.
[[nodiscard]] TrialStatus StatusOf(const VersionTrial& trial, TimePoint now);

// The status that this node reports to the other nodes. If `evaluates`, it
// holds what they need besides the progress: the old version's response times
// over all nodes, and whether the new version is under suspicion.
[[nodiscard]] TrialStatus SummaryOf(const VersionTrial& trial,
                                    bool evaluates,
                                    TimePoint now);

// Whether the sender of `status` suspects the new version. Thread safe.
[[nodiscard]] bool ReportsSuspicion(const TrialStatus& status);

// Merges the status of another node and adopts its verdict, if any.
void MergeStatus(VersionTrial& trial,
                 const std::string& node,
                 const TrialStatus& status,
                 TimePoint now);

// The link to another node was lost. Its counters still count; what it said of
// its own state may have changed since.
void ForgetState(VersionTrial& trial, const std::string& node);

// Share of the service's requests that the new version gets now, 0..1.
[[nodiscard]] double ShareOf(const VersionTrial& trial, TimePoint now);

// Number of upstreams of the new version, out of `ready`, that may get requests
// at `share`. At the second step all of them do, so that slow and fast VMs even
// out. So they do under suspicion: the others show whether only the first ones
// are at fault.
[[nodiscard]] std::size_t UpstreamsInUse(const VersionTrial& trial,
                                         std::size_t ready,
                                         double share);

// Judges the counters of all nodes.
[[nodiscard]] TrialFinding JudgeTrial(const VersionTrial& trial);

// What the node knows besides the counters.
struct TrialView {
  bool new_ready = false;
  // Nothing runs or waits at an upstream of an old version.
  bool old_idle = false;
  // Every connected node has reported that it has moved.
  bool all_moved = false;
  // This node judges the trial. The others take over what such nodes report.
  bool evaluates = true;
};

// One step, a few times a second: sets `progress`. Returns true if it changed.
bool StepTrial(VersionTrial& trial, const TrialView& view, TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_VERSION_TRIAL_H_
