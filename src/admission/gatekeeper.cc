#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include "admission/estimate.h"
#include "teaselspread/admission.h"
#include "teaselspread/retry.h"

namespace teaselspread {
namespace {

constexpr std::array<std::string_view, 3> kAdmissionNames = {"run", "queued",
                                                             "refused"};

using Queue = decltype(Gatekeeper::queue);

TimePoint EffectiveDeadline(const Arrival& arrival) {
  const bool has_aim = arrival.aim != TimePoint{};
  return has_aim ? std::min(arrival.aim, arrival.deadline) : arrival.deadline;
}

bool HaveSamePriority(const Arrival& a, const Arrival& b) {
  return a.priority == b.priority && a.tie_break == b.tie_break;
}

Duration ExpectedWaitOf(const Gatekeeper& gate,
                        const HeldRequest& held,
                        const QueueAhead& ahead,
                        TimePoint now) {
  return held.is_long ? ExpectedLongWait(gate, ahead, held.arrival.route, now)
                      : ExpectedWait(gate, ahead, now);
}

// The request as it would be queued.
HeldRequest CandidateOf(const Gatekeeper& gate, const Arrival& arrival) {
  HeldRequest candidate;
  candidate.arrival = arrival;
  candidate.order = gate.next_order;
  candidate.is_long = gate.settings.waiting.reserve_slots &&
                      IsLong(gate.reserve, arrival.route, arrival.priority);
  return candidate;
}

// Retry-After covers the time to drain the queue, so that retries fit into it.
// It has jitter, since callers that retry all at once would not fit.
Refusal MakeRefusal(Gatekeeper& gate,
                    const HeldRequest& held,
                    ErrorKind kind,
                    TimePoint now,
                    Rng& rng) {
  gate.refusals.Add(kind);
  const Duration base =
      gate.settings.retry_after +
      ExpectedWaitOf(gate, held, QueuedAhead(gate, nullptr), now);
  return {held.arrival.id, kind, JitteredRetryAfter(base, rng)};
}

// The request stays valid until the result is destroyed.
std::unique_ptr<HeldRequest> RemoveRequest(Gatekeeper& gate, std::uint64_t id) {
  const auto found = gate.held.find(id);
  if (found == gate.held.end())
    return nullptr;
  std::unique_ptr<HeldRequest> removed = std::move(found->second);
  gate.body_bytes -= removed->arrival.body_bytes;
  gate.held.erase(found);
  return removed;
}

Refusal RefuseQueued(Gatekeeper& gate,
                     Queue& queue,
                     HeldRequest& held,
                     ErrorKind kind,
                     TimePoint now,
                     Rng& rng) {
  queue.erase(queue.iterator_to(held));
  const auto removed = RemoveRequest(gate, held.arrival.id);
  return MakeRefusal(gate, *removed, kind, now, rng);
}

void StartRun(Gatekeeper& gate, HeldRequest& held, TimePoint now) {
  held.running = true;
  held.factor_at_start = FactorAt(gate.speed, now);
  RecordStart(gate.pace, now);
  RecordStart(gate.limit, now);
  ++gate.running;
  gate.running_long += held.is_long ? 1 : 0;
  gate.running_alone = held.arrival.suspect;
}

HeldRequest& AddRequest(Gatekeeper& gate, const Arrival& arrival) {
  auto held = std::make_unique<HeldRequest>(CandidateOf(gate, arrival));
  ++gate.next_order;
  gate.body_bytes += arrival.body_bytes;
  HeldRequest& result = *held;
  gate.held.emplace(arrival.id, std::move(held));
  return result;
}

// No other request starts while a suspect waits: otherwise a busy upstream
// would never be idle and the suspect would starve.
bool HasFreeSlot(const Gatekeeper& gate) {
  return gate.running < gate.settings.slots && !gate.running_alone &&
         gate.suspect_queue.empty() && gate.ready;
}

bool MayStart(const Gatekeeper& gate, TimePoint now) {
  return HasFreeSlot(gate) && NextStart(gate, now) <= now;
}

std::optional<ErrorKind> ImmediateRefusal(const Gatekeeper& gate,
                                          const Arrival& arrival,
                                          TimePoint now) {
  if (gate.leaving)
    return ErrorKind::kLeaving;
  if (!gate.ready)
    return ErrorKind::kNotReady;
  if (arrival.deadline <= now)
    return ErrorKind::kDeadlineTooShort;
  const std::size_t budget = gate.settings.body_memory_bytes;
  if (arrival.body_bytes > budget ||
      gate.body_bytes > budget - arrival.body_bytes)
    return ErrorKind::kMemoryBudget;
  const auto suspects = static_cast<int>(gate.suspect_queue.size());
  if (arrival.suspect && suspects >= gate.settings.max_waiting_suspects)
    return ErrorKind::kCrashSuspect;
  return std::nullopt;
}

ArrivalResult Refuse(Gatekeeper& gate,
                     const HeldRequest& candidate,
                     ErrorKind kind,
                     TimePoint now,
                     Rng& rng) {
  return {Admission::kRefused,
          MakeRefusal(gate, candidate, kind, now, rng),
          std::nullopt,
          {}};
}

// The first queued request that is not held back.
Queue::iterator FirstStartable(Gatekeeper& gate) {
  return std::find_if_not(gate.queue.begin(), gate.queue.end(), HoldBack(gate));
}

bool HasStartable(const Gatekeeper& gate) {
  return std::find_if_not(gate.queue.begin(), gate.queue.end(),
                          HoldBack(gate)) != gate.queue.end();
}

// Whether no slot of the cap is free for the request, which is not queued.
bool IsHeldBack(const Gatekeeper& gate, const Arrival& arrival) {
  return IsReserving(gate) && HoldBack(gate)(CandidateOf(gate, arrival));
}

// Counts the queued requests that only the reservation keeps from starting.
void CountHeldBack(Gatekeeper& gate, TimePoint now) {
  if (!IsReserving(gate) || !MayStart(gate, now))
    return;
  for (HeldRequest& held : gate.queue)
    gate.held_back += std::exchange(held.was_held_back, true) ? 0 : 1;
}

// Takes the last long request out of a full queue, in favour of one that is not
// long and has at least its priority.
std::optional<Refusal> EvictLong(Gatekeeper& gate,
                                 const HeldRequest& candidate,
                                 TimePoint now,
                                 Rng& rng) {
  if (!IsReserving(gate) || candidate.is_long)
    return std::nullopt;
  const auto last =
      std::find_if(gate.queue.rbegin(), gate.queue.rend(),
                   [](const HeldRequest& held) { return held.is_long; });
  if (last == gate.queue.rend() ||
      last->arrival.priority < candidate.arrival.priority)
    return std::nullopt;
  return RefuseQueued(gate, gate.queue, *last, ErrorKind::kQueueFull, now, rng);
}

// Makes room for `candidate` in a full queue, if others yield to it.
std::optional<Refusal> Evict(Gatekeeper& gate,
                             const HeldRequest& candidate,
                             TimePoint now,
                             Rng& rng) {
  if (auto evicted = EvictLong(gate, candidate, now, rng))
    return evicted;
  if (gate.queue.empty() || !RunsBefore{}(candidate, *gate.queue.rbegin()) ||
      HaveSamePriority(candidate.arrival, gate.queue.rbegin()->arrival))
    return std::nullopt;
  return RefuseQueued(gate, gate.queue, *gate.queue.rbegin(),
                      ErrorKind::kQueueFull, now, rng);
}

// A route became long or is no longer.
void MarkLongRequests(Gatekeeper& gate) {
  gate.running_long = 0;
  for (auto& [id, held] : gate.held) {
    const Arrival& arrival = held->arrival;
    held->is_long = IsLong(gate.reserve, arrival.route, arrival.priority);
    gate.running_long += held->is_long && held->running ? 1 : 0;
  }
}

void RefreshReserve(Gatekeeper& gate, TimePoint now) {
  if (gate.settings.waiting.reserve_slots &&
      UpdateReserve(gate.reserve, gate.service_times, now))
    MarkLongRequests(gate);
}

void Observe(Gatekeeper& gate, const Arrival& arrival, TimePoint now) {
  if (!gate.settings.waiting.reserve_slots)
    return;
  const bool has_aim = arrival.aim != TimePoint{};
  ObserveArrival(gate.reserve, arrival.route, arrival.priority,
                 {arrival.deadline - now,
                  (has_aim ? arrival.aim : arrival.deadline) - now},
                 now);
}

ArrivalResult AdmitSuspect(Gatekeeper& gate,
                           const Arrival& arrival,
                           TimePoint now) {
  HeldRequest& held = AddRequest(gate, arrival);
  if (gate.running == 0 && gate.suspect_queue.empty() &&
      NextStart(gate, now) <= now) {
    StartRun(gate, held, now);
    return {Admission::kRun, std::nullopt, std::nullopt, {}};
  }
  gate.suspect_queue.insert(held);
  return {Admission::kQueued, std::nullopt, std::nullopt, {}};
}

// Latest start of a queued request.
TimePoint LatestStartOf(const Gatekeeper& gate,
                        const HeldRequest& held,
                        TimePoint now) {
  const TimePoint by_deadline = LatestStart(gate, held.arrival, now);
  return gate.limit.per_second ? std::min(by_deadline, held.latest_start)
                               : by_deadline;
}

// Refuses the queued requests that `limit` or the reservation lets start too
// late.
std::vector<Refusal> RefuseTooLate(Gatekeeper& gate, TimePoint now, Rng& rng) {
  std::vector<std::unique_ptr<HeldRequest>> too_late;
  // Those that remain before the next one, for the limit and for the slots of
  // long requests.
  std::size_t ahead = 0;
  QueueAhead long_ahead;
  HoldBack is_held_back(gate);
  for (auto next = gate.queue.begin(); next != gate.queue.end();) {
    HeldRequest& held = *next++;
    const std::size_t held_back_ahead = held.is_long ? long_ahead.held_back : 0;
    const TimePoint latest = LatestStartOf(gate, held, now);
    const bool by_limit =
        StartBehind(gate.limit, ahead + held_back_ahead, now) > latest;
    const bool by_reserve =
        held.is_long &&
        now + SlowedBy(FactorAt(gate.speed, now),
                       WaitForLongSlot(gate, long_ahead, held.arrival.route)) >
            latest;
    if (by_limit || by_reserve) {
      gate.refused_by_limit += by_limit ? 1 : 0;
      gate.refused_by_reserve += by_limit ? 0 : 1;
      gate.queue.erase(gate.queue.iterator_to(held));
      too_late.push_back(RemoveRequest(gate, held.arrival.id));
      continue;
    }
    if (held.is_long) {
      ++long_ahead.long_requests;
      long_ahead.long_run_time += ExpectedServiceTime(gate, held.arrival.route);
    }
    if (is_held_back(held))
      ++long_ahead.held_back;
    else
      ++ahead;
  }
  // Only now, since Retry-After follows from the queue that remains.
  std::vector<Refusal> refusals;
  refusals.reserve(too_late.size());
  for (const auto& held : too_late)
    refusals.push_back(
        MakeRefusal(gate, *held, ErrorKind::kQueueTimeout, now, rng));
  return refusals;
}

// Whether the wait for a slot of the long requests is what makes one too late.
bool IsForReserve(const Gatekeeper& gate,
                  const HeldRequest& candidate,
                  const QueueAhead& ahead,
                  Duration wait) {
  return candidate.is_long &&
         WaitForLongSlot(gate, ahead, candidate.arrival.route) >= wait &&
         wait > Duration{0};
}

ArrivalResult Enqueue(Gatekeeper& gate,
                      const Arrival& arrival,
                      TimePoint now,
                      Rng& rng) {
  const HeldRequest candidate = CandidateOf(gate, arrival);
  const QueueAhead ahead = QueuedAhead(gate, &candidate);
  const Duration wait = ExpectedWaitOf(gate, candidate, ahead, now);
  const std::size_t before_it =
      ahead.requests + (candidate.is_long ? ahead.held_back : 0);
  const TimePoint by_limit = StartBehind(gate.limit, before_it, now);
  // Leaves room for one more urgent request that comes later and would make the
  // last one in the queue wait in vain, until its deadline.
  const Duration margin =
      StartBehind(gate.limit, before_it + 1, now) - by_limit;
  if (now + wait > LatestAdmissibleStart(gate, arrival, now) ||
      now + wait + margin > LatestStart(gate, arrival, now)) {
    const bool limited = gate.limit.per_second && by_limit >= now + wait;
    gate.refused_by_limit += limited ? 1 : 0;
    gate.refused_by_reserve +=
        !limited && IsForReserve(gate, candidate, ahead, wait) ? 1 : 0;
    return Refuse(gate, candidate, ErrorKind::kDeadlineTooShort, now, rng);
  }
  ArrivalResult arrived;
  arrived.admission = Admission::kQueued;
  const auto limit = static_cast<std::size_t>(gate.settings.queue_limit);
  if (gate.queue.size() >= limit) {
    arrived.evicted = Evict(gate, candidate, now, rng);
    if (!arrived.evicted)
      return Refuse(gate, candidate, ErrorKind::kQueueFull, now, rng);
  }
  HeldRequest& held = AddRequest(gate, arrival);
  held.latest_start = LatestAdmissibleStart(gate, arrival, now);
  gate.queue.insert(held);
  CountHeldBack(gate, now);
  if (gate.limit.per_second)
    arrived.overtaken = RefuseTooLate(gate, now, rng);
  return arrived;
}

void ExpireQueue(Gatekeeper& gate,
                 Queue& queue,
                 TimePoint now,
                 Rng& rng,
                 GateActions& actions) {
  for (auto next = queue.begin(); next != queue.end();) {
    HeldRequest& held = *next++;
    if (LatestStartOf(gate, held, now) < now) {
      actions.refused.push_back(
          RefuseQueued(gate, queue, held, ErrorKind::kQueueTimeout, now, rng));
    }
  }
}

void StartSuspect(Gatekeeper& gate, TimePoint now, GateActions& actions) {
  HeldRequest& held = *gate.suspect_queue.begin();
  gate.suspect_queue.erase(gate.suspect_queue.begin());
  StartRun(gate, held, now);
  actions.run.push_back(held.arrival.id);
}

void StartQueued(Gatekeeper& gate,
                 TimePoint now,
                 Rng& rng,
                 GateActions& actions) {
  ExpireQueue(gate, gate.suspect_queue, now, rng, actions);
  ExpireQueue(gate, gate.queue, now, rng, actions);
  RefreshReserve(gate, now);
  if (!gate.suspect_queue.empty() && gate.running == 0 && gate.ready &&
      NextStart(gate, now) <= now)
    StartSuspect(gate, now, actions);
  while (MayStart(gate, now)) {
    const auto first = FirstStartable(gate);
    if (first == gate.queue.end())
      break;
    HeldRequest& held = *first;
    gate.queue.erase(first);
    StartRun(gate, held, now);
    actions.run.push_back(held.arrival.id);
  }
  if (!IsReserving(gate))
    return;
  CountHeldBack(gate, now);
  const auto refused = RefuseTooLate(gate, now, rng);
  actions.refused.insert(actions.refused.end(), refused.begin(), refused.end());
}

void RefuseAllQueued(Gatekeeper& gate,
                     ErrorKind kind,
                     TimePoint now,
                     Rng& rng,
                     GateActions& actions) {
  for (Queue* queue : {&gate.queue, &gate.suspect_queue}) {
    while (!queue->empty())
      actions.refused.push_back(
          RefuseQueued(gate, *queue, *queue->begin(), kind, now, rng));
  }
}

}  // namespace

std::string_view NameOf(Admission admission) {
  return kAdmissionNames.at(static_cast<std::size_t>(admission));
}

bool RunsBefore::operator()(const HeldRequest& a, const HeldRequest& b) const {
  const TimePoint due_a = EffectiveDeadline(a.arrival);
  const TimePoint due_b = EffectiveDeadline(b.arrival);
  return std::tie(a.arrival.priority, a.arrival.tie_break, due_a, a.order) <
         std::tie(b.arrival.priority, b.arrival.tie_break, due_b, b.order);
}

Gatekeeper::~Gatekeeper() {
  this->queue.clear();
  this->suspect_queue.clear();
}

bool OpenConnection(Gatekeeper& gate) {
  if (gate.open_connections >= gate.settings.max_connections) {
    gate.refusals.Add(ErrorKind::kConnectionLimit);
    return false;
  }
  ++gate.open_connections;
  return true;
}

void CloseConnection(Gatekeeper& gate) {
  --gate.open_connections;
}

ArrivalResult Arrive(Gatekeeper& gate,
                     const Arrival& arrival,
                     TimePoint now,
                     Rng& rng) {
  Observe(gate, arrival, now);
  if (const auto kind = ImmediateRefusal(gate, arrival, now))
    return Refuse(gate, CandidateOf(gate, arrival), *kind, now, rng);
  if (arrival.suspect)
    return AdmitSuspect(gate, arrival, now);
  if (MayStart(gate, now) && !HasStartable(gate) &&
      !IsHeldBack(gate, arrival)) {
    StartRun(gate, AddRequest(gate, arrival), now);
    return {Admission::kRun, std::nullopt, std::nullopt, {}};
  }
  return Enqueue(gate, arrival, now, rng);
}

GateActions Finish(Gatekeeper& gate,
                   std::uint64_t id,
                   Duration run_time,
                   bool updates_estimate,
                   TimePoint now,
                   Rng& rng) {
  GateActions actions;
  const auto found = gate.held.find(id);
  if (found == gate.held.end() || !found->second->running)
    return actions;
  if (updates_estimate) {
    const double factor = FactorOverRun(found->second->factor_at_start,
                                        FactorAt(gate.speed, now));
    RecordServiceTime(gate, found->second->arrival.route,
                      UsualTime(factor, run_time));
  }
  if (found->second->arrival.suspect)
    gate.running_alone = false;
  --gate.running;
  gate.running_long -= found->second->is_long ? 1 : 0;
  RemoveRequest(gate, id);
  StartQueued(gate, now, rng, actions);
  return actions;
}

void CancelWaiting(Gatekeeper& gate, std::uint64_t id) {
  const auto found = gate.held.find(id);
  if (found == gate.held.end() || found->second->running)
    return;
  HeldRequest& held = *found->second;
  Queue& queue = held.arrival.suspect ? gate.suspect_queue : gate.queue;
  queue.erase(queue.iterator_to(held));
  RemoveRequest(gate, id);
}

GateActions Advance(Gatekeeper& gate, TimePoint now, Rng& rng) {
  GateActions actions;
  StartQueued(gate, now, rng, actions);
  return actions;
}

std::optional<TimePoint> NextAdvance(const Gatekeeper& gate, TimePoint now) {
  std::optional<TimePoint> next;
  const bool suspect_may_start =
      gate.running == 0 && gate.ready && !gate.suspect_queue.empty();
  if (suspect_may_start || (HasFreeSlot(gate) && HasStartable(gate)))
    next = NextStart(gate, now);
  if (IsReserving(gate) && gate.ready && !gate.queue.empty()) {
    const TimePoint update = gate.reserve.updated_at + kReserveInterval;
    next = next ? std::min(*next, update) : update;
  }
  for (const Queue* queue : {&gate.queue, &gate.suspect_queue}) {
    for (const HeldRequest& held : *queue) {
      const TimePoint latest = LatestStartOf(gate, held, now);
      next = next ? std::min(*next, latest) : latest;
    }
  }
  return next;
}

GateActions Leave(Gatekeeper& gate, TimePoint now, Rng& rng) {
  GateActions actions;
  gate.leaving = true;
  RefuseAllQueued(gate, ErrorKind::kLeaving, now, rng, actions);
  return actions;
}

GateActions SetUpstream(Gatekeeper& gate,
                        int slots,
                        bool ready,
                        TimePoint now,
                        Rng& rng) {
  GateActions actions;
  gate.settings.slots = slots;
  gate.ready = ready;
  if (!ready)
    RefuseAllQueued(gate, ErrorKind::kNotReady, now, rng, actions);
  StartQueued(gate, now, rng, actions);
  return actions;
}

GateActions OnLimitChanged(Gatekeeper& gate, TimePoint now, Rng& rng) {
  GateActions actions;
  StartQueued(gate, now, rng, actions);
  const auto refused = RefuseTooLate(gate, now, rng);
  actions.refused.insert(actions.refused.end(), refused.begin(), refused.end());
  return actions;
}

int LoadOf(const Gatekeeper& gate) {
  return gate.running + CountWaiting(gate) +
         static_cast<int>(gate.suspect_queue.size());
}

}  // namespace teaselspread
