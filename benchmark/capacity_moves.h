// A node as judge of moves: its step, its evidence and what it says of both.
#ifndef TEASELSPREAD_BENCHMARK_CAPACITY_MOVES_H_
#define TEASELSPREAD_BENCHMARK_CAPACITY_MOVES_H_

#include <memory>
#include <string>
#include <vector>

#include "capacity_fit.h"
#include "teaselspread/evidence.h"
#include "teaselspread/moves.h"

namespace teaselspread::capacity {

inline std::string MoveName(int index) {
  return "case-index-" + std::to_string(index) + "-v2";
}

inline SnapshotPtr MovesSnapshot(int moves, TimePoint now) {
  auto snapshot = boost::intrusive_ptr<Snapshot>(new Snapshot);
  snapshot->version = 1;
  snapshot->data_center = "dc-100";
  snapshot->data_centers = {"dc-100"};
  for (int i = 0; i < moves; ++i) {
    ServiceConfig service;
    service.name = "registry-desk-" + std::to_string(i);
    service.version = "v1";
    snapshot->services[service.name] = service;
    RouteConfig route;
    route.name = "case-index-" + std::to_string(i);
    route.service = service.name;
    snapshot->routes.push_back(route);
    MoveConfig move;
    move.id = MoveName(i);
    move.service = service.name;
    move.from = "v1";
    move.to = "v2";
    move.start = now;
    move.by = now + std::chrono::hours(1);
    snapshot->moves[move.id] = move;
  }
  return snapshot;
}

inline EvidenceKey KeyNumber(int move, int node) {
  return {MoveName(move),
          "vm-" + std::to_string(node),
          1234567890,
          "dc-100",
          node % 2 == 0 ? "v1" : "v2",
          "case-index-" + std::to_string(move)};
}

// New answers at every node of every move, spread over some buckets.
inline void AddAnswers(EvidenceTable& table, int moves, int nodes, Rng& rng) {
  constexpr int kAnswers = 10;
  constexpr int kMostMillis = 200;
  for (int move = 0; move < moves; ++move) {
    for (int node = 0; node < nodes; ++node) {
      for (int i = 0; i < kAnswers; ++i)
        RecordResponse(table, KeyNumber(move, node),
                       {ResponseOutcome::kSucceeded,
                        std::chrono::milliseconds(rng() % kMostMillis), false});
    }
  }
}

struct MovesCost {
  double step_us = 0;
  double bytes = 0;
  double row_bytes = 0;
};

inline MovesCost CostOfMoves(int moves, int nodes) {
  constexpr int kSteps = 25;
  TimePoint now{std::chrono::hours(1)};
  const SnapshotPtr snapshot = MovesSnapshot(moves, now);
  MovesState state;
  state.node = "vm-0";
  state.data_center = "dc-100";
  MoveCapacity capacity;
  for (const auto& [name, service] : snapshot->services) {
    capacity.ready_slots[{name, "v1"}] = 100;
    capacity.ready_slots[{name, "v2"}] = 100;
  }
  MovesCost cost;
  const double before = BytesInUse();
  EvidenceTable table;
  Rng rng(1);
  std::vector<double> times;
  for (int i = 0; i < kSteps; ++i) {
    AddAnswers(table, moves, nodes, rng);
    now += std::chrono::seconds(1);
    capacity.last_contact["dc-100"] = now;
    const double begin = ThreadMicros();
    const auto actions = StepMoves(state, *snapshot, table, capacity, now);
    times.push_back(ThreadMicros() - begin);
  }
  cost.step_us = Summarize(times).p50;
  cost.bytes = BytesInUse() - before;
  const auto& [key, stored] = *table.rows.begin();
  cost.row_bytes = double(EncodeRow({key, stored.counters}).size());
  return cost;
}

// Returns the bytes of an encoded row of evidence.
inline double MeasureMoves(Rows& rows) {
  constexpr int kNodes = 10;
  std::vector<Sample> step;
  std::vector<Sample> memory;
  double row_bytes = 0;
  for (const int moves : {1, 10, 25, 50, 100, 200}) {
    const MovesCost cost = CostOfMoves(moves, kNodes);
    step.push_back({double(moves), cost.step_us});
    memory.push_back({double(moves), cost.bytes});
    row_bytes = cost.row_bytes;
  }
  std::vector<Sample> by_rows;
  for (const int nodes : {2, 10, 20, 40, 80})
    by_rows.push_back({double(nodes) * 10, CostOfMoves(10, nodes).step_us});
  const Line time =
      Report("gatekeeper: step of the moves", "move of 10 rows", "us", step);
  const Line bytes = Report("gatekeeper: state of the moves", "move of 10 rows",
                            "bytes", memory);
  const Line row = Report("gatekeeper: step of 10 moves", "row", "us", by_rows);
  const double live = kServices / 10;
  const std::string kind = "estimate: 200 live moves";
  rows.push_back({"gatekeeper", "processor time of the moves, 200 live",
                  "% of a core", time.At(live) / 1e4, kCpuBound,
                  SlopeText(time, "move (us)"), kind});
  rows.push_back({"gatekeeper", "memory of the moves, 200 live", "MB",
                  bytes.At(live) / 1e6, kMemoryBound,
                  SlopeText(bytes, "move (B)"), kind});
  rows.push_back({"gatekeeper", "processor time of 8192 rows of evidence",
                  "% of a core", row.At(kMaxEvidenceRows) / 1e4, kCpuBound,
                  SlopeText(row, "row (us)"), "extrapolated"});
  return row_bytes;
}

}  // namespace teaselspread::capacity

#endif  // TEASELSPREAD_BENCHMARK_CAPACITY_MOVES_H_
