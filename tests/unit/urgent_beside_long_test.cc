// A service whose upstreams run long requests, which may wait, beside urgent
// ones and calls, with and without reserved slots. Real gates and placement, a
// virtual clock and seeds.
#include "teaselspread/admission.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "teaselspread/placement.h"
#include "teaselspread/upstream_model.h"

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr std::size_t kUpstreams = 31;
constexpr std::size_t kEntries = 31;
constexpr std::uint32_t kSlots = 6;
constexpr std::array<double, 3> kSpeeds = {0.7, 0.7, 1.6};
constexpr std::size_t kMaxTries = 3;
constexpr Ms kLoadInterval{200};
constexpr Ms kTick{250};
constexpr Ms kTimesInterval{400};
// Requests of the first seconds fill the service and its measurements.
constexpr Ms kCountedFrom{4000};
constexpr int kLastSecond = 1000;

enum class Kind : std::uint8_t { kUrgent, kLong, kCall };
constexpr std::size_t kKinds = 3;

struct Load {
  const char* route;
  Priority priority;
  double per_second;
  double run_ms;
  double sigma;
  Ms aim;
  Ms deadline;
  double value;
};

constexpr std::array<Load, kKinds> kLoads = {
    {{"quote", Priority::kNormal, 254, 87, 0.8, Ms(250), Ms(1500), 4.6},
     {"report", Priority::kNormal, 130, 500, 0.5, Ms(3000), Ms(6000), 0.4},
     {"lookup", Priority::kInternal, 1360, 31, 0.8, Ms(120), Ms(400), 0.81}}};
constexpr double kBurst = 2.4;

struct Scenario {
  bool reserves = true;
  Ms length{19000};
  // Long requests are kBurst times as many in between.
  Ms burst_from{};
  Ms burst_until{};
  // Urgent requests and calls arrive until then.
  Ms urgent_until = Ms::max();
  double long_factor = 1;
};

// What an entry knows of an upstream.
struct View {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  Duration queued_time{};
  std::uint32_t sent_since = 0;
  std::uint32_t in_flight = 0;
  std::vector<RouteTime> times;
  Duration mean_run_time{};
};

struct Upstream {
  std::string name;
  double speed = 1;
  Gatekeeper gate;
  std::vector<RouteTime> times;
  std::array<View, kEntries> views{};
};

struct Request {
  Kind kind = Kind::kUrgent;
  TimePoint arrived;
  std::size_t entry = 0;
  std::size_t upstream = 0;
  std::vector<std::size_t> tried;
};

struct Outcome {
  int begun = 0;
  int in_time = 0;
  int served = 0;
  int gate_refusals = 0;
  int refused = 0;
  [[nodiscard]] double InTime() const {
    return static_cast<double>(this->in_time) / this->begun;
  }
  [[nodiscard]] double Served() const {
    return static_cast<double>(this->served) / this->begun;
  }
};

const Load& LoadOfKind(Kind kind) {
  return kLoads.at(static_cast<std::size_t>(kind));
}

class Service {
 public:
  Service(const Scenario& played, std::uint64_t seed)
      : scenario(played), rng(seed) {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      auto upstream = std::make_unique<Upstream>();
      upstream->name = "vm-" + std::to_string(i);
      upstream->speed = kSpeeds.at(i % kSpeeds.size());
      upstream->gate.settings.slots = kSlots;
      upstream->gate.settings.retry_after = Ms(80);
      upstream->gate.settings.waiting.reserve_slots = played.reserves;
      this->upstreams.push_back(std::move(upstream));
    }
  }

  void Run() {
    for (Ms at{0}; at < this->scenario.length; at += Ms(1)) {
      this->now = kStart + at;
      this->EndRuns();
      for (auto& upstream : this->upstreams) {
        Gatekeeper& gate = upstream->gate;
        if (const auto due = NextAdvance(gate, this->now);
            due && *due <= this->now)
          this->Apply(Advance(gate, this->now, this->rng));
      }
      this->Report(at);
      for (std::size_t kind = 0; kind < kKinds; ++kind)
        this->ReceiveKind(static_cast<Kind>(kind), at);
      if (at >= this->scenario.length - Ms(kLastSecond))
        this->CountRunning();
    }
  }

  // Value that the counted requests brought, in a second.
  [[nodiscard]] double ValuePerSecond() const {
    double value = 0;
    for (std::size_t kind = 0; kind < kKinds; ++kind) {
      const Outcome& outcome = this->outcomes.at(kind);
      // A call counts by its deadline, others in full by the soft deadline and
      // with three tenths after it.
      const double late = static_cast<Kind>(kind) == Kind::kCall ? 1 : 0.3;
      value += kLoads.at(kind).value *
               (outcome.in_time + late * (outcome.served - outcome.in_time));
    }
    const auto [from, until] = this->CountedSpan();
    return value / std::chrono::duration<double>(until - from).count();
  }

  // Mean fraction of the slots in use in the last second.
  [[nodiscard]] double UsedSlots() const {
    return this->running_sum / (kUpstreams * kSlots * kLastSecond);
  }

  const Outcome& operator[](Kind kind) const {
    return this->outcomes.at(static_cast<std::size_t>(kind));
  }

  std::vector<std::unique_ptr<Upstream>> upstreams;

 private:
  // Arrivals whose outcome counts: those of the burst, if there is one; none of
  // the end, whose requests still run.
  [[nodiscard]] std::pair<Ms, Ms> CountedSpan() const {
    if (this->scenario.burst_until > Ms(0))
      return {this->scenario.burst_from, this->scenario.burst_until};
    return {kCountedFrom, this->scenario.length - Ms(4000)};
  }

  Outcome* CountedOutcome(const Request& request) {
    const auto [from, until] = this->CountedSpan();
    if (request.arrived < kStart + from || request.arrived >= kStart + until)
      return nullptr;
    return &this->outcomes.at(static_cast<std::size_t>(request.kind));
  }

  void ReceiveKind(Kind kind, Ms at) {
    if (kind != Kind::kLong && at >= this->scenario.urgent_until)
      return;
    const bool in_burst =
        at >= this->scenario.burst_from && at < this->scenario.burst_until;
    const double long_factor = in_burst ? kBurst : this->scenario.long_factor;
    const double factor = kind == Kind::kLong ? long_factor : 1;
    std::poisson_distribution<int> arrivals(LoadOfKind(kind).per_second *
                                            factor / 1000);
    for (int i = arrivals(this->rng); i > 0; --i)
      this->Receive(kind);
  }

  void Receive(Kind kind) {
    Request request;
    request.kind = kind;
    request.arrived = this->now;
    request.entry = this->rng() % kEntries;
    const std::uint64_t id = ++this->last_id;
    if (Outcome* outcome = this->CountedOutcome(request); outcome != nullptr)
      ++outcome->begun;
    this->requests.emplace(id, request);
    this->Send(id);
  }

  void Begin(std::uint64_t id) {
    const Request& request = this->requests.at(id);
    const Load& load = LoadOfKind(request.kind);
    std::lognormal_distribution<double> run(
        std::log(load.run_ms) - load.sigma * load.sigma / 2, load.sigma);
    const double run_ms =
        run(this->rng) / this->upstreams[request.upstream]->speed;
    this->ends.emplace(
        this->now + Duration(static_cast<std::int64_t>(run_ms * 1000)),
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
      const Request request = this->requests.at(id);
      this->requests.erase(id);
      const Load& load = LoadOfKind(request.kind);
      const Duration took = this->now - request.arrived;
      if (Outcome* outcome = this->CountedOutcome(request);
          outcome != nullptr) {
        outcome->in_time += took <= load.aim ? 1 : 0;
        outcome->served += took <= load.deadline ? 1 : 0;
      }
      Upstream& upstream = *this->upstreams[request.upstream];
      View& view = upstream.views.at(request.entry);
      --view.in_flight;
      this->Apply(Finish(upstream.gate, id, this->now - started, true,
                         this->now, this->rng));
      this->TellLoad(upstream, view);
    }
  }

  // As Gate and Links do: loads and times at intervals, and the load with each
  // result.
  void Report(Ms at) {
    for (const auto& upstream : this->upstreams) {
      if (at % kTick == Ms(0))
        UpdateReportedTimes(upstream->times, TimesForPlacement(upstream->gate));
      if (at % kLoadInterval != Ms(0))
        continue;
      for (View& view : upstream->views) {
        this->TellLoad(*upstream, view);
        if (at % kTimesInterval != Ms(0))
          continue;
        view.times = upstream->times;
        view.mean_run_time = Duration(static_cast<std::int64_t>(
            upstream->gate.overall_service_time.mean_us));
      }
    }
  }

  void TellLoad(const Upstream& upstream, View& view) const {
    const Gatekeeper& gate = upstream.gate;
    view.running = static_cast<std::uint32_t>(gate.running);
    view.waiting = static_cast<std::uint32_t>(CountWaiting(gate));
    view.queued_time = QueuedTime(gate, this->now);
    view.sent_since = 0;
  }

  [[nodiscard]] std::vector<Candidate> CandidatesOf(
      const Request& request) const {
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
      if (std::find(request.tried.begin(), request.tried.end(), i) !=
          request.tried.end())
        continue;
      const View& view = this->upstreams[i]->views.at(request.entry);
      Candidate candidate;
      candidate.node = this->upstreams[i]->name;
      candidate.distance = request.entry / 3 % 3 == i / 3 % 3
                               ? Distance::kOwnDataCenter
                               : Distance::kOtherDataCenter;
      candidate.slots = kSlots;
      candidate.load = std::max(view.running + view.waiting + view.sent_since,
                                view.in_flight);
      candidate.run_time =
          ReportedTimeOf(view.times, LoadOfKind(request.kind).route);
      candidate.mean_run_time = view.mean_run_time;
      candidate.waiting = view.waiting;
      candidate.queued_time = view.queued_time;
      candidates.push_back(candidate);
    }
    return candidates;
  }

  void Send(std::uint64_t id) {
    Request& request = this->requests.at(id);
    const Load& load = LoadOfKind(request.kind);
    const bool is_call = request.kind == Kind::kCall;
    const TimePoint aim = request.arrived + load.aim;
    const TimePoint deadline = request.arrived + load.deadline;
    PlacedRequest placed;
    placed.aim = std::max<Duration>(
        (aim > this->now ? aim : deadline) - this->now, Ms(10));
    // As in Entry::PlacedRequestOf.
    placed.skips_queue = is_call && !this->scenario.reserves;
    const auto candidates = this->CandidatesOf(request);
    const std::size_t chosen =
        Place(PlacementSettings{}, candidates, placed, this->rng);
    const auto i = static_cast<std::size_t>(
        std::stoi(std::string(candidates.at(chosen).node.substr(3))));
    Upstream& upstream = *this->upstreams[i];
    View& view = upstream.views.at(request.entry);
    ++view.sent_since;
    ++view.in_flight;
    request.upstream = i;
    Arrival arrival;
    arrival.id = id;
    arrival.route = load.route;
    arrival.priority = load.priority;
    // Calls carry no soft deadline to the gate.
    arrival.aim = is_call ? deadline : std::max(aim, this->now);
    arrival.deadline = deadline;
    const ArrivalResult arrived =
        Arrive(upstream.gate, arrival, this->now, this->rng);
    if (arrived.admission == Admission::kRun)
      this->Begin(id);
    if (arrived.evicted)
      this->OnRefusal(arrived.evicted->id);
    for (const Refusal& refusal : arrived.overtaken)
      this->OnRefusal(refusal.id);
    if (arrived.refusal)
      this->OnRefusal(id);
  }

  void OnRefusal(std::uint64_t id) {
    Request& request = this->requests.at(id);
    request.tried.push_back(request.upstream);
    Upstream& refusing = *this->upstreams[request.upstream];
    View& view = refusing.views.at(request.entry);
    --view.in_flight;
    this->TellLoad(refusing, view);
    Outcome* outcome = this->CountedOutcome(request);
    if (outcome != nullptr)
      ++outcome->gate_refusals;
    if (request.tried.size() < kMaxTries) {
      this->Send(id);
      return;
    }
    if (outcome != nullptr)
      ++outcome->refused;
    this->requests.erase(id);
  }

  void CountRunning() {
    for (const auto& upstream : this->upstreams)
      this->running_sum += upstream->gate.running;
  }

  Scenario scenario;
  Rng rng;
  TimePoint now = kStart;
  double running_sum = 0;
  std::array<Outcome, kKinds> outcomes{};
  std::map<std::uint64_t, Request> requests;
  std::multimap<TimePoint, std::pair<std::uint64_t, TimePoint>> ends;
  std::uint64_t last_id = 0;
};

// Prints the figures of one run, for the design page.
void Print(const char* name, std::uint64_t seed, const Service& service) {
  std::printf("%s, seed %lu: value %.0f a second", name,
              static_cast<unsigned long>(seed), service.ValuePerSecond());
  for (const Kind kind : {Kind::kUrgent, Kind::kLong, Kind::kCall}) {
    const Outcome& outcome = service[kind];
    std::printf("; %s in time %.3f, served %.3f", LoadOfKind(kind).route,
                outcome.InTime(), outcome.Served());
  }
  std::printf("\n");
}

Service Play(const char* name, const Scenario& scenario, std::uint64_t seed) {
  Service service(scenario, seed);
  service.Run();
  Print(name, seed, service);
  return service;
}

// Guards against head-of-line blocking: at the usual load, seven tenths of all
// slots, long requests hold so many slots that urgent ones and calls are late.
// Callers need 90% of urgent requests and 95% of calls within their soft
// deadline.
Test(urgent_beside_long, urgent_requests_and_calls_are_in_time) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const Service reserved = Play("usual, reserved", {}, seed);
    cr_assert_geq(reserved[Kind::kUrgent].InTime(), 0.9, "seed %lu", seed);
    cr_assert_geq(reserved[Kind::kCall].InTime(), 0.95, "seed %lu", seed);
    cr_assert_geq(reserved[Kind::kLong].Served(), 0.9, "seed %lu", seed);
    const Service plain = Play("usual, plain", {.reserves = false}, seed);
    cr_assert_geq(reserved.ValuePerSecond(), plain.ValuePerSecond(), "seed %lu",
                  seed);
  }
}

// Guards against a burst of requests of low value that takes the value of all
// others: 2.4 times as many long ones are more than the service can run.
Test(urgent_beside_long, a_burst_of_long_requests_delays_no_urgent_ones) {
  Scenario burst;
  burst.length = Ms(17000);
  burst.burst_from = Ms(6000);
  burst.burst_until = Ms(13000);
  Scenario without = burst;
  without.reserves = false;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const Service reserved = Play("burst, reserved", burst, seed);
    cr_assert_geq(reserved[Kind::kUrgent].InTime(), 0.9, "seed %lu", seed);
    cr_assert_geq(reserved[Kind::kCall].InTime(), 0.95, "seed %lu", seed);
    const Service plain = Play("burst, plain", without, seed);
    cr_assert_geq(reserved.ValuePerSecond(), 1.2 * plain.ValuePerSecond(),
                  "seed %lu", seed);
  }
}

// Guards against slots that are kept free for nobody: after the urgent requests
// have ended, more long ones come than all slots can run.
Test(urgent_beside_long,
     long_requests_use_all_slots_when_nothing_urgent_comes) {
  Scenario scenario;
  scenario.length = Ms(10000);
  scenario.urgent_until = Ms(6000);
  scenario.long_factor = 4;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Service service(scenario, seed);
    service.Run();
    cr_assert_geq(service.UsedSlots(), 0.97, "seed %lu: %f", seed,
                  service.UsedSlots());
  }
}

}  // namespace
}  // namespace teaselspread
