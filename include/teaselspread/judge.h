// Sequential likelihood-ratio test of whether the new version of a move is
// worse than the old one at the same time on the same route.
//
// Responses of both versions are collected in short time strata. For each
// stratum, the likelihood that the new version is worse by a given amount is
// divided by the likelihood that both versions share one unknown ratio. Half
// of the prior weight of that ratio lies on the history of the old version and
// half anywhere, so that a fault of both versions is not blamed on the new one.
// The logarithms are summed over the strata and clamped at zero (as in CUSUM),
// so that a late fault is detected as fast as one at the start.
#ifndef TEASELSPREAD_JUDGE_H_
#define TEASELSPREAD_JUDGE_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "teaselspread/evidence.h"
#include "teaselspread/snapshot.h"
#include "teaselspread/types.h"
#include "teaselspread/verdict.h"

namespace teaselspread {

// Scores are natural logarithms of likelihood ratios. For the choice of the
// thresholds see docs/design/0003-moves.md.
struct JudgeSettings {
  // From this score the share of the new version stops growing and is at most
  // one half.
  double suspect_score = 3;
  // From this score the new version gets no requests until responses of the old
  // version confirm the fault.
  double hold_score = 9;
  // A stratum closes when both versions have this many responses, but not
  // before `min_stratum_age`, which is well above the delay between the arrival
  // of the two versions' counters, ...
  std::uint64_t stratum_responses = 30;
  Duration min_stratum_age = std::chrono::seconds(5);
  // ... or when the old version has this many, ...
  std::uint64_t stratum_old_responses = 100;
  // ... or at this age.
  Duration max_stratum_age = std::chrono::seconds(120);
  // ... or, with enough responses of the new version, at this age even though
  // the old version has too few.
  Duration max_control_wait = std::chrono::seconds(5);
  // A suspicion lasts at least `min_suspicion`, and then until the old version
  // has given this many more responses or until `max_suspicion`.
  std::uint64_t suspicion_old_responses = 20;
  Duration min_suspicion = std::chrono::seconds(5);
  Duration max_suspicion = std::chrono::seconds(30);
  // After the start of the judge, rows with responses from before the start
  // still arrive for this long.
  Duration settling_time = std::chrono::seconds(5);
  // Prior weight of a shared ratio that is independent of the old version's
  // history, as in a fault of both versions.
  double shared_weight = 0.5;
  // The hold lasts at least this long, because the counters of the two versions
  // arrive separately and a shared fault may show on the new one first.
  Duration min_hold = std::chrono::seconds(3);
  Duration max_hold = std::chrono::seconds(120);
  // Responses of the old version during the hold that confirm a fault.
  std::uint64_t hold_old_responses = 3;
  // Minimum number of bad responses for a hold: among many moves, two bad ones
  // in a row occur by chance.
  double min_bad_responses = 3;
  // Fraction of `hold_score` that the score including the previous stratum must
  // reach both at the start and at the end of the hold. A shared fault that has
  // just ended briefly looks like a fault of the version whose counters arrive
  // later, and old responses from after its end would confirm that.
  double confirm_fraction = 0.6;
  // Minimum number of early exits of new upstreams for a crash on start.
  std::uint64_t min_early_exits = 4;
};

enum class Metric : std::uint8_t { kFailures, kLatency, kShedding, kCount };
inline constexpr auto kMetrics = static_cast<std::size_t>(Metric::kCount);
// Number of fault sizes that are tested as alternative hypotheses.
inline constexpr std::size_t kAlternatives = 3;

// Number of responses and of the bad ones (failed, slow or shed) among them.
struct Tally {
  double total = 0;
  double bad = 0;
};

// Tallies of the two versions in one stratum.
struct VersionTallies {
  Tally new_version;
  Tally old_version;
};

// Log-probabilities of a bad and of a good response.
struct LogProbability {
  double bad = 0;
  double good = 0;
};

// One ratio of bad responses of the old version, with the ratios that follow
// for the new version under each hypothesis.
struct RatioPoint {
  LogProbability old;
  LogProbability same;
  std::array<LogProbability, kAlternatives> worse;
};

// Number of ratios at which a shared fault is evaluated.
inline constexpr std::size_t kSharedRatios = 12;

// Precomputed for the bounds of a move, since the judge runs at every node
// twice a second.
struct LikelihoodTable {
  // Increase of the ratio that is not yet a fault.
  double tolerated_increase = 0;
  std::array<double, kAlternatives> fault_increases{};
  std::array<RatioPoint, kSharedRatios> points{};
};

// Counters of the two versions: totals or the increase of totals.
struct VersionTotals {
  EvidenceCounters new_version;
  EvidenceCounters old_version;
};

using ScoreTable = std::array<std::array<double, kAlternatives>, kMetrics>;

// State of the judge for one scope: one route or all routes together, in this
// data centre or in all of them.
//
// The counters of the two versions arrive separately: the new version's share
// of a common fault may fall into a stratum that closes before the old
// version's counters arrive. Evidence of a stratum against the new version is
// therefore summed only as far as it holds when joined with the next stratum.
struct ScopeState {
  // Totals observed last, by data centre.
  std::map<std::string, VersionTotals> last_totals;
  // Counters of the old version before `previous`, the last closed stratum.
  EvidenceCounters history;
  VersionTotals previous;
  VersionTotals current_totals;
  TimePoint current_since;
  // Sums of the strata before `previous`.
  ScoreTable score_sums{};
  // Scores of `previous`.
  ScoreTable previous_scores{};
  // Bad responses of the new version behind the sums, and in `previous`.
  std::array<double, kMetrics> summed_bad{};
  std::array<double, kMetrics> previous_bad{};
};

enum class Finding : std::uint8_t { kNone, kSuspect, kHeld, kFault };

struct JudgeState {
  MoveBounds bounds;
  std::array<LikelihoodTable, kMetrics> tables{};
  std::map<std::string, ScopeState> scopes;
  // Epoch before the first step.
  TimePoint started_at;
  // Epoch while nothing is held.
  TimePoint held_since;
  // Responses of the old version when the hold began.
  std::uint64_t old_runs_at_hold = 0;
  double confirmed_score_at_hold = 0;
  // Epoch while nothing is suspected.
  TimePoint suspected_since;
  std::uint64_t old_runs_at_suspicion = 0;
};

// The test with the highest score in one step.
struct Judgement {
  Finding finding = Finding::kNone;
  VerdictReason reason = VerdictReason::kNone;
  std::string scope;
  double score = 0;
  // The score when joined with the previous stratum.
  double confirmed_score = 0;
  VersionTallies tallies;
};

// The totals of one scope in one data centre: the sum of the rows known now.
struct ScopeTotals {
  std::string scope;
  std::string data_center;
  VersionTotals totals;
  // If false, the totals go to the history only: growth that arrives after a
  // silence cannot be assigned to a time.
  bool counted = true;
};

// Takes in the current totals and returns the judgement. The first call only
// records them. `old_serves` is false when no upstream of the old version is
// ready, so that the judge does not wait for its responses.
// Precondition: `now` does not go back. Not thread safe.
[[nodiscard]] Judgement StepJudge(JudgeState& state,
                                  const JudgeSettings& settings,
                                  const MoveBounds& bounds,
                                  const std::vector<ScopeTotals>& scope_totals,
                                  bool old_serves,
                                  TimePoint now);

// Whether new upstreams repeatedly become ready and vanish while old ones do
// not. Thread safe for constant arguments.
[[nodiscard]] bool CrashesOnStart(const JudgeSettings& settings,
                                  const EvidenceCounters& new_version,
                                  const EvidenceCounters& old_version);

}  // namespace teaselspread

#endif  // TEASELSPREAD_JUDGE_H_
