// Is the new version worse than the old one at the same time on the same route?
//
// A sequential test. Answers of both versions are collected in short strata of
// time. In each stratum the likelihood that the new version is worse by a
// stated amount is divided by the likelihood that both share one ratio, with
// the ratio itself unknown: half its weight lies on the history of the old
// version, half anywhere, so that a fault that both share explains itself. The
// logarithms add up over the strata and are never carried below zero, so that a
// fault which begins late is seen as soon as one at the start.
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

// Thresholds in natural logarithms of a likelihood ratio. The curve that they
// were chosen from is in docs/design/0003-moves.md.
struct JudgeSettings {
  // Exposure stops growing, and is halved at most, from here.
  double suspect_score = 3;
  // The new version gets nothing until the old one has confirmed the fault.
  double hold_score = 9;
  // A stratum closes when both versions gave this many answers, not before it
  // is much longer than the counters of the two travel apart, ...
  std::uint64_t stratum_responses = 30;
  Duration min_stratum_age = std::chrono::seconds(5);
  // ... or the old one this many, ...
  std::uint64_t stratum_old_responses = 100;
  // ... or at this age.
  Duration max_stratum_age = std::chrono::seconds(120);
  // ... or when the old version has not answered for so long.
  Duration max_control_wait = std::chrono::seconds(5);
  // A doubt lasts until the old version has given this many answers beside the
  // new one, or for so long.
  std::uint64_t suspicion_old_responses = 20;
  Duration min_suspicion = std::chrono::seconds(5);
  Duration max_suspicion = std::chrono::seconds(30);
  // After the start of the judge rows still come in that are older than it.
  Duration settling_time = std::chrono::seconds(5);
  // Weight of a ratio that has nothing to do with the old version's history,
  // which is how a fault of both versions looks.
  double shared_weight = 0.5;
  // The hold lasts at least this long, because counters of the two versions
  // travel apart and a shared fault may show on the new one first.
  Duration min_hold = std::chrono::seconds(3);
  Duration max_hold = std::chrono::seconds(120);
  // Answers of the old version during the hold.
  std::uint64_t hold_old_responses = 3;
  // Bad answers without which nothing is held: two in a row happen by chance
  // somewhere among many moves.
  double min_bad_responses = 3;
  // Part of `hold` that the evidence must reach together with the stratum
  // before, both at the start and at the end of the hold. A shared fault that
  // has just ended looks for a moment like one of the version whose counters
  // come later, and old answers from after its end would confirm that.
  double confirm_fraction = 0.6;
  // Early exits of new upstreams before they can count as crashing on start.
  std::uint64_t min_early_exits = 4;
};

enum class Metric : std::uint8_t { kFailures, kLatency, kShedding, kCount };
inline constexpr auto kMetrics = static_cast<std::size_t>(Metric::kCount);
// Sizes of the fault that are tested side by side.
inline constexpr std::size_t kAlternatives = 3;

// Bad answers out of so many.
struct Tally {
  double total = 0;
  double bad = 0;
};

// The two versions in one stratum.
struct VersionTallies {
  Tally new_version;
  Tally old_version;
};

// Logarithms of the chances of a bad and of a good answer.
struct LogProbability {
  double bad = 0;
  double good = 0;
};

// One ratio of the old version with what it makes of the new one under each
// hypothesis.
struct RatioPoint {
  LogProbability old;
  LogProbability same;
  std::array<LogProbability, kAlternatives> worse;
};

// Ratios that a fault of both versions is taken to have.
inline constexpr std::size_t kSharedRatios = 12;

// Worked out once for the bounds of a move, since the judge runs at every node
// twice a second.
struct LikelihoodTable {
  // Added ratio that is still no fault.
  double tolerated_increase = 0;
  std::array<double, kAlternatives> fault_increases{};
  std::array<RatioPoint, kSharedRatios> points{};
};

// The two versions, as sums of rows or as what was added to them.
struct VersionTotals {
  EvidenceCounters new_version;
  EvidenceCounters old_version;
};

using ScoreTable = std::array<std::array<double, kAlternatives>, kMetrics>;

// What the judge keeps for one scope: a route of the own data centre or of all,
// or all routes together.
//
// Counters of the two versions travel apart: of a fault that both share, the
// new version's part may come first, in a stratum that closes before the old
// one's part has come. What a stratum says against the new version is therefore
// summed only as far as it still holds when the next stratum is added to it.
struct ScopeState {
  // Totals counted so far, by data centre.
  std::map<std::string, VersionTotals> last_totals;
  // The old version before the last closed stratum.
  EvidenceCounters history;
  VersionTotals previous;
  VersionTotals current_totals;
  TimePoint current_since;
  // Up to the stratum before `last`.
  ScoreTable score_sums{};
  // What `last` adds.
  ScoreTable previous_scores{};
  // Bad answers of the new version behind the sums, and in `last`.
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
  // Answers of the old version when the hold began.
  std::uint64_t old_runs_at_hold = 0;
  double confirmed_score_at_hold = 0;
  // Epoch while nothing is doubted.
  TimePoint suspected_since;
  std::uint64_t old_runs_at_suspicion = 0;
};

// The strongest test at this moment.
struct Judgement {
  Finding finding = Finding::kNone;
  VerdictReason reason = VerdictReason::kNone;
  std::string scope;
  double score = 0;
  // The score together with the stratum before.
  double confirmed_score = 0;
  VersionTallies tallies;
};

// The totals of one scope in one data centre, the sum of the rows known now.
struct ScopeTotals {
  std::string scope;
  std::string data_center;
  VersionTotals totals;
  // False: take note only. What comes after a silence cannot be put side by
  // side in time.
  bool counted = true;
};

// Feeds the totals of this moment and says what they show. The first call only
// takes note of them. `old_serves` is false when no upstream of the old version
// is ready, so that waiting for its answers is pointless.
// Precondition: `now` does not go back. Not thread safe.
[[nodiscard]] Judgement StepJudge(JudgeState& state,
                                  const JudgeSettings& settings,
                                  const MoveBounds& bounds,
                                  const std::vector<ScopeTotals>& feeds,
                                  bool old_serves,
                                  TimePoint now);

// New upstreams that announce themselves and vanish again and again, when the
// old ones do not. Thread safe for constant arguments.
[[nodiscard]] bool CrashesOnStart(const JudgeSettings& settings,
                                  const EvidenceCounters& fresh,
                                  const EvidenceCounters& old);

}  // namespace teaselspread

#endif  // TEASELSPREAD_JUDGE_H_
