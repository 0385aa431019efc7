#include "teaselspread/evidence.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <limits>
#include <vector>

namespace teaselspread {
namespace {

EvidenceKey KeyOf(const std::string& node, const std::string& version) {
  EvidenceKey key;
  key.move = "m1";
  key.node = node;
  key.incarnation = 1;
  key.data_center = "bole";
  key.version = version;
  key.route = "search";
  return key;
}

ResponseSample Good(int millis) {
  ResponseSample sample;
  sample.latency = std::chrono::milliseconds(millis);
  return sample;
}

ResponseSample WithOutcome(ResponseOutcome outcome) {
  ResponseSample sample;
  sample.outcome = outcome;
  return sample;
}

// Gossip duplicates, reorders and loses messages. If totals depended on that,
// two nodes would judge the same move by different numbers.
Test(moves_evidence, totals_do_not_depend_on_the_order_of_messages) {
  EvidenceTable source;
  std::vector<EvidenceRow> messages;
  std::uint64_t reached = 0;
  for (int i = 0; i < 60; ++i) {
    const EvidenceKey key = KeyOf(i % 2 == 0 ? "vm1" : "vm2", "v2");
    RecordResponse(source, key, Good(5 + i));
    for (EvidenceRow& row : RowsSince(source, reached, 10, &reached))
      messages.push_back(std::move(row));
  }
  const EvidenceCounters expected = TotalOf(source, "m1", "", "v2", "");
  cr_assert(expected.runs == 60);
  Rng rng(7);
  for (int round = 0; round < 20; ++round) {
    EvidenceTable table;
    std::shuffle(messages.begin(), messages.end(), rng);
    for (const EvidenceRow& row : messages)
      MergeRow(table, row);
    for (const EvidenceRow& row : messages)
      cr_assert(!MergeRow(table, row));
    cr_assert(TotalOf(table, "m1", "", "v2", "") == expected);
  }
}

// A request that crashes every upstream must not count as a failure of the
// version, and shed requests were not run.
Test(moves_evidence, suspects_and_shed_work_are_no_failures) {
  EvidenceTable table;
  const EvidenceKey key = KeyOf("vm1", "v2");
  RecordResponse(table, key, WithOutcome(ResponseOutcome::kCrashSuspect));
  RecordResponse(table, key, WithOutcome(ResponseOutcome::kShed));
  RecordResponse(table, key, WithOutcome(ResponseOutcome::kTimeout));
  RecordResponse(table, key, WithOutcome(ResponseOutcome::kFailed));
  const EvidenceCounters total = TotalOf(table, "m1", "bole", "v2", "search");
  cr_assert(total.runs == 2 && total.failures == 2);
  cr_assert(total.shed == 1 && total.crash_suspects == 1);
}

// A version that is always slow must not be excused as cold indefinitely.
Test(moves_evidence, a_cold_start_excuses_a_bounded_number_of_slow_responses) {
  EvidenceTable table;
  ResponseSample sample = Good(900);
  sample.cold = true;
  for (std::uint32_t i = 0; i < kMaxColdResponses + 10; ++i)
    RecordResponse(table, KeyOf("vm1", "v2"), sample);
  const EvidenceCounters total = TotalOf(table, "m1", "", "v2", "");
  cr_assert(total.cold == kMaxColdResponses);
  cr_assert(total.latency.at(LatencyBucketIndex(sample.latency)) == 10);
}

Test(moves_evidence, only_early_exits_count) {
  EvidenceTable table;
  const EvidenceKey key = KeyOf("vm1", "v2");
  RecordStart(table, key);
  RecordExit(table, key, std::chrono::seconds(3));
  RecordExit(table, key, std::chrono::hours(3));
  const EvidenceCounters total = TotalOf(table, "m1", "", "v2", "");
  cr_assert(total.starts == 1 && total.early_exits == 1);
}

Test(moves_evidence, quantiles_lie_within_a_bucket) {
  EvidenceTable table;
  for (int millis = 1; millis <= 100; ++millis)
    RecordResponse(table, KeyOf("vm1", "v2"), Good(millis));
  const EvidenceCounters total = TotalOf(table, "m1", "", "v2", "");
  const Duration median = LatencyQuantile(total, 0.5);
  cr_assert(median >= std::chrono::milliseconds(50));
  cr_assert(median <= std::chrono::milliseconds(67));
  cr_assert(LatencyQuantile({}, 0.5) == Duration(0));
}

Test(moves_evidence, the_largest_row_fits_its_bound_and_round_trips) {
  EvidenceRow row;
  row.key = KeyOf(std::string(32, 'n'), std::string(32, 'v'));
  row.key.move = std::string(32, 'm');
  row.key.data_center = std::string(32, 'd');
  row.key.route = std::string(32, 'r');
  row.counters.runs = std::numeric_limits<std::uint64_t>::max();
  row.counters.failures = 5;
  row.counters.latency.fill(std::numeric_limits<std::uint32_t>::max());
  const std::string bytes = EncodeRow(row);
  cr_assert(bytes.size() <= kMaxEvidenceRowBytes, "%zu bytes", bytes.size());
  const Result<EvidenceRow> decoded = DecodeRow(bytes);
  cr_assert(decoded.has_value() && *decoded == row);
}

// A truncated datagram must be refused, not decoded as smaller counters.
Test(moves_evidence, a_truncated_row_is_refused) {
  EvidenceTable table;
  RecordResponse(table, KeyOf("vm1", "v2"), Good(5));
  std::uint64_t reached = 0;
  const std::string bytes = EncodeRow(RowsSince(table, 0, 1, &reached).front());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    const Result<EvidenceRow> row = DecodeRow(bytes.substr(0, size));
    cr_assert(!row.has_value());
    cr_assert(row.error().kind == ErrorKind::kFrameMalformed);
  }
}

Test(moves_evidence, changed_rows_come_in_batches_and_ended_moves_are_purged) {
  EvidenceTable table;
  for (int i = 0; i < 5; ++i)
    RecordResponse(table, KeyOf("vm" + std::to_string(i), "v1"), Good(5));
  std::uint64_t reached = 0;
  cr_assert(RowsSince(table, 0, 3, &reached).size() == 3);
  cr_assert(RowsSince(table, reached, 3, &reached).size() == 2);
  cr_assert(RowsSince(table, reached, 3, &reached).empty());
  PurgeEvidence(table, {"m1"});
  cr_assert(table.rows.size() == 5);
  PurgeEvidence(table, {"m2"});
  cr_assert(table.rows.empty());
}

// A faulty peer that sends made-up names must not exhaust the memory.
Test(moves_evidence, the_table_is_bounded) {
  EvidenceTable table;
  EvidenceRow row;
  for (std::size_t i = 0; i < kMaxEvidenceRows + 5; ++i) {
    row.key = KeyOf("vm" + std::to_string(i), "v1");
    MergeRow(table, row);
  }
  cr_assert(table.rows.size() == kMaxEvidenceRows);
  cr_assert(table.refused_rows == 5);
}

}  // namespace
}  // namespace teaselspread
