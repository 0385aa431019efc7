// Grow-only counters of the responses that gatekeepers received from the two
// versions of a move.
//
// Each row has one writer, and each of its counters only grows. Copies of a row
// merge by taking the larger value of each counter, and totals are sums of
// rows, so late, duplicated or reordered messages cannot change a total.
#ifndef TEASELSPREAD_EVIDENCE_H_
#define TEASELSPREAD_EVIDENCE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "teaselspread/error.h"
#include "teaselspread/types.h"

namespace teaselspread {

// Latency buckets: upper bounds grow by a factor of 2^0.4 from 0.5 ms to about
// 30 s; the last bucket counts everything above.
inline constexpr std::size_t kLatencyBuckets = 40;

// Responses per row whose latency is ignored because of a cold start. Bounded,
// as a slow version could otherwise hide its latency by restarting.
inline constexpr std::uint32_t kMaxColdResponses = 64;

// Maximum number of rows in a table. Further rows are refused, so that a faulty
// peer that sends made-up names cannot exhaust the memory.
inline constexpr std::size_t kMaxEvidenceRows = 8192;

// Maximum size of an encoded row.
inline constexpr std::size_t kMaxEvidenceRowBytes = 400;

enum class ResponseOutcome : std::uint8_t {
  kSucceeded,
  kFailed,
  // No response by the deadline: counts as a failure.
  kTimeout,
  // The upstream refused the request without running it.
  kShed,
  // The request is suspected of crashing upstreams, so its outcome is no
  // evidence about the version.
  kCrashSuspect,
};

// One response of an upstream as its gatekeeper saw it.
struct ResponseSample {
  ResponseOutcome outcome = ResponseOutcome::kSucceeded;
  // From the first byte sent to the upstream until the last byte received,
  // excluding the wait in the gatekeeper's queue.
  Duration latency{0};
  // The upstream became ready less than the service's warm-up ago.
  bool cold = false;
};

struct EvidenceKey {
  std::string move;
  std::string node;
  std::uint64_t incarnation = 0;
  std::string data_center;
  std::string version;
  // Empty in the row that counts starts and early exits of the upstream.
  std::string route;

  bool operator==(const EvidenceKey&) const = default;
  bool operator<(const EvidenceKey& other) const {
    const auto order = [](const EvidenceKey& key) {
      return std::tie(key.move, key.node, key.incarnation, key.data_center,
                      key.version, key.route);
    };
    return order(*this) < order(other);
  }
};

struct EvidenceCounters {
  // Responses that succeeded or failed, including `failures`.
  std::uint64_t runs = 0;
  std::uint64_t failures = 0;
  std::uint32_t shed = 0;
  // Not included in `runs`.
  std::uint32_t crash_suspects = 0;
  // Responses whose latency was ignored because of a cold start.
  std::uint32_t cold = 0;
  std::uint32_t starts = 0;
  // Times that an upstream vanished without leaving soon after becoming ready.
  std::uint32_t early_exits = 0;
  std::array<std::uint32_t, kLatencyBuckets> latency{};

  bool operator==(const EvidenceCounters&) const = default;
};

struct EvidenceRow {
  EvidenceKey key;
  EvidenceCounters counters;

  bool operator==(const EvidenceRow&) const = default;
};

struct StoredCounters {
  EvidenceCounters counters;
  // The table's revision when this row last changed.
  std::uint64_t revision = 0;
};

// Not thread safe: owned by one loop.
struct EvidenceTable {
  std::map<EvidenceKey, StoredCounters> rows;
  std::uint64_t revision = 0;
  // Rows refused because the table was full.
  std::uint64_t refused_rows = 0;
};

// Index of the bucket for `latency`. Thread safe.
[[nodiscard]] std::size_t LatencyBucketIndex(Duration latency);

// Upper bound of a bucket. Precondition: bucket < kLatencyBuckets. Thread safe.
[[nodiscard]] Duration LatencyBound(std::size_t bucket);

// Upper bound of the bucket that holds the `quantile` (0..1) of the counted
// latencies; zero if there are none. Thread safe for constant `counters`.
[[nodiscard]] Duration LatencyQuantile(const EvidenceCounters& counters,
                                       double quantile);

// Counts one response. Precondition: `key` names the caller's own node and
// incarnation, as a row has one writer. Not thread safe.
void RecordResponse(EvidenceTable& table,
                    const EvidenceKey& key,
                    const ResponseSample& sample);

// Counts a start: the upstream beside the node became ready. The key's route is
// ignored. Same preconditions as RecordResponse.
void RecordStart(EvidenceTable& table, EvidenceKey key);

// Counts that the upstream vanished without leaving after being ready for
// `lifetime`. Only early exits are counted. The caller must omit exits that a
// crash suspect explains. Same preconditions as RecordResponse.
void RecordExit(EvidenceTable& table, EvidenceKey key, Duration lifetime);

// Merges a peer's copy of a row, taking the larger value of each counter.
// Returns true if any counter grew. Not thread safe.
bool MergeRow(EvidenceTable& table, const EvidenceRow& row);

// At most `limit` rows that changed after `revision`, oldest change first, for
// the next message to a peer. `*next_revision` is set to the revision to pass
// in the next call. Precondition: next_revision != nullptr. Not thread safe.
[[nodiscard]] std::vector<EvidenceRow> RowsSince(const EvidenceTable& table,
                                                 std::uint64_t revision,
                                                 std::size_t limit,
                                                 std::uint64_t* next_revision);

// Sum of the rows of a move and version; an empty data centre or route matches
// all of them. Not thread safe.
[[nodiscard]] EvidenceCounters TotalOf(const EvidenceTable& table,
                                       std::string_view move,
                                       std::string_view data_center,
                                       std::string_view version,
                                       std::string_view route);

// Drops the rows of every move that is not in `live`. Not thread safe.
void PurgeEvidence(EvidenceTable& table, const std::set<std::string>& live);

// Adds `other` to `counters`. Not thread safe.
void AddCounters(EvidenceCounters& counters, const EvidenceCounters& other);

// At most kMaxEvidenceRowBytes; names are truncated to 32 bytes. Thread safe.
[[nodiscard]] std::string EncodeRow(const EvidenceRow& row);

// Fails with kFrameMalformed on malformed input. Thread safe.
[[nodiscard]] Result<EvidenceRow> DecodeRow(std::string_view bytes);

}  // namespace teaselspread

#endif  // TEASELSPREAD_EVIDENCE_H_
