// The gate of the upstream beside this node: every request to it passes here,
// from callers of this VM and from other nodes.
//
// Everything here belongs to the thread that runs the loop.
#ifndef TEASELSPREAD_SRC_EDGE_GATE_H_
#define TEASELSPREAD_SRC_EDGE_GATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "edge/frames.h"
#include "edge/loop_client.h"
#include "teaselspread/admission.h"
#include "teaselspread/counters.h"
#include "teaselspread/edge.h"
#include "teaselspread/suspects.h"
#include "teaselspread/upstream_lease.h"

namespace teaselspread {

using ResultHandler = std::function<void(ResultFrame)>;

// One request between its arrival at the gate and its result.
struct GateRun {
  RunFrame frame;
  ResultHandler done;
  TimePoint arrived;
  TimePoint deadline;
  // When it was sent to the upstream; the epoch while it waits.
  TimePoint started;
  LoopConnection* call = nullptr;
  std::unique_ptr<boost::asio::steady_timer> timer;
  Fingerprint fingerprint = 0;
};

// Not thread safe.
class Gate {
 public:
  Gate(boost::asio::io_context& io,
       const EdgeHeaderNames& names,
       const LeaseSettings& lease_settings);
  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;

  void SetWaiting(const WaitingSettings& waiting) {
    this->keeper.settings.waiting = waiting;
  }
  void SetAddress(const Address& upstream) { this->pool.SetAddress(upstream); }

  // Runs the request or says why not; `done` is called once, perhaps before
  // this returns. Precondition: `id` is not under way.
  void Run(std::uint64_t id, RunFrame frame, ResultHandler done);

  // The caller has left; `done` is not called any more. What may not be
  // repeated goes on at the upstream.
  void Cancel(std::uint64_t id);

  // Asks the upstream itself who it is, while no heartbeat came. A node that
  // was restarted beside a working upstream would otherwise refuse its requests
  // until the next heartbeat, for up to its whole interval.
  void Probe(const std::string& health_path, const std::string& service);

  // A heartbeat; it is in force when this returns.
  [[nodiscard]] HeartbeatResult Report(const UpstreamHeartbeat& report);
  // False when another process holds the lease.
  bool LeaveUpstream(const LeaveCall& call);

  // The node itself stops: nothing new runs, what runs goes on.
  void LeaveNode();

  // Rows that this node knows of requests that may crash upstreams, for the
  // others, and rows that another node told.
  [[nodiscard]] std::vector<SuspectNote> SuspectNotes() const;
  void TakeSuspectNotes(const std::vector<SuspectNote>& notes);

  // Tells the crashes of this node apart from those of others and of its own
  // earlier life. Call once, before the first run.
  void SetOrigin(std::uint64_t origin) { this->suspects.origin = origin; }

  // Applies what has lapsed; call it a few times a second.
  void Tick();

  // Route of the request that runs at the upstream now and makes the call
  // `request_id`; empty when none does. Ids of such calls begin with the id of
  // their request and a dot, where callers use hierarchical ids; others are
  // told from it by nothing.
  [[nodiscard]] std::string_view CallingRoute(
      std::string_view request_id) const;

  // Forgets what was measured of routes that are gone.
  void KeepRoutes(const std::set<std::string_view>& routes) {
    RetainServiceTimes(this->keeper, routes);
  }

  [[nodiscard]] GateStatus Status() const;
  [[nodiscard]] std::size_t CountRunning() const {
    return static_cast<std::size_t>(this->keeper.running);
  }
  [[nodiscard]] const Gatekeeper& Keeper() const { return this->keeper; }

  // Called when Status() has changed in more than its load.
  std::function<void()> on_change = [] {};

  LoopClient pool;
  UpstreamLease lease;

 private:
  void RefreshTimes();
  void NoteBroken(const GateRun& run);
  void NoteCrash();
  void CheckAlive();
  void NoteClean(const GateRun& run);
  void TakeProbe(const std::string& service, const HttpResponse& response);
  void Start(std::uint64_t id);
  void Finish(std::uint64_t id, bool counts, const ResultFrame& result);
  void OnCallEnd(std::uint64_t id, CallResult result);
  void OnDeadline(std::uint64_t id);
  void Refuse(std::uint64_t id, const Refusal& refusal);
  void Apply(const GateActions& actions);
  void LoseUpstream(const char* why);
  void ApplyLease();
  void ScheduleExpiry();

  boost::asio::io_context& loop;
  EdgeHeaderNames names;
  Gatekeeper keeper;
  std::unordered_map<std::uint64_t, GateRun> runs;
  boost::asio::steady_timer expiry;
  TimePoint expiry_at;
  LeaseState applied = LeaseState::kNone;
  std::string applied_version;
  SuspectTable suspects;
  // Runs whose connection broke a moment ago: if the upstream turns out to be
  // gone, one of them may have crashed it.
  std::vector<std::pair<TimePoint, Fingerprint>> broken;
  // Routes of the requests at the upstream, by request id.
  std::map<std::string, std::string, std::less<>> running_ids;
  TimePoint checked_at;
  // Times as they were told last, by route and over all.
  std::vector<RouteTime> told_times;
  std::uint32_t told_mean_ms = 0;
  bool node_leaving = false;
  bool probing = false;
  Rng rng;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_GATE_H_
