// Simulates a few nodes, their callers and the log on a virtual clock. Every
// message is an event of its own: it can be lost, duplicated, delayed,
// reordered or stopped by a partition.
#ifndef TEASELSPREAD_TESTS_CLAIMS_WORLD_H_
#define TEASELSPREAD_TESTS_CLAIMS_WORLD_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "teaselspread/claims.h"

namespace teaselspread::simulation {

using Ms = std::chrono::milliseconds;

struct Faults {
  bool enabled = true;
  double loss = 0.03;
  double duplicate = 0.03;
  double delay = 0.02;
  // Probability that a node regards another live one as dead when it proposes.
  double false_death = 0.01;
};

// Varies the rates of lost and delayed messages and of wrong views by the seed.
inline Faults FaultsOf(std::uint64_t seed) {
  Faults faults;
  faults.loss = std::array{0.02, 0.1, 0.3}.at(seed % 3);
  faults.delay = std::array{0.01, 0.1}.at(seed / 3 % 2);
  faults.false_death = std::array{0.0, 0.005, 0.05}.at(seed / 6 % 3);
  return faults;
}

struct Node {
  ClaimKeeper keeper;
  EpochLog log;
  std::size_t next_log_index = 0;
  bool alive = true;
  int side = 0;
  // Also cut off from the log while a partition lasts.
  bool cut_off_from_log = false;
  Duration skew{};
  TimePoint paused_until;
  std::uint64_t next_sequence = 1;
  std::map<std::uint64_t, ClaimAttempt> attempts;
};

struct Counts {
  int requests = 0;
  int executed = 0;
  int max_runs_per_key = 0;
  int wrong_not_run = 0;
  int done = 0;
  int in_progress = 0;
  int unknown = 0;
  int unproven = 0;
  int mismatch = 0;
  int not_run = 0;
  int epochs = 0;
};

using Message = std::variant<ClaimRequest,
                             ClaimVote,
                             ClaimRelease,
                             ClaimCompletion,
                             HandoverRequest,
                             HandoverResponse>;

class Simulation {
 public:
  Simulation(std::uint64_t seed, Faults faults, int nodes);
  Counts Run(int keys, Duration length);

 private:
  using Action = std::function<void()>;

  struct Event {
    TimePoint at;
    std::uint64_t order;
    Action action;
    bool operator<(const Event& other) const {
      return std::tie(this->at, this->order) > std::tie(other.at, other.order);
    }
  };

  bool Chance(double probability) {
    return static_cast<double>(this->rng() % 1000000) < probability * 1e6;
  }
  Duration RandomBelow(Duration limit) {
    return Duration(this->rng() % static_cast<std::uint64_t>(limit.count()));
  }
  [[nodiscard]] TimePoint LocalTime(const Node& node) const {
    return this->now + node.skew;
  }

  [[nodiscard]] bool ReachesLog(const Node& node) const {
    const bool is_cut_off =
        this->partition_until > this->now && node.cut_off_from_log;
    return !is_cut_off && this->log_down_until <= this->now;
  }

  void At(TimePoint at, Action action);
  void AtNode(std::size_t index, Duration after, const Action& action);
  void Send(std::size_t from, const Holder& to, const Message& message);
  void Deliver(std::size_t from,
               std::size_t to,
               const Holder& recipient,
               const Message& message);
  void SendHandoverRequests(std::size_t index,
                            const HandoverRequests& requests);
  void Tick(std::size_t index);
  void ReadLog(Node& node, std::size_t index);
  void Propose(Node& node);
  void Boot(std::size_t index);
  void Kill(std::size_t index);
  void PartitionNodes();
  void InjectFault();
  void SendFromCaller(const ClaimKey& key, const RequestDigest& digest);
  void Resend(std::size_t index, std::uint64_t sequence);
  void OnVerdict(std::size_t index, ClaimAttempt& attempt);
  void StartRun(std::size_t index, std::uint64_t sequence);
  void Execute(std::size_t index, std::uint64_t sequence);
  void Broadcast(std::size_t index,
                 const ClaimAttempt& attempt,
                 const Message& message);
  [[nodiscard]] std::size_t IndexOf(const std::string& id) const;

  Rng rng;
  Faults faults;
  TimePoint now{std::chrono::hours(1)};
  TimePoint end;
  std::uint64_t next_order = 0;
  std::uint64_t next_boot = 1;
  std::priority_queue<Event> events;
  std::vector<Node> nodes;
  std::vector<EpochRecord> log;
  TimePoint log_down_until;
  TimePoint partition_until;
  std::map<std::string, int> executions;
  Counts counts;
};

inline ClaimSettings QuickSettings() {
  ClaimSettings settings;
  settings.key_lifetime = Ms(5000);
  settings.max_clock_skew = Ms(100);
  settings.claim_window = Ms(600);
  settings.max_run_time = Ms(1000);
  settings.max_tick_gap = Ms(500);
  settings.handover_timeout = Ms(200);
  settings.fencing_timeout = Ms(6000);
  return settings;
}

inline Simulation::Simulation(std::uint64_t seed, Faults chosen, int count)
    : rng(seed), faults(chosen), nodes(static_cast<std::size_t>(count)) {
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    this->nodes[i].skew = this->RandomBelow(Ms(100)) - Ms(50);
    this->nodes[i].keeper.self.id = "node-" + std::to_string(i);
    this->nodes[i].keeper.self.data_center = "dc-" + std::to_string(i % 3);
    this->Boot(i);
  }
}

inline std::size_t Simulation::IndexOf(const std::string& id) const {
  return std::stoul(id.substr(5));
}

inline void Simulation::At(TimePoint at, Action action) {
  this->events.push({at, this->next_order++, std::move(action)});
}

// Runs `action` at the node unless its process has been replaced; a paused node
// runs it when it resumes.
inline void Simulation::AtNode(std::size_t index,
                               Duration after,
                               const Action& action) {
  const std::uint64_t boot = this->nodes[index].keeper.self.boot_id;
  this->At(this->now + after, [this, index, boot, action] {
    const Node& node = this->nodes[index];
    if (!node.alive || node.keeper.self.boot_id != boot)
      return;
    if (node.paused_until > this->now) {
      this->AtNode(index, node.paused_until - this->now, action);
      return;
    }
    action();
  });
}

inline void Simulation::Send(std::size_t from,
                             const Holder& to,
                             const Message& message) {
  const std::size_t target = this->IndexOf(to.id);
  const bool lossy = this->faults.enabled;
  if (lossy && this->Chance(this->faults.loss))
    return;
  const int copies = lossy && this->Chance(this->faults.duplicate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    Duration delay = Ms(1) + this->RandomBelow(Ms(4));
    if (lossy && this->Chance(this->faults.delay))
      delay += this->RandomBelow(Ms(4000));
    this->At(this->now + delay, [this, from, target, to, message] {
      const bool is_partitioned =
          this->partition_until > this->now &&
          this->nodes[from].side != this->nodes[target].side;
      if (!is_partitioned) {
        this->AtNode(target, Duration{}, [this, from, target, to, message] {
          this->Deliver(from, target, to, message);
        });
      }
    });
  }
}

inline void Simulation::Deliver(std::size_t from,
                                std::size_t to,
                                const Holder& recipient,
                                const Message& message) {
  Node& node = this->nodes[to];
  ClaimKeeper& keeper = node.keeper;
  const TimePoint local = this->LocalTime(node);
  const Holder sender = this->nodes[from].keeper.self;
  if (const auto* request = std::get_if<ClaimRequest>(&message))
    this->Send(to, sender, VoteOn(keeper, *request, local));
  if (const auto* release = std::get_if<ClaimRelease>(&message))
    ReleaseClaim(keeper, *release);
  if (const auto* completion = std::get_if<ClaimCompletion>(&message))
    RecordOutcome(keeper, *completion, local);
  if (const auto* request = std::get_if<HandoverRequest>(&message)) {
    this->SendHandoverRequests(to, LearnEpoch(keeper, request->epoch, local));
    if (const auto response = MakeHandoverResponse(
            keeper, *request, recipient.id, recipient.boot_id))
      this->Send(to, request->from, *response);
  }
  if (const auto* response = std::get_if<HandoverResponse>(&message))
    ReceiveHandover(keeper, *response, local);
  if (const auto* vote = std::get_if<ClaimVote>(&message)) {
    const auto found = node.attempts.find(vote->attempt.sequence);
    if (found == node.attempts.end() ||
        found->second.verdict != ClaimVerdict::kPending)
      return;
    if (ReceiveVote(found->second, *vote, local) != ClaimVerdict::kPending)
      this->OnVerdict(to, found->second);
  }
}

inline void Simulation::SendHandoverRequests(std::size_t index,
                                             const HandoverRequests& requests) {
  for (const Holder& holder : requests.recipients)
    this->Send(index, holder, requests.request);
}

inline void Simulation::ReadLog(Node& node, std::size_t index) {
  if (!this->ReachesLog(node))
    return;
  while (node.next_log_index < this->log.size())
    FoldEpoch(node.log, this->log[node.next_log_index++]);
  this->SendHandoverRequests(
      index, LearnEpoch(node.keeper, node.log.current, this->LocalTime(node)));
  LearnActivation(node.keeper, node.log.active.number, this->LocalTime(node));
  ConfirmEpoch(node.keeper, this->LocalTime(node));
  if (WantsActivation(node.keeper, this->LocalTime(node))) {
    this->log.push_back({EpochRecordKind::kActivate, node.keeper.epoch, {}, 0});
  }
}

// Each node has its own, partly wrong view of the live nodes.
inline void Simulation::Propose(Node& node) {
  std::vector<Holder> candidates;
  for (const Node& other : this->nodes) {
    const bool believed_dead =
        this->faults.enabled && this->Chance(this->faults.false_death);
    const bool is_unreachable =
        this->partition_until > this->now && other.side != node.side;
    if (other.alive && !believed_dead && !is_unreachable)
      candidates.push_back(other.keeper.self);
  }
  const auto epoch = ProposeEpoch(node.log, candidates, this->rng);
  if (epoch && this->ReachesLog(node))
    this->log.push_back({EpochRecordKind::kPropose, *epoch, {}, 0});
}

inline void Simulation::Tick(std::size_t index) {
  Node& node = this->nodes[index];
  this->ReadLog(node, index);
  if (node.log.current.number == 0 || this->Chance(0.1))
    this->Propose(node);
  TickClaims(node.keeper, this->LocalTime(node));
  this->SendHandoverRequests(index, OpenHandovers(node.keeper));
  this->AtNode(index, Ms(100), [this, index] { this->Tick(index); });
}

inline void Simulation::Boot(std::size_t index) {
  Node& node = this->nodes[index];
  const Holder before = node.keeper.self;
  const Duration skew = node.skew;
  node = Node{};
  node.skew = skew;
  node.log.has_base = true;
  node.keeper.settings = QuickSettings();
  node.keeper.self = before;
  node.keeper.self.boot_id = this->next_boot++;
  TickClaims(node.keeper, this->LocalTime(node));
  this->AtNode(index, this->RandomBelow(Ms(100)),
               [this, index] { this->Tick(index); });
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    this->AtNode(i, this->RandomBelow(Ms(1000)), [this, i, before] {
      Node& other = this->nodes[i];
      MarkHolderGone(other.keeper, before.id, before.boot_id,
                     this->LocalTime(other));
    });
  }
}

inline void Simulation::Kill(std::size_t index) {
  if (!this->nodes[index].alive)
    return;
  this->nodes[index].alive = false;
  this->At(this->now + Ms(50) + this->RandomBelow(Ms(4000)),
           [this, index] { this->Boot(index); });
}

inline void Simulation::PartitionNodes() {
  const bool log_on_one_side = this->Chance(0.7);
  for (Node& node : this->nodes) {
    node.side = static_cast<int>(this->rng() % 2);
    node.cut_off_from_log = log_on_one_side && node.side == 1;
  }
}

inline void Simulation::InjectFault() {
  const std::size_t victim = this->rng() % this->nodes.size();
  switch (this->rng() % 6) {
    case 0:
    case 1:
      this->Kill(victim);
      break;
    case 2:
      this->nodes[victim].paused_until =
          this->now + this->RandomBelow(Ms(9000));
      break;
    case 3:
      this->partition_until = this->now + this->RandomBelow(Ms(8000));
      this->PartitionNodes();
      break;
    case 4:
      this->log_down_until = this->now + this->RandomBelow(Ms(5000));
      break;
    default:
      for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        if (this->Chance(0.5))
          this->Kill(i);
      }
  }
  this->At(this->now + Ms(300) + this->RandomBelow(Ms(6000)),
           [this] { this->InjectFault(); });
}

inline void Simulation::SendFromCaller(const ClaimKey& key,
                                       const RequestDigest& digest) {
  const std::size_t index = this->rng() % this->nodes.size();
  ++this->counts.requests;
  this->AtNode(index, Ms(1), [this, index, key, digest] {
    Node& node = this->nodes[index];
    const std::uint64_t sequence = node.next_sequence++;
    const Holder& self = node.keeper.self;
    const auto [found, is_new] = node.attempts.emplace(
        sequence, BeginClaim(node.keeper, {self.id, self.boot_id, sequence},
                             key, digest, this->LocalTime(node)));
    if (found->second.verdict != ClaimVerdict::kPending) {
      this->OnVerdict(index, found->second);
      return;
    }
    this->Resend(index, sequence);
  });
}

inline void Simulation::Resend(std::size_t index, std::uint64_t sequence) {
  Node& node = this->nodes[index];
  ClaimAttempt& attempt = node.attempts.at(sequence);
  if (attempt.verdict != ClaimVerdict::kPending)
    return;
  if (this->LocalTime(node) - attempt.requested_at > attempt.window) {
    AbandonClaim(attempt);
    this->OnVerdict(index, attempt);
    return;
  }
  this->Broadcast(index, attempt, RequestOf(attempt));
  this->AtNode(index, Ms(150),
               [this, index, sequence] { this->Resend(index, sequence); });
}

inline void Simulation::Broadcast(std::size_t index,
                                  const ClaimAttempt& attempt,
                                  const Message& message) {
  for (const Holder& holder : attempt.epoch.holders)
    this->Send(index, holder, message);
}

inline void Simulation::OnVerdict(std::size_t index, ClaimAttempt& attempt) {
  const std::uint64_t sequence = attempt.id.sequence;
  if (attempt.verdict == ClaimVerdict::kGranted) {
    this->AtNode(index, this->RandomBelow(Ms(300)),
                 [this, index, sequence] { this->StartRun(index, sequence); });
    return;
  }
  this->counts.done += attempt.verdict == ClaimVerdict::kDone;
  this->counts.in_progress += attempt.verdict == ClaimVerdict::kInProgress;
  this->counts.unknown += attempt.verdict == ClaimVerdict::kUnknown;
  this->counts.unproven += attempt.verdict == ClaimVerdict::kUnproven;
  this->counts.mismatch += attempt.verdict == ClaimVerdict::kMismatch;
  this->Broadcast(index, attempt, ReleaseOf(attempt));
}

// Some gatekeepers abandon the run (queue full, caller gone) or are too late.
inline void Simulation::StartRun(std::size_t index, std::uint64_t sequence) {
  Node& node = this->nodes[index];
  const ClaimAttempt& attempt = node.attempts.at(sequence);
  const bool abandons = this->faults.enabled && this->Chance(0.1);
  if (abandons || !MayRun(attempt, this->LocalTime(node))) {
    ++this->counts.not_run;
    if (this->executions[attempt.key.text] > 0)
      ++this->counts.wrong_not_run;
    this->Broadcast(index, attempt, ReleaseOf(attempt));
    return;
  }
  this->AtNode(index, this->RandomBelow(Ms(20)),
               [this, index, sequence] { this->Execute(index, sequence); });
}

inline void Simulation::Execute(std::size_t index, std::uint64_t sequence) {
  Node& node = this->nodes[index];
  const ClaimAttempt& attempt = node.attempts.at(sequence);
  const int times = ++this->executions[attempt.key.text];
  ++this->counts.executed;
  this->counts.max_runs_per_key =
      std::max(this->counts.max_runs_per_key, times);
  this->AtNode(index, this->RandomBelow(Ms(100)), [this, index, sequence] {
    Node& runner = this->nodes[index];
    const ClaimAttempt& ran = runner.attempts.at(sequence);
    this->Broadcast(
        index, ran,
        CompletionOf(runner.keeper.settings, ran, {201, "", "ok", true}));
  });
}

inline Counts Simulation::Run(int keys, Duration length) {
  this->end = this->now + length;
  if (this->faults.enabled)
    this->At(this->now + this->RandomBelow(Ms(3000)),
             [this] { this->InjectFault(); });
  for (int i = 0; i < keys; ++i) {
    const TimePoint first = this->now + Ms(500) + this->RandomBelow(length);
    ClaimKey key{"key-" + std::to_string(i), this->Chance(0.5), first};
    const int sends = 1 + static_cast<int>(this->rng() % 6);
    for (int send = 0; send < sends; ++send) {
      const Duration after =
          send == 0 ? Duration{}
                    : this->RandomBelow(this->Chance(0.5) ? Ms(30) : Ms(9000));
      const std::uint64_t body = this->Chance(0.02) ? 2 : 1;
      this->At(first + after, [this, key, body] {
        this->SendFromCaller(key, RequestDigest{0, body});
      });
    }
  }
  while (!this->events.empty() &&
         this->events.top().at < this->end + Ms(15000)) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    event.action();
  }
  for (const EpochRecord& record : this->log) {
    this->counts.epochs =
        std::max(this->counts.epochs, static_cast<int>(record.epoch.number));
  }
  return this->counts;
}

}  // namespace teaselspread::simulation

#endif  // TEASELSPREAD_TESTS_CLAIMS_WORLD_H_
