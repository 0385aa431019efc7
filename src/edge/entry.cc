#include "edge/entry.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <random>
#include <set>
#include <string_view>
#include <utility>

#include "base/clock.h"
#include "teaselspread/logging.h"
#include "teaselspread/routing.h"

namespace teaselspread {
namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;
// After a route's time the answer of the upstream itself is given this long to
// come; it says more than an answer of this node.
constexpr Duration kAnswerSlack = std::chrono::milliseconds(80);
// Gates may refuse one request this often before its caller is told to come
// back: each refusal costs a way and says that the service is full.
constexpr int kMostRefusals = 3;
// Least time in which an upstream may still answer a request.
constexpr Duration kLeastTime = std::chrono::milliseconds(10);
// Bytes of an answer on a route that gave none yet, and of the headers of both
// ways.
constexpr double kUnknownAnswerBytes = 3000;
constexpr std::size_t kHeaderBytes = 500;
// Weight of the newest request in the usual size.
constexpr double kNewestSize = 0.01;
constexpr int kFirstServerError = 500;

std::optional<Duration> DeadlineIn(std::string_view text) {
  std::int64_t millis = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  if (error != std::errc{} || end != text.data() + text.size() || millis < 0)
    return std::nullopt;
  constexpr std::int64_t kMostMillis = 24LL * 3600 * 1000;
  return std::chrono::milliseconds(std::min(millis, kMostMillis));
}

// Which candidates are looked at first. With nothing else to try, a version
// that is not the first choice is better than a refusal, and so is a link in
// doubt.
int RankOf(VersionFit fit, bool in_doubt) {
  const int spare = fit == VersionFit::kSpare ? 1 : 0;
  return spare + (in_doubt ? 2 : 0);
}

}  // namespace

Entry::Entry(boost::asio::io_context& io,
             EntrySettings entry_settings,
             EdgeHeaderNames header_names,
             Gate& own_gate,
             Links& node_links,
             VersionChoice& version_choice)
    : loop(io),
      settings(std::move(entry_settings)),
      names(std::move(header_names)),
      gate(own_gate),
      links(node_links),
      versions(version_choice),
      rng(std::random_device{}()) {}

void Entry::SetSnapshot(SnapshotPtr now) {
  this->snapshot = std::move(now);
  std::set<std::string_view> routes;
  for (const RouteConfig& route : this->snapshot->routes)
    routes.insert(route.name);
  KeepRoutes(this->shortage, routes);
  this->gate.KeepRoutes(routes);
  std::erase_if(this->deadlines, [&routes](const auto& row) {
    return !routes.contains(row.first);
  });
}

void Entry::Take(const ExchangePtr& exchange) {
  ++this->counters.requests;
  if (!this->snapshot) {
    this->RefuseAtOnce(exchange, ErrorKind::kNotReady);
    return;
  }
  const HttpRequest& request = exchange->request;
  const RouteConfig* route =
      MatchRoute(*this->snapshot, FindHeader(request.headers, "Host"),
                 request.method, PathOf(request));
  if (route == nullptr) {
    this->RefuseAtOnce(exchange, ErrorKind::kNoRoute);
    return;
  }
  if (FindHeader(request.headers, kHeaderRequestId).empty()) {
    this->RefuseAtOnce(exchange, ErrorKind::kBadRequest);
    return;
  }
  const std::uint64_t id = this->next_id++;
  Pending pending;
  pending.exchange = exchange;
  pending.snapshot = this->snapshot;
  pending.route = route;
  pending.service = route->service;
  const std::string_view calling_route =
      this->gate.CallingRoute(FindHeader(request.headers, kHeaderRequestId));
  pending.nested = !calling_route.empty();
  if (!route->split.empty()) {
    std::vector<std::uint32_t> weights;
    for (const WeightedService& part : route->split)
      weights.push_back(part.weight);
    const std::size_t turn = NextTurn(this->turns[route->name], weights);
    pending.service = route->split[turn].service;
  }
  this->SetTimes(pending);
  pending.timer = std::make_unique<boost::asio::steady_timer>(this->loop);
  pending.timer->expires_after(pending.deadline - SteadyNow() + kAnswerSlack);
  pending.timer->async_wait([this, id](boost::system::error_code error) {
    if (!error)
      this->OnDeadline(id);
  });
  exchange->on_gone = [this, id] { this->OnGone(id); };
  OnFirstAttempt(this->BudgetOf(pending.service));
  if (pending.nested)
    RecordCall(this->shortage, std::string(calling_route), pending.service);
  const auto added = this->open.emplace(id, std::move(pending)).first;
  if (!this->ShedForDependency(id, added->second))
    this->Attempt(id);
}

void Entry::SetTimes(Pending& pending) {
  const HttpHeaders& headers = pending.exchange->request.headers;
  const RouteConfig& route = *pending.route;
  Duration allowed = route.deadline;
  const auto asked = DeadlineIn(FindHeader(headers, this->names.deadline));
  if (asked)
    allowed = std::min(allowed, *asked);
  pending.deadline = pending.exchange->arrived + allowed;
  if (!asked || pending.nested)
    return;
  DeadlineHistory& history = this->deadlines[route.name];
  pending.spent = TimeSpent(history, *asked);
  RecordDeadline(history, *asked);
}

std::optional<TimePoint> Entry::AimOf(const Pending& pending) {
  if (pending.route->aim <= Duration{0})
    return std::nullopt;
  return pending.exchange->arrived + pending.route->aim - pending.spent;
}

bool Entry::ShedForDependency(std::uint64_t id, Pending& pending) {
  if (pending.nested)
    return false;
  const double share = ShareToShed(this->shortage, pending.route->name,
                                   pending.route->priority, SteadyNow());
  std::uniform_real_distribution<double> draw(0, 1);
  if (share <= 0 || draw(this->rng) >= share)
    return false;
  pending.short_of_room = share;
  this->GiveError(id, ErrorKind::kDependencyFull, kEntryRetryAfter);
  return true;
}

RetryBudget& Entry::BudgetOf(const std::string& service) {
  const auto [found, added] = this->budgets.try_emplace(service);
  RetryBudget& budget = found->second;
  // Nodes spend without talking to each other: each has its part of what all
  // together may spend, with a margin for windows that cut a burst in two.
  constexpr double kMargin = 0.7;
  const double nodes = static_cast<double>(this->links.Peers().size()) + 1;
  budget.settings.share = this->settings.retry_share * kMargin;
  budget.settings.burst =
      std::max(1.0, this->settings.retry_slack * kMargin / nodes);
  if (added)
    budget.tokens = budget.settings.burst;
  return budget;
}

std::vector<Candidate> Entry::CandidatesFor(Pending& pending) {
  std::vector<Candidate> candidates;
  int best = std::numeric_limits<int>::max();
  const TimePoint now = SteadyNow();
  pending.other_versions = 0;
  const auto add = [&](std::string_view node, Distance distance,
                       const GateStatus& status, std::uint32_t load) {
    Candidate candidate;
    candidate.node = node;
    candidate.distance = distance;
    candidate.slots = std::max<std::uint32_t>(status.slots, 1);
    candidate.load = load;
    candidate.run_time = TimeOf(status.times, pending.route->name);
    candidate.mean_time = std::chrono::milliseconds(status.mean_ms);
    candidate.waiting = status.waiting;
    candidate.queued = std::chrono::milliseconds(status.queued_ms);
    candidate.failure_share = this->FailureShare(std::string(node), now);
    candidates.push_back(candidate);
  };
  // Keeps those of the best rank only.
  const auto fits = [&](std::string_view node, const GateStatus& status,
                        bool in_doubt) {
    if (status.state != LeaseState::kReady || status.service != pending.service)
      return false;
    const VersionFit fit =
        FitOf(pending.picked, status.version, status.instance);
    pending.other_versions += fit == VersionFit::kNone ? 1 : 0;
    const bool tried = std::find(pending.tried.begin(), pending.tried.end(),
                                 node) != pending.tried.end();
    const int rank = RankOf(fit, in_doubt);
    if (fit == VersionFit::kNone || tried || rank > best)
      return false;
    if (rank < best)
      candidates.clear();
    best = rank;
    return true;
  };
  const GateStatus own = this->gate.Status();
  if (fits(this->settings.vm, own, false))
    add(this->settings.vm, Distance::kOwnVm, own, own.running + own.waiting);
  for (const auto& [name, peer] : this->links.Peers()) {
    if (!peer.connected ||
        !fits(name, peer.status, Links::LinkInDoubt(peer, now)))
      continue;
    const bool near = peer.data_center == this->settings.data_center;
    const std::uint32_t told =
        peer.status.running + peer.status.waiting + peer.sent_since;
    add(name, near ? Distance::kOwnDataCenter : Distance::kOtherDataCenter,
        peer.status, std::max(told, peer.in_flight));
  }
  return candidates;
}

void Entry::Attempt(std::uint64_t id) {
  const auto found = this->open.find(id);
  if (found == this->open.end())
    return;
  Pending& pending = found->second;
  if (!pending.has_picked) {
    pending.picked = this->versions.Pick(pending.service);
    pending.has_picked = true;
  }
  const auto candidates = this->CandidatesFor(pending);
  const std::size_t chosen = Place(this->settings.placement, candidates,
                                   this->Placed(pending), this->rng);
  if (chosen == candidates.size()) {
    if (pending.has_answer) {
      this->GiveAnswer(id, std::move(pending.answer));
      return;
    }
    this->GiveError(id, pending.last_error,
                    std::max(pending.retry_after, kEntryRetryAfter));
    return;
  }
  this->SendTo(id, pending, candidates[chosen]);
}

PlacedRequest Entry::Placed(const Pending& pending) {
  PlacedRequest placed;
  placed.bytes = this->BytesOf(pending);
  const auto bytes = static_cast<double>(placed.bytes);
  if (this->usual_bytes == 0)
    this->usual_bytes = bytes;
  this->usual_bytes += kNewestSize * (bytes - this->usual_bytes);
  placed.usual_bytes = this->usual_bytes;
  const TimePoint now = SteadyNow();
  const std::optional<TimePoint> aim = AimOf(pending);
  const TimePoint due = aim && *aim > now ? *aim : pending.deadline;
  placed.aim = std::max(due - now, kLeastTime);
  placed.goes_first = pending.nested;
  return placed;
}

std::size_t Entry::BytesOf(const Pending& pending) const {
  const auto known = this->answer_bytes.find(pending.route->name);
  const double answer =
      known == this->answer_bytes.end() ? kUnknownAnswerBytes : known->second;
  return pending.exchange->request.body.size() + kHeaderBytes +
         static_cast<std::size_t>(answer);
}

const std::string& Entry::InstanceOf(const std::string& node) const {
  static const std::string none;
  const Peer* peer = this->links.Find(node);
  return peer == nullptr ? none : peer->status.instance;
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

RunFrame Entry::FrameOf(std::uint64_t id, const Pending& pending) {
  RunFrame frame;
  frame.call = id;
  frame.route = pending.route->name;
  // Without its nested call a request that has half its work behind it fails,
  // and everything that was done for it is lost. So these go first, and wait as
  // long as they can be of use.
  const Priority priority =
      pending.nested ? Priority::kInternal : pending.route->priority;
  frame.priority = static_cast<std::uint8_t>(priority);
  frame.idempotent = pending.route->idempotent;
  const Duration left = pending.deadline - SteadyNow();
  frame.deadline_ms = static_cast<std::uint32_t>(
      std::max<std::int64_t>(left.count() / kMicrosPerMilli, 1));
  frame.aim_ms = frame.deadline_ms;
  if (const auto aim = AimOf(pending); aim && !pending.nested) {
    const Duration to_aim = *aim - SteadyNow();
    frame.aim_ms = static_cast<std::uint32_t>(
        std::max<std::int64_t>(to_aim.count() / kMicrosPerMilli, 0));
  }
  frame.request = pending.exchange->request;
  frame.request.hold = nullptr;
  RemoveHopHeaders(frame.request.headers);
  SetHeader(frame.request.headers, this->names.caller_service,
            this->settings.service);
  RemoveHeader(frame.request.headers, this->names.expected_instance);
  return frame;
}

void Entry::SendTo(std::uint64_t id,
                   Pending& pending,
                   const Candidate& chosen) {
  pending.node = std::string(chosen.node);
  pending.version = this->VersionOf(chosen);
  pending.at_own_gate = chosen.distance == Distance::kOwnVm;
  pending.under_way = true;
  pending.sent = SteadyNow();
  RunFrame frame = this->FrameOf(id, pending);
  if (pending.at_own_gate) {
    this->gate.Run(id, std::move(frame), [this](ResultFrame result) {
      const std::uint64_t call = result.call;
      this->Settle(call, std::move(result));
    });
    return;
  }
  frame.instance = this->InstanceOf(pending.node);
  if (!this->links.Run(pending.node, frame)) {
    pending.under_way = false;
    pending.tried.push_back(pending.node);
    pending.last_error = ErrorKind::kPeerUnreachable;
    this->Attempt(id);
  }
}

void Entry::OnResult(ResultFrame result) {
  const std::uint64_t id = result.call;
  this->Settle(id, std::move(result));
}

void Entry::Settle(std::uint64_t id, ResultFrame result) {
  const auto found = this->open.find(id);
  if (found == this->open.end() || !found->second.under_way)
    return;
  Pending& pending = found->second;
  pending.under_way = false;
  pending.ran = Duration(result.took_us);
  if (result.answered) {
    this->TakeAnswer(id, pending, std::move(result));
  } else if (result.execution == Execution::kNotRun) {
    this->TakeRefusal(id, pending, result);
  } else {
    this->TakeFailure(id, pending, result);
  }
}

void Entry::TakeAnswer(std::uint64_t id, Pending& pending, ResultFrame result) {
  const bool failed = result.response.status >= kFirstServerError;
  this->Learn(pending.node, failed);
  this->Tell(pending, failed, Duration(result.took_us));
  ++pending.attempts;
  pending.may_have_run = true;
  if (failed && this->MayRepeat(pending, ErrorKind::kUpstreamFailed, false)) {
    pending.has_answer = true;
    pending.answer = std::move(result.response);
    this->Attempt(id);
    return;
  }
  this->GiveAnswer(id, std::move(result.response));
}

// Nothing ran. A gate's refusal never reached the upstream, so trying another
// costs no budget; a refusal of the upstream itself was an arrival there.
void Entry::TakeRefusal(std::uint64_t id,
                        Pending& pending,
                        ResultFrame& result) {
  pending.tried.push_back(pending.node);
  pending.last_error = result.error;
  pending.retry_after = std::chrono::milliseconds(result.retry_after_ms);
  ++pending.refusals;
  const bool arrived = result.error == ErrorKind::kUpstreamShed;
  if (arrived) {
    ++pending.attempts;
    this->Learn(pending.node, true);
  }
  const bool time_left = pending.deadline - SteadyNow() > kLeastTime;
  const bool again = arrived ? this->MayRepeat(pending, result.error, true)
                             : pending.refusals < kMostRefusals && time_left;
  if (again) {
    this->Attempt(id);
    return;
  }
  if (pending.has_answer) {
    this->GiveAnswer(id, std::move(pending.answer));
    return;
  }
  this->GiveError(id, result.error, pending.retry_after);
}

void Entry::TakeFailure(std::uint64_t id,
                        Pending& pending,
                        ResultFrame& result) {
  this->Learn(pending.node, true);
  this->Tell(pending, true, Duration(result.took_us));
  pending.tried.push_back(pending.node);
  pending.last_error = result.error;
  ++pending.attempts;
  pending.may_have_run = true;
  if (this->MayRepeat(pending, result.error, false)) {
    this->Attempt(id);
    return;
  }
  if (pending.has_answer) {
    this->GiveAnswer(id, std::move(pending.answer));
    return;
  }
  this->GiveError(id, result.error, kEntryRetryAfter);
}

bool Entry::MayRepeat(Pending& pending, ErrorKind kind, bool not_run) {
  if (pending.attempts >= pending.route->max_attempts)
    return false;
  if (std::find(pending.tried.begin(), pending.tried.end(), pending.node) ==
      pending.tried.end())
    pending.tried.push_back(pending.node);
  FailedAttempt failed;
  failed.kind = kind;
  failed.not_run = not_run;
  failed.idempotent = pending.route->idempotent;
  failed.attempts_made = pending.attempts;
  // While a move runs, a repeat goes where most requests go: the answer that
  // failed may be the new version's fault.
  pending.picked = this->versions.Pick(pending.service);
  failed.other_upstream = !this->CandidatesFor(pending).empty();
  failed.deadline = pending.deadline;
  failed.attempt_time = kLeastTime;
  RetryBudget& budget = this->BudgetOf(pending.service);
  const RetryReason reason = DecideRetry(budget, failed, SteadyNow());
  this->counters.retries.Add(reason);
  pending.retry = reason;
  return IsRetry(reason);
}

void Entry::OnLost(const std::string& node) {
  std::vector<std::uint64_t> lost;
  for (const auto& [id, pending] : this->open) {
    if (pending.under_way && !pending.at_own_gate && pending.node == node)
      lost.push_back(id);
  }
  for (const std::uint64_t id : lost) {
    ResultFrame result;
    result.call = id;
    result.error = ErrorKind::kPeerUnreachable;
    result.execution = Execution::kUnknown;
    this->Settle(id, std::move(result));
  }
}

void Entry::OnDeadline(std::uint64_t id) {
  const auto found = this->open.find(id);
  if (found == this->open.end())
    return;
  Pending& pending = found->second;
  if (pending.under_way) {
    if (pending.at_own_gate)
      this->gate.Cancel(id);
    else
      this->links.Cancel(pending.node, id);
    this->Learn(pending.node, true);
    this->Tell(pending, true, SteadyNow() - pending.sent);
  }
  this->GiveError(id, ErrorKind::kTimeout, kEntryRetryAfter);
}

// What may be repeated is stopped: nobody waits for it. What may not goes on,
// since cutting it off would leave it half done.
void Entry::OnGone(std::uint64_t id) {
  const auto found = this->open.find(id);
  if (found == this->open.end())
    return;
  Pending& pending = found->second;
  ++this->counters.callers_left;
  if (pending.under_way) {
    if (pending.at_own_gate)
      this->gate.Cancel(id);
    else
      this->links.Cancel(pending.node, id);
  }
  this->LogDecision(pending, "caller-left", ErrorKind::kCancelled, 0);
  this->open.erase(found);
}

}  // namespace teaselspread
