#include "teaselspread/spread.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <numeric>
#include <string>

#include "support/network.h"

namespace teaselspread::test {
namespace {

const char* FirstViolation(const Network& net) {
  return net.violations.empty() ? "" : net.violations.front().c_str();
}

void AddNodes(Network& net, const std::string& data_center, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i)
    net.Add(data_center);
}

Test(spread, a_change_reaches_all_nodes_with_lost_and_repeated_messages) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Network net({.loss = 0.05, .duplication = 0.05}, seed);
    AddNodes(net, "bole", 60);
    net.Publish();
    net.StartAll();
    net.Run(seconds(10));
    cr_assert(net.FractionHolding(net.log.back()) == 1.0);
    for (int change = 0; change < 20; ++change) {
      const ConfigVersion next = net.Publish();
      net.Run(seconds(3));
      cr_assert(net.FractionHolding(next) == 1.0);
    }
    cr_assert(net.violations.empty(), "%s", FirstViolation(net));
  }
}

// Injects one random fault or publishes a change.
void InjectFault(Network& net) {
  const std::size_t target = net.rng() % net.nodes.size();
  Node& node = *net.nodes[target];
  switch (net.rng() % 9) {
    case 0:
      return net.Kill(target);
    case 1:
    case 2:
      return net.Start(target);
    case 3:
      return net.Pause(target, milliseconds(net.rng() % 8000));
    case 4:
      node.partition = static_cast<int>(net.rng() % 2);
      return;
    case 5:
      net.log_up = !net.log_up;
      return;
    case 6:
      net.cut_from_log.clear();
      if (net.rng() % 2 == 0)
        net.cut_from_log.push_back(node.data_center);
      return;
    default:
      net.Publish();
  }
}

void Heal(Network& net) {
  net.log_up = true;
  net.cut_from_log.clear();
  for (std::size_t i = 0; i < net.nodes.size(); ++i) {
    net.nodes[i]->partition = 0;
    if (!net.nodes[i]->up)
      net.Start(i);
  }
}

// Processes die and restart empty, the log is unavailable, partitions come and
// go, and updates arrive late, twice and out of order. Guards against a VM that
// returns to an older configuration, and so sends requests to upstreams that
// were taken out of use, and against one that stays behind for good.
Test(spread, no_vm_goes_back_and_all_converge_over_many_seeds) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Network net({.loss = 0.1, .duplication = 0.1, .jitter = milliseconds(40)},
                seed);
    AddNodes(net, "bole", 5);
    AddNodes(net, "piassa", 4);
    net.Publish();
    net.StartAll();
    net.Run(seconds(6));
    for (int step = 0; step < 60; ++step) {
      InjectFault(net);
      net.Run(milliseconds(net.rng() % 3000));
    }
    Heal(net);
    net.Run(seconds(40));
    const ConfigVersion last = net.Publish();
    net.Run(seconds(5));
    cr_assert(net.violations.empty(), "seed %d: %s", static_cast<int>(seed),
              FirstViolation(net));
    cr_assert(net.FractionHolding(last) == 1.0, "seed %d",
              static_cast<int>(seed));
    cr_assert(net.FractionOf([](const Node& node) {
      return IsReady(node.spread);
    }) == 1.0);
  }
}

// A VM restarts while the log is unavailable, and the first peers that it
// reaches were partitioned and lag behind what it held. Guards against a VM
// that takes their configuration, which is no longer in force.
Test(spread, a_lagging_first_contact_does_not_take_a_vm_back) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Network net({}, seed);
    AddNodes(net, "bole", 7);
    net.Publish();
    net.StartAll();
    net.Run(seconds(8));
    // Two of the seeds are partitioned and miss a change.
    net.nodes[0]->partition = 1;
    net.nodes[1]->partition = 1;
    const ConfigVersion newer = net.Publish();
    net.Run(seconds(10));
    cr_assert(net.nodes[6]->spread.held == newer);
    net.log_up = false;
    net.Kill(6);
    net.Run(seconds(2));
    // It restarts in the lagging partition.
    net.nodes[6]->partition = 1;
    net.Start(6);
    net.Run(seconds(30));
    cr_assert(!IsReady(net.nodes[6]->spread));
    cr_assert(net.nodes[6]->spread.held == 0);
    for (const auto& node : net.nodes)
      node->partition = 0;
    net.Run(seconds(20));
    cr_assert(IsReady(net.nodes[6]->spread), "seed %d", static_cast<int>(seed));
    cr_assert(net.nodes[6]->spread.held == newer);
    cr_assert(net.violations.empty(), "%s", FirstViolation(net));
  }
}

// One VM restarts while the log is unavailable. Without its witnesses it could
// not know that it is not behind, and would stay out of service as long as the
// log.
Test(spread, a_restart_during_a_log_outage_is_ready_by_its_witnesses) {
  Network net({.loss = 0.05}, 2);
  AddNodes(net, "bole", 12);
  const ConfigVersion version = net.Publish();
  net.StartAll();
  net.Run(seconds(8));
  net.log_up = false;
  net.Run(seconds(60));
  net.Start(4);
  net.Run(seconds(3));
  cr_assert(IsReady(net.nodes[4]->spread));
  cr_assert(net.nodes[4]->spread.held == version);
}

// A data centre loses the platform's log, but still reaches the others.
Test(spread, a_data_center_cut_from_the_log_is_served_by_the_others) {
  Network net({.loss = 0.05}, 3);
  AddNodes(net, "bole", 10);
  AddNodes(net, "piassa", 10);
  AddNodes(net, "kazanchis", 10);
  net.Publish();
  net.StartAll();
  net.Run(seconds(8));
  net.cut_from_log = {"piassa"};
  for (int change = 0; change < 10; ++change) {
    const ConfigVersion next = net.Publish();
    net.Run(seconds(5));
    cr_assert(net.FractionHolding(next) == 1.0);
  }
}

// Both readers of a data centre die at once. Until others take their place the
// data centre receives no change, although the log works.
Test(spread, readers_that_die_together_are_replaced_within_seconds) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Network net({.loss = 0.02}, seed);
    AddNodes(net, "bole", 40);
    net.Publish();
    net.StartAll();
    net.Run(seconds(10));
    for (std::size_t i = 0; i < net.nodes.size(); ++i) {
      if (IsReader(net.nodes[i]->spread, net.now))
        net.Kill(i);
    }
    const ConfigVersion next = net.Publish();
    net.Run(seconds(5));
    cr_assert(net.FractionHolding(next) == 1.0, "seed %d",
              static_cast<int>(seed));
  }
}

// Both readers stay alive, but lose their connection to the log. The failure
// detector does not report them, and without standbys no change would arrive.
Test(spread, standbys_replace_readers_that_lose_the_log) {
  Network net({}, 5);
  AddNodes(net, "bole", 20);
  net.Publish();
  net.StartAll();
  net.Run(seconds(10));
  for (const auto& node : net.nodes) {
    if (IsReader(node->spread, net.now))
      net.cut_from_log.push_back(node->id);
  }
  cr_assert(net.cut_from_log.size() == 2);
  const ConfigVersion next = net.Publish();
  net.Run(seconds(4));
  cr_assert(net.FractionHolding(next) == 1.0);
}

// A fifth of the nodes dies just before a change. Below each dead node in the
// tree a whole branch would miss the change until the next repair.
Test(spread, a_change_goes_around_dead_nodes_of_the_tree) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Network net({}, seed);
    AddNodes(net, "bole", 80);
    net.Publish();
    net.StartAll();
    net.Run(seconds(15));
    for (std::size_t i = 0; i < 80; i += 5) {
      if (!IsReader(net.nodes[i]->spread, net.now))
        net.Kill(i);
    }
    const ConfigVersion next = net.Publish();
    net.Run(seconds(2));
    cr_assert(net.FractionHolding(next) == 1.0, "seed %d share %g",
              static_cast<int>(seed), net.FractionHolding(next));
  }
}

struct HerdResult {
  std::uint64_t log_reads = 0;
  std::uint64_t max_served = 0;
  double seconds_to_ready = 0;
};

// All nodes die at once and restart at once, without any state.
HerdResult RunHerd(std::size_t count, std::uint64_t seed) {
  Network net(
      {.loss = 0.02, .snapshot_bytes = 200000, .encode_messages = false}, seed);
  AddNodes(net, "bole", count);
  for (int i = 0; i < 20; ++i)
    net.Publish();
  net.StartAll();
  net.Run(seconds(20));
  for (std::size_t i = 0; i < count; ++i)
    net.Kill(i);
  net.Run(seconds(5));
  net.StartAll();
  const std::uint64_t reads_before = net.log_reads;
  const auto ready = [](const Node& node) { return IsReady(node.spread); };
  HerdResult result;
  while (net.FractionOf(ready) < 1.0 && result.seconds_to_ready < 60) {
    net.Run(milliseconds(250));
    result.seconds_to_ready += 0.25;
  }
  net.Run(seconds(20) -
          Duration(static_cast<Duration::rep>(result.seconds_to_ready * 1e6)));
  result.log_reads = net.log_reads - reads_before;
  for (const auto& node : net.nodes) {
    std::uint64_t served = 0;
    for (const SpreadCount sent :
         {SpreadCount::kSnapshotServed, SpreadCount::kChainServed,
          SpreadCount::kPushSent, SpreadCount::kPushRetried})
      served += node->spread.counts.at(static_cast<std::size_t>(sent));
    result.max_served = std::max(result.max_served, served);
  }
  cr_assert(net.violations.empty(), "%s", FirstViolation(net));
  return result;
}

// A rack or a whole data centre restarts after a power failure. If each node
// read the log, or all pulled from the same peer, the log or that peer would
// fail under the load, and the data centre with it.
Test(spread, a_returning_herd_loads_the_log_and_each_peer_within_bounds) {
  for (const std::size_t count : {10U, 40U, 160U, 800U}) {
    const HerdResult herd = RunHerd(count, 7);
    std::printf(
        "herd of %zu: %lu log reads in 20 s, %lu transfers at most "
        "from one node, ready after %.2f s\n",
        count, static_cast<unsigned long>(herd.log_reads),
        static_cast<unsigned long>(herd.max_served), herd.seconds_to_ready);
    // Two readers at four reads a second for 20 s, and as much again while the
    // member lists fill.
    constexpr std::uint64_t kMaxReads = 320;
    cr_assert(herd.log_reads <= kMaxReads);
    cr_assert(herd.max_served <= 40);
    cr_assert(herd.seconds_to_ready <= 15);
  }
}

// A transfer is requested from a node that already serves its maximum.
Test(spread, a_busy_node_returns_a_retry_delay) {
  Rng rng(1);
  Member self;
  self.id = "vm-0";
  self.data_center = "bole";
  const TimePoint now{seconds(1000)};
  SpreadState state = MakeSpread({}, self, now);
  state.held = 9;
  state.snapshot = {9, 0, 1, true, std::string(500000, 'x')};
  const PullRequest request{{"vm-1", 1, {"10.0.0.1", 7000}, 0, 0}, 0};
  for (int i = 0; i < 2; ++i) {
    const SpreadActions served = ReceiveSpread(state, request, now, rng);
    cr_assert(std::holds_alternative<PullReply>(served.sends.at(0).message));
  }
  const SpreadActions busy = ReceiveSpread(state, request, now, rng);
  const auto* response = std::get_if<PullBusy>(&busy.sends.at(0).message);
  cr_assert(response != nullptr);
  cr_assert(response->retry_after_ms >= 400);
  const SpreadActions later =
      ReceiveSpread(state, request, now + seconds(1), rng);
  cr_assert(std::holds_alternative<PullReply>(later.sends.at(0).message));
}

// A snapshot takes seconds over a slow connection. The node waits while its
// bytes arrive: requested from another peer each second, all copies would be
// delayed. When no more bytes arrive it asks another peer.
Test(spread, a_pull_is_not_resent_while_its_response_arrives) {
  Rng rng(1);
  Member self;
  self.id = "vm-0";
  self.data_center = "bole";
  TimePoint now{seconds(1000)};
  SpreadState state = MakeSpread({}, self, now);
  Member peer = self;
  peer.id = "vm-1";
  peer.control = {"10.0.0.1", 7000};
  peer.incarnation = 1U << kRevisionBits;
  peer.held = 5;
  (void)ObserveMember(state, peer, now, rng);
  (void)ObserveVersion(state, {peer.id, peer.incarnation, peer.control, 5, {}},
                       now, rng);
  int asked = 0;
  const auto run_until = [&](TimePoint end, bool bytes_arrive) {
    for (; now < end; now += std::chrono::milliseconds(50)) {
      if (bytes_arrive)
        ObserveStreamBytes(state, "10.0.0.1", now);
      for (const SendMessage& send : TickSpread(state, now, rng).sends)
        asked += std::holds_alternative<PullRequest>(send.message) ? 1 : 0;
    }
  };
  run_until(now + seconds(6), true);
  cr_assert(asked == 1, "asked %d times", asked);
  run_until(now + seconds(3), false);
  cr_assert(asked >= 2);
}

// Deltas arrive that do not apply to what the node holds. They must not be
// retried forever: the node requests a whole snapshot instead.
Test(spread, updates_that_do_not_apply_are_replaced_by_a_snapshot) {
  Rng rng(1);
  Member self;
  self.id = "vm-0";
  self.data_center = "bole";
  TimePoint now{seconds(1000)};
  SpreadState state = MakeSpread({}, self, now);
  SpreadActions actions =
      ObserveLogRead(state, {{5, 0, 1, true, "five"}}, now, true, now, rng);
  cr_assert(actions.apply.size() == 1);
  actions = ConfirmApplied(state, {5, 0, 1, true, "five"}, now, rng);
  Member peer = self;
  peer.id = "vm-1";
  peer.control = {"10.0.0.1", 7000};
  peer.incarnation = 1U << kRevisionBits;
  peer.held = 6;
  actions = ObserveMember(state, peer, now, rng);
  const Sender from{"vm-1", peer.incarnation, peer.control, 6, 0};
  actions = ReceiveSpread(state, Push{from, {6, 5, 1, false, "bad"}}, now, rng);
  actions = ReceiveSpread(state, RecordAck{from, 6}, now, rng);
  cr_assert(actions.apply.size() == 1);
  actions = RejectUpdate(state, now, rng);
  now += seconds(1);
  actions = TickSpread(state, now, rng);
  const auto pull = std::find_if(
      actions.sends.begin(), actions.sends.end(), [](const SendMessage& send) {
        return std::holds_alternative<PullRequest>(send.message);
      });
  cr_assert(pull != actions.sends.end());
  cr_assert(std::get<PullRequest>(pull->message).have == 0);
  cr_assert(state.held == 5);
}

}  // namespace
}  // namespace teaselspread::test
