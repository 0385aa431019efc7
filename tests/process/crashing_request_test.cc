// A request that crashes every upstream that runs it, in a fleet whose
// upstreams start again after a crash.
#include "process/edge_fleet.h"

#include <criterion/criterion.h>

#include <atomic>
#include <cstdio>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

constexpr int kCrashLimit = 3;
const std::string kPoison = "/view/poison";

std::string NextRequestId() {
  static std::atomic<int> next{0};
  return "q-" + std::to_string(++next);
}

HttpResponse View(const EdgeVm& vm, const std::string& path, int deadline_ms) {
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

  void CrashOn(const std::string& path, Ms work) {
    for (const auto& vm : this->vms) {
      vm->upstream.CrashOn(path, work);
      vm->upstream.StartAgainAfter(Ms(300));
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

// Guards against a request that goes on crashing upstreams because a run cut
// short by its deadline, and so before the crash, counts as proof that it is
// harmless.
Test(crashing_request, a_run_cut_short_does_not_clear_it) {
  CrashFleet fleet(5);
  cr_assert(fleet.WaitUntilReady());
  fleet.CrashOn(kPoison, Ms(200));
  const auto desks = fleet.DeskVms();
  // Time for one crash; the retry reaches its deadline before the next.
  constexpr int kDeadlineMs = 320;
  for (std::size_t i = 0; i < 12; ++i) {
    (void)View(*desks.at(i % desks.size()), kPoison, kDeadlineMs);
    std::this_thread::sleep_for(Ms(400));
  }
  cr_assert_leq(fleet.CountCrashes(), kCrashLimit, "%d crashes",
                fleet.CountCrashes());
}

// Guards against a request that goes on crashing upstreams after others did the
// same, while callers fill the slots and upstreams start again.
Test(crashing_request, each_of_several_is_stopped_under_load) {
  CrashFleet fleet(6);
  cr_assert(fleet.WaitUntilReady());
  const auto desks = fleet.DeskVms();
  std::atomic<bool> stopping{false};
  std::vector<std::thread> callers;
  for (const EdgeVm* vm : desks) {
    for (int i = 0; i < 4; ++i) {
      callers.emplace_back([&stopping, vm] {
        while (!stopping)
          (void)View(*vm, "/view/" + NextRequestId(), 1000);
      });
    }
  }
  for (const auto& vm : fleet.vms)
    vm->upstream.SetWork(Ms(20));
  int before = 0;
  std::string over;
  for (int poison = 0; poison < 6; ++poison) {
    const std::string path = kPoison + std::to_string(poison);
    fleet.CrashOn(path, Ms(10));
    for (std::size_t i = 0; i < 10; ++i) {
      (void)View(*desks.at(i % desks.size()), path, 1000);
      std::this_thread::sleep_for(Ms(150));
    }
    const int crashes = fleet.CountCrashes();
    if (crashes - before > kCrashLimit)
      over += path + ": " + std::to_string(crashes - before) + "\n";
    before = crashes;
  }
  stopping = true;
  for (std::thread& caller : callers)
    caller.join();
  // Too long for the message of an assertion.
  if (!over.empty())
    std::fprintf(stderr, "%s", fleet.CrashLogs().c_str());
  cr_assert(over.empty(), "%s", over.c_str());
}

// Guards against asking one gate after the other for a request that this node
// knows to be refused: its caller waits, and the next gate may know less.
Test(crashing_request, it_is_refused_where_it_arrives) {
  CrashFleet fleet(5);
  cr_assert(fleet.WaitUntilReady());
  fleet.CrashOn(kPoison, Ms(5));
  const auto desks = fleet.DeskVms();
  cr_assert(WaitUntil([&] {
    return View(*desks.front(), kPoison, 1000).status == 503 &&
           fleet.CountCrashes() >= kCrashLimit;
  }));
  std::this_thread::sleep_for(Ms(1000));
  const std::string refused_by_gate =
      R"(teaselspread_gate_refused_total{reason="crash-suspect"})";
  const std::size_t before = fleet.SumMetric(refused_by_gate);
  for (const EdgeVm* vm : desks) {
    const HttpResponse response = View(*vm, kPoison, 1000);
    cr_assert_eq(response.status, 503);
    cr_assert_eq(View(*vm, "/view/1", 1000).status, 200);
  }
  cr_assert_eq(fleet.SumMetric(refused_by_gate), before);
}

}  // namespace
}  // namespace teaselspread
