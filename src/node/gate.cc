// The gatekeeper's side of the request path.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "node/crash_watch.h"
#include "node/requests.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

constexpr Duration kCancelTimeout = std::chrono::milliseconds(200);
constexpr Duration kReuseForOnce = std::chrono::seconds(1);
constexpr Duration kReuse = std::chrono::seconds(15);
constexpr Duration kLongestWait = std::chrono::milliseconds(100);

// Why the upstream beside this node cannot take the call at all.
Result<void> CheckUpstream(const Requests& service,
                           const Call& call,
                           const std::string& version) {
  const Announcement& own = service.upstream.announcement;
  if (service.leaving)
    return Fail(ErrorKind::kLeaving, "the node is leaving");
  if (own.state == UpstreamState::kNone)
    return Fail(ErrorKind::kNotReady, "no upstream is announced here");
  if (own.service != call.route->service)
    return Fail(ErrorKind::kNotReady, "another service runs here");
  // The entry's view is older than this node's: the version was replaced.
  if (!version.empty() && own.version != version)
    return Fail(ErrorKind::kNotReady, "another version runs here");
  return {};
}

// Waits until the gate lets the request run or refuses it.
std::optional<Refusal> WaitForTurn(Requests& service,
                                   std::unique_lock<std::mutex>& lock,
                                   std::uint64_t id,
                                   Waiter& waiter) {
  service.waiters.emplace(id, &waiter);
  while (!waiter.may_run && !waiter.refusal) {
    // Each waiter wakes the whole queue's expiry, so one that is given up on is
    // answered at that moment, not when the next slot comes free.
    const TimePoint now = SystemNow();
    const TimePoint wake = std::min(
        NextAdvance(service.gatekeeper, now).value_or(now + kLongestWait),
        now + kLongestWait);
    waiter.changed.wait_until(lock, wake);
    if (!waiter.may_run && !waiter.refusal)
      Apply(service, Advance(service.gatekeeper, SystemNow(), service.rng));
  }
  service.waiters.erase(id);
  return waiter.refusal;
}

// Holds a slot of the upstream from admission to Release().
class Slot {
 public:
  Slot(Requests& owner, std::uint64_t id) : service(owner), request(id) {}
  ~Slot() { this->Release(Duration{}, false); }
  Slot(const Slot&) = delete;
  Slot& operator=(const Slot&) = delete;

  void Release(Duration took, bool counts) {
    if (this->released)
      return;
    this->released = true;
    const std::scoped_lock lock(this->service.gate);
    this->service.running.erase(this->request);
    Apply(this->service, Finish(this->service.gatekeeper, this->request, took,
                                counts, SystemNow(), this->service.rng));
    this->service.table.own_load = LoadOf(this->service.gatekeeper);
  }

 private:
  Requests& service;
  std::uint64_t request;
  bool released = false;
};

struct Admitted {
  Address upstream;
  Announcement announcement;
  bool suspect = false;
};

Result<Admitted> Admit(Requests& service,
                       const Call& call,
                       const std::string& version,
                       Fingerprint fingerprint,
                       std::uint64_t id,
                       AttemptNotes& notes) {
  std::unique_lock lock(service.gate);
  if (const auto usable = CheckUpstream(service, call, version); !usable)
    return tl::make_unexpected(usable.error());
  const SuspectState state =
      StateOf(service.suspects, fingerprint, SystemNow());
  if (state == SuspectState::kRefused) {
    notes.retry_after = service.suspects.settings.retention;
    return Fail(ErrorKind::kCrashSuspect,
                "this request was running when upstreams crashed");
  }
  Arrival arrival;
  arrival.id = id;
  arrival.route = call.route->name;
  arrival.priority = call.route->priority;
  arrival.deadline = call.deadline;
  arrival.body_bytes = call.request.body.size();
  arrival.suspect = state == SuspectState::kAlone;
  ArrivalResult arrived =
      Arrive(service.gatekeeper, arrival, SystemNow(), service.rng);
  service.table.own_load = LoadOf(service.gatekeeper);
  if (arrived.evicted)
    Apply(service, GateActions{{}, {*arrived.evicted}});
  if (arrived.admission == Admission::kQueued) {
    Waiter waiter;
    arrived.refusal = WaitForTurn(service, lock, id, waiter);
  }
  if (arrived.refusal) {
    notes.retry_after = arrived.refusal->retry_after;
    return Fail(arrived.refusal->kind, "refused by the gatekeeper");
  }
  service.running[id] = Running{fingerprint};
  return Admitted{service.upstream.address, service.upstream.announcement,
                  arrival.suspect};
}

CallOptions OptionsFor(const Requests& service, const Call& call) {
  CallOptions options;
  const Duration left = call.deadline - SystemNow();
  options.timeout = std::max(left, Duration{1});
  options.silence = SilenceFor(call, options.timeout);
  // A request that may not be repeated must not be lost in a connection that
  // went silent while it was idle.
  options.reuse_within = call.route->idempotent ? kReuse : kReuseForOnce;
  options.expected_request_id = call.id;
  options.max_body_bytes = call.snapshot->limits.max_body_bytes;
  options.budget = service.budget;
  // A filing that its caller left goes on: cut off, nobody would ever know how
  // it ended, while its record serves the caller who sends the key again.
  if (call.route->idempotent)
    options.caller_fd = call.request.caller_fd;
  options.body = call.request.body;
  return options;
}

HttpRequest ToUpstream(const Call& call) {
  HttpRequest request = HeadOf(call.request);
  RemoveHeader(request.headers, kHeaderSuspects);
  SetHeader(request.headers, kHeaderRequestId, call.id);
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.deadline - SystemNow());
  SetHeader(request.headers, kHeaderDeadline,
            std::to_string(std::max<std::int64_t>(left.count(), 1)));
  return request;
}

// The caller left, but the upstream would work on for nobody, in a slot that is
// given to the next request here. The thread is the caller's own, which has
// nothing else to do.
void CancelAtUpstream(Requests& service,
                      const Address& upstream,
                      const std::string& id) {
  HttpRequest cancel;
  cancel.method = "POST";
  cancel.target = "/cancel";
  SetHeader(cancel.headers, kHeaderRequestId, id);
  CallOptions options;
  options.connect_timeout = kCancelTimeout;
  options.timeout = kCancelTimeout;
  if (const auto sent = service.clients->Send(upstream, cancel, options); !sent)
    Log(LogLevel::kDebug, kRequestsService, "cancel-not-sent",
        {{"reason", NameOf(sent.error().kind)}});
}

ResponseOutcome OutcomeOf(const Result<HttpResponse>& answer, bool suspect) {
  if (suspect)
    return ResponseOutcome::kCrashSuspect;
  if (!answer) {
    const ErrorKind kind = answer.error().kind;
    const bool late =
        kind == ErrorKind::kTimeout || kind == ErrorKind::kSilentConnection;
    return late ? ResponseOutcome::kTimeout : ResponseOutcome::kFailed;
  }
  if (!FindHeader(answer->headers, kHeaderNotRun).empty())
    return ResponseOutcome::kShed;
  constexpr int kServerError = 500;
  return answer->status >= kServerError ? ResponseOutcome::kFailed
                                        : ResponseOutcome::kSucceeded;
}

void CountAnswer(Requests& service,
                 const Call& call,
                 const Admitted& admitted,
                 const Result<HttpResponse>& answer,
                 Duration took) {
  // The caller left, or nothing was sent and another upstream gets the request:
  // neither says anything of the version.
  if (!answer && (answer.error().kind == ErrorKind::kCancelled ||
                  answer.error().kind == ErrorKind::kConnectFailed))
    return;
  ResponseSample sample;
  sample.outcome = OutcomeOf(answer, admitted.suspect);
  sample.latency = took;
  const auto warm_up = call.snapshot->services.find(call.route->service);
  sample.cold =
      warm_up != call.snapshot->services.end() &&
      SystemNow() - admitted.announcement.ready_since < warm_up->second.warm_up;
  RecordAnswer(*service.moves, *call.snapshot, *call.route,
               admitted.announcement.version, sample);
}

// Sends the request to the upstream; the slot is held meanwhile.
Result<HttpResponse> RunOnce(Requests& service,
                             const Call& call,
                             const Admitted& admitted,
                             Fingerprint fingerprint,
                             Slot& slot) {
  const auto began = std::chrono::steady_clock::now();
  Result<HttpResponse> answer = service.clients->Send(
      admitted.upstream, ToUpstream(call), OptionsFor(service, call));
  const auto took = std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now() - began);
  CountAnswer(service, call, admitted, answer, took);
  if (!answer && BrokeOff(answer.error().kind))
    CheckCrash(service, admitted.upstream);
  if (!answer && answer.error().kind == ErrorKind::kCancelled)
    CancelAtUpstream(service, admitted.upstream, call.id);
  slot.Release(took, answer.has_value());
  if (!answer)
    return answer;
  if (!FindHeader(answer->headers, kHeaderNotRun).empty())
    return Fail(ErrorKind::kUpstreamShed, "the upstream shed the request");
  if (admitted.suspect && IsCleanRun(answer->status))
    ClearSuspect(service, fingerprint);
  SetHeader(answer->headers, kHeaderExecution, NameOf(Execution::kRan));
  return answer;
}

ClaimOutcome OutcomeToKeep(const HttpResponse& answer) {
  ClaimOutcome outcome;
  outcome.status = answer.status;
  outcome.content_type =
      std::string(FindHeader(answer.headers, "Content-Type"));
  outcome.body = answer.body;
  return outcome;
}

HttpResponse Replay(const ClaimOutcome& outcome, const Call& call) {
  HttpResponse answer;
  answer.status = outcome.status;
  if (!outcome.content_type.empty())
    SetHeader(answer.headers, "Content-Type", outcome.content_type);
  answer.body = outcome.body;
  SetHeader(answer.headers, kHeaderRequestId, call.id);
  SetHeader(answer.headers, kHeaderExecution, NameOf(Execution::kRan));
  SetHeader(answer.headers, kHeaderReason, "replayed");
  return answer;
}

// Runs a non-idempotent request under a claim on its key.
Result<HttpResponse> RunClaimed(Requests& service,
                                const Call& call,
                                const Admitted& admitted,
                                Fingerprint fingerprint,
                                Slot& slot) {
  Result<Claim> claim =
      ClaimKeyFor(*service.claims, call.key, call.request.method,
                  call.request.target, call.request.body, call.deadline);
  if (!claim)
    return tl::make_unexpected(claim.error());
  if (claim->recorded)
    return Replay(*claim->recorded, call);
  if (!MayRun(claim->attempt, SystemNow())) {
    ReleaseKey(*service.claims, claim->attempt);
    return Fail(ErrorKind::kClaimUnavailable,
                "the claim ran out before it ran");
  }
  auto answer = RunOnce(service, call, admitted, fingerprint, slot);
  if (answer) {
    RecordKey(*service.claims, claim->attempt, OutcomeToKeep(*answer));
    return answer;
  }
  const bool not_run =
      TraitsOf(answer.error().kind).execution == Execution::kNotRun;
  if (not_run)
    ReleaseKey(*service.claims, claim->attempt);
  return answer;
}

}  // namespace

HttpRequest HeadOf(const HttpRequest& request) {
  HttpRequest head;
  head.method = request.method;
  head.target = request.target;
  head.headers = request.headers;
  RemoveHopHeaders(head.headers);
  return head;
}

Duration SilenceFor(const Call& call, Duration left) {
  return std::min(left, std::max(call.snapshot->limits.silence, left / 2));
}

void Apply(Requests& service, const GateActions& actions) {
  for (const std::uint64_t id : actions.run) {
    if (const auto waiter = service.waiters.find(id);
        waiter != service.waiters.end()) {
      waiter->second->may_run = true;
      waiter->second->changed.notify_one();
    }
  }
  for (const Refusal& refusal : actions.refused) {
    if (const auto waiter = service.waiters.find(refusal.id);
        waiter != service.waiters.end()) {
      waiter->second->refusal = refusal;
      waiter->second->changed.notify_one();
    }
  }
}

Result<HttpResponse> RunAtGate(Requests& service,
                               const Call& call,
                               const std::string& version,
                               AttemptNotes& notes) {
  const std::uint64_t id = service.next_id++;
  const Fingerprint fingerprint = RequestFingerprint(call);
  TakeSuspectsText(service, fingerprint,
                   FindHeader(call.request.headers, kHeaderSuspects));
  const auto admitted = Admit(service, call, version, fingerprint, id, notes);
  if (!admitted)
    return tl::make_unexpected(admitted.error());
  Slot slot(service, id);
  Result<HttpResponse> answer =
      call.route->idempotent
          ? RunOnce(service, call, *admitted, fingerprint, slot)
          : RunClaimed(service, call, *admitted, fingerprint, slot);
  slot.Release(Duration{}, false);
  if (!answer && BrokeOff(answer.error().kind))
    notes.suspects = SuspectsText(service, fingerprint);
  if (answer) {
    const std::scoped_lock lock(service.gate);
    SetHeader(answer->headers, kHeaderLoad,
              std::to_string(LoadOf(service.gatekeeper)));
    SetHeader(answer->headers, kHeaderTargetVersion,
              admitted->announcement.version);
  }
  return answer;
}

}  // namespace teaselspread
