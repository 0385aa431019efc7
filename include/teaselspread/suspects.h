// Tracks requests that may crash the upstream that runs them.
//
// Rows merge by maximum, so rumours may deliver them in any order and more than
// once.
#ifndef TEASELSPREAD_SUSPECTS_H_
#define TEASELSPREAD_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "teaselspread/types.h"

namespace teaselspread {

// Hash that identifies a request when its caller retries it.
using Fingerprint = std::uint64_t;

// Hash of method, path and body digest. Thread safe.
[[nodiscard]] Fingerprint FingerprintOf(std::string_view method,
                                        std::string_view path,
                                        std::uint64_t body_digest);

enum class SuspectState : std::uint8_t { kClear, kAlone, kRefused };

// "clear", "alone" or "refused". Thread safe.
[[nodiscard]] std::string_view NameOf(SuspectState state);

// One row, as sent between nodes: the counts of one request by one incarnation
// of a node. Each node raises `crashes` only in its own rows, so that two
// crashes seen at the same time by two nodes add up to two. Any node may raise
// `cleared` to the crashes that it knew of when a clean run ended.
struct SuspectRow {
  Fingerprint fingerprint = 0;
  std::uint64_t origin = 0;
  std::uint32_t crashes = 0;
  std::uint32_t cleared = 0;
  TimePoint expires;

  bool operator==(const SuspectRow&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    auto until = this->expires.time_since_epoch().count();
    archive(this->fingerprint, this->origin, this->crashes, this->cleared,
            until);
    this->expires = TimePoint(Duration(until));
  }
};

struct SuspectSettings {
  // How long crashes count after the last one.
  Duration retention = std::chrono::minutes(10);
  // Number of crashes not cleared by a clean run from which a request is
  // refused.
  std::uint32_t crash_limit = 2;
  // How long a request is refused at first. It may be one of those that only
  // ran beside the cause, and while it is refused no run can clear it. So it
  // may run again then, and each crash after that doubles the time, up to the
  // retention.
  Duration first_refusal = std::chrono::minutes(10);
  // Bounds of the table: requests, and rows of each. Beyond them what says
  // least is dropped: the fewest uncleared crashes, then the oldest ones.
  std::size_t max_requests = 2048;
  std::size_t max_rows_per_request = 16;
  // How long after a change it is reported.
  Duration report_for = std::chrono::seconds(10);
  // Bounds of the rows in RowsToReport and in RowsToRelay.
  std::size_t max_reported_rows = 256;
  std::size_t max_relayed_rows = 64;
};

// What is known of one request that ran when an upstream crashed.
struct Suspect {
  // At most one for each origin.
  std::vector<SuspectRow> rows;
  // When a crash last became known here.
  TimePoint crashed_at;
  // When this node last counted a crash of it or cleared it; the epoch if only
  // other nodes did.
  TimePoint changed_here;
};

struct SuspectTable {
  SuspectSettings settings;
  // Hash of this node's id and incarnation.
  std::uint64_t origin = 0;
  std::unordered_map<Fingerprint, Suspect> requests;
};

// Whether a response of this status shows that its request runs without a
// crash. A run that was cut short shows nothing: at its deadline, or as a call
// that it made has failed. Thread safe.
[[nodiscard]] bool IsCleanRun(int status);

// Whether a request runs normally, alone or not at all. Not thread safe.
[[nodiscard]] SuspectState StateOf(const SuspectTable& table,
                                   Fingerprint fingerprint,
                                   TimePoint now);

// Crashes of the request that no clean run has cleared, over all origins. Not
// thread safe.
[[nodiscard]] std::uint32_t CrashesOf(const SuspectTable& table,
                                      Fingerprint fingerprint,
                                      TimePoint now);

// How long the request is still refused; 0 if it is not. It differs between
// nodes, so that they do not all run the request at the same moment. Not thread
// safe.
[[nodiscard]] Duration RefusedFor(const SuspectTable& table,
                                  Fingerprint fingerprint,
                                  TimePoint now);

// Whether the request is refused, or would be after one more crash. It is not
// retried after a failure. Not thread safe.
[[nodiscard]] bool IsNearLimit(const SuspectTable& table,
                               Fingerprint fingerprint,
                               TimePoint now);

// What this node has counted or cleared recently, for all other nodes. If it is
// too much, the most crashes and then the newest changes go first. Not thread
// safe.
[[nodiscard]] std::vector<SuspectRow> RowsToReport(const SuspectTable& table,
                                                   TimePoint now);

// What other nodes have counted about requests near the limit, for nodes that
// have not heard it from them. Their other rows are not passed on: each crash
// adds as many as requests ran, and hardly any of those comes again. Not thread
// safe.
[[nodiscard]] std::vector<SuspectRow> RowsToRelay(const SuspectTable& table,
                                                  TimePoint now);

// Counts a crash of the upstream while `in_flight` ran there. Returns the rows
// to send to other nodes. Not thread safe.
std::vector<SuspectRow> OnCrash(SuspectTable& table,
                                std::span<const Fingerprint> in_flight,
                                TimePoint now);

// Clears a suspect after a clean run (IsCleanRun). Returns the rows to send to
// other nodes. Not thread safe.
std::vector<SuspectRow> OnCleanRun(SuspectTable& table,
                                   Fingerprint fingerprint,
                                   TimePoint now);

// Merges rows from another node. Returns those that changed the table, to be
// sent on. Not thread safe.
std::vector<SuspectRow> MergeSuspects(SuspectTable& table,
                                      std::span<const SuspectRow> rows,
                                      TimePoint now);

// Drops rows that have expired. Not thread safe.
void ExpireSuspects(SuspectTable& table, TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SUSPECTS_H_
