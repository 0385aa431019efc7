// Chooses the version of a service for each request and runs the trials of the
// moves that operators ordered.
//
// Used only on the thread that runs the event loop.
#ifndef TEASELSPREAD_SRC_EDGE_VERSION_CHOICE_H_
#define TEASELSPREAD_SRC_EDGE_VERSION_CHOICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "edge/frames.h"
#include "teaselspread/edge.h"
#include "teaselspread/types.h"
#include "teaselspread/version_trial.h"
#include "teaselspread/weighted_turns.h"

namespace teaselspread {

// One ready upstream, beside any node.
struct ReadyUpstream {
  std::string service;
  std::string version;
  std::string instance;
  std::uint32_t slots = 0;
  // Requests that run there or wait for it.
  std::uint32_t load = 0;
};

// The result of `Pick`.
struct PickedVersion {
  // Empty when no known version is chosen.
  std::string version;
  // Upstream instances that may get the request; empty: any of the version.
  std::vector<std::string> instances;
  // Upstreams whose version is not known yet may get it, too.
  bool allow_unknown = false;
  // If none of the above can take the request: another version that may get it
  // (empty: none), and whether upstreams of unknown version may.
  std::string fallback;
  bool fallback_unknown = false;
};

// How an upstream matches the picked version.
enum class VersionFit : std::uint8_t { kPreferred, kFallback, kNone };

// Thread safe.
[[nodiscard]] VersionFit FitOf(const PickedVersion& picked,
                               std::string_view version,
                               std::string_view instance);

// Not thread safe.
class VersionChoice {
 public:
  // Sets a value that differs after each restart of the node. Call once, before
  // the first order.
  void SetIncarnation(std::uint64_t own) { this->incarnation = own; }

  // Replaces the list of ready upstreams.
  void SetReady(const std::vector<ReadyUpstream>& ready);

  // The version for the next request.
  [[nodiscard]] PickedVersion Pick(const std::string& service);

  // An order read from the store. A first order, or one to another version than
  // before, begins a trial; one already known from a peer is only confirmed.
  void OnOrder(const MoveOrder& order);
  // The state of a move as recorded in the store; a verdict ends its trial.
  void OnReport(const MoveReport& report);
  // All reports in the store have been passed to OnReport.
  void OnReportsRead() { this->reports_read = true; }
  // Whether a move gets no requests until the reports have been read.
  [[nodiscard]] bool AwaitsReports() const;
  void OnPeerStatuses(const std::string& node,
                      const std::vector<TrialStatus>& statuses);
  void ForgetNode(const std::string& node);

  void OnResponse(std::string_view service,
                  std::string_view version,
                  const TrialResponse& response);

  // Advances the trials; `nodes` are the other nodes that are connected. Judges
  // them if `evaluates`.
  void Step(const std::vector<std::string>& nodes, bool evaluates = true);

  // For nodes that evaluate moves, and for the others.
  [[nodiscard]] std::vector<TrialStatus> Statuses() const;
  [[nodiscard]] std::vector<TrialStatus> Summaries(bool evaluates) const;
  [[nodiscard]] const std::map<std::string, VersionTrial>& Trials() const {
    return this->trials;
  }
  // Notes that the store holds `progress`, if that is this node's own view.
  void MarkReported(const std::string& service, MoveProgress progress);

 private:
  struct Version {
    std::uint32_t slots = 0;
    std::uint32_t load = 0;
    std::vector<std::string> instances;
  };
  using Versions = std::map<std::string, Version, std::less<>>;

  // What a peer last reported of its moves.
  struct PeerReport {
    std::vector<TrialStatus> statuses;
    TimePoint received_at;
  };

  // Whether this node read the order in the store and does not know yet whether
  // the move has ended. A node that restarts after a rollback would otherwise
  // send requests to the bad version again.
  [[nodiscard]] bool AwaitsReports(const VersionTrial& trial) const;
  void BeginTrial(const MoveOrder& order, bool from_peer);
  // Merges what peers reported before the trial began: they repeat it only when
  // it changes.
  void MergeEarlierReports(VersionTrial& trial) const;
  // Whether a peer's status names an order that this node has not read.
  [[nodiscard]] bool IsNewOrder(const TrialStatus& status) const;
  [[nodiscard]] static std::string MostReady(const Versions& versions,
                                             std::string_view but);
  // Whether unknown versions have at least as many slots as `version`.
  [[nodiscard]] static bool MostlyUnknown(const Versions& versions,
                                          std::string_view version);
  [[nodiscard]] static PickedVersion PickWithoutOrder(const Versions& versions);
  [[nodiscard]] static PickedVersion PickAfterMove(const std::string& to,
                                                   const Versions& versions);
  // The choice while no old version is known to be ready.
  [[nodiscard]] static PickedVersion PickWithoutOld(const VersionTrial& trial,
                                                    const Versions& versions);
  [[nodiscard]] PickedVersion PickByShare(const VersionTrial& trial,
                                          const std::string& old_version,
                                          const Version& new_version);
  [[nodiscard]] PickedVersion PickInTrial(const VersionTrial& trial,
                                          const Versions& versions);

  std::map<std::string, Versions, std::less<>> ready;
  std::map<std::string, VersionTrial> trials;
  // Weighted turns between the old and the new version, by service.
  std::map<std::string, WeightedRoundRobin> turns;
  std::uint64_t incarnation = 0;
  std::map<std::string, PeerReport> peer_reports;
  bool reports_read = false;
  // Latest report of the store by service, also before the order is read.
  std::map<std::string, MoveReport> reports;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_VERSION_CHOICE_H_
