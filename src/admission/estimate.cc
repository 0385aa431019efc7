#include "admission/estimate.h"

#include <algorithm>
#include <limits>
#include <string>

namespace teaselspread {
namespace {

// Weight of the newest run in the moving average: about the last ten runs
// count.
constexpr double kNewestWeight = 0.1;

// Expected run time at the speed that the upstream has at `now`.
Duration RunTimeNow(const Gatekeeper& gate,
                    std::string_view route,
                    TimePoint now) {
  return SlowedBy(FactorAt(gate.speed, now), ExpectedServiceTime(gate, route));
}

void UpdateMean(ServiceTime& time, double run_time_us) {
  if (time.mean_us == 0) {
    time.mean_us = run_time_us;
    return;
  }
  time.mean_us += kNewestWeight * (run_time_us - time.mean_us);
}

}  // namespace

void RecordServiceTime(Gatekeeper& gate,
                       const std::string& route,
                       Duration run_time) {
  const auto run_time_us = static_cast<double>(run_time.count());
  UpdateMean(gate.service_times[route], run_time_us);
  UpdateMean(gate.overall_service_time, run_time_us);
}

Duration ExpectedServiceTime(const Gatekeeper& gate, std::string_view route) {
  const auto found = gate.service_times.find(route);
  const ServiceTime& time = found == gate.service_times.end()
                                ? gate.overall_service_time
                                : found->second;
  return Duration(static_cast<std::int64_t>(time.mean_us));
}

QueueAhead QueuedAhead(const Gatekeeper& gate, const HeldRequest* held) {
  QueueAhead ahead;
  HoldBack is_held_back(gate);
  for (const HeldRequest& waiting : gate.queue) {
    if (held != nullptr && !RunsBefore{}(waiting, *held))
      break;
    const Duration run = ExpectedServiceTime(gate, waiting.arrival.route);
    if (waiting.is_long) {
      ++ahead.long_requests;
      ahead.long_run_time += run;
    }
    if (is_held_back(waiting)) {
      ++ahead.held_back;
      continue;
    }
    ++ahead.requests;
    ahead.run_time += run;
  }
  return ahead;
}

HoldBack::HoldBack(const Gatekeeper& gate)
    : free_slots(IsReserving(gate) ? LongSlots(gate) - gate.running_long
                                   : std::numeric_limits<int>::max()) {}

bool HoldBack::operator()(const HeldRequest& held) {
  if (!held.is_long)
    return false;
  if (this->free_slots <= 0)
    return true;
  --this->free_slots;
  return false;
}

int LongSlots(const Gatekeeper& gate) {
  const int slots = gate.settings.slots;
  return gate.settings.waiting.reserve_slots ? LongCap(gate.reserve, slots)
                                             : slots;
}

bool IsReserving(const Gatekeeper& gate) {
  return LongSlots(gate) < gate.settings.slots;
}

int CountWaiting(const Gatekeeper& gate) {
  return static_cast<int>(IsReserving(gate)
                              ? QueuedAhead(gate, nullptr).requests
                              : gate.queue.size());
}

bool IsRateLimited(const Gatekeeper& gate, TimePoint now) {
  return IsPaced(gate.pace, now) || gate.limit.per_second.has_value();
}

TimePoint NextStart(const Gatekeeper& gate, TimePoint now) {
  return std::max(NextStart(gate.pace, now), NextStart(gate.limit, now));
}

TimePoint StartBehind(const Gatekeeper& gate,
                      std::size_t ahead,
                      TimePoint now) {
  return std::max(StartBehind(gate.pace, ahead, now),
                  StartBehind(gate.limit, ahead, now));
}

// A request that waits for a rate alone finds a free slot when it may start.
Duration ExpectedWait(const Gatekeeper& gate,
                      const QueueAhead& ahead,
                      TimePoint now) {
  const Duration paced = StartBehind(gate, ahead.requests, now) - now;
  if (IsRateLimited(gate, now) && gate.running < gate.settings.slots)
    return paced;
  const int slots = gate.settings.slots > 0 ? gate.settings.slots : 1;
  const double usual_work_us = static_cast<double>(ahead.run_time.count()) +
                               gate.overall_service_time.mean_us;
  const double work_us = usual_work_us * FactorAt(gate.speed, now);
  const Duration for_slots(static_cast<std::int64_t>(work_us / slots));
  return std::max(for_slots, paced);
}

Duration WaitForLongSlot(const Gatekeeper& gate,
                         const QueueAhead& ahead,
                         std::string_view route) {
  const int cap = LongSlots(gate);
  const auto before_it = static_cast<int>(ahead.long_requests);
  if (!IsReserving(gate) || gate.running_long + before_it < cap)
    return Duration{0};
  return (ahead.long_run_time + ExpectedServiceTime(gate, route)) / cap;
}

Duration ExpectedLongWait(const Gatekeeper& gate,
                          const QueueAhead& ahead,
                          std::string_view route,
                          TimePoint now) {
  QueueAhead for_rate = ahead;
  for_rate.requests += ahead.held_back;
  return std::max(
      ExpectedWait(gate, for_rate, now),
      SlowedBy(FactorAt(gate.speed, now), WaitForLongSlot(gate, ahead, route)));
}

Duration LongWait(const Gatekeeper& gate, std::string_view route) {
  return WaitForLongSlot(gate, QueuedAhead(gate, nullptr), route);
}

ServiceTimes TimesForPlacement(const Gatekeeper& gate) {
  ServiceTimes times = gate.service_times;
  if (!IsReserving(gate))
    return times;
  for (const std::string& route : LongRoutes(gate.reserve)) {
    const auto found = times.find(route);
    if (found != times.end())
      found->second.mean_us +=
          static_cast<double>(LongWait(gate, route).count());
  }
  return times;
}

Duration QueuedTime(const Gatekeeper& gate, TimePoint now) {
  const QueueAhead all = QueuedAhead(gate, nullptr);
  // Readers divide it by the slots.
  const Duration paced = StartBehind(gate, all.requests, now) - now;
  return std::max(all.run_time, paced * gate.settings.slots);
}

void RetainServiceTimes(Gatekeeper& gate,
                        const std::set<std::string_view>& routes) {
  std::erase_if(gate.service_times, [&routes](const auto& row) {
    return !routes.contains(row.first);
  });
  RetainRoutes(gate.reserve, routes);
}

TimePoint LatestStart(const Gatekeeper& gate,
                      const Arrival& arrival,
                      TimePoint now) {
  return arrival.deadline - RunTimeNow(gate, arrival.route, now);
}

TimePoint LatestAdmissibleStart(const Gatekeeper& gate,
                                const Arrival& arrival,
                                TimePoint now) {
  const TimePoint latest = LatestStart(gate, arrival, now);
  if (arrival.aim == TimePoint{} || arrival.aim >= arrival.deadline)
    return latest;
  const double aim_to_deadline =
      static_cast<double>((arrival.deadline - arrival.aim).count());
  const Duration allowed_lateness(static_cast<std::int64_t>(
      aim_to_deadline * gate.settings.waiting.late_part));
  const TimePoint latest_start_by_aim =
      arrival.aim + allowed_lateness - RunTimeNow(gate, arrival.route, now);
  const double allowed_wait =
      static_cast<double>((latest_start_by_aim - now).count()) *
      gate.settings.waiting.wait_part;
  return std::min(latest,
                  now + Duration(static_cast<std::int64_t>(allowed_wait)));
}

}  // namespace teaselspread
