// Real node processes over loopback: what one of them uses, by their number.
#ifndef TEASELSPREAD_BENCHMARK_CAPACITY_FLEET_H_
#define TEASELSPREAD_BENCHMARK_CAPACITY_FLEET_H_

#include <chrono>
#include <cmath>
#include <string>
#include <thread>
#include <vector>

#include "capacity_fit.h"
#include "fleet_usage.h"

namespace teaselspread::capacity {

struct FleetCost {
  bool good = false;
  double cpu_percent = 0;
  double bytes_s = 0;
  double resident_mb = 0;
  double log_reads_s = 0;
};

inline FleetCost CostOfFleet(int nodes, int data_centers, int run_seconds) {
  using namespace std::chrono_literals;
  Fleet fleet("bench");
  for (int i = 0; i < nodes; ++i)
    fleet.Add("dc-" + std::to_string(i % data_centers), "service-0", "v1");
  for (std::size_t i = 0; i < fleet.size(); ++i)
    fleet.StartNode(fleet.At(i));
  Publisher publisher(fleet, data_centers, 4);
  const auto first = publisher.Publish();
  if (!WaitUntil([&] { return fleet.AllHold(first.first); }, 60s))
    return {};
  std::this_thread::sleep_for(3s);
  const Totals before = TotalsOf(fleet);
  const auto began = std::chrono::steady_clock::now();
  // The letter's rate: about one change in two seconds.
  for (int i = 0; i < run_seconds / 2; ++i) {
    static_cast<void>(publisher.Publish());
    std::this_thread::sleep_until(began + (i + 1) * 2s);
  }
  const double took = MillisecondsSince(began) / 1000;
  const Totals after = TotalsOf(fleet);
  return {true, (after.cpu_seconds - before.cpu_seconds) / nodes / took * 100,
          (after.bytes - before.bytes) / nodes / took,
          after.resident_mb / nodes,
          (after.log_reads - before.log_reads) / took};
}

inline bool MeasureFleet(Rows& rows,
                         const std::vector<int>& sizes,
                         int data_centers,
                         int run_seconds) {
  std::vector<Sample> cpu;
  std::vector<Sample> bytes;
  std::vector<Sample> memory;
  std::vector<Sample> reads;
  for (const int nodes : sizes) {
    const FleetCost cost = CostOfFleet(nodes, data_centers, run_seconds);
    if (!cost.good) {
      std::fprintf(stderr, "not all of %d nodes became ready\n", nodes);
      return false;
    }
    // Two of a data centre's members read the log, and cost more.
    const double share = 2.0 * data_centers / nodes;
    cpu.push_back({share, cost.cpu_percent});
    bytes.push_back({share, cost.bytes_s});
    memory.push_back({share, cost.resident_mb});
    reads.push_back({double(nodes), cost.log_reads_s});
  }
  const std::string at = "share of readers";
  const Line percent =
      Report("process: processor time, a change in 2 s", at, "%", cpu);
  const Line sent =
      Report("process: bytes sent, a change in 2 s", at, "B/s", bytes);
  const Line resident = Report("process: resident", at, "MB", memory);
  static_cast<void>(Report("process: log reads", "node", "/s", reads));
  const std::string kind = "extrapolated";
  for (const bool reader : {false, true}) {
    const std::string role = reader ? "process, reader" : "process, member";
    const double x = reader ? 1 : 2 / kMembers;
    rows.push_back({role, "processor time, a change in 2 s", "% of a core",
                    percent.At(x), kCpuBound, SlopeText(percent, at), kind});
    rows.push_back({role, "bytes sent, a change in 2 s", "B/s", sent.At(x),
                    kBytesBound, SlopeText(sent, at), kind});
    rows.push_back({role, "resident memory, 4 services", "MB", resident.At(x),
                    kMemoryBound, SlopeText(resident, at), kind});
  }
  return true;
}

}  // namespace teaselspread::capacity

#endif  // TEASELSPREAD_BENCHMARK_CAPACITY_FLEET_H_
