// A loaded service in which some of the fastest upstreams name a limit far
// below what they get. Real gates and placement, a virtual clock and seeds.
#include "teaselspread/admission.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "teaselspread/placement.h"

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr std::size_t kEntries = 13;
constexpr int kSlots = 14;
// Mean run times; they serve about 1,470 requests a second together.
constexpr std::array<double, 9> kRunMs = {70, 70,  70,  70, 70,
                                          70, 155, 155, 155};
constexpr double kRequestsPerMs = 0.72;
constexpr double kUrgentShare = 0.25;
// With these limits the service bears some 1,150 requests a second.
constexpr std::array<double, 2> kLimits = {36.5, 51.5};
constexpr Ms kNamedAt{4000};
constexpr Ms kLength{14000};
constexpr Ms kReportInterval{200};
constexpr Ms kAim{300};
constexpr Ms kDeadline{800};
constexpr std::size_t kMaxTries = 3;

// What an entry knows of an upstream.
struct View {
  Candidate candidate;
  TimePoint received_at;
  std::uint32_t sent_since = 0;
};

struct Upstream {
  std::string name;
  Gatekeeper gate;
  std::array<View, kEntries> views{};
};

struct Request {
  TimePoint arrived;
  std::size_t entry = 0;
  std::size_t upstream = 0;
  Priority priority = Priority::kNormal;
  std::vector<std::size_t> tried;
};

struct Outcome {
  int begun = 0;
  int in_time = 0;
  int refused = 0;
  // Refusals by gates, after which most requests were served elsewhere.
  int gate_refusals = 0;
};

// One service and its entries; `told` if the entries know the limits.
class Service {
 public:
  Service(bool entries_told, std::uint64_t seed)
      : told(entries_told), rng(seed) {
    for (std::size_t i = 0; i < kRunMs.size(); ++i) {
      auto upstream = std::make_unique<Upstream>();
      upstream->name = "vm-" + std::to_string(i);
      upstream->gate.settings.slots = kSlots;
      upstream->gate.settings.retry_after = Ms(80);
      this->upstreams.push_back(std::move(upstream));
    }
  }

  void Run() {
    for (Ms at{0}; at < kLength; at += Ms(1)) {
      this->now = kStart + at;
      if (at == kNamedAt)
        this->NameLimits();
      this->EndRuns();
      for (std::size_t i = 0; i < this->upstreams.size(); ++i)
        this->Advance(i);
      if (at % kReportInterval == Ms(0))
        this->Report();
      std::poisson_distribution<int> arrivals(kRequestsPerMs);
      for (int i = arrivals(this->rng); i > 0; --i)
        this->Receive();
    }
  }

  // Of the requests that arrived before and after the limits were named.
  Outcome before;
  Outcome after;
  std::vector<std::unique_ptr<Upstream>> upstreams;

 private:
  // Requests of the first second only fill the service.
  static bool IsFilling(const Request& request) {
    return request.arrived < kStart + std::chrono::seconds(1);
  }

  void NameLimits() {
    for (std::size_t i = 0; i < kLimits.size(); ++i) {
      Gatekeeper& gate = this->upstreams[i]->gate;
      (void)HearLimit(gate.limit, kLimits.at(i), this->now, this->now);
      this->Apply(OnLimitChanged(gate, this->now, this->rng));
    }
  }

  Outcome& OutcomeOf(const Request& request) {
    return request.arrived < kStart + kNamedAt ? this->before : this->after;
  }

  void Begin(std::uint64_t id) {
    const std::size_t i = this->requests.at(id).upstream;
    constexpr double kShape = 4;
    std::gamma_distribution<double> run(kShape, kRunMs.at(i) / kShape);
    this->ends.emplace(
        this->now + Duration(static_cast<std::int64_t>(run(this->rng) * 1000)),
        std::pair{id, this->now});
  }

  void Apply(const GateActions& actions) {
    for (const std::uint64_t id : actions.run)
      this->Begin(id);
    for (const Refusal& refusal : actions.refused)
      this->OnRefusal(refusal.id);
  }

  void EndRuns() {
    while (!this->ends.empty() && this->ends.begin()->first <= this->now) {
      const auto [id, started] = this->ends.begin()->second;
      this->ends.erase(this->ends.begin());
      const Request& request = this->requests.at(id);
      if (this->now - request.arrived <= kAim && !IsFilling(request))
        ++this->OutcomeOf(request).in_time;
      Upstream& upstream = *this->upstreams[request.upstream];
      this->Apply(Finish(upstream.gate, id, this->now - started, true,
                         this->now, this->rng));
      this->TellLoad(upstream, upstream.views.at(request.entry));
    }
  }

  void Advance(std::size_t i) {
    Gatekeeper& gate = this->upstreams[i]->gate;
    if (const auto due = NextAdvance(gate, this->now); due && *due <= this->now)
      this->Apply(teaselspread::Advance(gate, this->now, this->rng));
  }

  void Report() {
    for (const auto& upstream : this->upstreams) {
      for (View& view : upstream->views) {
        Candidate& candidate = view.candidate;
        candidate.node = upstream->name;
        candidate.distance = Distance::kOwnDataCenter;
        candidate.slots = kSlots;
        candidate.run_time = Duration(static_cast<std::int64_t>(
            upstream->gate.overall_service_time.mean_us));
        candidate.mean_run_time = candidate.run_time;
        candidate.starts_per_second =
            this->told ? upstream->gate.limit.per_second.value_or(0) : 0;
        this->TellLoad(*upstream, view);
      }
    }
  }

  // Reports carry the load, and so does each result.
  void TellLoad(const Upstream& upstream, View& view) const {
    const Gatekeeper& gate = upstream.gate;
    view.candidate.load = static_cast<std::uint32_t>(LoadOf(gate));
    view.candidate.waiting = static_cast<std::uint32_t>(gate.queue.size());
    view.candidate.queued_time = QueuedTime(gate, this->now);
    view.received_at = this->now;
    view.sent_since = 0;
  }

  [[nodiscard]] std::vector<Candidate> CandidatesOf(
      const Request& request) const {
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
      const View& view = this->upstreams[i]->views.at(request.entry);
      if (std::find(request.tried.begin(), request.tried.end(), i) !=
          request.tried.end())
        continue;
      Candidate candidate = view.candidate;
      candidate.load += view.sent_since;
      if (candidate.starts_per_second > 0) {
        const Duration wait = candidate.queued_time / kSlots;
        candidate.start_wait =
            std::max(wait - (this->now - view.received_at), Duration{0});
      }
      candidates.push_back(candidate);
    }
    return candidates;
  }

  void Receive() {
    std::uniform_real_distribution<double> draw(0, 1);
    Request request;
    request.arrived = this->now;
    request.entry = this->rng() % kEntries;
    request.priority = draw(this->rng) < kUrgentShare ? Priority::kNormal
                                                      : Priority::kBackground;
    this->OutcomeOf(request).begun += IsFilling(request) ? 0 : 1;
    const std::uint64_t id = ++this->last_id;
    this->requests.emplace(id, request);
    this->Send(id);
  }

  void Send(std::uint64_t id) {
    Request& request = this->requests.at(id);
    const auto candidates = this->CandidatesOf(request);
    PlacedRequest placed;
    placed.aim = std::max<Duration>(request.arrived + kAim - this->now, Ms(10));
    const std::size_t chosen =
        Place(PlacementSettings{}, candidates, placed, this->rng);
    const auto i = static_cast<std::size_t>(
        std::stoi(std::string(candidates.at(chosen).node.substr(3))));
    ++this->upstreams[i]->views.at(request.entry).sent_since;
    request.upstream = i;
    Arrival arrival;
    arrival.id = id;
    arrival.route = "fetch";
    arrival.priority = request.priority;
    arrival.aim = request.arrived + kAim;
    arrival.deadline = request.arrived + kDeadline;
    const ArrivalResult arrived =
        Arrive(this->upstreams[i]->gate, arrival, this->now, this->rng);
    if (arrived.admission == Admission::kRun)
      this->Begin(id);
    for (const Refusal& refusal : arrived.overtaken)
      this->OnRefusal(refusal.id);
    if (arrived.refusal)
      this->OnRefusal(id);
  }

  void OnRefusal(std::uint64_t id) {
    Request& request = this->requests.at(id);
    request.tried.push_back(request.upstream);
    Upstream& refusing = *this->upstreams[request.upstream];
    this->TellLoad(refusing, refusing.views.at(request.entry));
    ++this->OutcomeOf(request).gate_refusals;
    if (request.tried.size() < kMaxTries) {
      this->Send(id);
      return;
    }
    ++this->OutcomeOf(request).refused;
  }

  bool told;
  Rng rng;
  TimePoint now = kStart;
  std::map<std::uint64_t, Request> requests;
  std::multimap<TimePoint, std::pair<std::uint64_t, TimePoint>> ends;
  std::uint64_t last_id = 0;
};

double ShareOf(int part, int whole) {
  return static_cast<double>(part) / whole;
}

// Guards against a service that loses more than its limited upstreams take
// away: these are the fastest and have free slots, so entries go on choosing
// them, or overrun the others.
Test(limited_service, the_others_take_what_limited_upstreams_do_not) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Service service(true, seed);
    service.Run();
    const double before = ShareOf(service.before.in_time, service.before.begun);
    const double after = ShareOf(service.after.in_time, service.after.begun);
    // The others have room, some of them with longer run times.
    cr_assert_geq(after, before - 0.05, "seed %lu: %f after %f", seed, after,
                  before);
    cr_assert_leq(ShareOf(service.after.refused, service.after.begun), 0.01,
                  "seed %lu: %d", seed, service.after.refused);
  }
}

// Guards against requests that are refused by one gate before another one runs
// them, since limited upstreams look idle.
Test(limited_service, entries_that_know_the_limits_are_refused_less) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Service told(true, seed);
    told.Run();
    Service untold(false, seed);
    untold.Run();
    cr_assert_lt(told.after.gate_refusals, untold.after.gate_refusals / 2,
                 "seed %lu: %d, %d", seed, told.after.gate_refusals,
                 untold.after.gate_refusals);
  }
}

}  // namespace
}  // namespace teaselspread
