// Control bytes, log reads and convergence against the number of nodes of one
// data centre, on the virtual clock; and real processor time and memory of one
// node with a full member list. Prints one table row per size and way.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "../tests/support/network.h"

ABSL_FLAG(std::vector<std::string>,
          sizes,
          (std::vector<std::string>{"10", "20", "40", "80", "150", "800"}),
          "nodes in the data centre");
ABSL_FLAG(int, delta_bytes, 600, "bytes of one change");
ABSL_FLAG(int, snapshot_bytes, 200000, "bytes of a whole configuration");
ABSL_FLAG(int, members, 833, "members for processor time and memory");
ABSL_FLAG(int, seed, 1, "seed of the run");
ABSL_FLAG(int, fan_out, 4, "fan-out of the tree");

namespace teaselspread::test {
namespace {

constexpr int kChanges = 30;
constexpr int kKillRounds = 3;
constexpr int kIdleSeconds = 30;

enum class Way : std::uint8_t { kSpread, kSnapshots };

const char* NameOf(Way way) {
  return way == Way::kSpread ? "spread" : "snapshots";
}

std::unique_ptr<Network> Make(std::size_t count, Way way) {
  NetworkSettings settings;
  settings.encode_messages = false;
  settings.delta_bytes = absl::GetFlag(FLAGS_delta_bytes);
  settings.snapshot_bytes = absl::GetFlag(FLAGS_snapshot_bytes);
  settings.full_updates = way == Way::kSnapshots;
  auto net = std::make_unique<Network>(settings, absl::GetFlag(FLAGS_seed));
  net->spread_settings.fan_out = absl::GetFlag(FLAGS_fan_out);
  for (std::size_t i = 0; i < count; ++i)
    net->Add("bole");
  net->Publish();
  net->StartAll();
  net->Run(seconds(60));
  return net;
}

using BytesByKind = std::map<std::string, std::uint64_t>;

BytesByKind TakeBytes(Network& net) {
  BytesByKind sum;
  for (const auto& node : net.nodes) {
    for (const auto& [kind, bytes] : node->sent_bytes)
      sum[kind] += bytes;
    node->sent_bytes.clear();
  }
  return sum;
}

double PrintBytes(const char* what,
                  const BytesByKind& bytes,
                  std::size_t nodes,
                  double time) {
  double total = 0;
  std::printf("    %s, sent B/node/s:", what);
  for (const auto& [kind, count] : bytes) {
    const double rate =
        static_cast<double>(count) / static_cast<double>(nodes) / time;
    total += rate;
    if (rate >= 0.5)
      std::printf(" %s %.0f", kind.c_str(), rate);
  }
  std::printf(" = %.0f\n", total);
  return total;
}

struct Times {
  std::vector<double> values;

  double At(double share) {
    if (this->values.empty())
      return -1;
    std::sort(this->values.begin(), this->values.end());
    const auto last = static_cast<double>(this->values.size() - 1);
    return this->values[static_cast<std::size_t>(share * last)];
  }
};

double Millis(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

// Publishes one change and notes when each node holds it.
void PublishOne(Network& net, Times& times, Duration wait) {
  const TimePoint begin = net.now;
  const ConfigVersion version = net.Publish();
  std::map<std::string, bool> seen;
  net.on_applied = [&](const Node& node, ConfigVersion held) {
    if (held >= version && !seen[node.id]) {
      seen[node.id] = true;
      times.values.push_back(Millis(net.now - begin));
    }
  };
  net.Run(wait);
  net.on_applied = nullptr;
}

// Returns the smallest share of the survivors that held the change after 10 s.
double KillAndPublish(Network& net, Times& times) {
  double reached = 1;
  for (int round = 0; round < kKillRounds; ++round) {
    std::vector<std::size_t> killed;
    for (std::size_t i = 0; i < net.nodes.size(); ++i) {
      if (net.rng() % 5 == 0)
        killed.push_back(i);
    }
    for (const std::size_t index : killed)
      net.Kill(index);
    PublishOne(net, times, seconds(10));
    reached = std::min(reached, net.FractionHolding(net.log.back()));
    for (const std::size_t index : killed)
      net.Start(index);
    net.Run(seconds(30));
  }
  return reached;
}

void RunSize(std::size_t count, Way way) {
  const auto net = Make(count, way);
  TakeBytes(*net);
  std::printf("n=%zu way=%s\n", count, NameOf(way));
  const std::uint64_t reads = net->log_reads;
  net->Run(seconds(kIdleSeconds));
  const double reads_per_second =
      static_cast<double>(net->log_reads - reads) / kIdleSeconds;
  PrintBytes("idle", TakeBytes(*net), count, kIdleSeconds);
  Times calm;
  for (int change = 0; change < kChanges; ++change) {
    // Not in step with the polls of the log.
    PublishOne(*net, calm, milliseconds(893 + 214 * (change % 2)));
  }
  PrintBytes("1 change/s", TakeBytes(*net), count, kChanges);
  net->Run(seconds(5));
  TakeBytes(*net);
  Times killed;
  const double reached = KillAndPublish(*net, killed);
  PrintBytes("a fifth killed and returning every 40 s", TakeBytes(*net), count,
             kKillRounds * 40);
  std::printf(
      "    log reads/s %.1f; in force after p50 %.0f p99 %.0f max %.0f ms; "
      "20%% killed p50 %.0f p99 %.0f max %.0f ms, reached %.4f\n",
      reads_per_second, calm.At(0.5), calm.At(0.99), calm.At(1), killed.At(0.5),
      killed.At(0.99), killed.At(1), reached);
  for (const std::string& violation : net->violations)
    std::printf("    VIOLATION %s\n", violation.c_str());
}

// The way without any relay: each node reads the log itself.
void RunPolling(std::size_t count) {
  const NetworkSettings settings;
  // An HTTP request and its answer's headers, with TCP/IP headers.
  constexpr double kRequestBytes = 300;
  constexpr double kAnswerBytes = 300;
  Rng rng(static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed)));
  Times times;
  for (int i = 0; i < kChanges; ++i) {
    for (std::size_t node = 0; node < count; ++node) {
      const Duration phase{static_cast<Duration::rep>(
          rng() % static_cast<std::uint64_t>(settings.log_poll.count()))};
      times.values.push_back(Millis(phase + settings.log_latency));
    }
  }
  const double polls = 1000.0 / Millis(settings.log_poll);
  const double idle = polls * (kRequestBytes + kAnswerBytes);
  std::printf(
      "n=%zu way=polling\n    B/node/s idle %.0f, 1 change/s %.0f; log reads/s "
      "%.0f; in force after p50 %.0f p99 %.0f ms\n",
      count, idle, idle + absl::GetFlag(FLAGS_delta_bytes),
      polls * static_cast<double>(count), times.At(0.5), times.At(0.99));
}

Member MemberAt(int index) {
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

struct OneNode {
  Membership membership;
  SpreadState spread;
  Rng rng{1};
};

OneNode FullNode(TimePoint now) {
  const int members = absl::GetFlag(FLAGS_members);
  OneNode node;
  node.membership = MakeMembership({}, MemberAt(0), {}, now);
  node.spread = MakeSpread({}, MemberAt(0), now);
  StateExchange exchange;
  exchange.from.id = "vm-1";
  for (int i = 1; i < members; ++i)
    exchange.members.push_back(MemberAt(i));
  const MembershipActions actions =
      ReceiveMembership(node.membership, exchange, now, node.rng);
  for (const Member& member : actions.changes)
    static_cast<void>(ObserveMember(node.spread, member, now, node.rng));
  node.spread.floor_settled = true;
  return node;
}

// One message as the daemon would take it: decode, both modules, encode.
void Take(OneNode& node, const std::string& frame, TimePoint now) {
  const Result<Message> message = Decode(frame);
  const MembershipActions actions =
      ReceiveMembership(node.membership, *message, now, node.rng);
  for (const PeerVersion& version : actions.versions)
    static_cast<void>(ObserveVersion(node.spread, version, now, node.rng));
  for (const SendMessage& send : actions.sends)
    static_cast<void>(Encode(send.message));
  const SpreadActions spread =
      ReceiveSpread(node.spread, *message, now, node.rng);
  for (const SendMessage& send : spread.sends)
    static_cast<void>(Encode(send.message));
}

// A quiet period: own probe, its answer, one probe by another, the timers.
void MeasurePeriod() {
  constexpr int kPeriods = 2000;
  TimePoint now{seconds(1000)};
  OneNode node = FullNode(now);
  const Sender from{"vm-5", IncarnationAt(TimePoint{seconds(900)}),
                    MemberAt(5).control, 0, 100};
  const std::string ping = Encode(Ping{from, 9, "vm-0", {}});
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kPeriods; ++i) {
    const TimePoint end = now + seconds(1);
    Take(node, ping, now);
    while (now < end) {
      const MembershipActions actions =
          TickMembership(node.membership, now, node.rng);
      for (const SendMessage& send : actions.sends) {
        const std::string frame = Encode(send.message);
        if (const auto* probe = std::get_if<Ping>(&send.message))
          Take(node, Encode(Ack{from, probe->sequence, probe->target, {}}),
               now);
      }
      const SpreadActions spread = TickSpread(node.spread, now, node.rng);
      for (const SendMessage& send : spread.sends)
        static_cast<void>(Encode(send.message));
      now = std::max(
          std::min({NextWake(node.membership), NextWake(node.spread), end}),
          now + milliseconds(1));
    }
  }
  const auto time = std::chrono::steady_clock::now() - begin;
  std::printf(
      "members=%d: %.0f ns of processor time per quiet second\n",
      absl::GetFlag(FLAGS_members),
      std::chrono::duration<double, std::nano>(time).count() / kPeriods);
}

// One change as an inner node of the tree sees it: take the push, forward it,
// tell the witnesses, put it in force, answer as witness for three others.
void MeasureChange() {
  constexpr int kRuns = 2000;
  const TimePoint now{seconds(1000)};
  OneNode node = FullNode(now);
  const Sender from{"vm-5", IncarnationAt(TimePoint{seconds(900)}),
                    MemberAt(5).control, 0, 100};
  const std::string body(absl::GetFlag(FLAGS_delta_bytes), 'd');
  const auto begin = std::chrono::steady_clock::now();
  for (ConfigVersion version = 1; version <= kRuns; ++version) {
    Take(node, Encode(Push{from, {version, version - 1, 1, false, body}}), now);
    for (int i = 10; i < 13; ++i) {
      Sender witness = from;
      witness.id = "vm-" + std::to_string(i);
      Take(node, Encode(RecordAck{witness, version}), now);
      Take(node, Encode(RecordHeld{witness, version}), now);
      Take(node, Encode(PushAck{witness, version}), now);
    }
    static_cast<void>(ConfirmApplied(node.spread, {version, 0, 1, true, body},
                                     now, node.rng));
    node.spread.deliveries.clear();
  }
  const auto time = std::chrono::steady_clock::now() - begin;
  std::printf("members=%d: %.0f ns of processor time per change\n",
              absl::GetFlag(FLAGS_members),
              std::chrono::duration<double, std::nano>(time).count() / kRuns);
}

void MeasureMemory() {
  const std::size_t before = mallinfo2().uordblks;
  const auto node =
      std::make_unique<OneNode>(FullNode(TimePoint{seconds(1000)}));
  const std::size_t bytes = mallinfo2().uordblks - before;
  const auto members = static_cast<std::size_t>(absl::GetFlag(FLAGS_members));
  std::printf("members=%zu: %zu bytes of state, %zu for each member\n", members,
              bytes, bytes / members);
}

}  // namespace
}  // namespace teaselspread::test

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  // A long run shows each row when it is there.
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
  namespace test = teaselspread::test;
  test::MeasureMemory();
  test::MeasurePeriod();
  test::MeasureChange();
  for (const std::string& size : absl::GetFlag(FLAGS_sizes)) {
    const std::size_t count = std::stoul(size);
    test::RunSize(count, test::Way::kSpread);
    test::RunSize(count, test::Way::kSnapshots);
    test::RunPolling(count);
  }
  return 0;
}
