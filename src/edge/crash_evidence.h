// Which requests may have crashed upstreams: counts the crashes of the upstream
// beside this node against the requests that ran there, and keeps the counts
// that other nodes report.
//
// Everything here belongs to the thread that runs the loop.
#ifndef TEASELSPREAD_SRC_EDGE_CRASH_EVIDENCE_H_
#define TEASELSPREAD_SRC_EDGE_CRASH_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "edge/abandoned_runs.h"
#include "edge/frames.h"
#include "teaselspread/counters.h"
#include "teaselspread/http.h"
#include "teaselspread/suspects.h"

namespace teaselspread {

// How it was noticed that the upstream's process is gone.
enum class CrashSign : std::uint8_t {
  kNotListening,
  kNoConnection,
  kAnotherProcess,
  // Another process has sent a heartbeat from its address.
  kReplaced,
  kCount,
};

// The end of an upstream's process, as this node noticed it.
struct UpstreamEnd {
  CrashSign sign = CrashSign::kNotListening;
  std::string_view instance;
  // It had said that it would leave.
  bool announced = false;
};

enum class SuspectEvent : std::uint8_t {
  // A request that ran when the upstream crashed.
  kBlamed,
  // A row of another node changed the table.
  kReceived,
  // A response ended the suspicion.
  kCleared,
  // It was not sent to the upstream.
  kRefused,
  // A run that had been abandoned when the upstream crashed.
  kAbandoned,
  kCount,
};

// Equal for a request and its retries by callers of the same service. Thread
// safe.
[[nodiscard]] Fingerprint FingerprintOf(const HttpRequest& request,
                                        std::string_view caller_service);

// The same for a request whose body is held apart. Thread safe.
[[nodiscard]] Fingerprint FingerprintOf(const HttpRequest& request,
                                        std::string_view body,
                                        std::string_view caller_service);

// Stable names for logs and metrics. Thread safe.
[[nodiscard]] std::string_view NameOf(CrashSign sign);
[[nodiscard]] std::string_view NameOf(SuspectEvent event);

// Not thread safe.
class CrashEvidence {
 public:
  CrashEvidence();

  // Sets the id that distinguishes crashes counted by this process from those
  // of other nodes and of earlier processes of this node. Call once, before the
  // first run.
  void SetOrigin(std::uint64_t origin) { this->table.origin = origin; }

  // Whether the request must not run, since it has crashed too many upstreams.
  [[nodiscard]] bool Refuses(Fingerprint fingerprint,
                             std::string_view request_id);

  // How long it is still refused; 0 if it is not.
  [[nodiscard]] Duration RefusedFor(Fingerprint fingerprint) const;
  // Whether it is refused, or would be after one more crash.
  [[nodiscard]] bool IsNearLimit(Fingerprint fingerprint) const;
  // No request is suspected, so none needs its fingerprint.
  [[nodiscard]] bool IsEmpty() const { return this->table.requests.empty(); }

  // The connection broke on which the request ran, since `started`. If the
  // upstream turns out to be gone, the request may have crashed it.
  void OnBrokenRun(Fingerprint fingerprint, TimePoint started);

  // Nobody waits for this run any more, but the upstream may still be working
  // on it.
  void OnAbandonedRun(AbandonedRun run);

  // The upstream has responded to a request.
  void OnUpstreamAlive();

  // The upstream's process is gone. It has crashed if connections broke right
  // before, or if it ended unannounced while it may have worked on abandoned
  // runs. Blamed is each request that ran on these connections, each one
  // `in_flight` there, as the connection of the request that crashed it may
  // break last, and each abandoned one. The cause must be among them: its
  // caller would retry it, and it would crash one upstream after the other.
  // True if requests were blamed.
  bool OnUpstreamGone(const UpstreamEnd& end,
                      std::span<const Fingerprint> in_flight);

  // The upstream responded with `status` to the request.
  void OnResponse(Fingerprint fingerprint,
                  std::string_view request_id,
                  int status);

  // Rows for other nodes (RowsToReport and RowsToRelay), as of the last change
  // of the table, or of some minutes ago.
  [[nodiscard]] const std::vector<SuspectNote>& Reported(TimePoint now);
  [[nodiscard]] const std::vector<SuspectNote>& Relayed(TimePoint now);
  // Merges rows that `node` reported.
  void Merge(std::string_view node, const std::vector<SuspectNote>& notes);

  // Drops rows that have expired. Call it a few times a second.
  void Tick(TimePoint now);

  [[nodiscard]] std::size_t CountRows() const;
  // Abandoned runs that can no longer be blamed, as there were too many.
  [[nodiscard]] std::uint64_t CountDroppedRuns() const {
    return this->abandoned.dropped;
  }

  CounterTable<CrashSign> crashes;
  CounterTable<SuspectEvent> events;

 private:
  void RefreshNotes(TimePoint now);
  void LogAbandoned(const std::vector<AbandonedRun>& runs, TimePoint now);

  SuspectTable table;
  bool notes_outdated = false;
  TimePoint notes_from;
  std::vector<SuspectNote> reported;
  std::vector<SuspectNote> relayed;
  // Runs whose connection broke recently.
  std::vector<std::pair<TimePoint, Fingerprint>> broken_runs;
  AbandonedRuns abandoned;
  // Runs that started before this are blamed for that crash or cannot be.
  TimePoint last_crash_at;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_CRASH_EVIDENCE_H_
