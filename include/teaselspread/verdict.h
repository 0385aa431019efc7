// Verdicts on moves and the reports of the data centres: small values that only
// climb, so that they may arrive late, twice and crossed.
#ifndef TEASELSPREAD_VERDICT_H_
#define TEASELSPREAD_VERDICT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "teaselspread/error.h"
#include "teaselspread/types.h"

namespace teaselspread {

// The lattice: a verdict is replaced by a higher one only.
enum class MoveStage : std::uint8_t { kRunning, kDone, kRolledBack };

enum class VerdictReason : std::uint8_t {
  kNone,
  kWatchClean,
  kFailures,
  kLatency,
  kShedding,
  kCrashOnStart,
  kWithdrawn,
  kCount,
};

// Stable names for logs, JSON and counters. Thread safe.
[[nodiscard]] std::string_view NameOf(MoveStage stage);
[[nodiscard]] std::string_view NameOf(VerdictReason reason);

struct Verdict {
  std::string move;
  std::string service;
  std::string from;
  std::string to;
  MoveStage stage = MoveStage::kRunning;
  VerdictReason reason = VerdictReason::kNone;
  TimePoint decided_at;
  // Where and on which route it was seen; "*" for all routes together.
  std::string data_center;
  std::string route;
  // What was compared, as ratios (failures, slow answers or shed ones).
  double new_ratio = 0;
  double old_ratio = 0;
  std::uint64_t new_runs = 0;
  std::uint64_t old_runs = 0;

  bool operator==(const Verdict&) const = default;
};

// The join of two verdicts on one move: the higher stage, and of two equal
// ones the earlier, so that every order of arrival ends at the same value.
// Precondition: a.move == b.move. Thread safe.
[[nodiscard]] const Verdict& JoinVerdicts(const Verdict& a, const Verdict& b);

// How far one data centre has come with a move.
struct DataCenterReport {
  std::string move;
  std::string data_center;
  TimePoint reported_at;
  // Part of its requests that go to the new version, 0..1.
  double share = 0;
  // Its requests per second, for nodes that have just started.
  double rate = 0;
  // When it reached full share without falling back since; epoch if it has not.
  TimePoint full_since;
  // A whole watch period passed at full share without a fault. Never unset.
  bool clean = false;
  // Verdict that the data centre knows.
  MoveStage stage = MoveStage::kRunning;
  std::uint64_t new_runs = 0;
  std::uint64_t new_failures = 0;
  std::uint64_t old_runs = 0;
  std::uint64_t old_failures = 0;

  bool operator==(const DataCenterReport&) const = default;
};

// The join of two reports: the later one's figures, and every fact that either
// of them holds for good. Precondition: same move and data centre. Thread safe.
[[nodiscard]] DataCenterReport JoinReports(const DataCenterReport& a,
                                           const DataCenterReport& b);

// For datagrams and for the log. Names are cut off after 32 bytes. Thread safe.
[[nodiscard]] std::string EncodeVerdict(const Verdict& verdict);
[[nodiscard]] std::string EncodeReport(const DataCenterReport& report);

// kFrameMalformed for anything that the encoders do not write. Thread safe.
[[nodiscard]] Result<Verdict> DecodeVerdict(std::string_view bytes);
[[nodiscard]] Result<DataCenterReport> DecodeReport(std::string_view bytes);

}  // namespace teaselspread

#endif  // TEASELSPREAD_VERDICT_H_
