// What control costs, measured on real node processes over loopback with the
// stand-in log: convergence, bytes, processor time, memory and log reads
// against the number of nodes. One JSON line for each size and phase.
//
//   build/fleet_bench --nodes=10,20,40,80,150 --data_centers=4 --seconds=20
//   build/fleet_bench --nodes=10 --services=2000        (a large configuration)
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <iostream>
#include <map>
#include <random>
#include <regex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/numbers.h>

#include "fleet_usage.h"
#include "latency.h"
#include "process/fleet.h"

ABSL_FLAG(std::vector<std::string>,
          nodes,
          std::vector<std::string>({"10", "20", "40"}),
          "numbers of nodes");
ABSL_FLAG(int, data_centers, 4, "data centres that they stand in");
ABSL_FLAG(int, services, 4, "services of the configuration");
ABSL_FLAG(int, seconds, 15, "length of each phase");
ABSL_FLAG(double, killed, 0.2, "share of nodes killed and restarted");

namespace teaselspread {
namespace {

using Clock = std::chrono::system_clock;
using namespace std::chrono_literals;

constexpr auto kReadyLimit = 60s;

// Milliseconds since the epoch of a log line's time.
double TimeOfLine(const std::string& line) {
  std::tm parts{};
  int milliseconds = 0;
  std::sscanf(line.c_str(), "%d-%d-%d %d:%d:%d,%d", &parts.tm_year,
              &parts.tm_mon, &parts.tm_mday, &parts.tm_hour, &parts.tm_min,
              &parts.tm_sec, &milliseconds);
  parts.tm_year -= 1900;
  parts.tm_mon -= 1;
  parts.tm_isdst = -1;
  return static_cast<double>(std::mktime(&parts)) * 1000 + milliseconds;
}

// When each version came in force, by the node's own log lines.
std::map<ConfigVersion, double> InForceTimes(const Program& node) {
  std::map<ConfigVersion, double> times;
  std::istringstream lines(node.Output());
  const std::string mark = "event=in-force version=";
  for (std::string line; std::getline(lines, line);) {
    const std::size_t at = line.find(mark);
    if (at == std::string::npos)
      continue;
    times[std::strtoull(line.c_str() + at + mark.size(), nullptr, 10)] =
        TimeOfLine(line);
  }
  return times;
}

double MillisOf(Clock::time_point time) {
  return std::chrono::duration<double, std::milli>(time.time_since_epoch())
      .count();
}

using Published = std::vector<std::pair<ConfigVersion, Clock::time_point>>;

// How long each node took to have each version, or a later one, in force.
std::vector<double> Convergence(Fleet& fleet,
                                const Published& published,
                                const std::set<std::size_t>& but_not) {
  std::vector<double> samples;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (but_not.contains(i))
      continue;
    const auto times = InForceTimes(*fleet.At(i).node);
    for (const auto& [version, began] : published) {
      const auto there = times.lower_bound(version);
      if (version != 0 && there != times.end())
        samples.push_back(there->second - MillisOf(began));
    }
  }
  return samples;
}

void Report(const std::string& phase,
            Fleet& fleet,
            const Totals& before,
            const Totals& after,
            double seconds,
            const std::vector<double>& convergence,
            std::size_t missing) {
  const auto nodes = static_cast<double>(fleet.size());
  std::printf(
      R"({"phase":"%s","nodes":%zu,"services":%d,"seconds":%.1f,)"
      R"("bytes_node_s":%.0f,"cpu_percent":%.3f,"resident_mb":%.1f,)"
      R"("most_mb":%.1f,"log_reads_s":%.2f,"missing":%zu,"convergence":%s})"
      "\n",
      phase.c_str(), fleet.size(), absl::GetFlag(FLAGS_services), seconds,
      (after.bytes - before.bytes) / nodes / seconds,
      (after.cpu_seconds - before.cpu_seconds) / nodes / seconds * 100,
      after.resident_mb / nodes, after.most_mb,
      (after.log_reads - before.log_reads) / seconds, missing,
      JsonOf(Summarize(convergence)).c_str());
  std::printf(R"({"phase":"%s","nodes":%zu,"bytes_node_s_by_kind":{)",
              phase.c_str(), fleet.size());
  const char* comma = "";
  for (const auto& [kind, bytes] : after.by_kind) {
    const auto earlier = before.by_kind.find(kind);
    const double sent =
        bytes - (earlier == before.by_kind.end() ? 0 : earlier->second);
    if (sent <= 0)
      continue;
    std::printf(R"(%s"%s":%.0f)", comma, kind.c_str(), sent / nodes / seconds);
    comma = ",";
  }
  std::printf("}}\n");
  std::fflush(stdout);
}

void Idle(Fleet& fleet) {
  const Totals before = TotalsOf(fleet);
  const auto began = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(
      std::chrono::seconds(absl::GetFlag(FLAGS_seconds)));
  const double seconds = MillisecondsSince(began) / 1000;
  Report("idle", fleet, before, TotalsOf(fleet), seconds, {}, 0);
}

// Nodes killed at once in the middle of the changes and restarted at once.
std::set<std::size_t> Victims(const Fleet& fleet, std::mt19937_64& rng) {
  std::set<std::size_t> victims;
  const auto count = static_cast<std::size_t>(
      absl::GetFlag(FLAGS_killed) * static_cast<double>(fleet.size()));
  while (victims.size() < count)
    victims.insert(rng() % fleet.size());
  return victims;
}

Published Changes(Publisher& publisher, int count) {
  Published published;
  for (int i = 0; i < count; ++i) {
    const auto next = std::chrono::steady_clock::now() + 1s;
    published.push_back(publisher.Publish());
    std::this_thread::sleep_until(next);
  }
  return published;
}

void ChangesPhase(Fleet& fleet, Publisher& publisher, bool killing) {
  std::mt19937_64 rng(7);
  const int count = absl::GetFlag(FLAGS_seconds);
  const auto victims = killing ? Victims(fleet, rng) : std::set<std::size_t>();
  const Totals before = TotalsOf(fleet);
  const auto began = std::chrono::steady_clock::now();
  Published published;
  std::thread changes([&] { published = Changes(publisher, count); });
  if (killing) {
    std::this_thread::sleep_for(std::chrono::seconds(count / 3));
    for (const std::size_t victim : victims)
      fleet.At(victim).node->Signal(SIGKILL);
    for (const std::size_t victim : victims)
      (void)fleet.At(victim).node->WaitExit();
    for (const std::size_t victim : victims)
      fleet.StartNode(fleet.At(victim));
  }
  changes.join();
  const double seconds = MillisecondsSince(began) / 1000;
  const Totals after = TotalsOf(fleet);
  const ConfigVersion last = published.back().first;
  const auto healing = std::chrono::steady_clock::now();
  const bool healed =
      WaitUntil([&] { return fleet.AllHold(last); }, kReadyLimit);
  const auto samples = Convergence(fleet, published, victims);
  const std::size_t expected =
      published.size() * (fleet.size() - victims.size());
  Report(killing ? "changes+kills" : "changes", fleet, before, after, seconds,
         samples, expected - samples.size());
  if (killing)
    std::printf(R"({"phase":"healed","nodes":%zu,"all":%s,"seconds":%.2f})"
                "\n",
                fleet.size(), healed ? "true" : "false",
                MillisecondsSince(healing) / 1000);
}

bool RunSize(int nodes) {
  Fleet fleet("bench");
  const int data_centers = absl::GetFlag(FLAGS_data_centers);
  for (int i = 0; i < nodes; ++i)
    fleet.Add("dc-" + std::to_string(i % data_centers), "service-0", "v1");
  for (std::size_t i = 0; i < fleet.size(); ++i)
    fleet.StartNode(fleet.At(i));
  Publisher publisher(fleet, data_centers, absl::GetFlag(FLAGS_services));
  const auto first = publisher.Publish();
  if (!WaitUntil([&] { return fleet.AllHold(first.first); }, kReadyLimit)) {
    std::cerr << "not all " << nodes << " nodes became ready\n";
    return false;
  }
  std::this_thread::sleep_for(3s);
  Idle(fleet);
  ChangesPhase(fleet, publisher, false);
  ChangesPhase(fleet, publisher, true);
  return true;
}

}  // namespace
}  // namespace teaselspread

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  bool good = true;
  for (const std::string& nodes : absl::GetFlag(FLAGS_nodes)) {
    int count = 0;
    good &= absl::SimpleAtoi(nodes, &count) && teaselspread::RunSize(count);
  }
  return good ? 0 : 1;
}
