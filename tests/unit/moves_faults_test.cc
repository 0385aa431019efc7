#include <criterion/criterion.h>

#include "../../benchmark/moves_trial.h"
#include "teaselspread/move_account.h"

namespace teaselspread::trial {
namespace {

constexpr std::string_view kMove = "move-ledger-desk";

Setup SetupOf(Class kind, std::uint64_t seed, double rate) {
  Setup setup;
  setup.site = kSites.at(2);
  setup.kind = kind;
  setup.seed = seed;
  setup.rate = rate;
  return setup;
}

AccountState StateAt(Trial& trial, std::size_t place) {
  const auto account = MakeAccount(trial.nodes.at(place), trial.snapshot,
                                   trial.CapacityAt(place), trial.Now());
  return account.front().state;
}

bool IsRolledBack(const MovesState& node) {
  const auto verdict = node.verdicts.find(std::string(kMove));
  return verdict != node.verdicts.end() &&
         verdict->second.stage == MoveStage::kRolledBack;
}

// A data centre is cut off during the ramp. If the move were reported as done,
// operators would remove the old upstreams that it still uses.
Test(moves_faults, no_node_reports_done_while_a_data_center_is_unreachable) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    Trial trial(SetupOf(Class::kPlain, seed, 100));
    trial.cut_place = seed % 3;
    trial.cut_from = 20;
    trial.cut_until = 290;
    trial.trace = [&trial] {
      // Silence is detected after ten seconds.
      const bool unheard = trial.time > 31 && trial.time < trial.cut_until;
      for (std::size_t place = 0; place < 3 && unheard; ++place) {
        const MovesState& node = trial.nodes.at(place);
        cr_assert(node.verdicts.empty());
        cr_assert(StateAt(trial, place) != AccountState::kDone);
      }
    };
    const Outcome outcome = trial.Run();
    cr_assert(!outcome.taken_back);
    cr_assert(outcome.ended_after >= 290, "seed %d", static_cast<int>(seed));
  }
}

// The data centre that is cut off is the one with the faulty upstreams. The
// others see no fault and must not finish the move without it.
Test(moves_faults, a_fault_in_a_cut_off_data_center_ends_the_move_everywhere) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    Trial trial(SetupOf(Class::kOneDataCenter, seed, 200));
    trial.cut_place = trial.movers.front().fault_place;
    trial.cut_from = 1;
    trial.cut_until = 280;
    const Outcome outcome = trial.Run();
    cr_assert(outcome.taken_back && !outcome.split, "seed %d",
              static_cast<int>(seed));
    for (const MovesState& node : trial.nodes)
      cr_assert(IsRolledBack(node));
  }
}

// Every process of a data centre is restarted in the middle of a move and has
// only the reports of its peers and the evidence to resume from.
Test(moves_faults, a_restarted_node_resumes_where_it_was) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    Trial trial(SetupOf(Class::kPlain, seed, 100));
    double before = 0;
    trial.trace = [&trial, &before] {
      if (trial.time == 120) {
        MovesState& node = trial.nodes.at(1);
        before = node.moves.at(std::string(kMove)).share;
        MovesState restarted;
        restarted.node = node.node;
        restarted.data_center = node.data_center;
        restarted.reports = node.reports;
        node = restarted;
        trial.tables.at(1) = {};
      }
      if (trial.time == 126) {
        const double after =
            trial.nodes.at(1).moves.at(std::string(kMove)).share;
        cr_assert(after >= before, "%.3f after %.3f", after, before);
      }
    };
    const Outcome outcome = trial.Run();
    cr_assert(outcome.done_in_time, "seed %d", static_cast<int>(seed));
  }
}

// A restarted node receives its evidence only seconds later. If it took that
// for a service without traffic, it would give the new version half of the
// requests at once.
Test(moves_faults, a_restarted_node_gives_no_more_than_the_others) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    Trial trial(SetupOf(Class::kPlain, seed, 400));
    trial.trace = [&trial] {
      MovesState& node = trial.nodes.at(1);
      if (trial.time == 20) {
        MovesState restarted;
        restarted.node = node.node;
        restarted.data_center = node.data_center;
        restarted.reports = node.reports;
        node = restarted;
      }
      if (trial.time >= 20 && trial.time < 26) {
        trial.tables.at(1) = {};
        const auto share = [&trial](std::size_t place) {
          return ShareOf(trial.nodes.at(place), trial.snapshot, "ledger-desk",
                         "v2");
        };
        cr_assert(share(1) <= share(0) + 1e-9, "%.3f", share(1));
      }
    };
    cr_assert(trial.Run().done_in_time);
  }
}

// A restart loses the judge's state. A bad version must still be detected, and
// the verdict must not differ between data centres.
Test(moves_faults, restarts_do_not_hide_a_bad_version) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    Trial trial(SetupOf(Class::kFailsLater, seed, 200));
    trial.trace = [&trial] {
      const auto tick = static_cast<std::uint64_t>(std::max(0.0, trial.time));
      if (trial.time != static_cast<double>(tick) || tick % 40 != 30)
        return;
      const std::size_t place = tick / 40 % 3;
      MovesState restarted;
      restarted.node = trial.nodes.at(place).node;
      restarted.data_center = trial.nodes.at(place).data_center;
      // The verdicts come from a running peer.
      restarted.verdicts = trial.nodes.at((place + 1) % 3).verdicts;
      trial.nodes.at(place) = restarted;
      trial.tables.at(place) = {};
    };
    const Outcome outcome = trial.Run();
    cr_assert(outcome.taken_back && !outcome.split, "seed %d",
              static_cast<int>(seed));
  }
}

// The log is down at the time of the verdict. The verdict has to spread without
// it and be appended as soon as the log is reachable, or a restart of all nodes
// would start the move again.
Test(moves_faults, a_verdict_reaches_the_log_after_its_outage) {
  Trial trial(SetupOf(Class::kFailsAtOnce, 4, 100));
  trial.log_down_until = 60;
  // The trial ends soon after the verdict; the test continues the steps itself.
  const Outcome outcome = trial.Run();
  cr_assert(outcome.taken_back && !outcome.split && trial.log.empty());
  MovesState& node = trial.nodes.front();
  int appends = 0;
  const TimePoint ended = trial.Now();
  for (int second = 0; second < 60; ++second) {
    const TimePoint now = ended + std::chrono::seconds(second);
    for (const MoveAction& action :
         StepMoves(node, trial.snapshot, {}, {}, now)) {
      if (action.kind != MoveActionKind::kAppendVerdict)
        continue;
      ++appends;
      if (second >= 30)
        OnLoggedVerdict(node, action.verdict, now);
    }
  }
  // Every five seconds until the log accepted it.
  cr_assert(appends >= 5 && appends <= 8, "%d appends", appends);
  // Restarted nodes read the log.
  MovesState restarted;
  restarted.data_center = node.data_center;
  OnLoggedVerdict(restarted, node.verdicts.begin()->second, trial.Now());
  cr_assert(StepMoves(restarted, trial.snapshot, {}, {}, trial.Now()).size() <=
            3);
  cr_assert(ShareOf(restarted, trial.snapshot, "ledger-desk", "v2") == 0);
}

}  // namespace
}  // namespace teaselspread::trial
