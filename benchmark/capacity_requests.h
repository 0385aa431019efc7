// A node as entry and gatekeeper: choosing an upstream, and claiming a key.
#ifndef TEASELSPREAD_BENCHMARK_CAPACITY_REQUESTS_H_
#define TEASELSPREAD_BENCHMARK_CAPACITY_REQUESTS_H_

#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "capacity_fit.h"
#include "node/claims_messages.h"
#include "teaselspread/claims.h"
#include "teaselspread/routing.h"
#include "teaselspread/wire.h"

namespace teaselspread::capacity {

inline std::vector<Member> ReadyMembers(int count) {
  std::vector<Member> members;
  for (int i = 0; i < count; ++i) {
    Member member;
    member.id = "vm-" + std::to_string(i);
    member.data_center = "bole";
    member.upstream.service = "registry-desk";
    member.upstream.version = "v1";
    member.upstream.state = UpstreamState::kReady;
    member.upstream.slots = 15;
    members.push_back(member);
  }
  return members;
}

inline void MeasureRouting(Rows& rows) {
  constexpr int kTimes = 20000;
  const TimePoint now{std::chrono::hours(1)};
  std::vector<Sample> choice;
  std::vector<Sample> update;
  for (const int targets : {10, 100, 200, 400, 833}) {
    UpstreamTable table;
    const Snapshot snapshot;
    const auto members = ReadyMembers(targets);
    Rng rng(1);
    update.push_back({double(targets), MedianMicros(9, [&] {
                        UpdateTargets(table, snapshot, members, "", "bole");
                      })});
    choice.push_back(
        {double(targets), MedianMicros(9, [&] {
                            for (int i = 0; i < kTimes; ++i) {
                              const auto chosen = ChooseUpstream(
                                  table, "registry-desk", "v1", {}, now, rng);
                              const std::string id = (*chosen)->id;
                              OnRequestSent(table, "registry-desk", "v1", id);
                              OnResponse(table, "registry-desk", "v1", id,
                                         ResponseKind::kSucceeded, 3, now);
                            }
                          }) / kTimes});
  }
  const Line call =
      Report("entry: choose, sent, answered", "target", "us", choice);
  const Line table = Report("entry: new table", "target", "us", update);
  rows.push_back({"entry", "choice of an upstream", "us a call",
                  call.At(kMembers), 390, SlopeText(call, "target (us)"),
                  KindAt(call, kMembers)});
  rows.push_back({"entry", "choice at 260 calls/s a node", "% of a core",
                  call.At(kMembers) * kCallsPerSecond / kTargets / 1e4, 0,
                  SlopeText(call, "target (us)"), "worked out"});
  rows.push_back({"entry", "new table of upstreams", "us", table.At(kMembers),
                  0, SlopeText(table, "target (us)"), KindAt(table, kMembers)});
}

inline std::vector<ClaimKeeper> ThreeHolders(TimePoint now) {
  ClaimEpoch epoch;
  epoch.number = 1;
  for (int i = 0; i < 3; ++i)
    epoch.holders.push_back(
        {"vm-" + std::to_string(i), "dc-" + std::to_string(i), 1, {}});
  std::vector<ClaimKeeper> keepers(3);
  for (std::size_t i = 0; i < keepers.size(); ++i) {
    keepers[i].self = epoch.holders[i];
    static_cast<void>(LearnEpoch(keepers[i], epoch, now));
    LearnActivation(keepers[i], epoch.number, now);
    ConfirmEpoch(keepers[i], now);
    TickClaims(keepers[i], now);
  }
  return keepers;
}

// What one claim costs one holder and the gatekeeper, with the codecs and
// without the sockets.
struct ClaimCost {
  double holder_us = 0;
  double gatekeeper_us = 0;
  // Both ways between the gatekeeper and one holder, with UDP and IP headers.
  double bytes = 0;
};

inline std::string ClaimFrame(const ClaimMessage& message) {
  ModuleFrame frame;
  frame.from = {"vm-17", 1234567890, {"10.0.0.17", 7000}, 0, 0};
  frame.module = Module::kClaims;
  frame.body = EncodeClaim(message);
  return Encode(frame);
}

inline ClaimMessage ClaimIn(const std::string& frame) {
  return *DecodeClaim(std::get<ModuleFrame>(*Decode(frame)).body);
}

inline void ClaimOnce(std::vector<ClaimKeeper>& keepers,
                      std::uint64_t sequence,
                      TimePoint now,
                      ClaimCost& sum) {
  constexpr double kHeaderBytes = 28;
  double begin = ThreadMicros();
  ClaimAttempt attempt =
      BeginClaim(keepers[0], {"vm-17", 1, sequence},
                 {"key-" + std::to_string(sequence), false, TimePoint{}},
                 DigestOf("POST", "/filings", std::string(2000, 'x')), now);
  const std::string ask = ClaimFrame(RequestOf(attempt));
  sum.gatekeeper_us += ThreadMicros() - begin;
  std::vector<std::string> votes;
  votes.reserve(keepers.size());
  begin = ThreadMicros();
  for (ClaimKeeper& keeper : keepers)
    votes.push_back(
        ClaimFrame(VoteOn(keeper, std::get<ClaimRequest>(ClaimIn(ask)), now)));
  sum.holder_us += ThreadMicros() - begin;
  begin = ThreadMicros();
  for (const std::string& vote : votes)
    ReceiveVote(attempt, std::get<ClaimVote>(ClaimIn(vote)), now);
  if (!MayRun(attempt, now))
    std::abort();
  const std::string done = ClaimFrame(
      CompletionOf(keepers[0].settings, attempt,
                   {201, "text/plain", std::string(200, 'f'), true}));
  sum.gatekeeper_us += ThreadMicros() - begin;
  begin = ThreadMicros();
  for (ClaimKeeper& keeper : keepers)
    RecordOutcome(keeper, std::get<ClaimCompletion>(ClaimIn(done)), now);
  sum.holder_us += ThreadMicros() - begin;
  sum.bytes =
      double(ask.size() + votes[0].size() + done.size()) + 3 * kHeaderBytes;
}

inline void MeasureClaims(Rows& rows) {
  const TimePoint now{std::chrono::hours(1)};
  std::vector<Sample> holder;
  std::vector<Sample> gatekeeper;
  std::vector<Sample> memory;
  ClaimCost cost;
  for (const int claims : {1000, 5000, 10000, 20000}) {
    const double before = BytesInUse();
    auto keepers = ThreeHolders(now);
    cost = {};
    for (int i = 0; i < claims; ++i)
      ClaimOnce(keepers, std::uint64_t(i) + 1, now, cost);
    const auto holders = double(keepers.size());
    holder.push_back({double(claims), cost.holder_us / holders});
    gatekeeper.push_back({double(claims), cost.gatekeeper_us});
    memory.push_back({double(claims), (BytesInUse() - before) / holders});
  }
  const Line at_holder = Report("holder: claims", "claim", "us", holder);
  const Line at_gate = Report("gatekeeper: claims", "claim", "us", gatekeeper);
  const Line record = Report("holder: records", "claim", "bytes", memory);
  std::printf(R"({"claim_bytes_at_a_holder":%.0f})"
              "\n",
              cost.bytes);
  // A record stays for twice the life of a key and the window.
  const ClaimSettings settings;
  const double life =
      std::chrono::duration<double>(2 * settings.key_lifetime).count();
  const std::string holder_slope = SlopeText(at_holder, "claim (us)");
  rows.push_back({"holder", "claims/s that fill 2.8% of a core", "/s",
                  kCpuBound * 1e4 / at_holder.slope, 0, holder_slope,
                  "worked out, no sockets"});
  rows.push_back({"holder", "claims/s that fill 14 KB/s", "/s",
                  kBytesBound / cost.bytes, 0, "encoded sizes", "worked out"});
  rows.push_back({"holder", "claims/s that fill 64 MB", "/s",
                  kMemoryBound * 1e6 / record.slope / life, 0,
                  SlopeText(record, "claim (B)"), "worked out"});
  constexpr double kShare = 0.01;
  rows.push_back({"holder", "processor time at 1% non-idempotent",
                  "% of a core",
                  at_holder.slope * kCallsPerSecond * kShare / 1e4, kCpuBound,
                  holder_slope, "estimate"});
  rows.push_back({"holder", "bytes at 1% non-idempotent", "B/s",
                  cost.bytes * kCallsPerSecond * kShare, kBytesBound,
                  "encoded sizes", "estimate"});
  rows.push_back({"holder", "memory at 1% non-idempotent", "MB",
                  record.slope * kCallsPerSecond * kShare * life / 1e6,
                  kMemoryBound, SlopeText(record, "claim (B)"), "estimate"});
  rows.push_back({"gatekeeper", "claim of one call, no sockets", "us",
                  at_gate.slope, 390, SlopeText(at_gate, "claim (us)"),
                  "measured"});
}

// A holder looks through its records at each tick, ten times a second.
inline void MeasureClaimTicks(Rows& rows) {
  constexpr double kTicksPerSecond = 10;
  const TimePoint now{std::chrono::hours(1)};
  std::vector<Sample> tick;
  for (const int records : {1000, 10000, 30000, 60000}) {
    ClaimKeeper keeper = ThreeHolders(now)[0];
    for (int i = 0; i < records; ++i) {
      ClaimRecord record;
      record.updated_at = now;
      keeper.records["key-" + std::to_string(i)] = record;
    }
    TimePoint at = now;
    tick.push_back({double(records), MedianMicros(20, [&] {
                      at += std::chrono::milliseconds(100);
                      TickClaims(keeper, at);
                    })});
  }
  const Line line = Report("holder: tick", "record", "us", tick);
  const ClaimSettings settings;
  const double life =
      std::chrono::duration<double>(2 * settings.key_lifetime).count();
  rows.push_back({"holder", "claims/s at which ticks fill 2.8% of a core", "/s",
                  kCpuBound * 1e4 / kTicksPerSecond / line.slope / life, 0,
                  SlopeText(line, "record (us)"), "worked out"});
}

}  // namespace teaselspread::capacity

#endif  // TEASELSPREAD_BENCHMARK_CAPACITY_REQUESTS_H_
