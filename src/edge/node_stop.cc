#include "edge/node_stop.h"

#include <chrono>

#include "base/clock.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

// The readiness check is polled once a second and takes two responses in a row
// to detect a stop; until then requests still arrive.
constexpr Duration kStopNotice = std::chrono::milliseconds(2300);
// The process exits at least this long before the platform would kill it.
constexpr Duration kStopReserve = std::chrono::milliseconds(700);
// A request that is received later than this after the stop began runs only if
// its deadline passes before the end of the process. Clients are told to go
// elsewhere long before, and one that is broken off at work may have run.
constexpr Duration kDeadlineNotice = std::chrono::seconds(3);
// Requests that have not been received whole this long before the end of the
// process are refused.
constexpr Duration kPartialNotice = std::chrono::milliseconds(1000);

TimePoint EndOf(const EdgeNode& node) {
  return node.stop_began + node.settings.stop_grace - kStopReserve;
}

// Some callers may know no other node and would send requests until the process
// is killed with them. So intake closes while there is time to complete what
// was accepted; a refused connection can be retried elsewhere.
void CloseIntake(EdgeNode& node) {
  if (node.intake_closed)
    return;
  node.intake_closed = true;
  Log(LogLevel::kInfo, "node", "intake-closed",
      {{"open", node.outbound.CountPending()},
       {"partial", node.outbound.CountPartial()}});
  node.outbound.CloseIntake();
  node.entry.SetLateAdmission(LateAdmission::kWithinAim);
}

// While there is time for their callers to read the response and to go
// elsewhere.
void RefusePartialRequests(EdgeNode& node) {
  node.outbound.RefusePartialRequests([&node](const HttpRequest& head) {
    return node.entry.RefusePartial(head, ErrorKind::kLeaving);
  });
}

}  // namespace

void BeginStop(EdgeNode& node) {
  if (node.stopping)
    return;
  node.stopping = true;
  node.stop_began = SteadyNow();
  Log(LogLevel::kInfo, "node", "stopping",
      {{"open", node.entry.CountPending()},
       {"running", node.gate.CountRunning()}});
  node.quota.BeginLeaving();
  node.links.BeginStop();
  node.gate.LeaveNode();
  node.outbound.CloseAfterResponses();
  node.entry.BeginStop(EndOf(node));
  SendStatus(node);
}

bool AdvanceStop(EdgeNode& node, TimePoint now) {
  const Duration passed = now - node.stop_began;
  if (passed < kStopNotice)
    return false;
  CloseIntake(node);
  if (passed >= kDeadlineNotice)
    node.entry.SetLateAdmission(LateAdmission::kWithinDeadline);
  if (now >= EndOf(node) - kPartialNotice)
    RefusePartialRequests(node);
  // A caller closes its link once it has the results of all its calls, so until
  // then a request or a result may still be on its way.
  const bool idle = node.outbound.CountSessions() == 0 &&
                    node.gate.CountRunning() == 0 && node.remote_runs.empty() &&
                    node.links.CountCallers() == 0;
  return idle || now >= EndOf(node);
}

}  // namespace teaselspread
