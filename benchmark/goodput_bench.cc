// Goodput from 0.5x to 5x of capacity, with the decisions of this library and
// with plain round robin without admission. Virtual clock; one seed a row.
#include <algorithm>
#include <cstdio>
#include <deque>
#include <memory>
#include <random>
#include <set>

#include "queue_model.h"

namespace teaselspread::bench {
namespace {

using Ms = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

const Duration kOverload = Seconds(20);
const Duration kAfter = Seconds(20);
constexpr double kLoadAfter = 0.5;

// What both ways of serving share: the arrivals and the accounts.
class Model {
 public:
  Model(ModelSettings chosen, std::uint64_t seed)
      : settings(chosen), rng(seed) {}
  Model(const Model&) = delete;
  Model& operator=(const Model&) = delete;
  virtual ~Model() = default;

  // Overload for kOverload, then kLoadAfter of capacity for kAfter.
  ModelResult Run(double load) {
    this->began = this->events.now;
    this->result.good_by_second.assign(60, 0);
    this->result.asked_by_second.assign(60, 0);
    this->rate = load * this->Capacity();
    this->events.At(this->began + kOverload,
                    [this] { this->rate = kLoadAfter * this->Capacity(); });
    this->ScheduleArrival();
    this->events.RunUntil(this->began + kOverload + kAfter);
    return std::move(this->result);
  }

  // Slots of all targets.
  [[nodiscard]] double Slots() const {
    return this->settings.targets * this->settings.slots;
  }

 protected:
  virtual void Ask(const ModelRequest& request) = 0;

  // Requests a microsecond that keep every slot busy.
  [[nodiscard]] double Capacity() const {
    const auto full = static_cast<double>(this->settings.service_time.count());
    const auto brief = static_cast<double>(this->settings.lookup_time.count());
    const double mean =
        this->settings.lookups * brief + (1 - this->settings.lookups) * full;
    return this->Slots() / mean;
  }

  void ScheduleArrival() {
    std::exponential_distribution<double> gap(this->rate);
    const Duration after(static_cast<std::int64_t>(gap(this->rng)) + 1);
    this->events.At(this->events.now + after, [this] {
      ++this->result.asked;
      ++this->result.asked_by_second[this->SecondOf(this->events.now)];
      this->Ask(this->MakeRequest());
      this->ScheduleArrival();
    });
  }

  ModelRequest MakeRequest() {
    ModelRequest request;
    request.id = this->next_id++;
    request.lookup =
        std::bernoulli_distribution(this->settings.lookups)(this->rng);
    request.asked = this->events.now;
    request.deadline = this->events.now + this->settings.deadline;
    const Duration mean = request.lookup ? this->settings.lookup_time
                                         : this->settings.service_time;
    // Half of the time is fixed, the rest varies.
    std::exponential_distribution<double> extra(
        2.0 / static_cast<double>(mean.count()));
    request.work =
        mean / 2 + Duration(static_cast<std::int64_t>(extra(this->rng)));
    return request;
  }

  void Started(const ModelRequest& request) {
    const auto wait =
        static_cast<double>((this->events.now - request.asked).count());
    this->result.wait_us.Add(wait);
    if (request.lookup)
      this->result.lookup_wait_us.Add(wait);
  }

  void Ended(const ModelRequest& request) {
    if (this->events.now > request.deadline) {
      ++this->result.late;
      return;
    }
    ++this->result.good;
    ++this->result.good_by_second[this->SecondOf(request.asked)];
    if (this->events.now < this->began + kOverload) {
      this->result.good_work_us += static_cast<double>(request.work.count());
    }
  }

  [[nodiscard]] std::size_t SecondOf(TimePoint at) const {
    const auto second =
        std::chrono::duration_cast<Seconds>(at - this->began).count();
    return static_cast<std::size_t>(std::min<std::int64_t>(second, 59));
  }

  ModelSettings settings;
  EventQueue events;
  ModelResult result;
  Rng rng;
  TimePoint began;
  double rate = 0;
  std::uint64_t next_id = 1;
};

// Round robin into a queue at each upstream that knows no deadlines; a caller
// that had no answer by its deadline sends again, once.
class RoundRobin : public Model {
 public:
  RoundRobin(ModelSettings chosen, std::uint64_t seed)
      : Model(chosen, seed),
        targets(static_cast<std::size_t>(chosen.targets)) {}

 protected:
  void Ask(const ModelRequest& request) override { this->Send(request); }

 private:
  struct Upstream {
    int running = 0;
    std::deque<ModelRequest> waiting;
  };

  void Send(ModelRequest request) {
    ++this->result.sent;
    ++request.attempts;
    Upstream& target = this->targets[this->next++ % this->targets.size()];
    if (request.attempts == 1) {
      this->open.insert(request.id);
      this->events.At(request.deadline, [this, request] {
        if (this->open.count(request.id) == 0)
          return;
        ModelRequest again = request;
        again.asked = this->events.now;
        again.deadline = this->events.now + this->settings.deadline;
        this->Send(again);
      });
    }
    target.waiting.push_back(request);
    this->StartNext(target);
  }

  void StartNext(Upstream& target) {
    while (target.running < this->settings.slots && !target.waiting.empty()) {
      const ModelRequest request = target.waiting.front();
      target.waiting.pop_front();
      ++target.running;
      this->Started(request);
      this->events.At(this->events.now + request.work,
                      [this, &target, request] {
                        --target.running;
                        this->open.erase(request.id);
                        this->Ended(request);
                        this->StartNext(target);
                      });
    }
  }

  std::vector<Upstream> targets;
  std::set<std::uint64_t> open;
  std::size_t next = 0;
};

// The decisions of this library. Each target has its gatekeeper; callers come
// to any node. Upstreams accept deadlines: a run is cancelled at its own.
class Decided : public Model {
 public:
  Decided(ModelSettings chosen, std::uint64_t seed) : Model(chosen, seed) {
    std::vector<Member> members;
    for (int i = 0; i < chosen.targets; ++i) {
      Member member;
      member.id = std::to_string(i);
      member.data_center = "bole";
      member.upstream = {"service",    "v1",         UpstreamState::kReady,
                         chosen.slots, chosen.slots, TimePoint{}};
      members.push_back(member);
    }
    const Snapshot snapshot;
    for (const Member& member : members) {
      this->gates.push_back(std::make_unique<Gatekeeper>());
      this->gates.back()->settings.slots = chosen.slots;
      this->tables.emplace_back();
      UpdateTargets(this->tables.back(), snapshot, members, member.id, "bole");
    }
    this->budgets = std::vector<RetryBudget>(members.size());
  }

 protected:
  void Ask(const ModelRequest& request) override {
    const std::size_t entry = this->rng() % this->gates.size();
    OnFirstAttempt(this->budgets[entry]);
    this->Send(entry, request);
  }

 private:
  void Send(std::size_t entry, ModelRequest request) {
    UpstreamTable& table = this->tables[entry];
    table.own_load = LoadOf(*this->gates[entry]);
    const auto chosen = ChooseUpstream(table, "service", "v1", request.tried,
                                       this->events.now, this->rng);
    if (!chosen) {
      this->Refused(request);
      return;
    }
    const std::string id = (*chosen)->id;
    request.tried.push_back(id);
    ++request.attempts;
    ++this->result.sent;
    OnRequestSent(table, "service", "v1", id);
    const std::size_t gate = std::stoul(id);
    this->events.At(
        this->events.now + this->HopTime(entry, gate),
        [this, entry, gate, request] { this->AtGate(entry, gate, request); });
  }

  [[nodiscard]] Duration HopTime(std::size_t entry, std::size_t gate) const {
    return entry == gate ? Duration{} : this->settings.hop;
  }

  void AtGate(std::size_t entry,
              std::size_t gate,
              const ModelRequest& request) {
    Arrival arrival;
    arrival.id = request.id;
    arrival.route = request.lookup ? "lookup" : "report";
    arrival.priority = request.lookup ? Priority::kInternal : Priority::kNormal;
    arrival.deadline = request.deadline;
    const ArrivalResult arrived =
        Arrive(*this->gates[gate], arrival, this->events.now, this->rng);
    if (arrived.evicted)
      this->Answer(gate, *arrived.evicted);
    this->held[request.id] = {entry, this->events.now, request};
    if (arrived.admission == Admission::kRun)
      this->Start(gate, request.id);
    if (arrived.refusal)
      this->Answer(gate, *arrived.refusal);
    this->SetTimer(gate);
  }

  void Start(std::size_t gate, std::uint64_t id) {
    const ModelRequest& request = this->held.at(id).request;
    this->Started(request);
    const TimePoint end = std::min(this->events.now + request.work,
                                   request.deadline + Duration(1));
    const TimePoint began_at = this->events.now;
    this->events.At(end, [this, gate, id, began_at] {
      this->OnEnd(gate, id, this->events.now - began_at);
    });
  }

  void OnEnd(std::size_t gate, std::uint64_t id, Duration took) {
    const Pending done = this->held.at(id);
    this->held.erase(id);
    this->Apply(gate, Finish(*this->gates[gate], id, took, true,
                             this->events.now, this->rng));
    this->Ended(done.request);
    const bool in_time = this->events.now <= done.request.deadline;
    this->Back(done.entry, gate,
               in_time ? ResponseKind::kSucceeded : ResponseKind::kTimedOut,
               this->events.now - done.sent);
  }

  void Apply(std::size_t gate, const GateActions& actions) {
    for (const std::uint64_t id : actions.run)
      this->Start(gate, id);
    for (const Refusal& refusal : actions.refused)
      this->Answer(gate, refusal);
    this->SetTimer(gate);
  }

  void Back(std::size_t entry,
            std::size_t gate,
            ResponseKind kind,
            Duration took) {
    OnResponse(this->tables[entry], "service", "v1", std::to_string(gate), kind,
               LoadOf(*this->gates[gate]), this->events.now, took);
  }

  // The gatekeeper said "not run": the entry decides on a retry.
  void Answer(std::size_t gate, const Refusal& refusal) {
    const Pending refused = this->held.at(refusal.id);
    this->held.erase(refusal.id);
    const std::size_t entry = refused.entry;
    this->events.At(this->events.now + this->HopTime(entry, gate),
                    [this, entry, gate, refused, refusal] {
                      this->Back(entry, gate, ResponseKind::kShed, Duration{});
                      this->DecideOnRetry(entry, refused.request, refusal.kind);
                    });
  }

  void DecideOnRetry(std::size_t entry,
                     const ModelRequest& request,
                     ErrorKind kind) {
    FailedAttempt attempt;
    attempt.kind = kind;
    attempt.not_run = true;
    attempt.attempts_made = request.attempts;
    attempt.deadline = request.deadline;
    attempt.min_attempt_time = request.lookup ? this->settings.lookup_time
                                              : this->settings.service_time;
    if (IsRetry(DecideRetry(this->budgets[entry], attempt, this->events.now)))
      this->Send(entry, request);
    else
      this->Refused(request);
  }

  void Refused(const ModelRequest& request) {
    ++this->result.refused;
    this->result.refusal_us.Add(
        static_cast<double>((this->events.now - request.asked).count()));
  }

  void SetTimer(std::size_t gate) {
    const auto next = NextAdvance(*this->gates[gate], this->events.now);
    if (!next || this->timers[gate] == *next)
      return;
    this->timers[gate] = *next;
    this->events.At(*next + Duration(1), [this, gate] {
      this->Apply(gate,
                  Advance(*this->gates[gate], this->events.now, this->rng));
    });
  }

  struct Pending {
    std::size_t entry = 0;
    TimePoint sent;
    ModelRequest request;
  };
  std::vector<std::unique_ptr<Gatekeeper>> gates;
  std::vector<UpstreamTable> tables;
  std::vector<RetryBudget> budgets;
  std::map<std::uint64_t, Pending> held;
  std::map<std::size_t, TimePoint> timers;
};

// Seconds from the end of the overload until 99% of those asked in a second
// are answered in time; -1 if never.
int RecoverySeconds(const ModelResult& result) {
  const auto first = static_cast<std::size_t>(
      std::chrono::duration_cast<Seconds>(kOverload).count());
  const auto count = static_cast<std::size_t>(
      std::chrono::duration_cast<Seconds>(kAfter).count());
  for (std::size_t i = 0; i + 1 < count; ++i) {
    const double asked = result.asked_by_second[first + i];
    if (result.good_by_second[first + i] >= 0.99 * asked)
      return static_cast<int>(i);
  }
  return -1;
}

template <class Kind>
void Report(const char* name, double load) {
  const ModelSettings settings;
  Kind model(settings, 42);
  const double capacity =
      model.Slots() * static_cast<double>(kOverload.count());
  const ModelResult result = model.Run(load);
  std::printf(
      "%-11s %4.1fx goodput %5.1f%% sent/asked %.3f wait p99 %7.1f ms lookup "
      "p99 %7.1f ms told p50 %6.1f ms late %6.0f recovery %d s\n",
      name, load, 100 * result.good_work_us / capacity,
      result.sent / result.asked, result.wait_us.P99() / 1000,
      result.lookup_wait_us.P99() / 1000, result.refusal_us.P50() / 1000,
      result.late, RecoverySeconds(result));
}

}  // namespace
}  // namespace teaselspread::bench

int main() {
  namespace bench = teaselspread::bench;
  for (const double load : {0.5, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0}) {
    bench::Report<bench::Decided>("decided", load);
    bench::Report<bench::RoundRobin>("round-robin", load);
  }
  return 0;
}
