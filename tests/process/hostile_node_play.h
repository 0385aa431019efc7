// Plays one hostile client against one of two teaselnode processes, beside
// ordinary traffic, and watches their memory. Tests only.
#ifndef TEASELSPREAD_TESTS_PROCESS_HOSTILE_NODE_PLAY_H_
#define TEASELSPREAD_TESTS_PROCESS_HOSTILE_NODE_PLAY_H_

#include <cstddef>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "process/fleet.h"
#include "process/hostile_checks.h"
#include "process/hostile_requests.h"
#include "process/memory_watch.h"
#include "process/ordinary_traffic.h"

#include <criterion/criterion.h>

namespace teaselspread {

inline constexpr std::size_t kMaxNodeBody = std::size_t{40} << 20U;
inline constexpr std::chrono::milliseconds kReadyTime{20'000};

inline const char kNodeConfig[] = R"(deployment: test
data_centers: [bole]
services:
  registry-desk: {version: v1, warm_up: 0s}
  bundle-works: {version: v1, warm_up: 0s}
routes:
  case-index:
    {service: registry-desk, method: GET, path_prefix: /cases, deadline: 5s}
  bundle:
    service: bundle-works
    method: POST
    path_prefix: /bundles
    deadline: 10s
    max_body_bytes: 40MiB
)";

// Two nodes on machines of MachineMb and kDescriptors. The client misuses the
// first; bodies run at the second.
struct WatchedNodes {
  Fleet fleet{"test"};
  std::unique_ptr<MemoryWatch> watch;

  WatchedNodes() {
    RaiseDescriptorLimit();
    this->fleet.SetNodeSettings("memory_mb: " + std::to_string(MachineMb()) +
                                "\n");
    this->fleet.Add("bole", "registry-desk", "v1");
    this->fleet.Add("bole", "bundle-works", "v1");
    cr_assert(this->fleet.Start());
    const CommandResult published =
        this->fleet.Publish(this->fleet.WriteConfig(kNodeConfig));
    cr_assert(published.exit_code == 0, "%s", published.output.c_str());
    cr_assert(WaitUntil([this] { return this->fleet.AllHold(1); }, kReadyTime));
    cr_assert(WaitUntil([this] { return this->fleet.AllSeen(); }, kReadyTime));
    std::vector<WatchedProcess> processes;
    for (std::size_t i = 0; i < this->fleet.size(); ++i) {
      const FleetVm& vm = this->fleet.At(i);
      const rlimit descriptors{kDescriptors, kDescriptors};
      ::prlimit(vm.node->Pid(), RLIMIT_NOFILE, &descriptors, nullptr);
      processes.push_back(
          {vm.node->Pid(), {vm.http.port, vm.control.port, vm.announce.port}});
    }
    this->watch =
        std::make_unique<MemoryWatch>(std::move(processes), MachineBytes());
  }

  [[nodiscard]] FleetVm& Misused() { return this->fleet.At(0); }
};

inline TrafficTarget TargetAt(const FleetVm& vm) {
  return {vm.http, "/cases/1", "/bundles/1"};
}

inline void Play(const HostileClient& client) {
  WatchedNodes watched;
  FleetVm& misused = watched.Misused();
  std::printf("%s\n", client.name.c_str());
  OrdinaryTraffic at_misused(TargetAt(misused));
  OrdinaryTraffic at_other(TargetAt(watched.fleet.At(1)));
  ReadinessProbe probe(misused.http, "/health");
  {
    HostilePlay play(client, client.door == Door::kLink ? misused.control.port
                                                        : misused.http.port);
    play.Run(kPlayTime);
  }
  ExpectReady(probe);
  ExpectServed("meanwhile", at_misused.Stop());
  ExpectServed("meanwhile, the other node", at_other.Stop());
  std::this_thread::sleep_for(kRecovery);
  OrdinaryTraffic after(TargetAt(misused));
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  ExpectServed("afterwards", after.Stop());
  ExpectWithinMemory(*watched.watch);
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_TESTS_PROCESS_HOSTILE_NODE_PLAY_H_
