#include "teaselspread/membership.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

#include "support/network.h"

namespace teaselspread::test {
namespace {

// A running network of `count` nodes that have all joined.
Network MakeJoinedNetwork(std::size_t count,
                          NetworkSettings settings,
                          std::uint64_t seed) {
  Network net(settings, seed);
  for (std::size_t i = 0; i < count; ++i)
    net.Add("bole");
  net.StartAll();
  net.Run(seconds(20));
  return net;
}

std::size_t CountNodesSeeing(const Network& net,
                             const std::string& id,
                             MemberStatus status) {
  std::size_t count = 0;
  for (const auto& node : net.nodes) {
    const Member* member = FindMember(node->membership, id);
    if (node->up && node->id != id && member && member->status == status)
      ++count;
  }
  return count;
}

Test(membership, all_nodes_come_to_know_each_other) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const Network net = MakeJoinedNetwork(60, {.loss = 0.05}, seed);
    cr_assert(net.FractionOf([](const Node& node) {
      return CountLive(node.membership) == 59;
    }) == 1.0);
    cr_assert(net.violations.empty());
  }
}

// An upstream drains for a planned stop, but callers' nodes learn of it late
// and keep sending requests: callers get refusals or truncated responses.
Test(membership, leaving_is_known_to_200_nodes_within_3_seconds) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Network net = MakeJoinedNetwork(200, {.loss = 0.05}, seed);
    net.Announce(17, UpstreamState::kLeaving);
    net.Run(seconds(3));
    cr_assert(net.FractionOf([](const Node& node) {
      const Member* member = FindMember(node.membership, "vm-17");
      return member && member->upstream.state == UpstreamState::kLeaving;
    }) == 1.0,
              "seed %d", static_cast<int>(seed));
    net.Leave(17);
    net.Run(seconds(3));
    cr_assert(CountNodesSeeing(net, "vm-17", MemberStatus::kLeft) == 199);
  }
}

// Many moves run and 40 rows of evidence change each second, more than the
// rumour budget allows. Queued behind them, the announcement of a leaving
// upstream came late, and it received requests for seven seconds more.
Test(membership, leaving_is_known_in_3_seconds_however_much_evidence_waits) {
  constexpr int kNodes = 100;
  constexpr int kRows = 40;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Network net = MakeJoinedNetwork(kNodes, {.loss = 0.05}, seed);
    for (int second = 1; second <= 23; ++second) {
      for (std::size_t row = 0; row < kRows; ++row) {
        Node& node = *net.nodes[row];
        auto actions =
            Spread(node.membership,
                   {Topic::kMoveEvidence, node.id + "/row",
                    static_cast<std::uint64_t>(second), std::string(142, 'e')},
                   net.now, node.rng);
        net.Execute(row, std::move(*actions));
      }
      if (second == 20)
        net.Announce(17, UpstreamState::kLeaving);
      net.Run(seconds(1));
    }
    cr_assert(net.FractionOf([](const Node& node) {
      const Member* member = FindMember(node.membership, "vm-17");
      return member && member->upstream.state == UpstreamState::kLeaving;
    }) == 1.0,
              "seed %d", static_cast<int>(seed));
  }
}

// A VM crashes. Its upstream stays in every node's list, and requests to it
// fail, until the failure detector removes it.
Test(membership, a_dead_node_is_detected_and_no_other_is_accused) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Network net = MakeJoinedNetwork(50, {.loss = 0.05}, seed);
    std::set<std::string> dead;
    net.on_change = [&dead](const Node&, const Member& member) {
      if (member.status == MemberStatus::kDead)
        dead.insert(member.id);
    };
    net.Kill(9);
    net.Run(seconds(15));
    cr_assert(CountNodesSeeing(net, "vm-9", MemberStatus::kDead) == 49);
    net.Run(seconds(120));
    cr_assert(dead == std::set<std::string>{"vm-9"});
    net.Start(9);
    net.Run(seconds(3));
    cr_assert(CountNodesSeeing(net, "vm-9", MemberStatus::kAlive) == 49);
  }
}

// A VM restarts with its clock an hour behind. The others hold an entry with a
// later start, against which its updates would lose for an hour.
Test(membership, a_restart_with_its_clock_set_back_is_known_as_a_restart) {
  Network net = MakeJoinedNetwork(20, {.loss = 0.05}, 1);
  const std::uint64_t before = net.nodes[4]->membership.self.incarnation;
  net.Kill(4);
  net.Run(seconds(1));
  net.Start(4, std::chrono::hours(1));
  net.Run(seconds(5));
  const Node& restarted = *net.nodes[4];
  cr_assert(CountNodesSeeing(net, "vm-4", MemberStatus::kAlive) == 19);
  cr_assert(net.FractionOf([&](const Node& node) {
    return StartOf(FindMember(node.membership, "vm-4")->incarnation) >
           StartOf(before);
  }) == 1.0);
  cr_assert(StartOf(restarted.spread.incarnation) > StartOf(before));
}

// A VM is paused for a while, as in a live migration. When it resumes, all its
// timers have expired while responses are unread: it would accuse everyone, and
// healthy upstreams would drop out of every list.
Test(membership, a_paused_node_accuses_nobody_and_recovers) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Network net = MakeJoinedNetwork(20, {.loss = 0.02}, seed);
    std::set<std::string> dead;
    std::set<std::string> suspected_by_paused;
    net.on_change = [&](const Node& node, const Member& member) {
      if (member.status == MemberStatus::kDead)
        dead.insert(member.id);
      if (node.id == "vm-3" && member.status == MemberStatus::kSuspect)
        suspected_by_paused.insert(member.id);
    };
    const TimePoint resumed =
        net.now + milliseconds(800 + 700 * static_cast<int>(seed));
    net.Pause(3, resumed - net.now);
    net.Announce(5, UpstreamState::kWarming);
    net.Run(resumed - net.now - milliseconds(1));
    net.Announce(5, UpstreamState::kLeaving);
    suspected_by_paused.clear();
    net.Run(milliseconds(900));
    cr_assert(suspected_by_paused.empty());
    net.Run(seconds(30));
    dead.erase("vm-3");
    cr_assert(dead.empty(), "seed %d: %s", static_cast<int>(seed),
              dead.empty() ? "" : dead.begin()->c_str());
    cr_assert(CountNodesSeeing(net, "vm-3", MemberStatus::kAlive) == 19);
    cr_assert(net.FractionOf([](const Node& node) {
      return FindMember(node.membership, "vm-5")->upstream.state ==
             UpstreamState::kLeaving;
    }) == 1.0);
  }
}

// A switch fault partitions a data centre for a minute. Both halves declare the
// other dead and stop probing it; without pings to dead members they would stay
// separate after the partition heals.
Test(membership, two_halves_merge_after_a_partition) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Network net = MakeJoinedNetwork(40, {.loss = 0.02}, seed);
    for (std::size_t i = 0; i < 20; ++i)
      net.nodes[i]->partition = 1;
    net.Run(seconds(60));
    cr_assert(CountLive(net.nodes[0]->membership) == 19);
    for (const auto& node : net.nodes)
      node->partition = 0;
    net.Run(seconds(25));
    cr_assert(net.FractionOf([](const Node& node) {
      return CountLive(node.membership) == 39;
    }) == 1.0,
              "seed %d", static_cast<int>(seed));
  }
}

// Frames of one node arrive late, twice and in the wrong order. If an old one
// won, an upstream that left would get requests again.
Test(membership, late_and_duplicate_updates_change_nothing) {
  Rng rng(1);
  Member self;
  self.id = "vm-0";
  self.data_center = "bole";
  const TimePoint now{seconds(1000)};
  self.incarnation = IncarnationAt(now);
  Membership state = MakeMembership({}, self, {}, now);
  Member peer = self;
  peer.id = "vm-1";
  peer.incarnation += 5;
  peer.upstream.state = UpstreamState::kLeaving;
  const Sender from{"vm-1", peer.incarnation, {"10.0.0.1", 7000}, 0, 0};
  cr_assert(
      ReceiveMembership(state, Gossip{from, {peer}}, now, rng).changes.size() ==
      1);
  Member older = peer;
  older.incarnation -= 1;
  older.upstream.state = UpstreamState::kReady;
  Member elsewhere = peer;
  elsewhere.id = "vm-2";
  elsewhere.data_center = "piassa";
  const Accusation stale{"vm-1", older.incarnation, MemberStatus::kDead, "x"};
  for (const Rumour& rumour :
       {Rumour(peer), Rumour(older), Rumour(stale), Rumour(elsewhere)}) {
    cr_assert(ReceiveMembership(state, Gossip{from, {rumour}}, now, rng)
                  .changes.empty());
  }
  cr_assert(FindMember(state, "vm-1")->upstream.state ==
            UpstreamState::kLeaving);
  cr_assert(FindMember(state, "vm-2") == nullptr);
}

Test(membership, an_opaque_rumour_reaches_all_and_the_last_version_wins) {
  Network net = MakeJoinedNetwork(80, {.loss = 0.05, .duplication = 0.1}, 4);
  const auto publish = [&net](std::size_t index, std::uint64_t version) {
    Node& node = *net.nodes[index];
    Result<MembershipActions> actions =
        Spread(node.membership, {Topic::kVerdict, "move-1", version, "x"},
               net.now, node.rng);
    cr_assert(actions.has_value());
    net.Execute(index, std::move(*actions));
  };
  publish(1, 2);
  publish(70, 1);
  publish(40, 3);
  net.Run(seconds(4));
  cr_assert(net.FractionOf([](const Node& node) {
    return node.membership.opaque_rumours.at({Topic::kVerdict, "move-1"})
               .version == 3;
  }) == 1.0);
  Node& node = *net.nodes[0];
  Result<MembershipActions> brief =
      Spread(node.membership,
             {Topic::kCrashSuspect, "k", 1, "x", net.now + seconds(5)}, net.now,
             node.rng);
  net.Execute(0, std::move(*brief));
  const auto knows = [](const Node& any) {
    return any.membership.opaque_rumours.contains({Topic::kCrashSuspect, "k"});
  };
  net.Run(seconds(4));
  cr_assert(net.FractionOf(knows) == 1.0);
  net.Run(seconds(40));
  cr_assert(net.FractionOf(knows) == 0.0);
  const Result<MembershipActions> refused =
      Spread(node.membership,
             {Topic::kVerdict, "k", 1, std::string(kMaxOpaqueBytes, 'x')},
             net.now, node.rng);
  cr_assert(refused.error().kind == ErrorKind::kBodyTooLarge);
}

}  // namespace
}  // namespace teaselspread::test
