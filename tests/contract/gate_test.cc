// The gate between its callers and an upstream on a real socket.
#include "edge/gate.h"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <cstdint>
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

UpstreamHeartbeat HeartbeatOf(int slots) {
  UpstreamHeartbeat heartbeat;
  heartbeat.instance = "i-1";
  heartbeat.service = "desk";
  heartbeat.version = "v1";
  heartbeat.slots = slots;
  heartbeat.born_ms = 1;
  heartbeat.sequence = 1;
  return heartbeat;
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
  boost::asio::io_context io;
  Gate gate(io, kNames, LeaseSettings{});
  gate.SetUpstreamAddress(upstream.At());
  gate.SetOrdersKnown();
  (void)gate.OnHeartbeat(HeartbeatOf(1));
  std::optional<ResultFrame> served;
  std::optional<ResultFrame> refused;
  gate.Run(1, FrameFor("/view/1"),
           [&](const ResultFrame& result) { served = result; });
  const RunFrame suspect = FrameFor("/view/poison");
  gate.Run(2, suspect, [&](const ResultFrame& result) { refused = result; });
  cr_assert_eq(CountWaiting(gate.AdmissionState()), 1);
  constexpr std::uint32_t kMinutes = 5;
  gate.crash_evidence.Merge("b-1", {{FingerprintOf(suspect.request, ""), 1,
                                     /*crashes=*/3, 0, kMinutes}});
  const TimePoint end = SteadyNow() + 3s;
  while (!(served && refused) && SteadyNow() < end)
    io.run_for(10ms);
  cr_assert(served.has_value() && served->has_response);
  cr_assert(refused.has_value());
  cr_assert_eq(refused->error, ErrorKind::kCrashSuspect);
  cr_assert_eq(refused->execution, Execution::kNotRun);
  cr_assert_eq(requests, 1);
  cr_assert_eq(gate.CountRunning(), 0U, "its slot is free");
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
  boost::asio::io_context io;
  Gate gate(io, kNames, LeaseSettings{});
  gate.SetUpstreamAddress(upstream.At());
  gate.SetOrdersKnown();
  (void)gate.OnHeartbeat(HeartbeatOf(1));
  const RunFrame suspect = FrameFor("/view/poison");
  const Fingerprint fingerprint = FingerprintOf(suspect.request, "");
  constexpr std::uint32_t kMinutes = 5;
  gate.crash_evidence.Merge("b-1", {{fingerprint, 1, 2, 0, kMinutes}});
  std::optional<ResultFrame> result;
  gate.Run(1, suspect, [&](const ResultFrame& frame) { result = frame; });
  const TimePoint end = SteadyNow() + 3s;
  while (!result && SteadyNow() < end)
    io.run_for(10ms);
  cr_assert(result.has_value() && result->has_response);
  cr_assert_eq(result->response.status, 400);
  gate.crash_evidence.Merge("b-2", {{fingerprint, 2, 1, 0, kMinutes}});
  cr_assert(gate.crash_evidence.Refuses(fingerprint, "q-2"));
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
  boost::asio::io_context io;
  Gate gate(io, kNames, LeaseSettings{});
  gate.SetUpstreamAddress(upstream.At());
  gate.SetOrdersKnown();
  UpstreamHeartbeat heartbeat = HeartbeatOf(1);
  (void)gate.OnHeartbeat(heartbeat);
  std::optional<ResultFrame> result;
  gate.Run(1, FrameFor("/view/poison"),
           [&](const ResultFrame& frame) { result = frame; });
  const TimePoint end = SteadyNow() + 3s;
  while (!result && SteadyNow() < end)
    io.run_for(10ms);
  cr_assert(result.has_value() && result->has_response);
  cr_assert(gate.crash_evidence.IsEmpty());
  // It has crashed, and another process has started.
  heartbeat.instance = "i-2";
  heartbeat.born_ms = 2;
  (void)gate.OnHeartbeat(heartbeat);
  cr_assert_eq(gate.crash_evidence.Reported(SteadyNow()).size(), 1U);
}

}  // namespace
}  // namespace teaselspread
