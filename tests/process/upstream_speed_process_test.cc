// Upstreams that report in their responses how long work takes at the moment,
// in percent of the usual. Real nodes.
#include "process/edge_fleet.h"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace teaselspread {
namespace {

constexpr const char* kSlots = "teaselspread_gate_slots";

// Guards against a node restarted beside an upstream that sends four figures:
// until the next heartbeat it would refuse all requests.
Test(upstream_speed_process, a_restarted_node_registers_it_by_a_health_check) {
  EdgeFleet fleet;
  EdgeVm& vm = fleet.At(0);
  cr_assert(fleet.WaitUntilReady());
  vm.upstream.ReportWork("130");
  vm.upstream.BeSilent();
  vm.Restart();
  cr_assert(WaitUntil([&] { return vm.Metric(kSlots) == 4; }));
}

// Guards against a header that nobody can read and that stays unnoticed.
Test(upstream_speed_process, a_malformed_figure_is_counted_and_logged_once) {
  EdgeFleet fleet;
  EdgeVm& vm = fleet.At(0);
  cr_assert(fleet.WaitUntilReady());
  vm.upstream.ReportWork("slow");
  vm.upstream.BeSilent();
  vm.Restart();
  // The slots are valid all the same.
  cr_assert(WaitUntil([&] { return vm.Metric(kSlots) == 4; }));
  cr_assert_geq(vm.Metric("teaselspread_gate_loads_ignored_total"), 1U);
  const auto logged_at = [&vm](std::size_t from) {
    return vm.node->Output().find("load-ignored", from);
  };
  cr_assert(WaitUntil([&] { return logged_at(0) != std::string::npos; }));
  for (int i = 0; i < 5; ++i)
    (void)SendRequest(vm, "GET", "/view/1", "more-" + std::to_string(i));
  cr_assert_geq(vm.Metric("teaselspread_gate_loads_ignored_total"), 2U);
  (void)fleet.WaitForLogs("more-4");
  cr_assert_eq(logged_at(logged_at(0) + 1), std::string::npos);
}

// Guards against a figure that only health checks are searched for, and one
// that is believed long after the last response.
Test(upstream_speed_process, the_gate_hears_it_in_each_response) {
  EdgeFleet fleet;
  EdgeVm& vm = fleet.At(0);
  cr_assert(fleet.WaitUntilReady());
  const std::string metric = "teaselspread_gate_work_percent";
  cr_assert_eq(vm.Metrics().find(metric), std::string::npos);
  // Its level, from which the slow moment deviates.
  vm.upstream.ReportWork("100");
  cr_assert(WaitUntil([&] {
    (void)SendRequest(vm, "GET", "/view/1", "tell");
    return vm.Metric(metric) == 100;
  }));
  vm.upstream.ReportWork("250");
  cr_assert(WaitUntil([&] {
    (void)SendRequest(vm, "GET", "/view/1", "tell");
    return vm.Metric(metric) > 200;
  }));
  // Without responses it decays.
  cr_assert(WaitUntil([&] { return vm.Metric(metric) <= 105; }));
}

// Guards against a new process that is taken for as slow as the one before it.
Test(upstream_speed_process, a_new_process_starts_without_a_figure) {
  EdgeFleet fleet;
  EdgeVm& vm = fleet.At(0);
  cr_assert(fleet.WaitUntilReady());
  const std::string metric = "teaselspread_gate_work_percent";
  const auto has_figure = [&] {
    return vm.Metrics().find(metric) != std::string::npos;
  };
  vm.upstream.ReportWork("250");
  cr_assert(WaitUntil([&] {
    (void)SendRequest(vm, "GET", "/view/1", "tell");
    return has_figure();
  }));
  vm.upstream.ReportWork("");
  vm.upstream.StartAgainAfter(std::chrono::milliseconds(200));
  vm.upstream.CrashOn("/view/crash");
  cr_assert(WaitUntil([&] {
    (void)SendRequest(vm, "GET", "/view/crash", "crash");
    return vm.upstream.CountCrashes() > 0;
  }));
  cr_assert(WaitUntil([&] { return !has_figure(); }));
}

// Callers of all VMs, for `length`.
void Press(const EdgeFleet& fleet, std::chrono::milliseconds length) {
  constexpr int kCallersPerVm = 4;
  const auto end = std::chrono::steady_clock::now() + length;
  static std::atomic<int> next{0};
  std::vector<std::thread> callers;
  for (const auto& vm : fleet.vms) {
    for (int i = 0; i < kCallersPerVm; ++i) {
      callers.emplace_back([&vm = *vm, end] {
        while (std::chrono::steady_clock::now() < end) {
          (void)SendRequest(vm, "GET", "/view/1",
                            "press-" + std::to_string(++next));
        }
      });
    }
  }
  for (std::thread& caller : callers)
    caller.join();
}

// Guards against a slowed upstream that goes on getting its usual share, since
// entries on other VMs are not told.
Test(upstream_speed_process, a_slowed_upstream_gets_fewer_requests) {
  using Ms = std::chrono::milliseconds;
  EdgeFleet fleet;
  EdgeVm& slowed = fleet.At(0);
  EdgeVm& usual = fleet.Add("a-3", "a", {"i-a3", "desk"});
  cr_assert(fleet.WaitUntilReady());
  for (EdgeVm* vm : {&slowed, &usual}) {
    vm->upstream.SetWork(Ms(40));
    vm->upstream.ReportWork("100");
  }
  Press(fleet, Ms(1500));
  slowed.upstream.SetWork(Ms(100));
  slowed.upstream.ReportWork("250");
  const std::size_t slowed_before = slowed.upstream.Runs().size();
  const std::size_t usual_before = usual.upstream.Runs().size();
  Press(fleet, Ms(3000));
  const std::size_t to_slowed = slowed.upstream.Runs().size() - slowed_before;
  const std::size_t to_usual = usual.upstream.Runs().size() - usual_before;
  cr_assert_lt(to_slowed * 3, to_usual * 2, "%zu, %zu", to_slowed, to_usual);
  // Entries on other VMs were told, and say so.
  cr_assert_gt(
      slowed.Metric(R"(teaselspread_link_frames_near_total{frame="speed"})"),
      0U);
  const std::string logs = fleet.WaitForLogs("press-1");
  cr_assert_neq(logs.find(" speed=2"), std::string::npos);
  cr_assert_neq(logs.find(" speed_age_ms="), std::string::npos);
}

// Guards against changes where upstreams send three figures: to the bytes
// between nodes, the metrics and the log lines.
Test(upstream_speed_process, without_the_figure_nothing_shows) {
  EdgeFleet fleet;
  cr_assert(fleet.WaitUntilReady());
  Press(fleet, std::chrono::milliseconds(1000));
  for (const auto& vm : fleet.vms) {
    const std::string metrics = vm->Metrics();
    for (const char* name : {"work_percent", "loads_ignored", "\"speed\""})
      cr_assert_eq(metrics.find(name), std::string::npos, "%s", name);
  }
  const std::string logs = fleet.WaitForLogs("press-1");
  cr_assert_eq(logs.find(" speed"), std::string::npos);
}

}  // namespace
}  // namespace teaselspread
