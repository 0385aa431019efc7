// Requests that may crash the upstream that runs them.
//
// Rows merge by maximum, so nodes can pass them on by rumour in any order and
// as often as they like.
#ifndef TEASELSPREAD_SUSPECTS_H_
#define TEASELSPREAD_SUSPECTS_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "teaselspread/types.h"

namespace teaselspread {

// Hash of what makes a request the same one when its caller sends it again.
using Fingerprint = std::uint64_t;

// Hash of method, path and body digest. Thread safe.
[[nodiscard]] Fingerprint FingerprintOf(std::string_view method,
                                        std::string_view path,
                                        std::uint64_t body_digest);

enum class SuspectState : std::uint8_t { kClear, kAlone, kRefused };

// "clear", "alone" or "refused". Thread safe.
[[nodiscard]] std::string_view NameOf(SuspectState state);

// One row, as it is passed on: what one node (one incarnation of it) counted
// of one request. Each node raises only the crashes of its own rows, so that
// two crashes seen at the same time by two nodes add up to two. `cleared` is
// raised by any node to the crashes that it knew of when a clean run ended.
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
  // How long a crash counts after the last one.
  Duration retention = std::chrono::minutes(10);
  // Crashes not cleared by a clean run after which a request is refused.
  std::uint32_t crash_limit = 2;
};

struct SuspectTable {
  SuspectSettings settings;
  // Hash of this node's id and incarnation.
  std::uint64_t origin = 0;
  // At most one row for each origin.
  std::unordered_map<Fingerprint, std::vector<SuspectRow>> rows;
};

// What to do with a request. Not thread safe.
[[nodiscard]] SuspectState StateOf(const SuspectTable& table,
                                   Fingerprint fingerprint,
                                   TimePoint now);

// The upstream died while `in_flight` ran there. Returns the rows to pass on.
// Not thread safe.
std::vector<SuspectRow> OnCrash(SuspectTable& table,
                                std::span<const Fingerprint> in_flight,
                                TimePoint now);

// A suspect ran alone and the upstream lived. Returns the rows to pass on. Not
// thread safe.
std::vector<SuspectRow> OnCleanRun(SuspectTable& table,
                                   Fingerprint fingerprint,
                                   TimePoint now);

// Takes in rows from another node; returns those that were news, to pass on.
// Not thread safe.
std::vector<SuspectRow> MergeSuspects(SuspectTable& table,
                                      std::span<const SuspectRow> rows,
                                      TimePoint now);

// Drops rows that have expired. Not thread safe.
void ExpireSuspects(SuspectTable& table, TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SUSPECTS_H_
