// What a node that stops does with requests that are on their way on a link.
#include "process/edge_fleet.h"

#include <criterion/criterion.h>

#include <string>

#include "contract/frame_reader.h"
#include "contract/raw_socket.h"
#include "edge/frames.h"

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

// A node without an upstream, which calls the gate of another one.
struct CallingPeer {
  ScriptedPeer listener{[this](const RawSocket& socket, int) {
    this->listener.StaySilent(socket);
  }};
  RawSocket link;
  FrameReader reader{this->link, {}};

  explicit CallingPeer(const EdgeVm& vm)
      : link(RawSocket::ConnectTo(vm.ports.link)) {
    this->link.Send(
        EncodeLinkFrame(Hello{"x-1", vm.name, this->listener.At(), 0}));
  }
};

RunFrame UploadOf(std::uint64_t call, std::size_t bytes) {
  RunFrame run;
  run.call_id = call;
  run.route = "r-load";
  run.deadline_ms = 8000;
  run.aim_ms = 4000;
  run.request.method = "POST";
  run.request.target = "/load/x";
  run.request.headers = {{"X-Request-Id", "half-sent"}};
  run.request.body = std::string(bytes, 'u');
  return run;
}

// Guards against an upload whose caller is told that nobody knows whether it
// ran, since its gate's node stopped while it was on its way over a full line.
Test(link_stop, a_request_on_its_way_to_a_stopping_gate_is_refused_as_not_run) {
  EdgeFleet fleet;
  cr_assert(fleet.WaitUntilReady());
  EdgeVm& stopping = fleet.At(1);
  CallingPeer caller(stopping);
  const std::string frame = EncodeLinkFrame(UploadOf(1, 100'000));
  caller.link.Send(frame.substr(0, frame.size() / 2));
  stopping.node->Signal(SIGTERM);
  std::this_thread::sleep_for(Ms(3200));
  caller.link.Send(frame.substr(frame.size() / 2));
  const auto result = caller.reader.Next<ResultFrame>();
  cr_assert(result.has_value(), "%s", stopping.node->Output().c_str());
  cr_expect(result->execution == Execution::kNotRun);
  cr_expect_eq(stopping.upstream.CountRuns("half-sent"), 0);
  caller.link.Shutdown();
  cr_expect_eq(stopping.node->WaitExit(Ms(1000)), 0);
}

// Guards against a stop that waits for a node that closes no link until it is
// killed.
Test(link_stop, a_caller_that_keeps_its_link_does_not_hold_up_the_stop) {
  EdgeFleet fleet;
  cr_assert(fleet.WaitUntilReady());
  EdgeVm& stopping = fleet.At(1);
  const CallingPeer caller(stopping);
  stopping.node->Signal(SIGTERM);
  cr_expect_eq(stopping.node->WaitExit(Ms(6000)), 0);
}

// Guards against a stop that takes longer than its notice although all callers
// have their results.
Test(link_stop, a_node_ends_when_its_callers_have_closed_their_links) {
  EdgeFleet fleet;
  cr_assert(fleet.WaitUntilReady());
  fleet.At(1).node->Signal(SIGTERM);
  cr_expect_eq(fleet.At(1).node->WaitExit(Ms(3500)), 0);
  cr_expect(fleet.At(0).node->Output().find("reason=drained") !=
            std::string::npos);
}

}  // namespace
}  // namespace teaselspread
