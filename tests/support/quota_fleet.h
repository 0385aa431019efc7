// A fleet of nodes that share the limit of one account, without a network:
// virtual clock, seeds, and a minimal version of the messages between nodes.
#ifndef TEASELSPREAD_TESTS_SUPPORT_QUOTA_FLEET_H_
#define TEASELSPREAD_TESTS_SUPPORT_QUOTA_FLEET_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "teaselspread/node_census.h"
#include "teaselspread/quota.h"

namespace teaselspread {

struct FleetOptions {
  AccountLimit limit;
  std::uint64_t seed = 1;
  int nodes = 85;
  int centres = 3;
  // Fraction of the admitted requests that a gate refuses 2 ms later.
  double refused_by_gates = 0;
};

// The most requests of an account that may run in any window.
inline double AllowedInWindow(const AccountLimit& limit) {
  const QuotaBounds agreed;
  const double window = std::chrono::duration<double>(agreed.window).count();
  return (limit.per_second * window + limit.burst) * (1 + agreed.excess) +
         agreed.slack;
}

// Load of the account between two times, as a Poisson process that arrives at
// random nodes of those listed, or of all.
struct FleetLoad {
  Duration from{};
  Duration to{};
  double per_second = 0;
  std::vector<int> nodes{};
};

class QuotaFleet {
 public:
  explicit QuotaFleet(const FleetOptions& options)
      : options(options), rng(options.seed) {
    for (int node = 0; node < options.nodes; ++node)
      this->names.push_back("vm-" + std::to_string(node));
    this->nodes.resize(this->names.size());
    this->separated.resize(this->names.size());
    for (int node = 0; node < options.nodes; ++node)
      this->Start(node);
    for (int node = 0; node < options.nodes; ++node)
      this->UpdateLinks(node);
  }

  // Calls `act` at a time since the start of the fleet.
  void At(Duration time, std::function<void()> act) {
    this->events.push({kEpoch + time, ++this->event_count, std::move(act)});
  }

  void Apply(const FleetLoad& load) {
    std::exponential_distribution<double> gap(load.per_second);
    std::uniform_int_distribution<int> any(0, this->options.nodes - 1);
    double seconds = 0;
    const double length = static_cast<double>((load.to - load.from).count());
    while ((seconds += gap(this->rng)) * 1e6 < length) {
      int node = any(this->rng);
      if (!load.nodes.empty())
        node = load.nodes[static_cast<std::size_t>(node) % load.nodes.size()];
      const auto micros = static_cast<std::int64_t>(seconds * 1e6);
      this->At(load.from + Duration(micros), [this, node] {
        if (!this->Of(node).up)
          return;
        ++this->sent;
        this->ToNode(node, {}, [this, node] { this->Arrive(node); });
      });
    }
  }

  void Run(Duration until) {
    while (!this->events.empty() && this->events.top().time <= kEpoch + until) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.time;
      event.act();
    }
  }

  // Time since the start of the fleet.
  [[nodiscard]] Duration Elapsed() const { return this->now - kEpoch; }

  // The node that lends for most, by what a node that is up selects.
  [[nodiscard]] int Lender() const {
    for (const Node& node : this->nodes) {
      if (node.up)
        return node.lender;
    }
    return 0;
  }

  // The process ends; the others see that after `detected_after`.
  void Kill(int node, Duration detected_after) {
    Node& killed = this->Of(node);
    killed.up = false;
    this->lost_requests += killed.waiting;
    killed.waiting = 0;
    this->UpdateAllLinks(detected_after);
  }

  // From now on processes start without the roster. They know only nodes that
  // open links to them, until one of those that has it sends them the list.
  void MakeRosterUnreadable() { this->roster_unreadable = true; }

  // Starts a process with the roster and no links; links follow.
  void Restart(int node, Duration linked_after) {
    this->Start(node);
    this->UpdateAllLinks(linked_after);
  }

  // Cuts `side` off from the rest.
  void Partition(const std::vector<int>& side, Duration detected_after) {
    const int group = ++this->groups;
    for (const int node : side)
      this->separated[static_cast<std::size_t>(node)] = group;
    this->UpdateAllLinks(detected_after);
  }

  void Heal(Duration linked_after) {
    std::fill(this->separated.begin(), this->separated.end(), 0);
    this->UpdateAllLinks(linked_after);
  }

  // The node's clock stands still and its messages wait.
  void Suspend(int node, Duration length, Duration detected_after) {
    Node& suspended = this->Of(node);
    suspended.suspended_until = this->now + length;
    suspended.clock_offset += length;
    this->UpdateAllLinks(detected_after);
    this->At(this->now - kEpoch + length,
             [this] { this->UpdateAllLinks(std::chrono::milliseconds(200)); });
  }

  void SetLimit(int node, const AccountLimit& limit) {
    this->Of(node).limit = limit;
  }

  [[nodiscard]] int CentreOf(int node) const {
    return node % this->options.centres;
  }

  [[nodiscard]] std::vector<int> NodesOfCentre(int centre) const {
    std::vector<int> members;
    for (int node = 0; node < this->options.nodes; ++node) {
      if (this->CentreOf(node) == centre)
        members.push_back(node);
    }
    return members;
  }

  // Requests that run, seen from the upstreams, in a time range.
  [[nodiscard]] std::size_t CountRuns(Duration from, Duration to) const {
    return CountIn(this->runs, from, to);
  }

  [[nodiscard]] std::size_t CountRefused(Duration from, Duration to) const {
    return CountIn(this->refusals, from, to);
  }

  // The most requests that ran in any window that begins at `from` or later.
  [[nodiscard]] std::size_t MostInWindow(Duration from = {}) const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < this->runs.size(); ++last) {
      while (this->runs[last] - this->runs[first] > QuotaBounds{}.window ||
             this->runs[first] < kEpoch + from) {
        if (first == last)
          break;
        ++first;
      }
      if (this->runs[first] >= kEpoch + from)
        most = std::max(most, last - first + 1);
    }
    return most;
  }

  std::size_t sent = 0;
  std::size_t lost_requests = 0;

 private:
  static constexpr TimePoint kEpoch{std::chrono::hours(1)};
  static constexpr Duration kAskTimeout = std::chrono::milliseconds(100);
  static constexpr Duration kTick = std::chrono::milliseconds(100);
  // From the list until links to the nodes that it names are open.
  static constexpr Duration kListLinkDelay = std::chrono::milliseconds(5);
  // From the link to a node with the roster until its list has arrived.
  static constexpr Duration kListDelay = std::chrono::milliseconds(750);
  static constexpr Duration kAskAgain = std::chrono::milliseconds(500);
  static constexpr std::string_view kAccount = "account-7";
  // Links are not lost and found by all nodes at the same moment.
  static constexpr Duration kLinkJitter = std::chrono::milliseconds(20);

  struct Event {
    TimePoint time;
    std::uint64_t order = 0;
    std::function<void()> act;

    bool operator<(const Event& other) const {
      return std::pair(other.time, other.order) <
             std::pair(this->time, this->order);
    }
  };

  struct Node {
    bool up = false;
    // Its process has not learned the roster since its start.
    bool without_roster = false;
    int incarnation = 0;
    TimePoint suspended_until;
    Duration clock_offset{};
    AccountLimit limit;
    TokenBorrower borrower;
    TokenLender lent;
    NodeCensus census;
    std::vector<bool> reaches;
    int lender = 0;
    std::size_t waiting = 0;
    // The token request that has not been answered.
    std::optional<int> asked;
    int last_ask = 0;
    TimePoint alone_until;
  };

  static std::size_t CountIn(const std::vector<TimePoint>& times,
                             Duration from,
                             Duration to) {
    return static_cast<std::size_t>(
        std::lower_bound(times.begin(), times.end(), kEpoch + to) -
        std::lower_bound(times.begin(), times.end(), kEpoch + from));
  }

  Node& Of(int node) { return this->nodes[static_cast<std::size_t>(node)]; }

  [[nodiscard]] TimePoint ClockOf(int node) const {
    return this->now - this->nodes[static_cast<std::size_t>(node)].clock_offset;
  }

  // Runs `act` at the node, if the same process is still up then.
  void ToNode(int node, Duration delay, std::function<void()> act) {
    const int incarnation = this->Of(node).incarnation;
    this->At(this->now - kEpoch + delay,
             [this, node, incarnation, act = std::move(act)] {
               Node& target = this->Of(node);
               if (!target.up || target.incarnation != incarnation)
                 return;
               if (this->now < target.suspended_until)
                 this->ToNode(node, target.suspended_until - this->now, act);
               else
                 act();
             });
  }

  [[nodiscard]] bool IsConnected(int one, int other) {
    return this->Of(one).up && this->Of(other).up &&
           this->separated[static_cast<std::size_t>(one)] ==
               this->separated[static_cast<std::size_t>(other)];
  }

  void Send(int from, int to, std::function<void()> act) {
    if (!this->IsConnected(from, to))
      return;
    const bool is_near = this->CentreOf(from) == this->CentreOf(to);
    const Duration way(is_near ? 400 : 1000);
    this->ToNode(to, way, [this, from, to, act = std::move(act)] {
      if (this->IsConnected(from, to))
        act();
    });
  }

  void Start(int index) {
    Node& node = this->Of(index);
    const int incarnation = node.incarnation + 1;
    node = {};
    node.up = true;
    node.incarnation = incarnation;
    node.limit = this->options.limit;
    node.reaches.assign(this->nodes.size(), false);
    node.census.self = this->NameOf(index);
    node.without_roster = this->roster_unreadable;
    if (!node.without_roster) {
      for (const std::string& name : this->names)
        OnNodeKnown(node.census, name, this->now);
    }
    this->SelectLender(index);
  }

  [[nodiscard]] const std::string& NameOf(int node) const {
    return this->names[static_cast<std::size_t>(node)];
  }

  void UpdateAllLinks(Duration delay) {
    std::uniform_int_distribution<std::int64_t> jitter(0, kLinkJitter.count());
    for (int node = 0; node < this->options.nodes; ++node) {
      this->ToNode(node, delay + Duration(jitter(this->rng)),
                   [this, node] { this->UpdateLinks(node); });
    }
  }

  void UpdateLinks(int index) {
    Node& node = this->Of(index);
    for (int other = 0; other < this->options.nodes; ++other) {
      if (other == index)
        continue;
      if (node.without_roster && this->Of(other).without_roster)
        continue;
      const bool reaches = this->IsConnected(index, other) &&
                           this->now >= this->Of(other).suspended_until;
      node.reaches[static_cast<std::size_t>(other)] = reaches;
      if (reaches)
        OnNodeReached(node.census, this->NameOf(other), this->ClockOf(index));
      else
        OnNodeLost(node.census, this->NameOf(other), this->ClockOf(index));
      if (reaches && node.without_roster)
        this->ToNode(index, kListDelay, [this, index] { this->Learn(index); });
    }
    this->SelectLender(index);
  }

  // A list of the nodes arrives, and links to all of them follow.
  void Learn(int index) {
    Node& node = this->Of(index);
    if (!std::exchange(node.without_roster, false))
      return;
    for (const std::string& name : this->names)
      OnNodeKnown(node.census, name, this->ClockOf(index));
    this->SelectLender(index);
    this->UpdateAllLinks(kListLinkDelay);
  }

  void SelectLender(int index) {
    Node& node = this->Of(index);
    std::vector<QuotaNode> reachable;
    reachable.reserve(this->nodes.size());
    for (int other = 0; other < this->options.nodes; ++other) {
      if (other == index || node.reaches[static_cast<std::size_t>(other)])
        reachable.push_back({this->NameOf(other), 1000});
    }
    const std::string_view name = LenderOf(kAccount, reachable);
    const int lender = static_cast<int>(
        std::find(this->names.begin(), this->names.end(), name) -
        this->names.begin());
    if (lender == index && !node.without_roster)
      BeginLending(node.lent, kAccount, this->ClockOf(index));
    else
      StopLending(node.lent, kAccount);
    if (std::exchange(node.lender, lender) == lender)
      return;
    node.alone_until = {};
    node.asked.reset();
    if (node.waiting > 0)
      this->Ask(index);
  }

  void Arrive(int index) {
    Node& node = this->Of(index);
    if (node.without_roster && node.lender == index) {
      this->refusals.push_back(this->now);
      return;
    }
    const QuotaDecision decision =
        Spend(node.borrower, kAccount, this->ClockOf(index));
    if (decision.outcome != QuotaOutcome::kMustBorrow) {
      this->Decide(index, decision);
    } else if (this->ClockOf(index) < node.alone_until) {
      this->DecideAlone(index);
    } else {
      ++node.waiting;
      if (!node.asked)
        this->Ask(index);
    }
  }

  void Ask(int index) {
    Node& node = this->Of(index);
    const int ask_id = ++node.last_ask;
    const TimePoint asked_at = this->ClockOf(index);
    node.asked = ask_id;
    const TokenAsk ask =
        AskFor(node.borrower, kAccount,
               static_cast<std::uint32_t>(node.waiting), asked_at);
    if (node.lender == index) {
      const TokenGrant grant = this->LendTo(index, ask);
      this->OnAnswer(index, ask_id, asked_at, grant);
      return;
    }
    const int lender = node.lender;
    this->Send(index, lender, [this, index, lender, ask, ask_id, asked_at] {
      this->OnAsked(lender, index, ask, ask_id, asked_at);
    });
    this->ToNode(index, kAskTimeout,
                 [this, index, ask_id] { this->OnTimeout(index, ask_id); });
  }

  void ReturnUnspent(int index) {
    Node& node = this->Of(index);
    const TimePoint clock = this->ClockOf(index);
    if (AccountsToReturn(node.borrower, clock).empty()) {
      if (node.borrower.accounts.find(kAccount)->second.tokens > 0)
        this->ToNode(index, kTick,
                     [this, index] { this->ReturnUnspent(index); });
      return;
    }
    const TokenAsk ask = AskFor(node.borrower, kAccount, 0, clock);
    const int lender = node.lender;
    if (lender == index) {
      (void)this->LendTo(index, ask);
      return;
    }
    this->Send(index, lender, [this, lender, ask] {
      if (this->Of(lender).lender == lender)
        (void)this->LendTo(lender, ask);
    });
  }

  TokenGrant LendTo(int index, const TokenAsk& ask) {
    Node& lender = this->Of(index);
    TakeBack(lender.lent, kAccount, lender.limit, ask.unspent);
    const double share = ReachedShare(lender.census, this->ClockOf(index));
    return Lend(lender.lent, kAccount, lender.limit, share, ask.wanted,
                this->ClockOf(index));
  }

  void OnAsked(int lender,
               int borrower,
               const TokenAsk& ask,
               int ask_id,
               TimePoint asked_at) {
    if (this->Of(lender).lender != lender || this->Of(lender).without_roster) {
      this->Send(lender, borrower, [this, borrower, ask_id] {
        this->OnTimeout(borrower, ask_id);
      });
      return;
    }
    const TokenGrant grant = this->LendTo(lender, ask);
    this->Send(lender, borrower, [this, borrower, ask_id, asked_at, grant] {
      this->OnAnswer(borrower, ask_id, asked_at, grant);
    });
  }

  void OnAnswer(int index,
                int ask_id,
                TimePoint asked_at,
                const TokenGrant& grant) {
    Node& node = this->Of(index);
    OnGrant(node.borrower, kAccount, grant, asked_at, this->ClockOf(index));
    if (node.asked != ask_id)
      return;
    node.asked.reset();
    while (node.waiting > 0) {
      const QuotaDecision decision =
          Spend(node.borrower, kAccount, this->ClockOf(index));
      if (decision.outcome == QuotaOutcome::kMustBorrow) {
        this->Ask(index);
        return;
      }
      --node.waiting;
      this->Decide(index, decision);
    }
  }

  void OnTimeout(int index, int ask_id) {
    Node& node = this->Of(index);
    if (node.asked != ask_id)
      return;
    node.asked.reset();
    node.alone_until = this->ClockOf(index) + kAskAgain;
    while (node.waiting > 0) {
      --node.waiting;
      this->DecideAlone(index);
    }
  }

  void DecideAlone(int index) {
    Node& node = this->Of(index);
    const TimePoint clock = this->ClockOf(index);
    if (node.without_roster) {
      this->refusals.push_back(this->now);
      return;
    }
    this->Decide(index,
                 SpendAlone(node.borrower, kAccount, node.limit,
                            CountKnown(node.census, clock), clock, this->rng));
  }

  void Decide(int index, const QuotaDecision& decision) {
    if (decision.outcome != QuotaOutcome::kAdmitted) {
      this->refusals.push_back(this->now);
      return;
    }
    std::bernoulli_distribution is_refused(this->options.refused_by_gates);
    if (!is_refused(this->rng)) {
      this->runs.push_back(this->now);
      return;
    }
    ++this->lost_requests;
    this->ToNode(index, std::chrono::milliseconds(2), [this, index] {
      Refund(this->Of(index).borrower, kAccount, this->ClockOf(index));
    });
    this->ToNode(index, kTick, [this, index] { this->ReturnUnspent(index); });
  }

  FleetOptions options;
  Rng rng;
  TimePoint now = kEpoch;
  std::priority_queue<Event> events;
  std::uint64_t event_count = 0;
  std::vector<std::string> names;
  std::vector<Node> nodes;
  // Nodes reach each other if these are equal.
  std::vector<int> separated;
  int groups = 0;
  bool roster_unreadable = false;
  std::vector<TimePoint> runs;
  std::vector<TimePoint> refusals;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_TESTS_SUPPORT_QUOTA_FLEET_H_
