// How counts of crashes spread between nodes, on a virtual clock: every node
// reports to all others whenever its table changes.
#include "teaselspread/suspects.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr std::uint32_t kCrashLimit = 3;
constexpr std::size_t kSlots = 14;
constexpr Fingerprint kPoison = 1;

struct Fleet {
  Fleet(std::size_t nodes, std::uint32_t seed) : rng(seed), tables(nodes) {
    std::uint64_t origin = 100;
    for (SuspectTable& table : this->tables) {
      table.origin = ++origin;
      table.settings.crash_limit = kCrashLimit;
    }
  }

  std::size_t Draw(std::size_t below) {
    return std::uniform_int_distribution<std::size_t>(0, below - 1)(this->rng);
  }

  // The upstream beside `node` crashes while `suspect` and requests that never
  // come again fill its slots.
  void Crash(std::size_t node, Fingerprint suspect) {
    std::vector<Fingerprint> in_flight = {suspect};
    while (in_flight.size() < kSlots)
      in_flight.push_back(this->rng() | (Fingerprint{1} << 40U));
    OnCrash(this->tables.at(node), in_flight, this->now);
    this->Spread();
  }

  // Reports until no report changes a table any more.
  void Spread() {
    constexpr int kMaxRounds = 20;
    for (int round = 0; round < kMaxRounds && this->SpreadOnce(); ++round)
      this->now += Ms(5);
  }

  bool SpreadOnce() {
    bool changed = false;
    std::vector<std::vector<SuspectRow>> reports;
    for (const SuspectTable& table : this->tables) {
      auto& rows = reports.emplace_back(RowsToReport(table, this->now));
      const auto relayed = RowsToRelay(table, this->now);
      rows.insert(rows.end(), relayed.begin(), relayed.end());
    }
    for (std::size_t to = 0; to < this->tables.size(); ++to) {
      for (std::size_t from = 0; from < reports.size(); ++from) {
        changed |= from != to && !MergeSuspects(this->tables.at(to),
                                                reports.at(from), this->now)
                                      .empty();
      }
    }
    return changed;
  }

  std::mt19937 rng;
  std::vector<SuspectTable> tables;
  TimePoint now = kStart;
};

// Sends the same crashing request `attempts` times to gates of four upstreams
// that come back at once; returns how many upstreams it crashes.
std::size_t CrashRepeatedly(Fleet& fleet, int attempts) {
  constexpr std::size_t kUpstreams = 4;
  std::size_t crashed = 0;
  for (int i = 0; i < attempts; ++i) {
    fleet.now += Ms(500);
    const std::size_t gate = fleet.Draw(kUpstreams);
    if (StateOf(fleet.tables.at(gate), kPoison, fleet.now) ==
        SuspectState::kRefused)
      continue;
    ++crashed;
    fleet.Crash(gate, kPoison);
  }
  return crashed;
}

// Guards against a request that crashes upstream after upstream because other
// crashes before fill the reports between nodes.
Test(suspect_spread, a_crashing_request_is_known_after_many_other_crashes) {
  constexpr std::array<int, 6> kCrashesBefore = {0, 2, 4, 6, 10, 20};
  constexpr std::uint32_t kTrials = 40;
  constexpr std::size_t kNodes = 13;
  for (const int before : kCrashesBefore) {
    for (std::uint32_t seed = 0; seed < kTrials; ++seed) {
      Fleet fleet(kNodes, seed);
      for (int i = 0; i < before; ++i)
        fleet.Crash(fleet.Draw(kNodes), fleet.rng());
      const std::size_t crashed = CrashRepeatedly(fleet, 20);
      cr_assert_eq(crashed, kCrashLimit, "%zu crashed, %d before, seed %u",
                   crashed, before, seed);
    }
  }
}

// Guards against nodes that forget when they start anew together: their own
// rows are gone, and only the others can tell them.
Test(suspect_spread, restarted_nodes_learn_it_from_the_others) {
  constexpr std::size_t kNodes = 13;
  for (std::uint32_t seed = 0; seed < 20; ++seed) {
    Fleet fleet(kNodes, seed);
    for (int i = 0; i < 10; ++i)
      fleet.Crash(fleet.Draw(kNodes), fleet.rng());
    cr_assert_eq(CrashRepeatedly(fleet, 20), kCrashLimit);
    fleet.now += std::chrono::seconds(20);
    for (std::size_t node = 0; node < 4; ++node) {
      SuspectTable& table = fleet.tables.at(node);
      table.requests.clear();
      table.origin += 1000;
    }
    fleet.Spread();
    cr_assert_eq(CrashRepeatedly(fleet, 20), 0U, "seed %u", seed);
  }
}

// Guards against tables and reports that grow with the number of crashes, and
// against losing in them the one request that matters.
Test(suspect_spread, a_storm_of_crashes_in_300_nodes_stays_bounded) {
  constexpr std::size_t kNodes = 300;
  Fleet fleet(kNodes, 1);
  const std::vector<Fingerprint> poison = {kPoison};
  for (std::size_t crash = 0; crash < 3 * kNodes; ++crash) {
    std::vector<Fingerprint> in_flight;
    while (in_flight.size() < kSlots)
      in_flight.push_back(fleet.rng() | (Fingerprint{1} << 40U));
    OnCrash(fleet.tables.at(crash % kNodes), in_flight, fleet.now);
  }
  for (std::size_t node = 0; node < kCrashLimit; ++node)
    OnCrash(fleet.tables.at(node), poison, fleet.now);
  for (int round = 0; round < 2; ++round) {
    fleet.SpreadOnce();
    fleet.now += Ms(200);
  }
  for (const SuspectTable& table : fleet.tables) {
    const SuspectSettings& bounds = table.settings;
    cr_assert_leq(table.requests.size(), bounds.max_requests);
    cr_assert_leq(RowsToReport(table, fleet.now).size(),
                  bounds.max_reported_rows);
    cr_assert_leq(RowsToRelay(table, fleet.now).size(),
                  bounds.max_relayed_rows);
    cr_assert(StateOf(table, kPoison, fleet.now) == SuspectState::kRefused);
  }
}

// Guards against rows of one request that every node has blamed for a crash and
// cleared again: they would grow with the number of nodes.
Test(suspect_spread, rows_of_one_request_stay_bounded) {
  SuspectTable table;
  table.settings.crash_limit = kCrashLimit;
  const std::vector<Fingerprint> popular = {kPoison};
  for (std::uint64_t origin = 1; origin <= 300; ++origin) {
    SuspectTable other;
    other.origin = origin;
    auto rows = OnCrash(other, popular, kStart);
    if (origin > kCrashLimit)
      rows = OnCleanRun(other, kPoison, kStart);
    MergeSuspects(table, rows, kStart);
  }
  cr_assert_leq(table.requests.at(kPoison).rows.size(),
                table.settings.max_rows_per_request);
  cr_assert_eq(CrashesOf(table, kPoison, kStart), kCrashLimit,
               "the uncleared rows are kept");
}

}  // namespace
}  // namespace teaselspread
