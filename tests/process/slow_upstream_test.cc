// Upstreams that are slow after their start, behind real nodes.
#include "process/edge_fleet.h"

#include <criterion/criterion.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

constexpr std::size_t kPerSecond = 8;
// What is agreed by default for any second: one and a half times the rate, and
// four.
constexpr double kSlack = 4;
constexpr double kMostInASecond = 1.5 * kPerSecond + kSlack;

std::string NextRequestId() {
  static std::atomic<int> next{0};
  return "q-" + std::to_string(++next);
}

// The usual configuration, with a limit for upstreams of "desk".
std::string LimitedConfig() {
  std::string text = ConfigText("00000001");
  const std::string desk = R"({"name":"desk",)";
  text.insert(
      text.find(desk) + desk.size(),
      R"("warmupS":3,"warmupPerS":)" + std::to_string(kPerSecond) + ",");
  return text;
}

double SecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

// Checks the requests that an upstream got within `seconds`. On a busy machine
// those of one second may arrive in the next one, so only the sum shows what
// the gate has started; start_pace_test checks every second on a virtual clock.
void AssertWithinLimit(std::size_t runs, double seconds) {
  const double limit = kMostInASecond * seconds + kSlack;
  cr_assert_leq(static_cast<double>(runs), limit, "%zu in %.3f s", runs,
                seconds);
}

// Sends requests at many times the limit through all `vms` for the time.
void Press(const std::vector<EdgeVm*>& vms, Ms for_ms) {
  const auto until = std::chrono::steady_clock::now() + for_ms;
  std::vector<std::thread> callers;
  for (EdgeVm* vm : vms) {
    for (int i = 0; i < 4; ++i) {
      callers.emplace_back([vm, until] {
        while (std::chrono::steady_clock::now() < until) {
          (void)SendRequest(*vm, "GET", "/view/1", NextRequestId());
          std::this_thread::sleep_for(Ms(2));
        }
      });
    }
  }
  for (std::thread& caller : callers)
    caller.join();
}

// Guards against an upstream that crashes right after its start, again and
// again, as all entries send it as much as its slots take.
Test(slow_upstream, gets_no_more_than_it_bears_from_all_entries) {
  standin::StoreService& store = *new standin::StoreService;
  store.Put("keyed.op", "config", LimitedConfig());
  standin::MeshUpstreamOptions slow{"i-a1", "desk"};
  slow.warm_up = std::chrono::seconds(60);
  EdgeVm beside("a-1", "a", slow, store.Port());
  EdgeVm other("a-2", "a", {"i-a2", "works"}, store.Port());
  cr_assert(WaitUntil([&] {
    return SendRequest(beside, "GET", "/view/1", "settle").status == 200 &&
           SendRequest(other, "GET", "/view/1", "settle").status == 200;
  }));
  cr_assert_gt(beside.Metric("teaselspread_gate_slow_start_ms"), 0U);
  const std::size_t before = beside.upstream.Runs().size();
  const auto start = std::chrono::steady_clock::now();
  Press({&beside, &other}, std::chrono::seconds(3));
  const std::size_t runs = beside.upstream.Runs().size() - before;
  AssertWithinLimit(runs, SecondsSince(start));
  cr_assert_geq(runs, kPerSecond, "%zu", runs);
}

// A node is restarted beside a slow upstream and knows of it from its health
// check, before any heartbeat.
Test(slow_upstream, is_found_slow_by_a_node_that_starts_beside_it) {
  standin::StoreService& store = *new standin::StoreService;
  store.Put("keyed.op", "config", LimitedConfig());
  standin::MeshUpstreamOptions slow{"i-a1", "desk"};
  slow.warm_up = std::chrono::seconds(60);
  EdgeVm vm("a-1", "a", slow, store.Port());
  const auto serves = [&] {
    return SendRequest(vm, "GET", "/view/1", "settle").status == 200;
  };
  cr_assert(WaitUntil(serves));
  vm.upstream.BeSilent();
  vm.Restart();
  cr_assert(WaitUntil(serves));
  const std::size_t before = vm.upstream.Runs().size();
  const auto start = std::chrono::steady_clock::now();
  Press({&vm}, std::chrono::seconds(2));
  AssertWithinLimit(vm.upstream.Runs().size() - before, SecondsSince(start));
}

}  // namespace
}  // namespace teaselspread
