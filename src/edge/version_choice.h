// Which version of a service the next request goes to, and what becomes of the
// moves that operators ordered.
//
// Everything here belongs to the thread that runs the loop.
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

// One upstream that is ready, somewhere.
struct ReadyUpstream {
  std::string service;
  std::string version;
  std::string instance;
  std::uint32_t slots = 0;
  // Requests there and waiting for it.
  std::uint32_t load = 0;
};

// What `Pick` chose.
struct PickedVersion {
  // Empty when no known version is chosen.
  std::string version;
  // Processes that may get the request; empty means any of the version.
  std::vector<std::string> instances;
  // Upstreams whose version is not known yet may get it too.
  bool allow_unknown = false;
  // When all of the above are used up: a version that may get the request,
  // empty means none, and whether upstreams of unknown version may.
  std::string fallback;
  bool fallback_unknown = false;
};

// How well an upstream fits what was chosen.
enum class VersionFit : std::uint8_t { kPreferred, kFallback, kNone };

// Thread safe.
[[nodiscard]] VersionFit FitOf(const PickedVersion& picked,
                               std::string_view version,
                               std::string_view instance);

// Not thread safe.
class VersionChoice {
 public:
  // Tells this life of the node from others. Call once, before the first order.
  void SetIncarnation(std::uint64_t own) { this->incarnation = own; }

  // What is ready now.
  void SetReady(const std::vector<ReadyUpstream>& ready);

  // The version for the next request.
  [[nodiscard]] PickedVersion Pick(const std::string& service);

  // A first order, or one to another version than before, begins a trial. One
  // that another node has told already only confirms it.
  void OnOrder(const MoveOrder& order);
  // What the store says of a move; ends a trial that it names.
  void OnReport(const MoveReport& report);
  void OnPeerStatuses(const std::string& node,
                      const std::vector<TrialStatus>& notes);
  void ForgetNode(const std::string& node);

  void OnResponse(std::string_view service,
                  std::string_view version,
                  const TrialResponse& answer);

  // Judges; `nodes` are the others in touch.
  void Step(const std::vector<std::string>& nodes);

  [[nodiscard]] std::vector<TrialStatus> Statuses() const;
  [[nodiscard]] const std::map<std::string, VersionTrial>& Trials() const {
    return this->trials;
  }
  // The store holds what this node believes of the move.
  void MarkReported(const std::string& service, MoveProgress progress);

 private:
  struct Version {
    std::uint32_t slots = 0;
    std::uint32_t load = 0;
    std::vector<std::string> instances;
  };
  using Versions = std::map<std::string, Version, std::less<>>;

  void BeginTrial(const MoveOrder& order, bool from_peer);
  // Whether a peer's note names an order that this node has not read.
  [[nodiscard]] bool IsNewOrder(const TrialStatus& note) const;
  [[nodiscard]] static std::string MostReady(const Versions& versions,
                                             std::string_view but);
  // Whether the slots of unknown version are as many as those of `version`.
  [[nodiscard]] static bool MostlyUnknown(const Versions& versions,
                                          std::string_view version);
  [[nodiscard]] static PickedVersion PickWithoutOrder(const Versions& versions);
  [[nodiscard]] static PickedVersion PickAfterMove(const std::string& to,
                                                   const Versions& versions);
  // While no old version is known to be ready.
  [[nodiscard]] static PickedVersion PickWithoutOld(const VersionTrial& trial,
                                                    const Versions& versions);
  [[nodiscard]] PickedVersion PickByShare(const VersionTrial& trial,
                                          const std::string& old,
                                          const Version& fresh);
  [[nodiscard]] PickedVersion PickInTrial(const VersionTrial& trial,
                                          const Versions& versions);

  std::map<std::string, Versions, std::less<>> ready;
  std::map<std::string, VersionTrial> trials;
  // Turns between the old and the new version, by service.
  std::map<std::string, WeightedTurns> turns;
  std::uint64_t incarnation = 0;
  // What the store said before an order was read.
  std::map<std::string, MoveReport> reports;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_VERSION_CHOICE_H_
