// The typed and validated configuration of one data centre.
#ifndef TEASELSPREAD_SNAPSHOT_H_
#define TEASELSPREAD_SNAPSHOT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "teaselspread/types.h"

namespace teaselspread {

// Order in which waiting requests are served: lower values run first.
enum class Priority : std::uint8_t { kInternal, kNormal, kBackground };

// "internal", "normal" or "background". Thread safe.
[[nodiscard]] std::string_view NameOf(Priority priority);

struct ServiceConfig {
  std::string name;
  // Version that serves until a move of the service changes it.
  std::string version;
  // Path of the upstreams' health check; empty if there is none.
  std::string health_path;
  // Requests that may wait at one gatekeeper.
  int queue_limit = 64;
  // Connections that one target accepts.
  int connections = 128;
  // Time over which a cold upstream's traffic share ramps up to its full share.
  Duration warm_up = std::chrono::seconds(5);
  // Requests a second that an upstream bears while it is slow after its start;
  // 0 if that is not limited.
  double slow_start_per_second = 0;
};

// One service of a route that is split between services.
struct WeightedService {
  std::string service;
  // Share of the route's requests, relative to the other services.
  std::uint32_t weight = 0;
};

struct RouteConfig {
  std::string name;
  std::string service;
  // Replaces `service` if the route is split; empty otherwise.
  std::vector<WeightedService> split;
  // Host that the route matches, in lower case; empty matches every host.
  std::string host;
  // Attempts per request: upstreams to which one request may be sent.
  int max_attempts = 3;
  std::string method;
  std::string path_prefix;
  Priority priority = Priority::kNormal;
  // Requests need no API key although the configuration has client accounts.
  bool allow_anonymous = false;
  // Non-idempotent requests need an Idempotency-Key and run at most once.
  bool idempotent = true;
  Duration deadline = std::chrono::seconds(2);
  // Soft deadline: a response within this time has the highest value for its
  // caller. Zero if the operators configure none.
  Duration aim{};
  std::size_t max_body_bytes = 1U << 20;
};

// Rate limit of a client account, over all nodes together.
struct AccountLimit {
  // Requests a second; 0 if there is no limit.
  double per_second = 0;
  // Requests that may run at once beyond that rate.
  double burst = 0;
};

// A client account. Its API keys are in Snapshot::account_by_key.
struct AccountConfig {
  std::string name;
  // Goes before the priority of the route; none if the route's alone counts.
  std::optional<Priority> priority;
  AccountLimit limit;
};

// Bounds beyond which the new version counts as failing, compared with the old
// version at the same time on the same route.
struct MoveBounds {
  // Increase of the failure ratio, 0..1.
  double extra_failures = 0.02;
  // Factor on latency.
  double slowdown = 2.0;
};

struct MoveConfig {
  std::string id;
  std::string service;
  std::string from;
  std::string to;
  TimePoint start;
  TimePoint by;
  // Time at full share without a failure before the move counts as done.
  Duration watch = std::chrono::seconds(30);
  MoveBounds bounds;
  // Set by the operator to roll back the move.
  bool withdrawn = false;
};

struct LimitsConfig {
  std::size_t max_header_bytes = 4096;
  std::size_t max_body_bytes = 64U << 20;
  // Total bytes of bodies that one node holds at a time.
  std::size_t body_memory_bytes = 256U << 20;
  // Retries allowed as a fraction of recent first attempts.
  double retry_budget = 0.1;
  // Maximum time without a byte on a connection in use.
  Duration silence = std::chrono::seconds(5);
  // Time within which a caller's request headers must be complete.
  Duration header_timeout = std::chrono::seconds(3);
  // Maximum idle time of a caller's connection between requests.
  Duration idle_timeout = std::chrono::seconds(15);
};

// Immutable once created. A request uses the same snapshot until it ends.
struct Snapshot
    : boost::intrusive_ref_counter<Snapshot, boost::thread_safe_counter> {
  ConfigVersion version = 0;
  std::string deployment;
  std::string data_center;
  // Every data centre of the deployment, sorted.
  std::vector<std::string> data_centers;
  std::map<std::string, ServiceConfig> services;
  // Longest path_prefix first, so that the first match is the best one.
  std::vector<RouteConfig> routes;
  std::map<std::string, MoveConfig> moves;
  // Whether requests need an API key, unless their route says otherwise. Also
  // true if the list of accounts is empty: then no key is valid.
  bool has_accounts = false;
  std::map<std::string, AccountConfig, std::less<>> accounts;
  // Name of the account that holds each API key. Never to be logged.
  std::map<std::string, std::string, std::less<>> account_by_key;
  LimitsConfig limits;
};

using SnapshotPtr = boost::intrusive_ptr<const Snapshot>;

}  // namespace teaselspread

#endif  // TEASELSPREAD_SNAPSHOT_H_
