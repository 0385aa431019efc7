// What one decision costs in CPU time: choosing, admitting, claiming.
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "percentiles.h"
#include "teaselspread/admission.h"
#include "teaselspread/claims.h"
#include "teaselspread/routing.h"

namespace teaselspread::bench {
namespace {

using Clock = std::chrono::steady_clock;

const TimePoint kStart{std::chrono::hours(1)};
constexpr int kGroupsOfLargeTable = 20;

// Mean of `action` over `times` calls, in nanoseconds, and percentiles over
// batches of 100 calls.
template <class Action>
void Measure(const std::string& name, int times, Action action) {
  constexpr int kBatch = 100;
  Percentiles batches;
  const auto began = Clock::now();
  for (int done = 0; done < times; done += kBatch) {
    const auto batch_began = Clock::now();
    for (int i = 0; i < kBatch; ++i)
      action();
    const std::chrono::duration<double, std::nano> took =
        Clock::now() - batch_began;
    batches.Add(took.count() / kBatch);
  }
  const std::chrono::duration<double, std::nano> took = Clock::now() - began;
  std::printf("%-40s %9.0f ns", name.c_str(), took.count() / times);
  if (times >= 100 * kBatch)
    std::printf(" (p99 of batches %.0f)", batches.P99());
  std::printf("\n");
}

std::vector<Member> MakeMembers(int count, int group_size) {
  std::vector<Member> members;
  members.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    Member member;
    member.id = "node-" + std::to_string(i);
    member.data_center = "bole";
    member.upstream.service = "service-" + std::to_string(i / group_size);
    member.upstream.version = "v1";
    member.upstream.state = UpstreamState::kReady;
    member.upstream.slots = 15;
    members.push_back(member);
  }
  return members;
}

void MeasureChoice(int members, int group_size) {
  UpstreamTable table;
  const Snapshot snapshot;
  UpdateTargets(table, snapshot, MakeMembers(members, group_size), "none",
                "bole");
  std::vector<std::string> ids;
  for (const Target& target : table.services["service-0"]["v1"].targets)
    ids.push_back(target.id);
  Rng rng(1);
  const std::string name = "choose: " + std::to_string(group_size) +
                           " targets of " + std::to_string(members);
  Measure(name, 1000000, [&] {
    const auto chosen =
        ChooseUpstream(table, "service-0", "v1", {}, kStart, rng);
    if (!chosen)
      std::abort();
  });
  Measure("sent and answered: " + std::to_string(group_size) + " targets",
          1000000, [&] {
            const std::string& id = ids[rng() % ids.size()];
            OnRequestSent(table, "service-0", "v1", id);
            OnResponse(table, "service-0", "v1", id, ResponseKind::kSucceeded,
                       3, kStart);
          });
}

void MeasureUpdate(int count) {
  UpstreamTable table;
  const Snapshot snapshot;
  const auto members = MakeMembers(count, count / kGroupsOfLargeTable);
  Measure("update table: " + std::to_string(count) + " members", 200,
          [&] { UpdateTargets(table, snapshot, members, "none", "bole"); });
}

// `waiting` requests stay in the queue while one more comes and one ends.
void MeasureAdmission(int waiting) {
  Gatekeeper gate;
  gate.settings.slots = 15;
  gate.settings.queue_limit = 100;
  Rng rng(1);
  std::uint64_t next = 1;
  Arrival arrival;
  arrival.route = "filings";
  std::vector<std::uint64_t> running;
  const auto arrive = [&] {
    arrival.id = next++;
    arrival.deadline = kStart + std::chrono::milliseconds(500 + rng() % 1000);
    if (Arrive(gate, arrival, kStart, rng).admission == Admission::kRun)
      running.push_back(arrival.id);
  };
  const int kept = waiting > 0 ? gate.settings.slots + waiting - 1 : 0;
  for (int i = 0; i < kept; ++i)
    arrive();
  Measure("admit and finish: " + std::to_string(waiting) + " waiting", 1000000,
          [&] {
            arrive();
            const std::uint64_t ends = running.front();
            running.erase(running.begin());
            for (const auto id :
                 Finish(gate, ends, Duration(100), true, kStart, rng).run)
              running.push_back(id);
          });
}

std::vector<ClaimKeeper> MakeKeepers() {
  ClaimEpoch epoch;
  epoch.number = 1;
  for (int i = 0; i < 3; ++i)
    epoch.holders.push_back({"node-" + std::to_string(i), "bole", 1, {}});
  std::vector<ClaimKeeper> keepers(3);
  for (std::size_t i = 0; i < keepers.size(); ++i) {
    keepers[i].self = epoch.holders[i];
    (void)LearnEpoch(keepers[i], epoch, kStart);
    ConfirmEpoch(keepers[i], kStart);
    TickClaims(keepers[i], kStart);
  }
  return keepers;
}

// One claim from the ask to the recorded outcome at all three holders, without
// the network: the CPU time of gatekeeper and holders together.
void MeasureClaim() {
  std::vector<ClaimKeeper> keepers = MakeKeepers();
  std::uint64_t sequence = 0;
  const std::string body(2000, 'x');
  Measure("claim: ask, 3 votes, outcome", 200000, [&] {
    const std::string key = "key-" + std::to_string(++sequence);
    const auto digest = DigestOf("POST", "/filings", body);
    ClaimAttempt attempt =
        BeginClaim(keepers[0], {"node-0", 1, sequence},
                   {key, false, TimePoint{}}, digest, kStart);
    for (ClaimKeeper& keeper : keepers)
      ReceiveVote(attempt, VoteOn(keeper, RequestOf(attempt), kStart), kStart);
    if (!MayRun(attempt, kStart))
      std::abort();
    const ClaimCompletion done =
        CompletionOf(keepers[0].settings, attempt, {201, "", "filed", true});
    for (ClaimKeeper& keeper : keepers)
      RecordOutcome(keeper, done, kStart);
  });
}

}  // namespace
}  // namespace teaselspread::bench

int main() {
  namespace bench = teaselspread::bench;
  for (const int group : {10, 100, 1000})
    bench::MeasureChoice(group, group);
  bench::MeasureChoice(20000, 1000);
  bench::MeasureChoice(20000, 20000);
  bench::MeasureUpdate(833);
  bench::MeasureUpdate(20000);
  for (const int waiting : {0, 10, 64})
    bench::MeasureAdmission(waiting);
  bench::MeasureClaim();
  return 0;
}
