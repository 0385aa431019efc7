// A request that crashes every upstream that runs it, whose callers leave
// before the crash.
#include "contract/raw_socket.h"
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

// From the start of a run to its crash, and the shorter time that its caller
// waits.
constexpr Ms kCrashAfter{80};
constexpr Ms kCallerStays{30};
constexpr int kRounds = 12;
// Longer than an upstream needs to start again.
constexpr Ms kRoundTime{500};

void ViewAndLeave(const EdgeVm& vm, const std::string& path) {
  const RawSocket caller = RawSocket::ConnectTo(vm.ports.outbound);
  caller.Send("GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: " +
              NextRequestId() + "\r\nX-Deadline-Ms: 1000\r\n\r\n");
  std::this_thread::sleep_for(kCallerStays);
}

void SendAndLeaveInRounds(CrashFleet& fleet) {
  const auto desks = fleet.DeskVms();
  for (std::size_t i = 0; i < kRounds; ++i) {
    ViewAndLeave(*desks.at(i % desks.size()), kPoison);
    std::this_thread::sleep_for(kRoundTime - kCallerStays);
  }
  // Too long for the message of an assertion.
  if (fleet.CountCrashes() > kCrashLimit)
    std::fprintf(stderr, "%s", fleet.CrashLogs().c_str());
}

// Guards against a request that goes on crashing upstreams because its run is
// forgotten when its caller leaves: only what ran beside it is blamed.
Test(abandoned_crash, others_that_ran_are_not_blamed_alone) {
  CrashFleet fleet(5);
  cr_assert(fleet.WaitUntilReady());
  fleet.CrashOn(kPoison, kCrashAfter);
  for (const auto& vm : fleet.vms)
    vm->upstream.SetWork(Ms(50));
  std::atomic<bool> stopping{false};
  std::vector<std::thread> callers;
  for (const EdgeVm* vm : fleet.DeskVms()) {
    for (int i = 0; i < 2; ++i) {
      callers.emplace_back([&stopping, vm] {
        while (!stopping)
          (void)View(*vm, "/view/" + NextRequestId(), 1000);
      });
    }
  }
  SendAndLeaveInRounds(fleet);
  stopping = true;
  for (std::thread& caller : callers)
    caller.join();
  cr_assert_leq(fleet.CountCrashes(), kCrashLimit, "%d crashes",
                fleet.CountCrashes());
}

// Guards against crashes that are not counted at all, since nothing was in
// flight when the upstream ended.
Test(abandoned_crash, a_crash_is_noticed_although_nothing_is_in_flight) {
  CrashFleet fleet(5);
  cr_assert(fleet.WaitUntilReady());
  fleet.CrashOn(kPoison, kCrashAfter);
  SendAndLeaveInRounds(fleet);
  cr_assert_leq(fleet.CountCrashes(), kCrashLimit, "%d crashes",
                fleet.CountCrashes());
}

}  // namespace
}  // namespace teaselspread
