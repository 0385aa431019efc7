// A request that crashes every upstream that runs it, in a fleet whose
// upstreams start again after a crash.
#include "process/crash_fleet.h"

#include <criterion/criterion.h>

#include <atomic>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

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
