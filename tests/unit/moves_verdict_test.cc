#include "teaselspread/verdict.h"

#include <criterion/criterion.h>

#include <vector>

#include "teaselspread/moves.h"

namespace teaselspread {
namespace {

Verdict RandomVerdict(Rng& rng) {
  Verdict v;
  v.move = "m1";
  v.service = "registry-desk";
  v.from = "v1";
  v.to = "v2";
  v.stage = rng() % 2 == 0 ? MoveStage::kDone : MoveStage::kRolledBack;
  v.reason = static_cast<VerdictReason>(
      rng() % static_cast<std::uint64_t>(VerdictReason::kCount));
  v.decided_at = TimePoint(std::chrono::seconds(rng() % 3));
  v.data_center = rng() % 2 == 0 ? "bole" : "piassa";
  v.new_runs = rng() % 2;
  return v;
}

DataCenterReport RandomReport(Rng& rng) {
  DataCenterReport r;
  r.move = "m1";
  r.data_center = "bole";
  r.reported_at = TimePoint(std::chrono::seconds(rng() % 4));
  r.share = static_cast<double>(rng() % 3) / 2;
  r.clean = rng() % 2 == 0;
  r.stage = static_cast<MoveStage>(rng() % 3);
  r.new_runs = rng() % 3;
  return r;
}

// Verdicts and reports arrive in any order and more than once. If the join
// depended on the order, two data centres could end a move differently.
Test(moves_verdict, joins_are_commutative_associative_and_idempotent) {
  Rng rng(3);
  for (int i = 0; i < 2000; ++i) {
    const Verdict a = RandomVerdict(rng);
    const Verdict b = RandomVerdict(rng);
    const Verdict c = RandomVerdict(rng);
    cr_assert(JoinVerdicts(a, b) == JoinVerdicts(b, a));
    cr_assert(JoinVerdicts(a, a) == a);
    cr_assert(JoinVerdicts(JoinVerdicts(a, b), c) ==
              JoinVerdicts(a, JoinVerdicts(b, c)));
    const DataCenterReport x = RandomReport(rng);
    const DataCenterReport y = RandomReport(rng);
    const DataCenterReport z = RandomReport(rng);
    cr_assert(JoinReports(x, y) == JoinReports(y, x));
    cr_assert(JoinReports(x, x) == x);
    cr_assert(JoinReports(JoinReports(x, y), z) ==
              JoinReports(x, JoinReports(y, z)));
  }
}

Test(moves_verdict, messages_round_trip_and_truncated_ones_are_refused) {
  Rng rng(5);
  const Verdict verdict = RandomVerdict(rng);
  const DataCenterReport report = RandomReport(rng);
  const std::string verdict_bytes = EncodeVerdict(verdict);
  const std::string report_bytes = EncodeReport(report);
  cr_assert(DecodeVerdict(verdict_bytes).value() == verdict);
  cr_assert(DecodeReport(report_bytes).value() == report);
  for (std::size_t size = 0; size < verdict_bytes.size(); ++size)
    cr_assert(!DecodeVerdict(verdict_bytes.substr(0, size)).has_value());
  for (std::size_t size = 0; size < report_bytes.size(); ++size)
    cr_assert(!DecodeReport(report_bytes.substr(0, size)).has_value());
}

// Verdicts arrive late, twice or reordered. A move that was rolled back must
// not resume because of that.
Test(moves_verdict, a_rolled_back_move_stays_rolled_back) {
  Rng rng(11);
  for (int round = 0; round < 50; ++round) {
    MovesState state;
    bool was_reversed = false;
    for (int i = 0; i < 10; ++i) {
      const Verdict verdict = RandomVerdict(rng);
      MergeVerdict(state, verdict);
      was_reversed |= verdict.stage == MoveStage::kRolledBack;
      const MoveStage stage = state.verdicts.at("m1").stage;
      cr_assert(!was_reversed || stage == MoveStage::kRolledBack);
    }
  }
}

}  // namespace
}  // namespace teaselspread
