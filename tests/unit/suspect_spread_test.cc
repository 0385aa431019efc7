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
    for (const SuspectTable& table : this->tables)
      reports.push_back(RowsToReport(table, this->now));
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

}  // namespace
}  // namespace teaselspread
