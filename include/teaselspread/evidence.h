// What gatekeepers saw of the two versions of a move: grow-only counters.
//
// Each row has one writer, and every cell of it only grows. Two copies of a row
// merge by the larger cell, and rows are summed; messages that arrive late,
// twice or crossed therefore cannot change a total.
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

// Latency is counted in buckets that grow by 2^0.4 from half a millisecond to
// half a minute; the last one takes everything above.
inline constexpr std::size_t kLatencyBuckets = 40;

// Answers of one row whose slowness a cold start excuses. Bounded, since a
// version that stays slow would otherwise be excused by restarting.
inline constexpr std::uint32_t kMaxColdResponses = 64;

// Rows that one table holds; more are refused, so that a peer that invents
// names cannot fill the memory.
inline constexpr std::size_t kMaxEvidenceRows = 8192;

// Longest encoded row.
inline constexpr std::size_t kMaxEvidenceRowBytes = 400;

enum class ResponseOutcome : std::uint8_t {
  kSucceeded,
  kFailed,
  // No answer by the deadline: counts as a failure.
  kTimeout,
  // Refused by the upstream as not run.
  kShed,
  // The request is suspected of crashing upstreams: says nothing of a version.
  kCrashSuspect,
};

// One answer of an upstream as its gatekeeper saw it.
struct ResponseSample {
  ResponseOutcome outcome = ResponseOutcome::kSucceeded;
  // From the first byte sent to the upstream until the last byte back, without
  // the wait in the gatekeeper's queue.
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
  // Empty for the row that counts starts and early exits of the upstream.
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
  // Answers with an outcome, failures among them.
  std::uint64_t runs = 0;
  std::uint64_t failures = 0;
  std::uint32_t shed = 0;
  // Left out of `runs`.
  std::uint32_t crash_suspects = 0;
  // Answers whose latency was left out because of a cold start.
  std::uint32_t cold = 0;
  std::uint32_t starts = 0;
  // Upstreams that vanished without leaving, soon after they were ready.
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
  // The table's revision at the last change of this row.
  std::uint64_t revision = 0;
};

// Not thread safe: owned by one loop.
struct EvidenceTable {
  std::map<EvidenceKey, StoredCounters> rows;
  std::uint64_t revision = 0;
  // Rows refused because the table was full.
  std::uint64_t refused_rows = 0;
};

// Index of the bucket that counts `latency`. Thread safe.
[[nodiscard]] std::size_t LatencyBucketIndex(Duration latency);

// Upper bound of a bucket. Precondition: bucket < kLatencyBuckets. Thread safe.
[[nodiscard]] Duration LatencyBound(std::size_t bucket);

// Upper bound of the bucket in which the `quantile` (0..1) of the counted
// latencies lies; zero without any. Thread safe for a constant `cells`.
[[nodiscard]] Duration LatencyQuantile(const EvidenceCounters& cells,
                                       double quantile);

// Counts one answer. Precondition: `key` names the caller's own node and
// incarnation: a row has one writer. Not thread safe.
void RecordResponse(EvidenceTable& table,
                    const EvidenceKey& key,
                    const ResponseSample& sample);

// Counts that the upstream beside the node became ready. The key's route is
// ignored. Same preconditions as RecordAnswer.
void RecordStart(EvidenceTable& table, EvidenceKey key);

// Counts that the upstream vanished without leaving after `lifetime` of being
// ready. Only early exits count, and none that a crash suspect explains (the
// caller leaves those out). Same preconditions as RecordAnswer.
void RecordExit(EvidenceTable& table, EvidenceKey key, Duration lifetime);

// Takes a peer's copy of a row: the larger of each cell. True when anything
// grew. Not thread safe.
bool MergeRow(EvidenceTable& table, const EvidenceRow& row);

// At most `limit` rows that changed after `revision`, oldest change first, for
// the next message to a peer. `*reached` becomes the revision to ask for next.
// Precondition: reached != nullptr. Not thread safe.
[[nodiscard]] std::vector<EvidenceRow> RowsSince(const EvidenceTable& table,
                                                 std::uint64_t revision,
                                                 std::size_t limit,
                                                 std::uint64_t* next_revision);

// Sum over the rows of a move and version; an empty data centre or route means
// all of them. Not thread safe.
[[nodiscard]] EvidenceCounters TotalOf(const EvidenceTable& table,
                                       std::string_view move,
                                       std::string_view data_center,
                                       std::string_view version,
                                       std::string_view route);

// Drops the rows of every move that is not in `live`. Not thread safe.
void PurgeEvidence(EvidenceTable& table, const std::set<std::string>& live);

// Adds `other` to `cells`. Not thread safe.
void AddCounters(EvidenceCounters& cells, const EvidenceCounters& other);

// At most kMaxEvidenceRowBytes; names are cut off after 32 bytes. Thread safe.
[[nodiscard]] std::string EncodeRow(const EvidenceRow& row);

// kFrameMalformed for anything that EncodeRow does not write. Thread safe.
[[nodiscard]] Result<EvidenceRow> DecodeRow(std::string_view bytes);

}  // namespace teaselspread

#endif  // TEASELSPREAD_EVIDENCE_H_
