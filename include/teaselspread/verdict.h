// Verdicts on moves and progress reports of the data centres. Both merge by a
// lattice join, so late, duplicated and reordered messages do no harm.
#ifndef TEASELSPREAD_VERDICT_H_
#define TEASELSPREAD_VERDICT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "teaselspread/error.h"
#include "teaselspread/types.h"

namespace teaselspread {

// Ordered: a verdict is only replaced by one with a higher stage.
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
  // Where and on which route the fault was seen; "*" for all routes together.
  std::string data_center;
  std::string route;
  // The compared ratios of failed, slow or shed responses.
  double new_ratio = 0;
  double old_ratio = 0;
  std::uint64_t new_runs = 0;
  std::uint64_t old_runs = 0;

  bool operator==(const Verdict&) const = default;
};

// The join of two verdicts on one move: the one with the higher stage or, if
// equal, the earlier one, so that every order of arrival gives the same value.
// Precondition: a.move == b.move. Thread safe.
[[nodiscard]] const Verdict& JoinVerdicts(const Verdict& a, const Verdict& b);

// Progress of a move in one data centre.
struct DataCenterReport {
  std::string move;
  std::string data_center;
  TimePoint reported_at;
  // Fraction of its requests that go to the new version, 0..1.
  double share = 0;
  // Its requests per second, used by nodes that have just started.
  double rate = 0;
  // Start of the present time at full share; epoch if not at full share.
  TimePoint full_since;
  // A whole watch period passed at full share without a fault. Never reset.
  bool clean = false;
  // Stage of the verdict that the data centre knows.
  MoveStage stage = MoveStage::kRunning;
  std::uint64_t new_runs = 0;
  std::uint64_t new_failures = 0;
  std::uint64_t old_runs = 0;
  std::uint64_t old_failures = 0;

  bool operator==(const DataCenterReport&) const = default;
};

// The join of two reports: the values of the later one, but the higher `stage`
// and counters and `clean` if set in either. Precondition: same move and data
// centre. Thread safe.
[[nodiscard]] DataCenterReport JoinReports(const DataCenterReport& a,
                                           const DataCenterReport& b);

// For datagrams and for the log. Names are truncated to 32 bytes. Thread safe.
[[nodiscard]] std::string EncodeVerdict(const Verdict& verdict);
[[nodiscard]] std::string EncodeReport(const DataCenterReport& report);

// Fail with kFrameMalformed on malformed input. Thread safe.
[[nodiscard]] Result<Verdict> DecodeVerdict(std::string_view bytes);
[[nodiscard]] Result<DataCenterReport> DecodeReport(std::string_view bytes);

}  // namespace teaselspread

#endif  // TEASELSPREAD_VERDICT_H_
