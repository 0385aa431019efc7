// Passive ejection: consecutive failures against the ideas of the paper on
// circuit breakers (windows with weighted errors and slow calls, open state
// shared by all). Nine entries and nine targets on a virtual clock.
#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <random>

#include "queue_model.h"

namespace teaselspread::bench {
namespace {

using Ms = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

enum class Fault {
  kNone,
  kFailsFast,
  kFailsOften,
  kHangs,
  kSlow,
  kAllFailABit,
  kAllHangABit,
  kAllFail,
};
constexpr std::array<const char*, 8> kFaultNames = {
    "none",    "fails at once", "fails 30%",   "hangs",
    "slow x6", "all fail 3%",   "all hang 1%", "all fail for 5 s"};

struct Policy {
  const char* name;
  bool consecutive = false;
  int timeout_weight = 1;
  bool window = false;
  bool slow_calls = false;
  bool shared = false;
  double failure_weight = 0;
  bool by_latency = false;
};

constexpr int kCount = 9;
const Duration kRun = Seconds(60);
const Duration kFaultBegins = Seconds(10);
const Duration kFaultEnds = Seconds(40);
const Duration kDeadline = Ms(500);
const Duration kSlowCall = Ms(200);
constexpr double kRequestsPerSecond = 1600;

struct Outcome {
  double asked = 0;
  double failed = 0;
  double slow = 0;
  double failed_after = 0;
  int wrong_ejections = 0;
  int ejections = 0;
};

// One entry's window on one target: tokens as the paper counts them.
struct Window {
  struct Entry {
    TimePoint at;
    double tokens;
  };
  std::deque<Entry> entries;
  double tokens = 0;
};

class Trial {
 public:
  Trial(const Policy& chosen, Fault fault, std::uint64_t seed)
      : policy(chosen), fault(fault), rng(seed), tables(kCount) {
    std::vector<Member> members;
    members.reserve(kCount);
    for (int i = 0; i < kCount; ++i) {
      Member member;
      member.id = std::to_string(i);
      member.data_center = "bole";
      member.upstream = {"service", "v1", UpstreamState::kReady,
                         15,        15,   TimePoint{}};
      members.push_back(member);
    }
    constexpr int kNever = 1 << 30;
    for (UpstreamTable& table : this->tables) {
      UpdateTargets(table, Snapshot(), members, "none", "bole");
      table.ejection.timeout_weight = chosen.timeout_weight;
      table.choice.failure_weight = chosen.failure_weight;
      table.choice.by_latency = chosen.by_latency;
      if (!chosen.consecutive)
        table.ejection.consecutive_failures = kNever;
    }
  }

  Outcome Run() {
    this->began = this->events.now;
    this->Arrive();
    this->events.RunUntil(this->began + kRun);
    return this->outcome;
  }

 private:
  void Arrive() {
    std::exponential_distribution<double> gap(kRequestsPerSecond / 1e6);
    const Duration after(static_cast<std::int64_t>(gap(this->rng)) + 1);
    this->events.At(this->events.now + after, [this] {
      this->Send();
      this->Arrive();
    });
  }

  [[nodiscard]] bool FaultIsOn(TimePoint at) const {
    const Duration since = at - this->began;
    const Duration end =
        this->fault == Fault::kAllFail ? kFaultBegins + Seconds(5) : kFaultEnds;
    return since >= kFaultBegins && since < end;
  }

  bool Chance(double share) {
    return std::bernoulli_distribution(share)(this->rng);
  }

  // How long the target takes, and how it answers.
  std::pair<Duration, ResponseKind> Serve(const std::string& id) {
    std::exponential_distribution<double> extra(1 / 25000.0);
    const Duration normal =
        Ms(25) + Duration(static_cast<std::int64_t>(extra(this->rng)));
    if (!this->FaultIsOn(this->events.now))
      return {normal, ResponseKind::kSucceeded};
    const bool bad = id == "4";
    if (bad && this->fault == Fault::kFailsFast)
      return {Ms(1), ResponseKind::kFailed};
    if (bad && this->fault == Fault::kFailsOften && this->Chance(0.3))
      return {normal, ResponseKind::kFailed};
    if (bad && this->fault == Fault::kHangs)
      return {kDeadline, ResponseKind::kTimedOut};
    if (bad && this->fault == Fault::kSlow)
      return {normal * 6, ResponseKind::kSucceeded};
    if (this->fault == Fault::kAllFailABit && this->Chance(0.03))
      return {normal, ResponseKind::kFailed};
    if (this->fault == Fault::kAllHangABit && this->Chance(0.01))
      return {kDeadline, ResponseKind::kTimedOut};
    if (this->fault == Fault::kAllFail)
      return {Ms(1), ResponseKind::kFailed};
    return {normal, ResponseKind::kSucceeded};
  }

  void Send() {
    const std::size_t entry = this->rng() % kCount;
    UpstreamTable& table = this->tables[entry];
    const bool counts = this->FaultIsOn(this->events.now);
    const auto chosen =
        ChooseUpstream(table, "service", "v1", {}, this->events.now, this->rng);
    this->outcome.asked += counts;
    if (!chosen) {
      this->outcome.failed += counts;
      return;
    }
    const std::string id = (*chosen)->id;
    OnRequestSent(table, "service", "v1", id);
    const auto [took, kind] = this->Serve(id);
    this->events.At(this->events.now + took,
                    [this, entry, id, took = took, kind = kind, counts] {
                      this->Answered(entry, id, took, kind, counts);
                    });
  }

  void Answered(std::size_t entry,
                const std::string& id,
                Duration took,
                ResponseKind kind,
                bool counts) {
    const bool failed = kind != ResponseKind::kSucceeded;
    this->outcome.failed += counts && failed;
    this->outcome.slow += counts && !failed && took > kSlowCall;
    const TimePoint before = this->TargetOf(entry, id).ejected_until;
    OnResponse(this->tables[entry], "service", "v1", id, kind, -1,
               this->events.now, took);
    if (this->policy.window)
      this->CountInWindow(entry, id, took, kind);
    if (this->TargetOf(entry, id).ejected_until != before)
      this->Ejected(entry, id);
  }

  Target& TargetOf(std::size_t entry, const std::string& id) {
    auto& targets = this->tables[entry].services["service"]["v1"].targets;
    return targets[std::stoul(id)];
  }

  // The paper's prices: an error one token, a timeout ten, a slow call one;
  // open when the budget is spent and errors outweigh good answers.
  void CountInWindow(std::size_t entry,
                     const std::string& id,
                     Duration took,
                     ResponseKind kind) {
    constexpr double kBudget = 10;
    const Duration length = Seconds(10);
    Window& window = this->windows[{entry, id}];
    double tokens = kind == ResponseKind::kFailed ? 1 : 0;
    tokens = kind == ResponseKind::kTimedOut ? 10 : tokens;
    if (this->policy.slow_calls && took > kSlowCall)
      tokens += 1;
    window.entries.push_back({this->events.now, tokens});
    window.tokens += tokens;
    while (window.entries.front().at < this->events.now - length) {
      window.tokens -= window.entries.front().tokens;
      window.entries.pop_front();
    }
    const auto requests = static_cast<double>(window.entries.size());
    if (window.tokens < kBudget || window.tokens < requests / 2)
      return;
    this->Open(entry, id);
    window = Window{};
  }

  void Open(std::size_t entry, const std::string& id) {
    auto& targets = this->tables[entry].services["service"]["v1"].targets;
    const auto out = std::count_if(
        targets.begin(), targets.end(),
        [this](const Target& t) { return IsEjected(t, this->events.now); });
    Target& target = this->TargetOf(entry, id);
    if (out >= 3 || IsEjected(target, this->events.now))
      return;
    const int doublings = std::min(target.consecutive_ejections++, 4);
    target.ejected_until = this->events.now + Seconds(2) * (1 << doublings);
  }

  void Ejected(std::size_t entry, const std::string& id) {
    ++this->outcome.ejections;
    const bool healthy = this->fault == Fault::kNone ||
                         this->fault == Fault::kAllFailABit ||
                         this->fault == Fault::kAllHangABit ||
                         (id != "4" && this->fault != Fault::kAllFail);
    this->outcome.wrong_ejections += healthy;
    if (!this->policy.shared)
      return;
    const TimePoint until = this->TargetOf(entry, id).ejected_until;
    this->events.At(this->events.now + Ms(5), [this, id, until] {
      for (std::size_t i = 0; i < this->tables.size(); ++i) {
        Target& target = this->TargetOf(i, id);
        target.ejected_until = std::max(target.ejected_until, until);
      }
    });
  }

  Policy policy;
  Fault fault;
  Rng rng;
  EventQueue events;
  TimePoint began;
  std::vector<UpstreamTable> tables;
  std::map<std::pair<std::size_t, std::string>, Window> windows;
  Outcome outcome;
};

constexpr std::array<Policy, 11> kPolicies = {{
    {"none", false, 1, false, false, false},
    {"consecutive", true, 1, false, false, false},
    {"consecutive, timeout x5", true, 5, false, false, false},
    {"consecutive, shared", true, 1, false, false, true},
    {"window", false, 1, true, false, false},
    {"window, slow calls", false, 1, true, true, false},
    {"window, slow, shared", false, 1, true, true, true},
    {"weighted by failures", false, 1, false, false, false, 10, false},
    {"weighted by latency", false, 1, false, false, false, 0, true},
    {"consecutive, weighted", true, 1, false, false, false, 10, true},
    {"same, timeout x2", true, 2, false, false, false, 10, true},
}};

void Report(Fault fault) {
  constexpr int kSeeds = 5;
  for (const Policy& policy : kPolicies) {
    Outcome sum;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const Outcome outcome = Trial(policy, fault, seed).Run();
      sum.asked += outcome.asked;
      sum.failed += outcome.failed;
      sum.slow += outcome.slow;
      sum.ejections += outcome.ejections;
      sum.wrong_ejections += outcome.wrong_ejections;
    }
    std::printf(
        "%-17s %-24s failed %6.3f%% slow %6.3f%% ejections %5d wrong %5d\n",
        kFaultNames.at(static_cast<std::size_t>(fault)), policy.name,
        100 * sum.failed / sum.asked, 100 * sum.slow / sum.asked, sum.ejections,
        sum.wrong_ejections);
  }
}

}  // namespace
}  // namespace teaselspread::bench

int main() {
  namespace bench = teaselspread::bench;
  for (std::size_t i = 1; i < bench::kFaultNames.size(); ++i)
    bench::Report(static_cast<bench::Fault>(i));
  return 0;
}
