#include "edge/entry.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <random>
#include <set>
#include <string_view>
#include <utility>

#include "base/clock.h"
#include "edge/response_times.h"
#include "teaselspread/accounts.h"
#include "teaselspread/logging.h"
#include "teaselspread/routing.h"

namespace teaselspread {
namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;
// Refusals by gates after which the request is refused to its caller: each one
// costs a network round trip and shows that the service is full.
constexpr int kMaxRefusals = 3;
// Minimum remaining time with which an attempt is worth making.
constexpr Duration kMinAttemptTime = std::chrono::milliseconds(10);
// Assumed bytes of a response on a route that had none yet, and of the headers
// of request and response together.
constexpr double kDefaultResponseBytes = 3000;
constexpr std::size_t kHeaderBytes = 500;
// Weight of the newest request in the moving average of TransferBytes.
constexpr double kNewestSizeWeight = 0.01;
// Requests that are still pending this long before the process ends get their
// final response, so that it reaches the caller.
constexpr Duration kLastAnswerTime = std::chrono::milliseconds(200);
// Stands for a rate of zero, so that expected waits are finite.
constexpr double kMinStartsPerSecond = 0.01;

std::optional<Duration> ParseDeadline(std::string_view text) {
  std::int64_t millis = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  if (error != std::errc{} || end != text.data() + text.size() || millis < 0)
    return std::nullopt;
  constexpr std::int64_t kMaxMillis = 24LL * 3600 * 1000;
  return std::chrono::milliseconds(std::min(millis, kMaxMillis));
}

// Requests a second that the gate starts: the lowest of its rates, or 0 if only
// the slots limit them. `slow_start`: the rate of upstreams of the service that
// are slow after their start; 0 if they have none.
double StartsPerSecond(const GateStatus& status, double slow_start) {
  const double slow = status.warm_up_ms > 0 ? slow_start : 0;
  if (!status.limit_per_second)
    return slow;
  const double limit = std::max(*status.limit_per_second, kMinStartsPerSecond);
  return slow > 0 ? std::min(slow, limit) : limit;
}

RequestPriority PriorityOf(const PendingRequest& pending) {
  return pending.nested ? kNestedCallPriority
                        : EffectivePriority(pending.account, *pending.route);
}

// Rank of a candidate, lower is better; only those of the best rank are used. A
// spare version or an unresponsive link is still better than a refusal.
int RankOf(VersionFit fit, bool unresponsive) {
  const int spare = fit == VersionFit::kFallback ? 1 : 0;
  return spare + (unresponsive ? 2 : 0);
}

}  // namespace

Entry::Entry(boost::asio::io_context& io,
             EntrySettings entry_settings,
             EdgeHeaderNames header_names,
             Gate& own_gate,
             Links& node_links,
             QuotaService& quota_service,
             VersionChoice& version_choice)
    : loop(io),
      settings(std::move(entry_settings)),
      names(std::move(header_names)),
      gate(own_gate),
      links(node_links),
      quota(quota_service),
      versions(version_choice),
      rng(std::random_device{}()) {}

void Entry::SetSnapshot(SnapshotPtr new_snapshot) {
  this->snapshot = std::move(new_snapshot);
  std::set<std::string_view> routes;
  for (const RouteConfig& route : this->snapshot->routes)
    routes.insert(route.name);
  RetainRoutes(this->shortage, routes);
  this->gate.KeepRoutes(routes);
  std::erase_if(this->deadline_histories, [&routes](const auto& row) {
    return !routes.contains(row.first);
  });
}

void Entry::HandleRequest(const ExchangePtr& exchange) {
  ++this->counters.requests;
  const HttpRequest& request = exchange->request;
  const auto found = this->FindRoute(request);
  if (!found) {
    this->RefuseImmediately(exchange, found.error().kind,
                            found.error().message);
    return;
  }
  const RouteConfig* const route = *found;
  const std::string_view request_id =
      FindHeader(request.headers, kHeaderRequestId);
  // With accounts a call that is not recognised would be refused, so those of
  // nested calls are looked up as well.
  const std::string_view calling_route =
      this->snapshot->has_accounts
          ? this->gate.CallingRouteAtAnyDepth(request_id)
          : this->gate.CallingRoute(request_id);
  const auto account =
      IdentifyCaller(*this->snapshot, *route,
                     FindHeader(request.headers, kHeaderAuthorization),
                     !calling_route.empty(), request_id);
  if (!account) {
    this->RefuseImmediately(exchange, account.error().kind,
                            account.error().message);
    return;
  }
  if (request_id.empty()) {
    this->RefuseImmediately(exchange, ErrorKind::kBadRequest);
    return;
  }
  const std::uint64_t id =
      this->AddPending(exchange, *route, *account, calling_route);
  const bool limited = *account != nullptr && (*account)->limit.per_second > 0;
  if (limited)
    this->AcquireToken(id);
  else
    this->BeginAttempts(id);
}

Result<const RouteConfig*> Entry::FindRoute(const HttpRequest& request) const {
  if (!this->snapshot)
    return Fail(ErrorKind::kNotReady, "");
  const RouteConfig* route =
      MatchRoute(*this->snapshot, FindHeader(request.headers, "Host"),
                 request.method, PathOf(request));
  if (route == nullptr)
    return Fail(ErrorKind::kNoRoute, "");
  if (!this->MayRunBeforeEnd(request, *route))
    return Fail(ErrorKind::kLeaving, "received-late");
  return route;
}

bool Entry::MayRunBeforeEnd(const HttpRequest& request,
                            const RouteConfig& route) const {
  if (this->late_admission == LateAdmission::kAll)
    return true;
  const bool by_aim = this->late_admission == LateAdmission::kWithinAim &&
                      route.aim > Duration::zero();
  const Duration needed =
      by_aim ? route.aim
             : TimeToRespond(route.deadline,
                             ParseDeadline(FindHeader(request.headers,
                                                      this->names.deadline)));
  return SteadyNow() + needed <= *this->end - kLastAnswerTime;
}

void Entry::AcquireToken(std::uint64_t id) {
  PendingRequest& waiting = this->pending_requests.at(id);
  waiting.token = TokenState::kWaiting;
  this->quota.Acquire(
      id, waiting.account->name, [this, id](const QuotaDecision& decision) {
        PendingRequest& pending = this->pending_requests.at(id);
        if (decision.outcome == QuotaOutcome::kAdmitted) {
          pending.token = TokenState::kHeld;
          this->BeginAttempts(id);
          return;
        }
        pending.token = TokenState::kNone;
        this->SendError(id, ErrorKind::kQuotaExceeded,
                        std::max(decision.retry_after, kEntryRetryAfter));
      });
}

void Entry::ReleaseToken(std::uint64_t id, const PendingRequest& pending) {
  const bool may_have_reached = pending.in_flight || !pending.silent.empty() ||
                                pending.attempts > 0 || pending.may_have_run;
  if (pending.token == TokenState::kWaiting)
    this->quota.Cancel(id, pending.account->name);
  else if (pending.token == TokenState::kHeld && !may_have_reached)
    this->quota.Refund(pending.account->name);
}

std::uint64_t Entry::AddPending(const ExchangePtr& exchange,
                                const RouteConfig& route,
                                const AccountConfig* account,
                                std::string_view calling_route) {
  const std::uint64_t id = this->next_id++;
  PendingRequest pending;
  pending.exchange = exchange;
  pending.body = MakeRequestBody(std::exchange(exchange->request.body, {}),
                                 std::move(exchange->body_memory));
  pending.snapshot = this->snapshot;
  pending.route = &route;
  pending.service = route.service;
  pending.account = account;
  // Nested calls bear no key: a caller with one gains no precedence by an id
  // that begins with that of another request.
  pending.nested = !calling_route.empty() && account == nullptr;
  if (!route.split.empty()) {
    std::vector<std::uint32_t> weights;
    for (const WeightedService& part : route.split)
      weights.push_back(part.weight);
    const std::size_t turn = NextIndex(this->turns[route.name], weights);
    pending.service = route.split[turn].service;
  }
  this->SetTimes(pending);
  pending.timer = std::make_unique<boost::asio::steady_timer>(this->loop);
  this->StartTimer(id, pending);
  exchange->on_caller_disconnected = [this, id] {
    this->OnCallerDisconnected(id);
  };
  if (pending.nested)
    RecordCall(this->shortage, std::string(calling_route), pending.service);
  this->pending_requests.emplace(id, std::move(pending));
  return id;
}

void Entry::StartTimer(std::uint64_t id, PendingRequest& pending) {
  if (this->end)
    pending.deadline = std::min(pending.deadline, *this->end - kLastAnswerTime);
  pending.timer->expires_after(pending.deadline - SteadyNow());
  pending.timer->async_wait([this, id](boost::system::error_code error) {
    if (!error)
      this->OnDeadline(id);
  });
}

void Entry::BeginStop(TimePoint process_end) {
  this->end = process_end;
  for (auto& [id, pending] : this->pending_requests)
    this->StartTimer(id, pending);
}

void Entry::BeginAttempts(std::uint64_t id) {
  const auto found = this->pending_requests.find(id);
  if (found == this->pending_requests.end())
    return;
  OnFirstAttempt(this->BudgetOf(found->second.service));
  if (!this->ShedForDependency(id, found->second))
    this->TryNext(id);
}

void Entry::SetTimes(PendingRequest& pending) {
  const HttpHeaders& headers = pending.exchange->request.headers;
  const RouteConfig& route = *pending.route;
  const auto requested =
      ParseDeadline(FindHeader(headers, this->names.deadline));
  pending.deadline =
      pending.exchange->received_at + TimeToRespond(route.deadline, requested);
  if (!requested || pending.nested)
    return;
  DeadlineHistory& history = this->deadline_histories[route.name];
  pending.time_waited = TimeSpent(history, *requested);
  RecordDeadline(history, *requested);
}

std::optional<TimePoint> Entry::AimOf(const PendingRequest& pending) {
  if (pending.route->aim <= Duration{0})
    return std::nullopt;
  return pending.exchange->received_at + pending.route->aim -
         pending.time_waited;
}

bool Entry::ShedForDependency(std::uint64_t id, PendingRequest& pending) {
  if (pending.nested)
    return false;
  const double shed_ratio =
      FractionToShed(this->shortage, pending.route->name,
                     PriorityOf(pending).priority, SteadyNow());
  std::uniform_real_distribution<double> draw(0, 1);
  if (shed_ratio <= 0 || draw(this->rng) >= shed_ratio)
    return false;
  pending.shed_ratio = shed_ratio;
  this->SendError(id, ErrorKind::kDependencyFull, kEntryRetryAfter);
  return true;
}

RetryBudget& Entry::BudgetOf(const std::string& service) {
  const auto [found, added] = this->retry_budgets.try_emplace(service);
  RetryBudget& budget = found->second;
  // Nodes spend the budget without coordination, so each gets an equal part of
  // it, with a margin for bursts that span two measurement windows.
  constexpr double kMargin = 0.7;
  const double nodes = static_cast<double>(this->links.Peers().size()) + 1;
  budget.settings.retry_ratio = this->settings.retry_ratio * kMargin;
  budget.settings.burst =
      std::max(1.0, this->settings.retry_slack * kMargin / nodes);
  if (added)
    budget.tokens = budget.settings.burst;
  return budget;
}

std::vector<Candidate> Entry::CandidatesFor(PendingRequest& pending) {
  std::vector<Candidate> candidates;
  int best = std::numeric_limits<int>::max();
  const TimePoint now = SteadyNow();
  pending.other_versions = 0;
  const auto config = pending.snapshot->services.find(pending.service);
  const double slow_start = config == pending.snapshot->services.end()
                                ? 0
                                : config->second.slow_start_per_second;
  const auto add = [&](std::string_view node, Distance distance,
                       const GateStatus& status, std::uint32_t load,
                       Duration age, const SpeedFactor& speed) {
    Candidate candidate;
    candidate.node = node;
    candidate.distance = distance;
    candidate.slots = std::max<std::uint32_t>(status.slots, 1);
    candidate.load = load;
    candidate.run_time =
        ReportedTimeOf(status.route_times, pending.route->name);
    candidate.mean_run_time = std::chrono::milliseconds(status.mean_ms);
    candidate.waiting = status.waiting;
    candidate.queued_time = std::chrono::milliseconds(status.queued_ms);
    candidate.failure_ratio = this->FailureRatio(std::string(node), now);
    candidate.warm_up_left = std::chrono::milliseconds(status.warm_up_ms);
    candidate.starts_per_second = StartsPerSecond(status, slow_start);
    if (status.limit_per_second) {
      const Duration wait = candidate.queued_time / candidate.slots;
      candidate.start_wait = std::max(wait - age, Duration{0});
    }
    ApplySpeed(this->settings.placement, FactorAt(speed, now), candidate);
    candidates.push_back(candidate);
  };
  // Whether the node may be added; clears candidates of a worse rank.
  const auto fits = [&](std::string_view node, const GateStatus& status,
                        bool unresponsive) {
    if (status.state != LeaseState::kReady || status.service != pending.service)
      return false;
    const VersionFit fit =
        FitOf(pending.picked, status.version, status.instance);
    pending.other_versions += fit == VersionFit::kNone ? 1 : 0;
    const bool tried = std::find(pending.tried.begin(), pending.tried.end(),
                                 node) != pending.tried.end();
    const int rank = RankOf(fit, unresponsive);
    const bool left =
        HasLeft(this->departures, status.instance, status.process_stamp, now);
    if (fit == VersionFit::kNone || tried || rank > best || left)
      return false;
    if (rank < best)
      candidates.clear();
    best = rank;
    return true;
  };
  const GateStatus own = this->gate.Status();
  if (fits(this->settings.vm, own, false))
    add(this->settings.vm, Distance::kOwnVm, own, own.running + own.waiting,
        Duration{0}, this->gate.Speed());
  for (const auto& [name, peer] : this->links.Peers()) {
    if (!peer.connected ||
        !fits(name, peer.status, Links::IsLinkUnresponsive(peer, now)))
      continue;
    const bool near = peer.data_center == this->settings.data_center;
    const std::uint32_t reported_load =
        peer.status.running + peer.status.waiting + peer.sent_since_status;
    add(name, near ? Distance::kOwnDataCenter : Distance::kOtherDataCenter,
        peer.status, std::max(reported_load, peer.in_flight),
        now - peer.status_received_at, peer.speed);
  }
  return candidates;
}

void Entry::TryNext(std::uint64_t id) {
  const auto found = this->pending_requests.find(id);
  if (found == this->pending_requests.end())
    return;
  PendingRequest& pending = found->second;
  if (!pending.has_picked) {
    pending.picked = this->versions.Pick(pending.service);
    pending.has_picked = true;
  }
  if (this->IsRefusedAsSuspect(pending)) {
    this->EndUnserved(id, ErrorKind::kCrashSuspect,
                      this->gate.crash_evidence.RefusedFor(
                          this->FingerprintOfPending(pending)));
    return;
  }
  const auto candidates = this->CandidatesFor(pending);
  const std::size_t chosen = Place(this->settings.placement, candidates,
                                   this->PlacedRequestOf(pending), this->rng);
  if (chosen == candidates.size()) {
    this->EndUnserved(id, pending.last_error,
                      std::max(pending.retry_after, kEntryRetryAfter));
    return;
  }
  this->SendTo(id, pending, candidates[chosen]);
}

bool Entry::IsRefusedAsSuspect(PendingRequest& pending) {
  CrashEvidence& evidence = this->gate.crash_evidence;
  if (evidence.IsEmpty())
    return false;
  const HttpHeaders& headers = pending.exchange->request.headers;
  return evidence.Refuses(this->FingerprintOfPending(pending),
                          FindHeader(headers, kHeaderRequestId));
}

Fingerprint Entry::FingerprintOfPending(PendingRequest& pending) const {
  if (!pending.fingerprint) {
    pending.fingerprint =
        FingerprintOf(pending.exchange->request, BytesOf(pending.body),
                      this->settings.service);
  }
  return *pending.fingerprint;
}

PlacedRequest Entry::PlacedRequestOf(const PendingRequest& pending) {
  PlacedRequest placed;
  placed.bytes = this->TransferBytes(pending);
  const auto bytes = static_cast<double>(placed.bytes);
  if (this->mean_transfer_bytes == 0)
    this->mean_transfer_bytes = bytes;
  this->mean_transfer_bytes +=
      kNewestSizeWeight * (bytes - this->mean_transfer_bytes);
  placed.mean_bytes = this->mean_transfer_bytes;
  const TimePoint now = SteadyNow();
  const std::optional<TimePoint> aim = AimOf(pending);
  const TimePoint due = aim && *aim > now ? *aim : pending.deadline;
  placed.aim = std::max(due - now, kMinAttemptTime);
  // Where slots are reserved, what waits at a gate consists of calls and urgent
  // requests, and a call waits behind most of it.
  placed.skips_queue = pending.nested && !this->gate.ReservesSlots();
  return placed;
}

std::size_t Entry::TransferBytes(const PendingRequest& pending) const {
  const auto known = this->mean_response_bytes.find(pending.route->name);
  const double response_bytes = known == this->mean_response_bytes.end()
                                    ? kDefaultResponseBytes
                                    : known->second;
  return BytesOf(pending.body).size() + kHeaderBytes +
         static_cast<std::size_t>(response_bytes);
}

const std::string& Entry::InstanceOf(const std::string& node) const {
  static const std::string none;
  const Peer* peer = this->links.Find(node);
  return peer == nullptr ? none : peer->status.instance;
}

std::uint32_t Entry::ProcessStampOf(const std::string& node) const {
  const Peer* peer = this->links.Find(node);
  return peer == nullptr ? 0 : peer->status.process_stamp;
}

const std::string& Entry::VersionOf(const Candidate& chosen) const {
  static const std::string unknown;
  if (chosen.distance == Distance::kOwnVm) {
    const auto& own = this->gate.lease.current;
    return own ? own->version : unknown;
  }
  const Peer* peer = this->links.Find(std::string(chosen.node));
  return peer == nullptr ? unknown : peer->status.version;
}

RunFrame Entry::FrameOf(std::uint64_t id, const PendingRequest& pending) {
  RunFrame frame;
  frame.call_id = id;
  frame.route = pending.route->name;
  // If a nested call fails, its half-finished request fails too and the work
  // done for it is lost. So nested calls go first, and may wait until their
  // deadline.
  frame.priority = EncodePriority(PriorityOf(pending));
  frame.idempotent = pending.route->idempotent;
  const Duration left = TimeForUpstream(pending.deadline - SteadyNow());
  frame.deadline_ms = static_cast<std::uint32_t>(
      std::max<std::int64_t>(left.count() / kMicrosPerMilli, 1));
  frame.aim_ms = frame.deadline_ms;
  if (const auto aim = AimOf(pending); aim && !pending.nested) {
    const Duration to_aim = *aim - SteadyNow();
    frame.aim_ms = static_cast<std::uint32_t>(
        std::max<std::int64_t>(to_aim.count() / kMicrosPerMilli, 0));
  }
  frame.request = pending.exchange->request;
  frame.body = pending.body;
  RemoveHopHeaders(frame.request.headers);
  SetHeader(frame.request.headers, this->names.caller_service,
            this->settings.service);
  RemoveHeader(frame.request.headers, this->names.expected_instance);
  if (pending.snapshot->has_accounts) {
    RemoveHeader(frame.request.headers, kHeaderAuthorization);
    RemoveHeader(frame.request.headers, this->names.account);
    if (pending.account != nullptr) {
      SetHeader(frame.request.headers, this->names.account,
                pending.account->name);
    }
  }
  return frame;
}

void Entry::SendTo(std::uint64_t id,
                   PendingRequest& pending,
                   const Candidate& chosen) {
  pending.attempt.node = std::string(chosen.node);
  pending.attempt.version = this->VersionOf(chosen);
  pending.attempt.instance = this->InstanceOf(pending.attempt.node);
  pending.attempt.process_stamp = this->ProcessStampOf(pending.attempt.node);
  pending.attempt.at_own_gate = chosen.distance == Distance::kOwnVm;
  pending.in_flight = true;
  pending.attempt.sent_at = SteadyNow();
  RunFrame frame = this->FrameOf(id, pending);
  if (pending.attempt.at_own_gate) {
    this->gate.Run(id, std::move(frame), [this](ResultFrame result) {
      this->OnResult(this->settings.vm, std::move(result));
    });
    return;
  }
  frame.instance = pending.attempt.instance;
  if (!this->links.Run(pending.attempt.node, frame)) {
    pending.in_flight = false;
    pending.tried.push_back(pending.attempt.node);
    pending.last_error = ErrorKind::kPeerUnreachable;
    this->TryNext(id);
  }
}

void Entry::OnResult(const std::string& node, ResultFrame result) {
  const std::uint64_t id = result.call_id;
  const auto found = this->pending_requests.find(id);
  if (found == this->pending_requests.end())
    return;
  PendingRequest& pending = found->second;
  const bool is_current = pending.in_flight && pending.attempt.node == node;
  if (!is_current && !this->ResumeSilent(id, pending, node, result))
    return;
  pending.in_flight = false;
  pending.run_time = Duration(result.upstream_time_us);
  if (result.has_response) {
    this->HandleResponse(id, pending, std::move(result));
  } else if (result.execution == Execution::kNotRun) {
    this->HandleRefusal(id, pending, result);
  } else {
    this->HandleFailure(id, pending, result);
  }
}

void Entry::HandleResponse(std::uint64_t id,
                           PendingRequest& pending,
                           ResultFrame result) {
  if (FindHeader(result.response.headers, this->names.leaving) ==
      kLeavingValue) {
    RecordDeparture(this->departures,
                    {pending.attempt.node, pending.attempt.instance,
                     pending.attempt.process_stamp},
                    SteadyNow());
  }
  const bool failed = IsFailure(result.response);
  this->RecordOutcome(pending.attempt.node, failed);
  this->ReportOutcome(pending, pending.attempt, failed,
                      Duration(result.upstream_time_us));
  ++pending.attempts;
  pending.may_have_run = true;
  if (!failed) {
    this->ForwardResponse(id, std::move(result.response));
    return;
  }
  const bool retries =
      this->MayRetry(pending, ErrorKind::kUpstreamFailed, false);
  pending.has_response = true;
  pending.response = std::move(result.response);
  if (retries)
    this->TryNext(id);
  else
    this->EndUnserved(id, ErrorKind::kUpstreamFailed, kEntryRetryAfter);
}

// The request did not run. A gate's refusal did not reach the upstream, so the
// next attempt costs no retry budget; a refusal by the upstream itself does.
void Entry::HandleRefusal(std::uint64_t id,
                          PendingRequest& pending,
                          ResultFrame& result) {
  pending.tried.push_back(pending.attempt.node);
  pending.last_error = result.error;
  const Duration retry_after = std::chrono::milliseconds(result.retry_after_ms);
  // The first upstream that has room again serves the caller. A suspect is
  // refused by all of them.
  const bool is_latest =
      pending.refusals == 0 || result.error == ErrorKind::kCrashSuspect;
  pending.retry_after =
      is_latest ? retry_after : std::min(pending.retry_after, retry_after);
  ++pending.refusals;
  const bool reached_upstream = result.error == ErrorKind::kUpstreamShed;
  if (reached_upstream) {
    ++pending.attempts;
    this->RecordOutcome(pending.attempt.node, true);
  }
  const bool time_left = pending.deadline - SteadyNow() > kMinAttemptTime;
  // A gate that refuses a suspect knows more than the others: asking those
  // would crash another upstream.
  const bool may_ask_another = result.error != ErrorKind::kCrashSuspect &&
                               pending.refusals < kMaxRefusals && time_left;
  const bool may_retry = reached_upstream
                             ? this->MayRetry(pending, result.error, true)
                             : may_ask_another;
  if (may_retry) {
    this->TryNext(id);
    return;
  }
  this->EndUnserved(id, result.error, pending.retry_after);
}

void Entry::HandleFailure(std::uint64_t id,
                          PendingRequest& pending,
                          ResultFrame& result) {
  this->RecordOutcome(pending.attempt.node, true);
  this->ReportOutcome(pending, pending.attempt, true,
                      Duration(result.upstream_time_us));
  pending.tried.push_back(pending.attempt.node);
  pending.last_error = result.error;
  ++pending.attempts;
  pending.may_have_run = true;
  if (this->MayRetry(pending, result.error, false)) {
    this->TryNext(id);
    return;
  }
  this->EndUnserved(id, result.error, kEntryRetryAfter);
}

bool Entry::MayRetry(PendingRequest& pending, ErrorKind kind, bool not_run) {
  const auto made = pending.attempts + static_cast<int>(pending.silent.size());
  if (made >= pending.route->max_attempts)
    return false;
  if (std::find(pending.tried.begin(), pending.tried.end(),
                pending.attempt.node) == pending.tried.end())
    pending.tried.push_back(pending.attempt.node);
  const CrashEvidence& evidence = this->gate.crash_evidence;
  const bool may_crash_another =
      !not_run && !evidence.IsEmpty() &&
      evidence.IsNearLimit(this->FingerprintOfPending(pending));
  FailedAttempt failed;
  failed.kind = may_crash_another ? ErrorKind::kCrashSuspect : kind;
  failed.not_run = not_run;
  failed.idempotent = pending.route->idempotent;
  failed.attempts_made = made;
  // Picks a version anew, so that most retries go where most requests go: while
  // a move runs, the failure may be the new version's fault.
  pending.picked = this->versions.Pick(pending.service);
  failed.has_other_upstream = !this->CandidatesFor(pending).empty();
  failed.deadline = pending.deadline;
  failed.min_attempt_time = kMinAttemptTime;
  failed.nests_calls =
      pending.nested ||
      !ServicesCalledBy(this->shortage, pending.route->name).empty();
  RetryBudget& budget = this->BudgetOf(pending.service);
  const RetryReason reason = DecideRetry(budget, failed, SteadyNow());
  this->counters.retries.Add(reason);
  pending.retry_reason = reason;
  return IsRetry(reason);
}

void Entry::OnDeadline(std::uint64_t id) {
  const auto found = this->pending_requests.find(id);
  if (found == this->pending_requests.end())
    return;
  PendingRequest& pending = found->second;
  if (pending.in_flight) {
    const Attempt& attempt = pending.attempt;
    this->RecordOutcome(attempt.node, true);
    this->ReportOutcome(pending, attempt, true, SteadyNow() - attempt.sent_at);
  }
  this->SendError(id, ErrorKind::kTimeout, kEntryRetryAfter);
}

// Nobody waits for the response, so an idempotent request is cancelled. Others
// go on, since stopping them would leave their work half done.
void Entry::OnCallerDisconnected(std::uint64_t id) {
  const auto found = this->pending_requests.find(id);
  if (found == this->pending_requests.end())
    return;
  PendingRequest& pending = found->second;
  ++this->counters.callers_left;
  this->CancelAttempts(id, pending);
  this->ReleaseToken(id, pending);
  this->LogDecision(pending, "caller-left", ErrorKind::kCancelled, 0);
  this->pending_requests.erase(found);
}

}  // namespace teaselspread
