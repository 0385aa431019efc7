// Admission control in front of one upstream: each request runs, is queued or
// is refused.
//
// Every request reaches the upstream through this one process, so the number of
// slots in use is exact, and a refused request is certain not to have run.
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
#include "teaselspread/named_limit.h"
#include "teaselspread/slot_reserve.h"
#include "teaselspread/snapshot.h"
#include "teaselspread/start_pace.h"
#include "teaselspread/types.h"
#include "teaselspread/upstream_model.h"
#include "teaselspread/upstream_speed.h"
#include "teaselspread/waiting_settings.h"

namespace teaselspread {

struct GatekeeperSettings {
  int slots = 1;
  int max_connections = 128;
  int queue_limit = 64;
  std::size_t body_memory_bytes = 256U << 20;
  // Suspects that may wait to run alone.
  int max_waiting_suspects = 4;
  WaitingSettings waiting;
  // Minimum Retry-After; the estimated time to drain the queue is added.
  Duration retry_after = std::chrono::milliseconds(500);
};

// One request at the gate. The caller chooses the id, which must be unique
// among the requests that the gate holds.
struct Arrival {
  std::uint64_t id = 0;
  std::string route;
  Priority priority = Priority::kNormal;
  // Order among requests of the same priority; lower values run first.
  std::uint8_t tie_break = 0;
  TimePoint deadline;
  // Time until which a response has its full value, a soft deadline; the epoch
  // when not given.
  TimePoint aim;
  std::size_t body_bytes = 0;
  // May crash the upstream, so it runs only while no other request does.
  bool suspect = false;
};

enum class Admission : std::uint8_t { kRun, kQueued, kRefused };

// "run", "queued" or "refused". Thread safe.
[[nodiscard]] std::string_view NameOf(Admission admission);

// A request that will not run; the caller has to respond to it now.
struct Refusal {
  std::uint64_t id = 0;
  ErrorKind kind = ErrorKind::kQueueFull;
  // Jitter is already applied.
  Duration retry_after{};
};

// Result of Arrive. `refusal` is set for kRefused; `evicted` is a queued
// request that was removed in favour of a more urgent one.
struct ArrivalResult {
  Admission admission = Admission::kRefused;
  std::optional<Refusal> refusal;
  std::optional<Refusal> evicted;
  // Queued requests that `limit` now lets start too late, as this one goes
  // before them.
  std::vector<Refusal> overtaken;
};

// What the caller has to do now: start the requests in `run` and respond to
// those in `refused`.
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
  // Its route is long (slot_reserve.h). Always false without a reservation.
  bool is_long = false;
  // Counted in Gatekeeper::held_back.
  bool was_held_back = false;
  // Latest start with which it was queued. While `limit` holds, a request that
  // has not started by then is refused: more urgent ones may take all that the
  // upstream takes, and the others would wait until their deadline in vain.
  TimePoint latest_start = TimePoint::max();
  // Speed factor of the upstream when the run started.
  double factor_at_start = 1;
};

// Queue order: by priority (internal lookups first), then by tie-break, then by
// earliest aim, then by arrival. A request without an aim is ordered by its
// deadline. The deadline alone would let callers that retry after a refusal,
// with little time left, overtake first attempts and make those late as well.
struct RunsBefore {
  bool operator()(const HeldRequest& a, const HeldRequest& b) const;
};

// The state of one gate. Not thread safe; the functions below need exclusive
// access to it.
struct Gatekeeper {
  GatekeeperSettings settings;
  // Declared before the queues, which must be destroyed first, as they link
  // these requests.
  std::unordered_map<std::uint64_t, std::unique_ptr<HeldRequest>> held;
  boost::intrusive::set<HeldRequest, boost::intrusive::compare<RunsBefore>>
      queue;
  boost::intrusive::set<HeldRequest, boost::intrusive::compare<RunsBefore>>
      suspect_queue;
  // At the usual speed of the upstream.
  ServiceTimes service_times;
  ServiceTime overall_service_time;
  // How long its work takes now. Estimates that decide whether a request can
  // run in time are multiplied by it.
  SpeedFactor speed;
  // Limits the starts while the upstream is slow after its start.
  StartPace pace;
  // Limits them while the upstream names a rate. Both may hold at once.
  NamedLimit limit;
  // Limits the slots that long requests hold together, if the settings reserve
  // slots.
  SlotReserve reserve;
  int running = 0;
  // Those of `running` that are long.
  int running_long = 0;
  int open_connections = 0;
  std::size_t body_bytes = 0;
  std::uint64_t next_order = 0;
  bool ready = true;
  bool leaving = false;
  bool running_alone = false;
  // Refusals by kind, for the status page and metrics.
  CounterTable<ErrorKind> refusals;
  // Those of requests that would have had a slot in time without `limit`.
  std::uint64_t refused_by_limit = 0;
  // Long requests that did not start although a slot was free, and those that
  // were refused since the slots of long requests would not be free in time.
  std::uint64_t held_back = 0;
  std::uint64_t refused_by_reserve = 0;

  Gatekeeper() = default;
  Gatekeeper(const Gatekeeper&) = delete;
  Gatekeeper& operator=(const Gatekeeper&) = delete;
  ~Gatekeeper();
};

// Counts a caller's accepted connection. Returns false if it exceeds the limit;
// the caller must then send kConnectionLimit and close it. Not thread safe.
[[nodiscard]] bool OpenConnection(Gatekeeper& gate);

// Precondition: one earlier OpenConnection that returned true. Not thread safe.
void CloseConnection(Gatekeeper& gate);

// Decides on a new request. Precondition: arrival.id is not held. Refuses with
// kNotReady, kLeaving, kDeadlineTooShort, kMemoryBudget, kQueueFull or
// kCrashSuspect. Not thread safe.
[[nodiscard]] ArrivalResult Arrive(Gatekeeper& gate,
                                   const Arrival& arrival,
                                   TimePoint now,
                                   Rng& rng);

// Ends the run of `id`, which took `run_time`. `updates_estimate` is false for
// a run that is no sample of the service time (refused connection, cancelled).
// Unknown ids are ignored. Not thread safe.
[[nodiscard]] GateActions Finish(Gatekeeper& gate,
                                 std::uint64_t id,
                                 Duration run_time,
                                 bool updates_estimate,
                                 TimePoint now,
                                 Rng& rng);

// Removes a queued request whose caller disconnected. Not thread safe.
void CancelWaiting(Gatekeeper& gate, std::uint64_t id);

// Starts queued requests that the pace and the reservation admit by now, and
// refuses those that can no longer meet their deadline (kQueueTimeout). Not
// thread safe.
[[nodiscard]] GateActions Advance(Gatekeeper& gate, TimePoint now, Rng& rng);

// When Advance has something to do next, if no request arrives or ends before.
// Not thread safe.
[[nodiscard]] std::optional<TimePoint> NextAdvance(const Gatekeeper& gate,
                                                   TimePoint now);

// The upstream or the node is leaving: refuses all queued and all later
// requests (kLeaving); running requests continue. Not thread safe.
[[nodiscard]] GateActions Leave(Gatekeeper& gate, TimePoint now, Rng& rng);

// Sets the number of slots: an announcement was renewed, or it expired and
// `ready` is false. Also to be called when `pace` was changed. Not thread safe.
[[nodiscard]] GateActions SetUpstream(Gatekeeper& gate,
                                      int slots,
                                      bool ready,
                                      TimePoint now,
                                      Rng& rng);

// The rate of `limit` was changed: starts what may start now, and refuses the
// queued requests that can no longer start in time (kQueueTimeout). Not thread
// safe.
[[nodiscard]] GateActions OnLimitChanged(Gatekeeper& gate,
                                         TimePoint now,
                                         Rng& rng);

// Number of running and queued requests, as responses report it. Not thread
// safe.
[[nodiscard]] int LoadOf(const Gatekeeper& gate);

// Slots that long requests may hold together now; all slots without a
// reservation. Not thread safe.
[[nodiscard]] int LongSlots(const Gatekeeper& gate);

// Number of queued requests, without long ones that are held back: those do not
// delay any other. Not thread safe.
[[nodiscard]] int CountWaiting(const Gatekeeper& gate);

// Expected time until a slot of the long requests is free for one of `route`,
// which is long, that arrives now; zero without a reservation, or while such a
// slot is free. Not thread safe.
[[nodiscard]] Duration LongWait(const Gatekeeper& gate, std::string_view route);

// The service times by which other nodes choose among gates: a long route's
// with the wait for its slots, which no other figure of the gate tells. Not
// thread safe.
[[nodiscard]] ServiceTimes TimesForPlacement(const Gatekeeper& gate);

// Expected time to run all queued requests one after the other, at the usual
// speed of the upstream and without long ones that are held back; more if the
// pace starts them later than that. Not thread safe.
[[nodiscard]] Duration QueuedTime(const Gatekeeper& gate, TimePoint now);

// Drops the service times of all routes not in `routes`. Not thread safe.
void RetainServiceTimes(Gatekeeper& gate,
                        const std::set<std::string_view>& routes);

// Expected run time of a request of `route` at the usual speed of the upstream.
// Not thread safe.
[[nodiscard]] Duration ExpectedServiceTime(const Gatekeeper& gate,
                                           std::string_view route);

}  // namespace teaselspread

#endif  // TEASELSPREAD_ADMISSION_H_
