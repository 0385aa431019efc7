// Matches a request to its route and chooses the upstream that serves it.
//
// The table holds only what one node knows by itself: the members from gossip,
// its own requests in flight, and the load that responses reported.
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

// The name in a Host header. Thread safe.
[[nodiscard]] std::string_view WithoutPort(std::string_view host);

// The first route of `snapshot` whose method and path prefix match, or null. An
// empty method matches every method; a prefix ends at a path segment.
// The pointer lives as long as the snapshot. Thread safe.
[[nodiscard]] const RouteConfig* MatchRoute(const Snapshot& snapshot,
                                            std::string_view method,
                                            std::string_view path);

// The same among the routes of `host`, which is compared without its port and
// ignoring case; the longest prefix wins. Thread safe.
[[nodiscard]] const RouteConfig* MatchRoute(const Snapshot& snapshot,
                                            std::string_view host,
                                            std::string_view method,
                                            std::string_view path);

// How an upstream's response counts for ejection. Shedding is a sign of load,
// not a fault.
enum class ResponseKind : std::uint8_t {
  kSucceeded,
  kFailed,
  kTimedOut,
  kShed
};

// When a target is ejected because its responses fail.
struct EjectionSettings {
  // Consecutive failures that eject. After an ejection one is enough until the
  // first successful response, so that a target that is still broken gets only
  // one request.
  int consecutive_failures = 5;
  // A time-out counts as this many failures: it costs the caller more, and a
  // target that hangs responds so rarely that the count rises slowly.
  int timeout_weight = 2;
  // Length of the first ejection; doubles with each consecutive one up to
  // max_ejection_time.
  Duration base_ejection_time = std::chrono::seconds(2);
  Duration max_ejection_time = std::chrono::seconds(60);
  // Maximum fraction of a group that may be ejected. A fault behind all targets
  // (a shared store, for example) would otherwise eject all of them.
  double max_ejected_fraction = 0.34;
};

// How responses affect the choice between two targets, apart from ejection.
// Targets are compared with each other, so a common fault changes nothing.
struct ChoiceSettings {
  // Load is multiplied by (1 + failure_weight * failure ratio).
  double failure_weight = 10;
  // Whether load is multiplied by the latency relative to the other target's.
  bool by_latency = true;
};

// An upstream that may get requests, as this node sees it.
struct Target {
  std::string id;
  Address http;
  bool is_own = false;
  int slots = 1;
  TimePoint ready_since;
  Duration warm_up{};
  // Requests of this node in flight there.
  int in_flight = 0;
  // Load of other nodes' requests, from the last response; decays with its age.
  double other_nodes_load = 0;
  TimePoint load_reported_at;
  // Moving averages over about the last ten responses. They decay with age, so
  // that a target that failed or was slow is tried again.
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

// All upstreams in the data centre, as one node sees them.
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
// `data_center`; those that stay keep their load and ejection. Suspect, dead,
// left, warming and leaving ones are removed at once. Invalidates every Target
// pointer. Not thread safe.
void UpdateTargets(UpstreamTable& table,
                   const Snapshot& snapshot,
                   std::span<const Member> members,
                   std::string_view own_id,
                   std::string_view data_center);

// The target for one request: the own upstream if it has a free slot, otherwise
// the better of two random ones by load per warmed-up slot. `excluded` holds
// the ids that were tried already. Fails with kNoUpstream. The pointer is
// valid until the next UpdateTargets. Not thread safe.
[[nodiscard]] Result<const Target*> ChooseUpstream(
    const UpstreamTable& table,
    std::string_view service,
    std::string_view version,
    std::span<const std::string> excluded,
    TimePoint now,
    Rng& rng);

// Records a request sent to the target `id`. Unknown ids are ignored. Not
// thread safe.
void OnRequestSent(UpstreamTable& table,
                   std::string_view service,
                   std::string_view version,
                   std::string_view id);

// Records the response to one earlier OnRequestSent. `load` is the number of
// running and waiting requests at that gatekeeper that the response reported,
// or -1 if none. `response_time` is the time since OnRequestSent; omit it if it
// is no measure of the target. Not thread safe.
void OnResponse(UpstreamTable& table,
                std::string_view service,
                std::string_view version,
                std::string_view id,
                ResponseKind kind,
                int load,
                TimePoint now,
                Duration response_time = Duration{});

// Weight of a target that warms up, as a fraction of its full weight, 0.1..1.
// Thread safe.
[[nodiscard]] double WarmUpWeight(const Target& target, TimePoint now);

// Whether the target is ejected because its responses failed. Thread safe.
[[nodiscard]] bool IsEjected(const Target& target, TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_ROUTING_H_
