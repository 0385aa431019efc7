// Drives the moves of a node: evidence in, shares and verdicts out.
#ifndef TEASELSPREAD_NODE_MOVES_SERVICE_H_
#define TEASELSPREAD_NODE_MOVES_SERVICE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "node/messages.h"
#include "teaselspread/error.h"
#include "teaselspread/evidence.h"
#include "teaselspread/kernel.h"
#include "teaselspread/move_account.h"
#include "teaselspread/moves.h"
#include "teaselspread/snapshot.h"

namespace teaselspread {

// Kind of the log records that carry verdicts.
inline constexpr std::string_view kVerdictRecord = "verdict";

// What was last said of one verdict or report to the other data centres.
struct NewsSent {
  std::uint64_t facts = 0;
  TimePoint at;
};

// A verdict that was read in the log, and when.
struct LoggedVerdict {
  MoveStage stage = MoveStage::kRunning;
  TimePoint at;
};

// Callers' threads pick versions and record answers while the kernel's thread
// steps the moves: everything below `gate` is guarded by it.
struct MovesService {
  std::string node;
  std::uint64_t incarnation = 0;
  std::string data_center;
  // Readers speak for the data centre and append to the log. Used on the
  // kernel's thread only.
  bool reader = false;
  Rng rng;
  // By move; kernel's thread only.
  std::map<std::string, LoggedVerdict> logged;

  mutable std::mutex gate;
  SnapshotPtr snapshot;
  MovesState state;
  EvidenceTable evidence;
  MoveCapacity capacity;
  // Revision of `evidence` up to which rows have gone to other data centres.
  std::uint64_t news_revision = 0;
  // Revision of `evidence` up to which own rows have been spread.
  std::uint64_t spread_revision = 0;
  // By move, and by move and data centre.
  std::map<std::string, NewsSent> verdicts_sent;
  std::map<std::string, NewsSent> reports_sent;
  TimePoint next_news;
};

// Registers the service. Precondition: `service` outlives `kernel`.
void StartMovesService(Kernel& kernel, MovesService& service);

// The version that should run the next request of `from`. Thread safe.
[[nodiscard]] std::string PickVersion(MovesService& service,
                                      const Snapshot& snapshot,
                                      const std::string& of,
                                      Rng& rng);

// Versions of the service that may serve when `picked` has no upstream here:
// never the new version of a move that was taken back. Thread safe.
[[nodiscard]] std::vector<std::string> OtherVersions(MovesService& service,
                                                     const Snapshot& snapshot,
                                                     const std::string& of,
                                                     const std::string& picked);

// Counts one answer of the upstream beside this node. Thread safe.
void RecordAnswer(MovesService& service,
                  const Snapshot& snapshot,
                  const RouteConfig& route,
                  const std::string& version,
                  const ResponseSample& sample);

// The upstream beside this node became ready, or vanished without leaving
// after `lifetime`. Thread safe.
void RecordUpstreamStart(MovesService& service,
                         const Announcement& announcement);
void RecordUpstreamExit(MovesService& service,
                        const Announcement& announcement,
                        Duration lifetime);

// Slots ready in the data centre, by service and version. Thread safe.
void SetReadySlots(
    MovesService& service,
    std::map<std::pair<std::string, std::string>, int> ready_slots);

// What is known of all moves; empty before the first configuration. Thread
// safe.
[[nodiscard]] std::vector<AccountRow> AccountOf(MovesService& service,
                                                TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_MOVES_SERVICE_H_
