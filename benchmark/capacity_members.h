// A node as a member of its data centre: probes, rumours and the tree.
#ifndef TEASELSPREAD_BENCHMARK_CAPACITY_MEMBERS_H_
#define TEASELSPREAD_BENCHMARK_CAPACITY_MEMBERS_H_

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "../tests/support/network.h"
#include "capacity_fit.h"

namespace teaselspread::capacity {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline std::unique_ptr<test::Network> RunningNetwork(std::size_t count) {
  constexpr auto kSettle = seconds(60);
  test::NetworkSettings settings;
  settings.encode_messages = false;
  auto net = std::make_unique<test::Network>(settings, 1);
  for (std::size_t i = 0; i < count; ++i)
    net->Add("bole");
  net->Publish();
  net->StartAll();
  net->Run(kSettle);
  return net;
}

inline double TakeSentBytes(test::Network& net) {
  double sum = 0;
  for (const auto& node : net.nodes) {
    for (const auto& [kind, bytes] : node->sent_bytes)
      sum += static_cast<double>(bytes);
    node->sent_bytes.clear();
  }
  return sum;
}

inline Member MemberNumber(int index) {
  Member member;
  member.id = "vm-" + std::to_string(index);
  member.data_center = "bole";
  member.control = {"10.0.0." + std::to_string(index % 250), 7000};
  member.http = {member.control.host, 8000};
  member.incarnation = IncarnationAt(TimePoint{seconds(900)});
  member.upstream.service = "registry-desk";
  member.upstream.version = "v1";
  member.upstream.state = UpstreamState::kReady;
  return member;
}

// One node that knows all others, without a network.
struct LoneNode {
  Membership membership;
  SpreadState spread;
  Rng rng{1};
  TimePoint now{seconds(1000)};
};

inline std::unique_ptr<LoneNode> MakeLoneNode(int members) {
  auto node = std::make_unique<LoneNode>();
  node->membership = MakeMembership({}, MemberNumber(0), {}, node->now);
  node->spread = MakeSpread({}, MemberNumber(0), node->now);
  StateExchange exchange;
  exchange.from.id = "vm-1";
  for (int i = 1; i < members; ++i)
    exchange.members.push_back(MemberNumber(i));
  const MembershipActions actions =
      ReceiveMembership(node->membership, exchange, node->now, node->rng);
  for (const Member& member : actions.changes)
    static_cast<void>(
        ObserveMember(node->spread, member, node->now, node->rng));
  node->spread.floor_settled = true;
  return node;
}

inline void TakeFrame(LoneNode& node, const std::string& frame) {
  const Result<Message> message = Decode(frame);
  const MembershipActions actions =
      ReceiveMembership(node.membership, *message, node.now, node.rng);
  for (const PeerVersion& version : actions.versions)
    static_cast<void>(ObserveVersion(node.spread, version, node.now, node.rng));
  for (const SendMessage& send : actions.sends)
    static_cast<void>(Encode(send.message));
  for (const SendMessage& send :
       ReceiveSpread(node.spread, *message, node.now, node.rng).sends)
    static_cast<void>(Encode(send.message));
}

inline Sender PeerFive() {
  return {"vm-5", IncarnationAt(TimePoint{seconds(900)}),
          MemberNumber(5).control, 0, 100};
}

// A second without news: an own probe and its answer, another's probe, timers.
inline void QuietSecond(LoneNode& node) {
  const TimePoint end = node.now + seconds(1);
  TakeFrame(node, Encode(Ping{PeerFive(), 9, "vm-0", {}}));
  while (node.now < end) {
    const MembershipActions actions =
        TickMembership(node.membership, node.now, node.rng);
    for (const SendMessage& send : actions.sends) {
      static_cast<void>(Encode(send.message));
      if (const auto* probe = std::get_if<Ping>(&send.message))
        TakeFrame(node,
                  Encode(Ack{PeerFive(), probe->sequence, probe->target, {}}));
    }
    for (const SendMessage& send :
         TickSpread(node.spread, node.now, node.rng).sends)
      static_cast<void>(Encode(send.message));
    node.now = std::max(
        std::min({NextWake(node.membership), NextWake(node.spread), end}),
        node.now + milliseconds(1));
  }
}

inline void MeasureMemberState(Rows& rows) {
  constexpr int kPeriods = 300;
  std::vector<Sample> cpu;
  std::vector<Sample> memory;
  for (const int members : {50, 100, 200, 400, 833, 1000}) {
    const double before = BytesInUse();
    const auto node = MakeLoneNode(members);
    memory.push_back({double(members), BytesInUse() - before});
    cpu.push_back(
        {double(members), MedianMicros(kPeriods, [&] { QuietSecond(*node); })});
  }
  const Line time = Report("member: quiet second", "member", "us", cpu);
  const Line bytes = Report("member: state", "member", "bytes", memory);
  rows.push_back({"member", "processor time, quiet", "% of a core",
                  time.At(kMembers) / 1e4, kCpuBound,
                  SlopeText(time, "member (us/s)"), KindAt(time, kMembers)});
  rows.push_back({"member", "memory of the member list", "MB",
                  bytes.At(kMembers) / 1e6, kMemoryBound,
                  SlopeText(bytes, "member (B)"), KindAt(bytes, kMembers)});
}

// Publishes one change after another and notes when each node holds it.
inline std::vector<double> Publishings(test::Network& net, int count) {
  std::vector<double> times;
  for (int i = 0; i < count; ++i) {
    const TimePoint begin = net.now;
    const ConfigVersion version = net.Publish();
    std::map<std::string, bool> seen;
    net.on_applied = [&](const test::Node& node, ConfigVersion held) {
      if (held < version || seen[node.id])
        return;
      seen[node.id] = true;
      times.push_back(
          std::chrono::duration<double, std::milli>(net.now - begin).count());
    };
    net.Run(milliseconds(893 + 214 * (i % 2)));
    net.on_applied = nullptr;
  }
  return times;
}

inline void MeasureMemberTraffic(Rows& rows) {
  constexpr int kSeconds = 20;
  std::vector<Sample> idle;
  std::vector<Sample> change;
  std::vector<Sample> convergence;
  for (const int members : {50, 100, 200, 400}) {
    const auto net = RunningNetwork(members);
    TakeSentBytes(*net);
    net->Run(seconds(kSeconds));
    const double quiet = TakeSentBytes(*net) / members / kSeconds;
    const std::vector<double> times = Publishings(*net, kSeconds);
    const double busy = TakeSentBytes(*net) / members / kSeconds;
    idle.push_back({std::log10(members), quiet});
    change.push_back({std::log10(members), busy - quiet});
    convergence.push_back({std::log10(members), Summarize(times).p99});
  }
  const char* x = "log10(members)";
  const double size = std::log10(kMembers);
  const Line quiet = Report("member: bytes sent, quiet", x, "B/s", idle);
  const Line extra = Report("member: bytes of a change", x, "B", change);
  const Line late = Report("member: in force p99", x, "ms", convergence);
  rows.push_back({"member", "bytes sent, quiet", "B/s", quiet.At(size),
                  kBytesBound, SlopeText(quiet, x), KindAt(quiet, size)});
  rows.push_back({"member", "bytes sent for changes of 600 bytes", "B/s",
                  extra.At(size) * kChangesPerSecond, kBytesBound,
                  SlopeText(extra, x), KindAt(extra, size)});
  rows.push_back({"member", "change in force in its data centre, p99", "ms",
                  late.At(size), 5000, SlopeText(late, x), KindAt(late, size)});
}

// How long after node 0 announces that its upstream leaves the last of the
// others knows, in seconds.
inline double LeavingKnownAfter(test::Network& net) {
  constexpr auto kPatience = seconds(10);
  const TimePoint begin = net.now;
  double last = 0;
  net.on_change = [&](const test::Node&, const Member& member) {
    if (member.id == net.nodes[0]->id &&
        member.upstream.state == UpstreamState::kLeaving)
      last = std::chrono::duration<double>(net.now - begin).count();
  };
  net.Announce(0, UpstreamState::kLeaving);
  net.Run(kPatience);
  net.on_change = nullptr;
  return last;
}

// Rows of evidence that change each second, spread as rumours: what it costs,
// and how old a row is at the other nodes.
inline void MeasureEvidenceTraffic(Rows& rows, double row_bytes) {
  constexpr int kNodes = 100;
  constexpr int kSeconds = 30;
  std::vector<Sample> bytes;
  std::vector<Sample> age;
  std::vector<Sample> leaving;
  for (const int live : {0, 2, 5, 10, 20, 40}) {
    const auto net = RunningNetwork(kNodes);
    TakeSentBytes(*net);
    for (int at = 1; at <= kSeconds; ++at) {
      for (int row = 0; row < live; ++row) {
        test::Node& node = *net->nodes[row];
        auto actions = Spread(
            node.membership,
            {Topic::kMoveEvidence,
             node.id + "/1234567890/cases-v2/v2/case-index", std::uint64_t(at),
             std::string(std::size_t(row_bytes), 'e')},
            net->now, node.rng);
        net->Execute(row, std::move(*actions));
      }
      net->Run(seconds(1));
    }
    bytes.push_back({double(live), TakeSentBytes(*net) / kNodes / kSeconds});
    double sum = 0;
    double count = 0;
    for (const auto& node : net->nodes) {
      for (const auto& [key, rumour] : node->membership.opaque_rumours) {
        sum += kSeconds - double(rumour.version);
        ++count;
      }
    }
    if (live > 0)
      age.push_back({double(live), sum / count});
    leaving.push_back({double(live), LeavingKnownAfter(*net)});
  }
  const Line sent =
      Report("evidence: bytes sent, 100 nodes", "row a second", "B/s", bytes);
  const Line late = Report("evidence: age of a row at the others, 100 nodes",
                           "row a second", "s", age);
  const Line gone = Report("member: leaving known to all, 100 nodes",
                           "row a second", "s", leaving);
  // Live moves that the letter does not number: a tenth of the services, spread
  // over the data centres, with one changing row at each of their nodes.
  const double live = kMembers / 10;
  rows.push_back({"gatekeeper", "bytes of evidence, 83 rows changing", "B/s",
                  std::min(sent.At(live), 5000 + bytes.front().y), kBytesBound,
                  SlopeText(sent, "row") + ", capped at 5000 B/s", "estimate"});
  rows.push_back({"gatekeeper", "age of evidence, 83 rows changing", "s",
                  late.At(live), 0, SlopeText(late, "row"), "estimate"});
  rows.push_back({"member", "leaving known to all, 83 rows changing", "s",
                  gone.At(live), 3, SlopeText(gone, "row"), "estimate"});
}

}  // namespace teaselspread::capacity

#endif  // TEASELSPREAD_BENCHMARK_CAPACITY_MEMBERS_H_
