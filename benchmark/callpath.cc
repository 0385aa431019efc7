// What the request path costs on real processes over loopback: latency added on
// the own-upstream and the one-hop path against the direct call to the same
// upstream in the same run, requests for each core second of the nodes, and
// goodput under overload against callers that pick an upstream at random
// without admission. One JSON line for each measurement.
//
//   build/callpath --seconds=8 --phases=latency,goodput

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>

#include "process/fleet.h"
#include "process/process_usage.h"

ABSL_FLAG(int, seconds, 8, "length of each measurement");
ABSL_FLAG(std::vector<std::string>,
          phases,
          std::vector<std::string>({"latency", "goodput"}),
          "what to measure");
ABSL_FLAG(int, callers, 16, "callers of the latency phase");
ABSL_FLAG(double, rps, 0, "rate of the latency phase; 0 = half load");

namespace teaselspread {
namespace {

using namespace std::chrono_literals;

constexpr auto kReadyLimit = 30s;
// Upstreams of the goodput phase: 2 * 4 slots of 10 ms.
constexpr double kCapacity = 800;
constexpr int kOverloadCallers = 600;

const char kBase[] = R"(deployment: bench
data_centers: [bole]
services:
  registry-desk: {version: v1, warm_up: 0s, queue_limit: 64}
  bundle-works: {version: v1, warm_up: 0s}
routes:
  case-index:
    {service: registry-desk, method: GET, path_prefix: /, deadline: 250ms}
)";

double LoadAverage() {
  double averages[1] = {0};
  (void)::getloadavg(averages, 1);
  return averages[0];
}

double NodesCpu(Fleet& fleet) {
  double sum = 0;
  for (std::size_t i = 0; i < fleet.size(); ++i)
    sum += ProcessorSeconds(fleet.At(i).node->Pid());
  return sum;
}

// Desks first, then one VM of another service, which has no upstream for the
// requests and so sends them over a hop.
bool Prepare(Fleet& fleet, int desks, const std::string& switches, int slots) {
  for (int i = 0; i < desks; ++i)
    fleet.Add("bole", "registry-desk", "v1",
              {"--switches=" + switches, absl::StrCat("--slots=", slots)});
  fleet.Add("bole", "bundle-works", "v1");
  if (!fleet.Start() || fleet.Publish(fleet.WriteConfig(kBase)).exit_code != 0)
    return false;
  return WaitUntil([&] { return fleet.AllHold(1) && fleet.AllSeen(); },
                   kReadyLimit);
}

// One run of the load generator; its JSON line.
std::string Load(std::vector<std::string> flags) {
  flags.push_back(absl::StrCat("--seconds=", absl::GetFlag(FLAGS_seconds)));
  Program load("load", flags);
  (void)load.WaitExit(std::chrono::seconds(absl::GetFlag(FLAGS_seconds)) + 60s);
  std::string text = load.Output();
  return text.substr(0, text.find('\n'));
}

void Latency(Fleet& fleet, const std::string& path, std::size_t entry) {
  const std::string callers =
      absl::StrCat("--callers=", absl::GetFlag(FLAGS_callers));
  const std::string through = "--through=" + TextOf(fleet.At(entry).http);
  const double cpu = NodesCpu(fleet);
  const std::string closed = Load({through, callers});
  const double used = NodesCpu(fleet) - cpu;
  const YAML::Node answers = YAML::Load(closed)["through"];
  const auto most = answers["rps"].as<double>();
  std::cout << R"({"phase":"closed","path":")" << path << R"(","load_average":)"
            << LoadAverage() << R"(,"node_cpu_us_each":)"
            << used * 1e6 / (most * absl::GetFlag(FLAGS_seconds))
            << R"(,"run":)" << closed << "}" << std::endl;
  // The upstream gets both kinds of calls in turn: together they are half of
  // what the closed loop carried.
  const double asked = absl::GetFlag(FLAGS_rps);
  const double rate = asked > 0 ? asked : most / 2;
  const std::string open =
      Load({through, "--direct=" + TextOf(fleet.At(0).upstream->At()), callers,
            absl::StrCat("--rps=", rate)});
  std::cout << R"({"phase":"added","path":")" << path << R"(","rate_through":)"
            << rate / 2 << R"(,"load_average":)" << LoadAverage()
            << R"(,"run":)" << open << "}" << std::endl;
}

std::string TargetsOf(Fleet& fleet, bool direct) {
  std::string text;
  for (std::size_t i = 0; i + 1 < fleet.size(); ++i)
    absl::StrAppend(
        &text, text.empty() ? "" : ",",
        TextOf(direct ? fleet.At(i).upstream->At() : fleet.At(i).http));
  return text;
}

void Goodput(double factor, bool direct) {
  Fleet fleet("bench");
  // Without admission the upstream queues whatever comes.
  const std::string queue = direct ? ", queue: 100000" : "";
  if (!Prepare(fleet, 2, "{work_ms: 10, work_sigma: 0.3" + queue + "}", 4))
    return;
  const std::string run =
      Load({(direct ? "--direct=" : "--through=") + TargetsOf(fleet, direct),
            absl::StrCat("--callers=", kOverloadCallers),
            absl::StrCat("--rps=", factor * kCapacity), "--timeout_s=0.25"});
  const YAML::Node way = YAML::Load(run)[direct ? "direct" : "through"];
  const auto good = way["status"]["200"].as<double>(0);
  std::cout << R"({"phase":"goodput","way":")" << (direct ? "direct" : "nodes")
            << R"(","factor":)" << factor << R"(,"goodput":)"
            << good / absl::GetFlag(FLAGS_seconds) / kCapacity
            << R"(,"load_average":)" << LoadAverage() << R"(,"run":)" << run
            << "}" << std::endl;
}

void MeasureLatency() {
  Fleet fleet("bench");
  if (!Prepare(fleet, 1, "{work_ms: 0, work_sigma: 0}", 64))
    return;
  Latency(fleet, "own", 0);
  Latency(fleet, "hop", 1);
}

}  // namespace
}  // namespace teaselspread

int main(int argc, char** argv) {
  using namespace teaselspread;
  absl::ParseCommandLine(argc, argv);
  for (const std::string& phase : absl::GetFlag(FLAGS_phases)) {
    if (phase == "latency")
      MeasureLatency();
    if (phase != "goodput")
      continue;
    for (const double factor : {0.5, 1.0, 2.0, 5.0}) {
      for (const bool direct : {false, true})
        Goodput(factor, direct);
    }
  }
}
