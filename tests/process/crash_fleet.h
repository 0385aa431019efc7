// A fleet whose upstreams start again after a request has crashed them. Tests
// only.
#ifndef TEASELSPREAD_TESTS_PROCESS_CRASH_FLEET_H_
#define TEASELSPREAD_TESTS_PROCESS_CRASH_FLEET_H_

#include <atomic>
#include <chrono>
#include <sstream>
#include <string>
#include <vector>

#include "process/edge_fleet.h"

namespace teaselspread {

// Crashes from which a request is refused.
inline constexpr int kCrashLimit = 3;
inline const std::string kPoison = "/view/poison";

inline std::string NextRequestId() {
  static std::atomic<int> next{0};
  return "q-" + std::to_string(++next);
}

inline HttpResponse View(const EdgeVm& vm,
                         const std::string& path,
                         int deadline_ms) {
  return CallOnce(vm.Outbound(), "GET", path, "",
                  {{"X-Request-Id", NextRequestId()},
                   {"X-Deadline-Ms", std::to_string(deadline_ms)}});
}

// Two data centres with `size` upstreams of "desk" in all.
struct CrashFleet : EdgeFleet {
  explicit CrashFleet(int size) {
    for (int i = 2; i < size; ++i) {
      const std::string number = std::to_string(i);
      this->Add("c-" + number, i % 2 == 0 ? "a" : "b",
                {"i-c" + number, "desk"});
    }
  }

  void CrashOn(const std::string& path, std::chrono::milliseconds work) {
    for (const auto& vm : this->vms) {
      vm->upstream.CrashOn(path, work);
      vm->upstream.StartAgainAfter(std::chrono::milliseconds(300));
    }
  }

  [[nodiscard]] int CountCrashes() const {
    int crashes = 0;
    for (const auto& vm : this->vms)
      crashes += vm->upstream.CountCrashes();
    return crashes;
  }

  // What the nodes logged about crashes and suspects.
  [[nodiscard]] std::string CrashLogs() const {
    std::istringstream lines(this->Logs());
    std::string found;
    for (std::string line; std::getline(lines, line);) {
      if (line.find("service=suspects") != std::string::npos ||
          line.find("event=upstream-") != std::string::npos)
        found += line + "\n";
    }
    return found;
  }

  // The callers' VMs whose upstream is of "desk": the caller is part of what
  // makes two requests the same.
  [[nodiscard]] std::vector<const EdgeVm*> DeskVms() const {
    std::vector<const EdgeVm*> desks;
    for (const auto& vm : this->vms) {
      if (vm->service == "desk")
        desks.push_back(vm.get());
    }
    return desks;
  }

  [[nodiscard]] std::size_t SumMetric(const std::string& name) const {
    std::size_t sum = 0;
    for (const auto& vm : this->vms)
      sum += vm->Metric(name);
    return sum;
  }
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_TESTS_PROCESS_CRASH_FLEET_H_
