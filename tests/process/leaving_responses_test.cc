// Upstreams that say in their responses that they leave, while their heartbeats
// do not, or not yet.
#include "process/edge_fleet.h"

#include <criterion/criterion.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace teaselspread {
namespace {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

// What is agreed with the platform: this long after a node has passed on a
// response that says so, nothing reaches the upstream from there.
constexpr Ms kDrain{2000};

std::string NextRequestId() {
  static std::atomic<int> next{0};
  return "q-" + std::to_string(++next);
}

// Sends requests through every VM for the time.
void Press(const EdgeFleet& fleet, Ms for_ms) {
  const auto until = Clock::now() + for_ms;
  std::vector<std::thread> callers;
  for (const auto& vm : fleet.vms) {
    callers.emplace_back([&vm = *vm, until] {
      while (Clock::now() < until) {
        (void)SendRequest(vm, "GET", "/view/1", NextRequestId());
        std::this_thread::sleep_for(Ms(4));
      }
    });
  }
  for (std::thread& caller : callers)
    caller.join();
}

std::size_t CountRunsSince(standin::MeshUpstream& upstream,
                           Clock::time_point since) {
  std::size_t count = 0;
  for (const standin::MeshRun& run : upstream.Runs())
    count += run.arrived >= since ? 1 : 0;
  return count;
}

// Guards against requests to an upstream that leaves and has said so to their
// callers, because its heartbeats still call it ready.
Test(leaving_responses, nothing_reaches_an_upstream_that_says_it_leaves) {
  EdgeFleet fleet;
  EdgeVm& leaving = fleet.At(0);
  cr_assert(fleet.WaitUntilReady());
  leaving.upstream.SayLeaving();
  Press(fleet, Ms(500));
  const auto bound_from = Clock::now() + kDrain;
  Press(fleet, kDrain + Ms(2000));
  cr_assert_eq(CountRunsSince(leaving.upstream, bound_from), 0U);
  // The other one of its service serves.
  cr_assert_eq(
      SendRequest(fleet.At(1), "GET", "/view/1", NextRequestId()).status, 200);
}

// Guards against requests from nodes that were told, after the node beside the
// upstream was restarted and takes the upstream for ready again: neither
// heartbeats nor the health check say that it leaves.
Test(leaving_responses, a_restart_of_the_node_beside_it_changes_nothing) {
  EdgeFleet fleet;
  EdgeVm& leaving = fleet.At(0);
  EdgeVm& told = fleet.At(1);
  cr_assert(fleet.WaitUntilReady());
  constexpr bool kInHealth = false;
  leaving.upstream.SayLeaving(kInHealth);
  // Until the node has passed on such a response.
  cr_assert(WaitUntil([&] {
    (void)SendRequest(told, "GET", "/view/1", NextRequestId());
    return leaving.Metric("teaselspread_gate_leaving_responses_total") > 0;
  }));
  std::this_thread::sleep_for(kDrain);
  const auto bound_from = Clock::now();
  leaving.Restart();
  // The node asks the upstream, unless another node has reminded it before that
  // the upstream leaves.
  cr_assert(WaitUntil([&] {
              return leaving.Metric("teaselspread_gate_slots") > 0 ||
                     leaving.node->Output().find("event=departure-recalled") !=
                         std::string::npos;
            }),
            "%s", leaving.node->Output().c_str());
  const auto until = Clock::now() + Ms(2000);
  while (Clock::now() < until) {
    const HttpResponse response =
        SendRequest(told, "GET", "/view/1", NextRequestId());
    cr_assert_eq(response.status, 200);
    std::this_thread::sleep_for(Ms(4));
  }
  cr_assert_eq(CountRunsSince(leaving.upstream, bound_from), 0U);
}

}  // namespace
}  // namespace teaselspread
