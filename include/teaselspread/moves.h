// Moves of traffic from an old upstream version to a new one.
//
// The share of the new version is the least of three: a schedule that reaches
// full share in time, the evidence of good answers so far, and the slots that
// are ready. A move ends with a verdict (verdict.h) that spreads as a rumour
// and is kept in the log. Nothing here reads a clock or talks to anyone.
//
// A restarted node needs nothing of its own: its share follows from the merged
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
  // Least part of the requests that the new version begins with.
  double min_first_share = 0.01;
  // Most, however little traffic there is: the rest shows what the old version
  // does at the same time.
  double max_first_share = 0.5;
  // Requests that the first stage is meant to give to the new version.
  double first_requests = 8;
  // Part of the time between start and `by` less the watch that the ramp takes.
  double ramp_fraction = 0.75;
  // Good answers that a stage needs at most.
  double max_stage_responses = 150;
  // Good answers that a stage needs even in a hurry, if they come within...
  double min_stage_responses = 30;
  // ... this time.
  Duration min_stage_window = std::chrono::seconds(5);
  // Part of a stage's expected answers that must be there to go on.
  double stage_fraction = 0.5;
  // Part of the new version's slots that may be in use.
  double usable_slot_fraction = 0.85;
  // A data centre is unheard when nothing came from it for so long.
  Duration silence_timeout = std::chrono::seconds(10);
  // How often an unchanged report is sent again.
  Duration report_interval = std::chrono::seconds(3);
  // The same when the move has ended.
  Duration ended_report_interval = std::chrono::seconds(30);
  // Verdicts are written to the log again this often until seen there, ...
  Duration append_interval = std::chrono::seconds(5);
  // ... and again before the log's retention drops them.
  Duration reappend_after = std::chrono::hours(8);
};

// What the node knows of the deployment beside its evidence.
struct MoveCapacity {
  // Slots ready in the own data centre, by service and version.
  std::map<std::pair<std::string, std::string>, int> ready_slots;
  // When each other data centre was last heard.
  std::map<std::string, TimePoint> last_contact;
};

// What holds the share of a running move down.
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

// Requests per second and the slots that they fill, smoothed.
struct Demand {
  bool known = false;
  // Taken from the data centre's report after a restart.
  bool from_report = false;
  TimePoint first_seen;
  TimePoint last_seen;
  std::uint64_t runs = 0;
  double rate = 0;
  // Mean time in a slot, in seconds.
  double mean_slot_seconds = 0;
};

struct MoveState {
  // From the snapshot; `from` and `to` stay as they were first seen, because
  // evidence and verdicts under this id speak of those two.
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
  // Data centres that were silent not long ago.
  std::map<std::string, TimePoint> catching_up_until;
  // Full share reached at, epoch if not.
  TimePoint full_since;
  TimePoint reported_at;
  TimePoint verdict_spread_at;
  TimePoint appended_at;
  // When the verdict was seen in the log, epoch if it was not.
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
  // Append the verdict to the log. Doubles do no harm.
  kAppendVerdict,
  // Send the report to peers, inside the data centre and across.
  kSpreadReport,
};

struct MoveAction {
  MoveActionKind kind = MoveActionKind::kSpreadReport;
  Verdict verdict;
  DataCenterReport report;
};

// One step, about once a second: takes in the snapshot and the evidence, sets
// shares, judges, and returns what to send. Precondition: `now` does not go
// back. Not thread safe.
[[nodiscard]] std::vector<MoveAction> StepMoves(MovesState& state,
                                                const Snapshot& snapshot,
                                                const EvidenceTable& evidence,
                                                const MoveCapacity& capacity,
                                                TimePoint now);

// A verdict from a peer or from the log. True when it changed anything: then
// spread it on. Takes effect at once. Not thread safe.
bool MergeVerdict(MovesState& state, const Verdict& verdict);

// A verdict was read in the log: merges it, and stops appending one that is no
// higher. Not thread safe.
bool OnLoggedVerdict(MovesState& state, const Verdict& verdict, TimePoint now);

// A report from a peer. True when it changed anything. Not thread safe.
bool MergeReport(MovesState& state, const DataCenterReport& report);

// Moves of the snapshot that have not ended: evidence is kept for these only.
// Not thread safe.
[[nodiscard]] std::set<std::string> LiveMoves(const MovesState& state,
                                              const Snapshot& snapshot);

// The move for which an answer of this service and version counts; nullptr when
// there is none. Valid until the snapshot goes. Not thread safe.
[[nodiscard]] const MoveConfig* MoveOf(const MovesState& state,
                                       const Snapshot& snapshot,
                                       std::string_view service);

// Part of the service's requests that `version` gets now, 0..1. The parts of
// all versions add up to 1. Not thread safe.
[[nodiscard]] double ShareOf(const MovesState& state,
                             const Snapshot& snapshot,
                             std::string_view service,
                             std::string_view version);

// The version that should run the next request; empty for a service that the
// snapshot does not have. Not thread safe.
[[nodiscard]] std::string PickVersion(const MovesState& state,
                                      const Snapshot& snapshot,
                                      std::string_view service,
                                      Rng& rng);

}  // namespace teaselspread

#endif  // TEASELSPREAD_MOVES_H_
