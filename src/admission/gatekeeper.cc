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

// Retry-After covers the time to drain the queue, so that retries fit into it.
// It has jitter, since callers that retry all at once would not fit.
Refusal MakeRefusal(Gatekeeper& gate,
                    std::uint64_t id,
                    ErrorKind kind,
                    TimePoint now,
                    Rng& rng) {
  gate.refusals.Add(kind);
  const Duration base = gate.settings.retry_after +
                        ExpectedWait(gate, QueuedAhead(gate, nullptr), now);
  return {id, kind, JitteredRetryAfter(base, rng)};
}

void RemoveRequest(Gatekeeper& gate, std::uint64_t id) {
  const auto found = gate.held.find(id);
  if (found == gate.held.end())
    return;
  gate.body_bytes -= found->second->arrival.body_bytes;
  gate.held.erase(found);
}

Refusal RefuseQueued(Gatekeeper& gate,
                     Queue& queue,
                     HeldRequest& held,
                     ErrorKind kind,
                     TimePoint now,
                     Rng& rng) {
  const std::uint64_t id = held.arrival.id;
  queue.erase(queue.iterator_to(held));
  RemoveRequest(gate, id);
  return MakeRefusal(gate, id, kind, now, rng);
}

void StartRun(Gatekeeper& gate, HeldRequest& held, TimePoint now) {
  held.running = true;
  RecordStart(gate.pace, now);
  RecordStart(gate.limit, now);
  ++gate.running;
  gate.running_alone = held.arrival.suspect;
}

HeldRequest& AddRequest(Gatekeeper& gate, const Arrival& arrival) {
  auto held = std::make_unique<HeldRequest>();
  held->arrival = arrival;
  held->order = gate.next_order++;
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
                     std::uint64_t id,
                     ErrorKind kind,
                     TimePoint now,
                     Rng& rng) {
  return {Admission::kRefused,
          MakeRefusal(gate, id, kind, now, rng),
          std::nullopt,
          {}};
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
TimePoint LatestStartOf(const Gatekeeper& gate, const HeldRequest& held) {
  const TimePoint by_deadline = LatestStart(gate, held.arrival);
  return gate.limit.per_second ? std::min(by_deadline, held.latest_start)
                               : by_deadline;
}

// Refuses the queued requests that `limit` lets start too late.
std::vector<Refusal> RefuseTooLate(Gatekeeper& gate, TimePoint now, Rng& rng) {
  std::vector<std::uint64_t> too_late;
  std::size_t ahead = 0;
  for (auto next = gate.queue.begin(); next != gate.queue.end();) {
    HeldRequest& held = *next++;
    if (StartBehind(gate.limit, ahead, now) <= LatestStartOf(gate, held)) {
      ++ahead;
      continue;
    }
    too_late.push_back(held.arrival.id);
    gate.queue.erase(gate.queue.iterator_to(held));
    RemoveRequest(gate, too_late.back());
  }
  // Only now, since Retry-After follows from the queue that remains.
  std::vector<Refusal> refusals;
  for (const std::uint64_t id : too_late) {
    ++gate.refused_by_limit;
    refusals.push_back(
        MakeRefusal(gate, id, ErrorKind::kQueueTimeout, now, rng));
  }
  return refusals;
}

ArrivalResult Enqueue(Gatekeeper& gate,
                      const Arrival& arrival,
                      TimePoint now,
                      Rng& rng) {
  HeldRequest candidate;
  candidate.arrival = arrival;
  candidate.order = gate.next_order;
  const QueueAhead ahead = QueuedAhead(gate, &candidate);
  const Duration wait = ExpectedWait(gate, ahead, now);
  const TimePoint by_limit = StartBehind(gate.limit, ahead.requests, now);
  // Leaves room for one more urgent request that comes later and would make the
  // last one in the queue wait in vain, until its deadline.
  const Duration margin =
      StartBehind(gate.limit, ahead.requests + 1, now) - by_limit;
  if (now + wait > LatestAdmissibleStart(gate, arrival, now) ||
      now + wait + margin > LatestStart(gate, arrival)) {
    const bool limited = gate.limit.per_second && by_limit >= now + wait;
    gate.refused_by_limit += limited ? 1 : 0;
    return Refuse(gate, arrival.id, ErrorKind::kDeadlineTooShort, now, rng);
  }
  ArrivalResult arrived;
  arrived.admission = Admission::kQueued;
  const auto limit = static_cast<std::size_t>(gate.settings.queue_limit);
  if (gate.queue.size() >= limit) {
    if (gate.queue.empty() || !RunsBefore{}(candidate, *gate.queue.rbegin()) ||
        HaveSamePriority(candidate.arrival, gate.queue.rbegin()->arrival))
      return Refuse(gate, arrival.id, ErrorKind::kQueueFull, now, rng);
    arrived.evicted = RefuseQueued(gate, gate.queue, *gate.queue.rbegin(),
                                   ErrorKind::kQueueFull, now, rng);
  }
  HeldRequest& held = AddRequest(gate, arrival);
  held.latest_start = LatestAdmissibleStart(gate, arrival, now);
  gate.queue.insert(held);
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
    if (LatestStartOf(gate, held) < now) {
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
  if (!gate.suspect_queue.empty() && gate.running == 0 && gate.ready &&
      NextStart(gate, now) <= now)
    StartSuspect(gate, now, actions);
  while (MayStart(gate, now) && !gate.queue.empty()) {
    HeldRequest& held = *gate.queue.begin();
    gate.queue.erase(gate.queue.begin());
    StartRun(gate, held, now);
    actions.run.push_back(held.arrival.id);
  }
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
  if (const auto kind = ImmediateRefusal(gate, arrival, now))
    return Refuse(gate, arrival.id, *kind, now, rng);
  if (arrival.suspect)
    return AdmitSuspect(gate, arrival, now);
  if (MayStart(gate, now) && gate.queue.empty()) {
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
  if (updates_estimate)
    RecordServiceTime(gate, found->second->arrival.route, run_time);
  if (found->second->arrival.suspect)
    gate.running_alone = false;
  --gate.running;
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
  if (suspect_may_start || (HasFreeSlot(gate) && !gate.queue.empty()))
    next = NextStart(gate, now);
  for (const Queue* queue : {&gate.queue, &gate.suspect_queue}) {
    for (const HeldRequest& held : *queue) {
      const TimePoint latest = LatestStartOf(gate, held);
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
  return gate.running + static_cast<int>(gate.queue.size()) +
         static_cast<int>(gate.suspect_queue.size());
}

}  // namespace teaselspread
