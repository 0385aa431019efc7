// The gate between its callers and an upstream on a real socket.
#include "edge/gate.h"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>

#include "base/clock.h"
#include "contract/raw_socket.h"

namespace teaselspread {
namespace {

using namespace std::chrono_literals;

const EdgeHeaderNames kNames = {"X-Deadline", "X-Caller",  "X-Account",
                                "X-Expected", "X-Not-Run", "X-Signature",
                                "X-Instance", "X-Load",    "X-Warm-Up",
                                "X-Limit",    "X-Leaving"};

const std::string kPoison = "/view/poison";

RunFrame FrameFor(const std::string& path) {
  RunFrame frame;
  frame.route = "r-view";
  frame.idempotent = true;
  frame.deadline_ms = 2000;
  frame.aim_ms = 2000;
  frame.request.method = "GET";
  frame.request.target = path;
  SetHeader(frame.request.headers, "X-Request-Id", "q-" + path);
  return frame;
}

UpstreamHeartbeat HeartbeatOf(const std::string& instance,
                              std::int64_t born_ms) {
  UpstreamHeartbeat heartbeat;
  heartbeat.instance = instance;
  heartbeat.service = "desk";
  heartbeat.version = "v1";
  heartbeat.slots = 1;
  heartbeat.born_ms = born_ms;
  heartbeat.sequence = 1;
  return heartbeat;
}

// A gate that runs one request at a time at the upstream behind `address`.
struct TestGate {
  boost::asio::io_context io;
  Gate gate{this->io, kNames, LeaseSettings{}};

  explicit TestGate(const Address& address) {
    this->gate.SetUpstreamAddress(address);
    this->gate.SetOrdersKnown();
    (void)this->gate.OnHeartbeat(HeartbeatOf("i-1", 1));
  }

  void RunUntil(const std::function<bool()>& done) {
    const TimePoint end = SteadyNow() + 3s;
    while (!done() && SteadyNow() < end)
      this->io.run_for(10ms);
  }

  // The result of a request; nullopt if none came in time.
  std::optional<ResultFrame> Run(const RunFrame& frame) {
    std::optional<ResultFrame> result;
    this->gate.Run(1, frame, [&](const ResultFrame& got) { result = got; });
    this->RunUntil([&] { return result.has_value(); });
    return result;
  }
};

// Another node reports `crashes` upstreams that the request has crashed.
void ReportCrashes(Gate& gate,
                   const std::string& node,
                   std::uint64_t origin,
                   std::uint32_t crashes) {
  constexpr std::uint32_t kMinutes = 5;
  const Fingerprint fingerprint = FingerprintOf(FrameFor(kPoison).request, "");
  gate.crash_evidence.Merge(node,
                            {{fingerprint, origin, crashes, 0, kMinutes}});
}

// Guards against one more crash of an upstream: the request waited for a slot
// when its third crash became known elsewhere, and started all the same.
Test(gate, what_waits_is_not_started_once_it_is_refused) {
  std::atomic<int> requests{0};
  ScriptedPeer upstream([&](const RawSocket& socket, int) {
    while (!ScriptedPeer::ReadHead(socket).empty()) {
      ++requests;
      std::this_thread::sleep_for(100ms);
      socket.Send(
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Signature: s\r\n"
          "X-Request-Id: q-/view/1\r\n\r\n");
    }
  });
  TestGate test(upstream.At());
  std::optional<ResultFrame> served;
  std::optional<ResultFrame> refused;
  test.gate.Run(1, FrameFor("/view/1"),
                [&](const ResultFrame& result) { served = result; });
  test.gate.Run(2, FrameFor(kPoison),
                [&](const ResultFrame& result) { refused = result; });
  cr_assert_eq(CountWaiting(test.gate.AdmissionState()), 1);
  ReportCrashes(test.gate, "b-1", 1, 3);
  test.RunUntil([&] { return served && refused; });
  cr_assert(served.has_value() && served->has_response);
  cr_assert(refused.has_value());
  cr_assert_eq(refused->error, ErrorKind::kCrashSuspect);
  cr_assert_eq(refused->execution, Execution::kNotRun);
  cr_assert_eq(requests, 1);
  cr_assert_eq(test.gate.CountRunning(), 0U, "its slot is free");
}

// Guards against a request that runs at an upstream of another service: it
// waited for one that fell silent, and whose address the other one has got.
Test(gate, what_waits_for_a_process_is_not_run_by_the_next_one) {
  std::atomic<int> requests{0};
  ScriptedPeer upstream([&](const RawSocket& socket, int) {
    (void)ScriptedPeer::ReadHead(socket);
    ++requests;
    upstream.StaySilent(socket);
  });
  TestGate test(upstream.At());
  std::optional<ResultFrame> refused;
  test.gate.Run(1, FrameFor("/view/1"), [](const ResultFrame&) {});
  test.gate.Run(2, FrameFor("/view/2"),
                [&](const ResultFrame& result) { refused = result; });
  cr_assert_eq(CountWaiting(test.gate.AdmissionState()), 1);
  UpstreamHeartbeat next = HeartbeatOf("i-2", 2);
  next.service = "works";
  cr_assert(test.gate.OnHeartbeat(next) == HeartbeatResult::kAccepted);
  cr_assert(refused.has_value(), "it still waits");
  cr_assert_eq(refused->error, ErrorKind::kNotReady);
  cr_assert_eq(refused->execution, Execution::kNotRun);
  cr_assert_eq(CountWaiting(test.gate.AdmissionState()), 0);
  test.RunUntil([&] { return requests > 0; });
  cr_assert_eq(requests, 1);
}

// Guards against a request that goes on crashing upstreams because a response
// which says that it did not run counts as proof that it is harmless.
Test(gate, a_response_without_a_run_clears_no_suspicion) {
  ScriptedPeer upstream([&](const RawSocket& socket, int) {
    (void)ScriptedPeer::ReadHead(socket);
    socket.Send(
        "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nX-Not-Run: 1\r\n"
        "X-Request-Id: q-/view/poison\r\n\r\n");
    upstream.StaySilent(socket);
  });
  TestGate test(upstream.At());
  ReportCrashes(test.gate, "b-1", 1, 2);
  const auto result = test.Run(FrameFor(kPoison));
  cr_assert(result.has_value() && result->has_response);
  cr_assert_eq(result->response.status, 400);
  ReportCrashes(test.gate, "b-2", 2, 1);
  const Fingerprint fingerprint = FingerprintOf(FrameFor(kPoison).request, "");
  cr_assert(test.gate.crash_evidence.Refuses(fingerprint, "q-2"));
}

// Guards against a request that goes on crashing upstreams because its run had
// been answered with a time-out right before: the upstream still worked on it.
Test(gate, a_run_that_timed_out_at_the_upstream_is_blamed_for_its_crash) {
  ScriptedPeer upstream([&](const RawSocket& socket, int) {
    (void)ScriptedPeer::ReadHead(socket);
    socket.Send(
        "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n"
        "X-Signature: s\r\nX-Request-Id: q-/view/poison\r\n\r\n");
    upstream.StaySilent(socket);
  });
  TestGate test(upstream.At());
  const auto result = test.Run(FrameFor(kPoison));
  cr_assert(result.has_value() && result->has_response);
  cr_assert(test.gate.crash_evidence.IsEmpty());
  // It has crashed, and another process has started.
  (void)test.gate.OnHeartbeat(HeartbeatOf("i-2", 2));
  cr_assert_eq(test.gate.crash_evidence.Reported(SteadyNow()).size(), 1U);
}

}  // namespace
}  // namespace teaselspread
