// The request path of a node: entry and gatekeeper over the pure decisions.
#ifndef TEASELSPREAD_NODE_REQUESTS_H_
#define TEASELSPREAD_NODE_REQUESTS_H_

#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "node/claims_service.h"
#include "node/messages.h"
#include "node/moves_service.h"
#include "teaselspread/admission.h"
#include "teaselspread/counters.h"
#include "teaselspread/http.h"
#include "teaselspread/http_client.h"
#include "teaselspread/kernel.h"
#include "teaselspread/member.h"
#include "teaselspread/retry.h"
#include "teaselspread/routing.h"
#include "teaselspread/settings.h"
#include "teaselspread/snapshot.h"
#include "teaselspread/suspects.h"

namespace teaselspread {

// A caller's thread that waits for a slot.
struct Waiter {
  std::condition_variable changed;
  bool may_run = false;
  std::optional<Refusal> refusal;
};

// What runs at the upstream now.
struct Running {
  Fingerprint fingerprint = 0;
};

// The upstream beside this node, as its announcements say.
struct UpstreamWatch {
  Announcement announcement;
  Address address;
  TimePoint renewed;
  // Its death was noticed; a new announcement of readiness ends this.
  bool crashed = false;
};

// Refusals of one route, for `explain`.
struct RouteRefusals {
  std::array<std::uint64_t, static_cast<std::size_t>(ErrorKind::kCount)>
      by_kind{};
};

// To requests: take what callers' threads have left.
struct Flush {};

// Callers' threads and the kernel's thread meet here; everything below `gate`
// is guarded by it. Sockets are never touched while it is held.
struct Requests {
  NodeSettings settings;
  std::uint64_t incarnation = 0;
  MovesService* moves = nullptr;
  ClaimsService* claims = nullptr;
  HttpClientPool* clients = nullptr;
  MemoryBudgetPtr budget;

  std::atomic<std::uint64_t> next_id{1};
  CounterTable<ErrorKind> answers_by_error;
  std::atomic<std::uint64_t> answered{0};

  mutable std::mutex gate;
  SnapshotPtr snapshot;
  bool ready = false;
  bool leaving = false;
  std::map<std::string, Member> members;
  bool targets_stale = false;
  UpstreamTable table;
  Gatekeeper gatekeeper;
  RetryBudget retry_budget;
  SuspectTable suspects;
  std::map<std::uint64_t, Waiter*> waiters;
  std::map<std::uint64_t, Running> running;
  UpstreamWatch upstream;
  std::map<std::string, RouteRefusals> refusals;
  // Rumours that callers' threads leave for the kernel's thread.
  std::vector<OpaqueRumour> rumours;
  std::optional<Announcement> announce;
  Rng rng;
  // Has the kernel's thread take what was left for it; set by the node.
  std::function<void()> flush = [] {};
};

// What is known of one request before it is sent anywhere.
struct Call {
  HttpRequest request;
  SnapshotPtr snapshot;
  const RouteConfig* route = nullptr;
  std::string id;
  std::string key;
  TimePoint deadline;
};

// What an attempt tells beside its answer.
struct AttemptNotes {
  Duration retry_after{};
  // Encoded rows about the crash that ended the attempt; empty without one.
  std::string suspects;
};

// Registers the service with the kernel. Precondition: `service` outlives it.
void StartRequestsService(Kernel& kernel, Requests& service);

// Answers one request of a caller or of another node. Blocks. Thread safe.
[[nodiscard]] HttpResponse HandleRequest(Requests& service,
                                         HttpRequest request);

// Body bytes that a request with these headers may have. Thread safe.
[[nodiscard]] Result<std::size_t> CheckHead(Requests& service,
                                            const HttpRequest& request);

// Runs `call` at the upstream beside this node, or says why not. An error of
// execution "not run" is certain. Blocks. Thread safe.
[[nodiscard]] Result<HttpResponse> RunAtGate(Requests& service,
                                             const Call& call,
                                             const std::string& version,
                                             AttemptNotes& notes);

// Sends `call` to the upstreams in turn until one answers. Blocks. Thread safe.
[[nodiscard]] HttpResponse ForwardCall(Requests& service, Call& call);

// The answer for `error`, counted by reason. Thread safe.
[[nodiscard]] HttpResponse Refuse(Requests& service,
                                  const Error& error,
                                  const RouteConfig* route,
                                  Duration retry_after);

// Takes in an announcement of the upstream. Thread safe. Errors: kBadRequest.
[[nodiscard]] Result<void> TakeAnnouncement(Requests& service,
                                            const std::string& body,
                                            TimePoint now);

// The announced lease ran out, or the upstream's death was seen. The caller
// holds `gate`.
void LoseUpstream(Requests& service, TimePoint now);

// Wakes those whose turn has come and those that were refused. The caller
// holds `gate`.
void Apply(Requests& service, const GateActions& actions);

// Refuses new work from now on; what runs goes on. Thread safe.
void LeaveRequests(Requests& service);

// `request` as it is sent on: no body and no hop headers. Thread safe.
[[nodiscard]] HttpRequest HeadOf(const HttpRequest& request);

// Longest stretch without a byte in a call that may take `left`. Work of a
// route with a long deadline may send nothing for longer than the limit for
// connections; half of the time left keeps the other half for another try.
// Thread safe.
[[nodiscard]] Duration SilenceFor(const Call& call, Duration left);

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_REQUESTS_H_
