// Moves of traffic from an old upstream version to a new one.
//
// The share of the new version is the minimum of three limits: a schedule that
// reaches full share in time, the evidence of good responses so far, and the
// ready slots. A move ends with a verdict (verdict.h) that spreads as a rumour
// and is kept in the log. Nothing here reads a clock or does I/O.
//
// A restarted node needs no state of its own: its share follows from the merged
// evidence and the clock, the time at full share from its data centre's report,
// and the end of a move from the verdicts of its peers or of the log.
#ifndef TEASELSPREAD_MOVES_H_
#define TEASELSPREAD_MOVES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "teaselspread/evidence.h"
#include "teaselspread/judge.h"
#include "teaselspread/snapshot.h"
#include "teaselspread/types.h"
#include "teaselspread/verdict.h"

namespace teaselspread {

struct MovesSettings {
  JudgeSettings judge;
  // Minimum share that the new version starts with.
  double min_first_share = 0.01;
  // Maximum, even with little traffic, so that the old version gets requests to
  // compare with at the same time.
  double max_first_share = 0.5;
  // Requests that the new version should get in the first stage.
  double first_requests = 8;
  // Length of the ramp, as a fraction of the time from start to `by` minus the
  // watch period.
  double ramp_fraction = 0.75;
  // Maximum number of good responses that a stage requires.
  double max_stage_responses = 150;
  // Good responses that a short stage requires as well, if that many are
  // expected within...
  double min_stage_responses = 30;
  // ... this time.
  Duration min_stage_window = std::chrono::seconds(5);
  // Fraction of a stage's expected responses that is required to go on.
  double stage_fraction = 0.5;
  // Fraction of the new version's slots that may be in use.
  double usable_slot_fraction = 0.85;
  // A data centre counts as silent after this time without a message from it.
  Duration silence_timeout = std::chrono::seconds(10);
  // Interval for resending an unchanged report.
  Duration report_interval = std::chrono::seconds(3);
  // The same after the move has ended.
  Duration ended_report_interval = std::chrono::seconds(30);
  // Verdicts are appended to the log at this interval until seen there, ...
  Duration append_interval = std::chrono::seconds(5);
  // ... and again before the log's retention drops them.
  Duration reappend_after = std::chrono::hours(8);
};

// What the node knows about the deployment besides the evidence.
struct MoveCapacity {
  // Slots ready in the own data centre, by service and version.
  std::map<std::pair<std::string, std::string>, int> ready_slots;
  // When a message of each other data centre last arrived.
  std::map<std::string, TimePoint> last_contact;
};

// What limits the share of a running move.
enum class ShareLimit : std::uint8_t {
  kNone,
  kNotStarted,
  kEarlierMove,
  kSchedule,
  kEvidence,
  kCapacity,
  kSuspicion,
  kHold,
  kCount,
};

// Stable names for the account. Thread safe.
[[nodiscard]] std::string_view NameOf(ShareLimit limit);

// Smoothed request rate and mean time in a slot.
struct Demand {
  bool known = false;
  // The rate comes from the data centre's report after a restart.
  bool from_report = false;
  TimePoint first_seen;
  TimePoint last_seen;
  std::uint64_t runs = 0;
  double rate = 0;
  // Mean time in a slot, in seconds.
  double mean_slot_seconds = 0;
};

struct MoveState {
  // From the snapshot; `from` and `to` stay as first seen, because evidence and
  // verdicts under this id are about those two versions.
  MoveConfig config;
  bool versions_changed = false;
  MoveStage stage = MoveStage::kRunning;
  double share = 0;
  ShareLimit limit = ShareLimit::kNotStarted;
  // Highest share that the evidence has allowed so far.
  double evidence_share = 0;
  Demand demand;
  JudgeState judge;
  Judgement judgement;
  // Data centres that were silent recently, with the time until which their
  // rows are not compared.
  std::map<std::string, TimePoint> catching_up_until;
  // When full share was reached; epoch if it is not.
  TimePoint full_since;
  TimePoint reported_at;
  TimePoint verdict_spread_at;
  TimePoint appended_at;
  // When the verdict was seen in the log; epoch if it was not.
  TimePoint logged_at;
};

// Not thread safe: owned by one loop. Set `node` and `data_center` first.
struct MovesState {
  std::string node;
  std::string data_center;
  MovesSettings settings;
  std::map<std::string, MoveState> moves;
  std::map<std::string, Verdict> verdicts;
  // By move and data centre.
  std::map<std::pair<std::string, std::string>, DataCenterReport> reports;
};

enum class MoveActionKind : std::uint8_t {
  // Send the verdict to peers, inside the data centre and across.
  kSpreadVerdict,
  // Append the verdict to the log. Duplicates are harmless.
  kAppendVerdict,
  // Send the report to peers, inside the data centre and across.
  kSpreadReport,
};

struct MoveAction {
  MoveActionKind kind = MoveActionKind::kSpreadReport;
  Verdict verdict;
  DataCenterReport report;
};

// One step, about once a second: judges the moves by the snapshot and the
// evidence, sets the shares, and returns what to send. Precondition: `now` does
// not go back. Not thread safe.
[[nodiscard]] std::vector<MoveAction> StepMoves(MovesState& state,
                                                const Snapshot& snapshot,
                                                const EvidenceTable& evidence,
                                                const MoveCapacity& capacity,
                                                TimePoint now);

// Merges a verdict from a peer or from the log; it takes effect at once.
// Returns true if it changed anything: then forward it. Not thread safe.
bool MergeVerdict(MovesState& state, const Verdict& verdict);

// Merges a verdict read from the log, and stops appending the own verdict if
// its stage is not higher. Returns true if anything changed. Not thread safe.
bool OnLoggedVerdict(MovesState& state, const Verdict& verdict, TimePoint now);

// Merges a report from a peer. Returns true if it changed anything. Not thread
// safe.
bool MergeReport(MovesState& state, const DataCenterReport& report);

// Moves of the snapshot that have not ended; evidence is kept for these only.
// Not thread safe.
[[nodiscard]] std::set<std::string> LiveMoves(const MovesState& state,
                                              const Snapshot& snapshot);

// The running move of the service, for which its responses count; nullptr if
// there is none. Valid as long as the snapshot. Not thread safe.
[[nodiscard]] const MoveConfig* MoveOf(const MovesState& state,
                                       const Snapshot& snapshot,
                                       std::string_view service);

// Fraction of the service's requests that `version` gets now, 0..1. The
// fractions of all versions add up to 1. Not thread safe.
[[nodiscard]] double ShareOf(const MovesState& state,
                             const Snapshot& snapshot,
                             std::string_view service,
                             std::string_view version);

// The version for the next request; empty for a service that the snapshot does
// not have. Not thread safe.
[[nodiscard]] std::string PickVersion(const MovesState& state,
                                      const Snapshot& snapshot,
                                      std::string_view service,
                                      Rng& rng);

}  // namespace teaselspread

#endif  // TEASELSPREAD_MOVES_H_
