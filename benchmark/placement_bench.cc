// Which upstream a request goes to, under the load patterns that hurt: today's
// placement beside turns in order, two at random, the least loaded, and a cost
// that is linear in time. Real gatekeepers, virtual clock, fixed seeds; nine
// upstreams of two speeds in four data centres, an entry beside each.
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>

#include "queue_model.h"
#include "teaselspread/placement.h"

namespace teaselspread::bench {
namespace {

using Ms = std::chrono::milliseconds;

constexpr std::size_t kUpstreams = 9;
constexpr std::array<int, kUpstreams> kCenterOf = {0, 0, 0, 1, 1, 2, 2, 3, 3};
constexpr std::array<double, kUpstreams> kSpeedOf = {0.7, 0.7, 1.6, 0.7, 0.7,
                                                     1.6, 0.7, 0.7, 1.6};
constexpr int kSlots = 14;
constexpr double kMeanMs = 90;
constexpr double kSpread = 0.5;
constexpr Duration kAim = Ms(300);
constexpr Duration kDeadline = Ms(800);
constexpr std::size_t kBytes = 5500;
constexpr double kLateWorth = 0.3;
// Worth of a kilobyte between data centres, as the platform charges it.
constexpr double kPricePerKilobyte = 0.012;
constexpr Duration kTellEvery = Ms(200);
constexpr Duration kRun = std::chrono::seconds(30);
constexpr int kMostGates = 3;
constexpr std::uint64_t kSeeds = 3;

using Candidates = std::vector<Candidate>;
// Index of the candidate that the request goes to.
using Policy = std::function<std::size_t(const Candidates&, Rng&, int turn)>;

struct Pattern {
  const char* name;
  // Of what all upstreams together can carry.
  double load;
  // The first upstreams are this many times slower.
  std::size_t slow_count;
  double slow_factor;
};

struct Totals {
  double asked = 0;
  double in_aim = 0;
  double late = 0;
  double crossed = 0;

  [[nodiscard]] double Worth() const {
    const double kilobytes = static_cast<double>(kBytes) / 1000;
    const double price = this->crossed * kilobytes * kPricePerKilobyte;
    return (this->in_aim + kLateWorth * this->late - price) / this->asked;
  }
};

struct Asked {
  std::size_t entry = 0;
  TimePoint first;
  TimePoint deadline;
  bool returned = false;
  std::vector<std::size_t> tried;
};

class Model {
 public:
  Model(const Pattern& chosen, Policy decide, std::uint64_t seed)
      : pattern(chosen), policy(std::move(decide)), rng(seed) {
    for (auto& gate : this->gates) {
      gate = std::make_unique<Gatekeeper>();
      gate->settings.slots = kSlots;
      gate->settings.retry_after = Ms(80);
    }
  }

  Totals Run() {
    const TimePoint end = this->events.now + kRun;
    this->Tell(end);
    this->Arrive(end);
    this->events.RunUntil(end + std::chrono::seconds(2));
    return this->totals;
  }

 private:
  [[nodiscard]] double SpeedOf(std::size_t upstream) const {
    const bool slow = upstream < this->pattern.slow_count;
    return kSpeedOf.at(upstream) * (slow ? this->pattern.slow_factor : 1);
  }

  void Arrive(TimePoint end) {
    double each_us = 0;
    for (const double speed : kSpeedOf)
      each_us += kSlots / (speed * kMeanMs * 1000);
    std::exponential_distribution<double> gap(each_us * this->pattern.load);
    const Duration after(static_cast<std::int64_t>(gap(this->rng)) + 1);
    this->events.At(this->events.now + after, [this, end] {
      if (this->events.now >= end)
        return;
      ++this->totals.asked;
      Asked asked;
      asked.entry = this->rng() % kUpstreams;
      asked.first = this->events.now;
      asked.deadline = this->events.now + kDeadline;
      this->Send(asked);
      this->Arrive(end);
    });
  }

  // Loads of other gates are known as they were told last, and what this entry
  // has sent there since.
  void Tell(TimePoint end) {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      this->told.at(i) = static_cast<std::uint32_t>(LoadOf(*this->gates.at(i)));
      for (auto& sent : this->sent_since)
        sent.at(i) = 0;
    }
    if (this->events.now < end)
      this->events.At(this->events.now + kTellEvery,
                      [this, end] { this->Tell(end); });
  }

  [[nodiscard]] Candidate CandidateOf(const Asked& asked, std::size_t to) {
    Candidate candidate;
    candidate.slots = kSlots;
    candidate.run_time = Duration(static_cast<std::int64_t>(
        this->gates.at(to)->overall_service_time.mean_us));
    if (to == asked.entry) {
      candidate.distance = Distance::kOwnVm;
      candidate.load = static_cast<std::uint32_t>(LoadOf(*this->gates.at(to)));
      return candidate;
    }
    const bool near = kCenterOf.at(to) == kCenterOf.at(asked.entry);
    candidate.distance =
        near ? Distance::kOwnDataCenter : Distance::kOtherDataCenter;
    candidate.load =
        this->told.at(to) + this->sent_since.at(asked.entry).at(to);
    return candidate;
  }

  void Send(Asked asked) {
    Candidates candidates;
    std::vector<std::size_t> places;
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      const auto& tried = asked.tried;
      if (std::find(tried.begin(), tried.end(), i) != tried.end())
        continue;
      candidates.push_back(this->CandidateOf(asked, i));
      places.push_back(i);
    }
    const std::size_t to =
        places.at(this->policy(candidates, this->rng, this->next_turn++));
    asked.tried.push_back(to);
    ++this->sent_since.at(asked.entry).at(to);
    if (kCenterOf.at(to) != kCenterOf.at(asked.entry))
      ++this->totals.crossed;
    const std::uint64_t id = this->next_id++;
    Arrival arrival;
    arrival.id = id;
    arrival.route = "view";
    arrival.priority = Priority::kBackground;
    arrival.aim = asked.first + kAim;
    arrival.deadline = asked.deadline;
    this->held[id] = asked;
    const ArrivalResult arrived = teaselspread::Arrive(
        *this->gates.at(to), arrival, this->events.now, this->rng);
    if (arrived.refusal)
      this->Refused(*arrived.refusal);
    else if (arrived.admission == Admission::kRun)
      this->Start(to, id);
  }

  void Start(std::size_t at, std::uint64_t id) {
    std::lognormal_distribution<double> work(
        std::log(kMeanMs * this->SpeedOf(at)) - kSpread * kSpread / 2, kSpread);
    const Duration took(static_cast<std::int64_t>(work(this->rng) * 1000));
    this->events.At(this->events.now + took,
                    [this, at, id, took] { this->End(at, id, took); });
  }

  void End(std::size_t at, std::uint64_t id, Duration took) {
    const Asked asked = this->held[id];
    this->held.erase(id);
    const TimePoint now = this->events.now;
    this->totals.in_aim += now - asked.first <= kAim ? 1 : 0;
    const bool late = now - asked.first > kAim && now <= asked.deadline;
    this->totals.late += late ? 1 : 0;
    const GateActions actions =
        Finish(*this->gates.at(at), id, took, true, now, this->rng);
    for (const std::uint64_t next : actions.run)
      this->Start(at, next);
    for (const Refusal& refusal : actions.refused)
      this->Refused(refusal);
  }

  // Another gate is tried at once; then the caller comes back, once.
  void Refused(const Refusal& refusal) {
    Asked asked = this->held[refusal.id];
    this->held.erase(refusal.id);
    if (asked.tried.size() < kMostGates) {
      this->Send(asked);
      return;
    }
    if (asked.returned)
      return;
    const Duration left = asked.deadline - this->events.now;
    const Duration wait = std::min(refusal.retry_after, left / 3);
    this->events.At(this->events.now + wait, [this, asked] {
      Asked again = asked;
      again.returned = true;
      again.tried.clear();
      this->Send(again);
    });
  }

  Pattern pattern;
  Policy policy;
  Rng rng;
  EventQueue events;
  Totals totals;
  std::array<std::unique_ptr<Gatekeeper>, kUpstreams> gates;
  std::array<std::uint32_t, kUpstreams> told{};
  std::array<std::array<std::uint32_t, kUpstreams>, kUpstreams> sent_since{};
  std::map<std::uint64_t, Asked> held;
  std::uint64_t next_id = 1;
  int next_turn = 0;
};

std::size_t LeastBy(const Candidates& candidates,
                    const std::function<double(const Candidate&)>& cost) {
  const auto best = std::min_element(
      candidates.begin(), candidates.end(),
      [&cost](const auto& a, const auto& b) { return cost(a) < cost(b); });
  return static_cast<std::size_t>(best - candidates.begin());
}

double LoadPart(const Candidate& candidate) {
  return static_cast<double>(candidate.load) / candidate.slots;
}

std::size_t TwoAtRandom(const Candidates& candidates, Rng& rng, int /*turn*/) {
  const std::size_t a = rng() % candidates.size();
  const std::size_t b = rng() % candidates.size();
  return LoadPart(candidates[a]) <= LoadPart(candidates[b]) ? a : b;
}

// Expected time, and 4 ms for each kilobyte between data centres.
double LinearCost(const Candidate& candidate) {
  constexpr double kKilobyteUs = 4000;
  const auto run = static_cast<double>(
      std::max<std::int64_t>(candidate.run_time.count(), 1));
  const double ahead =
      std::max(0.0, candidate.load + 1.0 - double(candidate.slots));
  const double busy = std::min(1.0, LoadPart(candidate));
  const bool far = candidate.distance == Distance::kOtherDataCenter;
  const double way = far ? 3000 + kKilobyteUs * kBytes / 1000 : 0;
  return run * ahead / candidate.slots + run * (1 + 0.3 * busy) + way;
}

struct NamedPolicy {
  const char* name;
  Policy decide;
};

std::vector<NamedPolicy> Policies() {
  return {
      {"turns in order",
       [](const Candidates& candidates, Rng&, int turn) {
         return static_cast<std::size_t>(turn) % candidates.size();
       }},
      {"two at random", TwoAtRandom},
      {"least loaded", [](const Candidates& candidates, Rng&,
                          int) { return LeastBy(candidates, LoadPart); }},
      {"linear in time", [](const Candidates& candidates, Rng&,
                            int) { return LeastBy(candidates, LinearCost); }},
      {"today's", [](const Candidates& candidates, Rng& rng, int) {
         return Place(PlacementSettings{}, candidates, {kBytes, kAim}, rng);
       }}};
}

constexpr std::array<Pattern, 5> kPatterns = {{
    {"quiet, 0.4 of capacity", 0.4, 0, 1},
    {"usual, 0.7", 0.7, 0, 1},
    {"nearly full, 0.95", 0.95, 0, 1},
    {"overload, 1.3", 1.3, 0, 1},
    {"usual, two 5 times slower", 0.55, 2, 5},
}};

}  // namespace
}  // namespace teaselspread::bench

int main() {
  using teaselspread::bench::kPatterns;
  for (const auto& pattern : kPatterns) {
    std::printf("%s\n  %-16s %7s %7s %7s %7s\n", pattern.name, "placement",
                "worth", "in aim", "late", "crossed");
    for (const auto& policy : teaselspread::bench::Policies()) {
      teaselspread::bench::Totals sum;
      for (std::uint64_t seed = 1; seed <= teaselspread::bench::kSeeds;
           ++seed) {
        const auto totals =
            teaselspread::bench::Model(pattern, policy.decide, seed).Run();
        sum.asked += totals.asked;
        sum.in_aim += totals.in_aim;
        sum.late += totals.late;
        sum.crossed += totals.crossed;
      }
      std::printf("  %-16s %7.3f %7.3f %7.3f %7.3f\n", policy.name, sum.Worth(),
                  sum.in_aim / sum.asked, sum.late / sum.asked,
                  sum.crossed / sum.asked);
    }
  }
  return 0;
}
