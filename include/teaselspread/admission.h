// What the gatekeeper of one upstream lets run, lets wait or refuses.
//
// Every request reaches the upstream through this one process, so the slots in
// use are known exactly, and "refused, not run" is a fact.
#ifndef TEASELSPREAD_ADMISSION_H_
#define TEASELSPREAD_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/intrusive/set.hpp>

#include "teaselspread/counters.h"
#include "teaselspread/error.h"
#include "teaselspread/snapshot.h"
#include "teaselspread/types.h"
#include "teaselspread/upstream_model.h"
#include "teaselspread/waiting_settings.h"

namespace teaselspread {

struct GatekeeperSettings {
  int slots = 1;
  int max_connections = 128;
  int queue_limit = 64;
  std::size_t body_memory_bytes = 256U << 20;
  // Suspects that may wait for their turn to run alone.
  int max_waiting_suspects = 4;
  WaitingSettings waiting;
  // Least Retry-After; the estimated time to clear the queue is added.
  Duration retry_after = std::chrono::milliseconds(500);
};

// One request at the gate. The id is the caller's to choose, unique while the
// request is here.
struct Arrival {
  std::uint64_t id = 0;
  std::string route;
  Priority priority = Priority::kNormal;
  TimePoint deadline;
  // Until when an answer is worth most; the epoch when nobody said.
  TimePoint aim;
  std::size_t body_bytes = 0;
  // May crash the upstream: runs only while nothing else does.
  bool suspect = false;
};

enum class Admission : std::uint8_t { kRun, kQueued, kRefused };

// "run", "queued" or "refused". Thread safe.
[[nodiscard]] std::string_view NameOf(Admission admission);

// A request that will not run; answer it now.
struct Refusal {
  std::uint64_t id = 0;
  ErrorKind kind = ErrorKind::kQueueFull;
  // Already spread at random.
  Duration retry_after{};
};

// What Arrive decided. `refusal` is set for kRefused; `evicted` is a waiting
// request that had to make room for a more urgent one.
struct ArrivalResult {
  Admission admission = Admission::kRefused;
  std::optional<Refusal> refusal;
  std::optional<Refusal> evicted;
};

// What became possible: start `run` now, answer `refused` now.
struct GateActions {
  std::vector<std::uint64_t> run;
  std::vector<Refusal> refused;
};

using QueueHook = boost::intrusive::set_base_hook<>;

// One request between Arrive and Finish.
struct HeldRequest : QueueHook {
  Arrival arrival;
  std::uint64_t order = 0;
  bool running = false;
};

// Internal lookups first, then the earliest aim, then arrival. A request
// without an aim counts by its deadline. Callers that come back after a refusal
// have little time left: by deadline they would overtake those who came first,
// and those would be late as well.
struct RunsBefore {
  bool operator()(const HeldRequest& a, const HeldRequest& b) const;
};

// The state of one gate. Not thread safe; every function below takes it alone.
struct Gatekeeper {
  GatekeeperSettings settings;
  // Declared before the queue, which must be unlinked first.
  std::unordered_map<std::uint64_t, std::unique_ptr<HeldRequest>> held;
  boost::intrusive::set<HeldRequest, boost::intrusive::compare<RunsBefore>>
      queue;
  boost::intrusive::set<HeldRequest, boost::intrusive::compare<RunsBefore>>
      suspect_queue;
  ServiceTimes service_times;
  ServiceTime overall_service_time;
  int running = 0;
  int open_connections = 0;
  std::size_t body_bytes = 0;
  std::uint64_t next_order = 0;
  bool ready = true;
  bool leaving = false;
  bool running_alone = false;
  // Refusals by kind, for the status page and metrics.
  CounterTable<ErrorKind> refusals;

  Gatekeeper() = default;
  Gatekeeper(const Gatekeeper&) = delete;
  Gatekeeper& operator=(const Gatekeeper&) = delete;
  ~Gatekeeper();
};

// A caller's connection was accepted; false if it is over the limit and must be
// answered with kConnectionLimit and closed. Not thread safe.
[[nodiscard]] bool OpenConnection(Gatekeeper& gate);

// Precondition: one earlier OpenConnection that returned true. Not thread safe.
void CloseConnection(Gatekeeper& gate);

// A request came in. Precondition: arrival.id is not held. Refuses with
// kNotReady, kLeaving, kDeadlineTooShort, kMemoryBudget, kQueueFull or
// kCrashSuspect. Not thread safe.
[[nodiscard]] ArrivalResult Arrive(Gatekeeper& gate,
                                   const Arrival& arrival,
                                   TimePoint now,
                                   Rng& rng);

// The run of `id` ended after `took`; `counts` is false for a run that says
// nothing of the service time (refused connection, cancelled). Unknown ids are
// ignored. Not thread safe.
[[nodiscard]] GateActions Finish(Gatekeeper& gate,
                                 std::uint64_t id,
                                 Duration run_time,
                                 bool updates_estimate,
                                 TimePoint now,
                                 Rng& rng);

// The caller of a waiting request went away. Not thread safe.
void CancelWaiting(Gatekeeper& gate, std::uint64_t id);

// Gives up on waiting requests that cannot make their deadline any more
// (kQueueTimeout). Not thread safe.
[[nodiscard]] GateActions Expire(Gatekeeper& gate, TimePoint now, Rng& rng);

// When Expire has something to do next, if ever. Not thread safe.
[[nodiscard]] std::optional<TimePoint> NextExpiry(const Gatekeeper& gate);

// The upstream or the node is leaving: refuses all that wait (kLeaving) and all
// that come; what runs goes on. Not thread safe.
[[nodiscard]] GateActions Leave(Gatekeeper& gate, TimePoint now, Rng& rng);

// The slots changed (an announcement was renewed, or it lapsed and `ready` is
// false). Not thread safe.
[[nodiscard]] GateActions SetUpstream(Gatekeeper& gate,
                                      int slots,
                                      bool ready,
                                      TimePoint now,
                                      Rng& rng);

// Running and waiting requests: what answers carry back. Not thread safe.
[[nodiscard]] int LoadOf(const Gatekeeper& gate);

// Expected time of all that waits, were it run one after the other. Not thread
// safe.
[[nodiscard]] Duration QueuedTime(const Gatekeeper& gate);

// Forgets the times of routes that are gone. Not thread safe.
void RetainServiceTimes(Gatekeeper& gate,
                        const std::set<std::string_view>& routes);

// Time that a request of `route` is expected to run. Not thread safe.
[[nodiscard]] Duration ExpectedServiceTime(const Gatekeeper& gate,
                                           std::string_view route);

}  // namespace teaselspread

#endif  // TEASELSPREAD_ADMISSION_H_
