// Which route a request belongs to and which upstream serves it.
//
// The table holds only what one node knows by itself: the members that it was
// told of, its own requests in flight, and the load that answers carried back.
#ifndef TEASELSPREAD_ROUTING_H_
#define TEASELSPREAD_ROUTING_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaselspread/error.h"
#include "teaselspread/member.h"
#include "teaselspread/snapshot.h"
#include "teaselspread/types.h"

namespace teaselspread {

// The first route of `snapshot` whose method and path prefix fit, or null. An
// empty method in a route fits every method; a prefix ends at a path segment.
// The pointer lives as long as the snapshot. Thread safe.
[[nodiscard]] const RouteConfig* MatchRoute(const Snapshot& snapshot,
                                            std::string_view method,
                                            std::string_view path);

// The same among the routes of `host`, which is compared without its port and
// without regard to case; the longest prefix wins. Thread safe.
[[nodiscard]] const RouteConfig* MatchRoute(const Snapshot& snapshot,
                                            std::string_view host,
                                            std::string_view method,
                                            std::string_view path);

// How an upstream's answer counts for ejection. Shedding is load, not a fault.
enum class ResponseKind : std::uint8_t {
  kSucceeded,
  kFailed,
  kTimedOut,
  kShed
};

// When a target is taken out because its answers fail.
struct EjectionSettings {
  // Failures in a row that eject. One is enough after a return, until the
  // first good answer: a target that is still broken gets one request only.
  int consecutive_failures = 5;
  // A timeout counts for this many failures: it cost its caller more, and a
  // target that hangs answers so few that the row is long in coming.
  int timeout_weight = 2;
  // First time out; doubles with each ejection in a row up to the longest.
  Duration base_ejection_time = std::chrono::seconds(2);
  Duration max_ejection_time = std::chrono::seconds(60);
  // Largest share of a group that may be out. A fault of everything behind the
  // targets (a shared store, say) would otherwise eject all of them.
  double max_ejected_fraction = 0.34;
};

// How answers change the choice between two targets, short of ejection. Both
// compare targets with each other, so a fault that all share changes nothing.
struct ChoiceSettings {
  // Load counts (1 + this * share of failures) times.
  double failure_weight = 10;
  // Load counts in proportion to the time that answers take.
  bool by_latency = true;
};

// One upstream that may get work, as this node sees it.
struct Target {
  std::string id;
  Address http;
  bool is_own = false;
  int slots = 1;
  TimePoint ready_since;
  Duration warm_up{};
  // This node's requests that are under way there.
  int in_flight = 0;
  // Load of other nodes' requests, from the last answer; fades with its age.
  double other_nodes_load = 0;
  TimePoint load_reported_at;
  // Moving averages over the last ten or so answers; they fade with age, so
  // that a target which was bad is tried again.
  double failure_ratio = 0;
  double latency_us = 0;
  TimePoint last_response_at;
  int consecutive_failures = 0;
  int consecutive_ejections = 0;
  TimePoint ejected_until;
};

// The targets of one version of one service.
struct TargetGroup {
  // Sorted by id.
  std::vector<Target> targets;
  // Index of the upstream beside this node, or -1.
  int own_index = -1;
};

// What one node knows of all upstreams in its data centre.
struct UpstreamTable {
  // By service, then by version.
  std::map<std::string,
           std::map<std::string, TargetGroup, std::less<>>,
           std::less<>>
      services;
  EjectionSettings ejection;
  ChoiceSettings choice;
  // Exact count of running and waiting requests at this node's gatekeeper.
  int own_load = 0;
};

// Replaces the targets by the ready upstreams of the alive members of
// `data_center`; load and ejection of those that stay are kept. Anything
// suspect, dead, left, warming or leaving is left out at once. Invalidates
// every Target pointer. Not thread safe.
void UpdateTargets(UpstreamTable& table,
                   const Snapshot& snapshot,
                   std::span<const Member> members,
                   std::string_view own_id,
                   std::string_view data_center);

// The target for one request: the own upstream if it has a free slot, else the
// better of two at random by load for each warmed-up slot. `excluded` holds
// the ids that were tried already. Fails with kNoUpstream. The pointer is
// valid until the next UpdateTargets. Not thread safe.
[[nodiscard]] Result<const Target*> ChooseUpstream(
    const UpstreamTable& table,
    std::string_view service,
    std::string_view version,
    std::span<const std::string> excluded,
    TimePoint now,
    Rng& rng);

// A request was sent to the target `id`. Unknown ids are ignored. Not thread
// safe.
void OnRequestSent(UpstreamTable& table,
                   std::string_view service,
                   std::string_view version,
                   std::string_view id);

// The answer of one earlier OnSent. `load` is what the answer carried back:
// running and waiting requests at that gatekeeper, or -1 if it carried none.
// `took` is the time from OnSent; leave it out if it says nothing of the
// target. Not thread safe.
void OnResponse(UpstreamTable& table,
                std::string_view service,
                std::string_view version,
                std::string_view id,
                ResponseKind kind,
                int load,
                TimePoint now,
                Duration response_time = Duration{});

// Share of full weight that a target has while it warms up, 0.1..1. Thread
// safe.
[[nodiscard]] double WarmUpWeight(const Target& target, TimePoint now);

// Whether the target is out because its answers failed. Thread safe.
[[nodiscard]] bool IsEjected(const Target& target, TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_ROUTING_H_
