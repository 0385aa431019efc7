// The entry: takes the requests of this VM's callers, finds an upstream for
// each and gives the answer.
//
// Everything here belongs to the thread that runs the loop.
#ifndef TEASELSPREAD_SRC_EDGE_ENTRY_H_
#define TEASELSPREAD_SRC_EDGE_ENTRY_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "edge/gate.h"
#include "edge/http_listener.h"
#include "edge/latency_histogram.h"
#include "edge/links.h"
#include "edge/version_choice.h"
#include "teaselspread/counters.h"
#include "teaselspread/edge.h"
#include "teaselspread/placement.h"
#include "teaselspread/retry.h"
#include "teaselspread/shortage.h"
#include "teaselspread/snapshot.h"
#include "teaselspread/time_spent.h"
#include "teaselspread/weighted_turns.h"

namespace teaselspread {

// Retry-After of this node's own refusals: callers wait for a third of what
// they have left at most.
inline constexpr Duration kEntryRetryAfter = std::chrono::milliseconds(100);

// One request of a caller until its final answer.
struct Pending {
  ExchangePtr exchange;
  SnapshotPtr snapshot;
  const RouteConfig* route = nullptr;
  std::string service;
  PickedVersion picked;
  bool has_picked = false;
  // A call that the upstream of this VM makes while it runs another request.
  bool nested = false;
  TimePoint deadline;
  // What the caller has waited before this attempt.
  Duration spent{};
  std::unique_ptr<boost::asio::steady_timer> timer;
  // Where it is now; empty before the first attempt.
  std::string node;
  // Version of the upstream there, as it was known when the request was sent.
  std::string version;
  bool at_own_gate = false;
  bool under_way = false;
  TimePoint sent;
  // Time at the upstream that answered last, as its gate measured it.
  Duration ran{};
  // Nodes that refused it or failed.
  std::vector<std::string> tried;
  // Upstreams that it was sent to, or may have been.
  int attempts = 0;
  int refusals = 0;
  // Why it was or was not sent once more; none before the first failure.
  std::optional<RetryReason> retry;
  // Ready upstreams of its service that were passed over for their version when
  // it was placed last.
  int other_versions = 0;
  // When it was turned away because a service that it would call is short of
  // room: the share of such requests that was turned away.
  double short_of_room = 0;
  // Some upstream may have run it.
  bool may_have_run = false;
  ErrorKind last_error = ErrorKind::kNoUpstream;
  Duration retry_after{};
  // A failure that an upstream gave, kept in case no other does better.
  bool has_answer = false;
  HttpResponse answer;
};

// How upstreams answered this node's requests lately.
struct NodeRecord {
  double failure_share = 0;
  TimePoint failed_at;
};

struct EntryCounters {
  CounterTable<ErrorKind> refusals;
  CounterTable<RetryReason> retries;
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t callers_left = 0;
};

struct EntrySettings {
  std::string vm;
  std::string data_center;
  std::string service;
  double retry_share = 0.2;
  double retry_slack = 50;
  PlacementSettings placement;
};

// Not thread safe.
class Entry {
 public:
  Entry(boost::asio::io_context& io,
        EntrySettings entry_settings,
        EdgeHeaderNames header_names,
        Gate& own_gate,
        Links& node_links,
        VersionChoice& version_choice);
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  // In force for every request that is taken from now on.
  void SetSnapshot(SnapshotPtr now);
  [[nodiscard]] const SnapshotPtr& InForce() const { return this->snapshot; }

  void SetService(std::string service) {
    this->settings.service = std::move(service);
  }

  void Take(const ExchangePtr& exchange);

  // The result of a call over a link.
  void OnResult(ResultFrame result);
  // The link to `node` is gone.
  void OnLost(const std::string& node);

  [[nodiscard]] std::size_t CountOpen() const { return this->open.size(); }

  EntryCounters counters;
  std::map<std::string, LatencyHistogram> latency_by_route;
  ShortageTable shortage;

 private:
  void SetTimes(Pending& pending);
  // When its answer starts to be worth less; none for routes without an aim.
  [[nodiscard]] static std::optional<TimePoint> AimOf(const Pending& pending);
  void Attempt(std::uint64_t id);
  // True when the request was turned away for what it would call.
  bool ShedForDependency(std::uint64_t id, Pending& pending);
  void SendTo(std::uint64_t id, Pending& pending, const Candidate& chosen);
  void Settle(std::uint64_t id, ResultFrame result);
  void TakeAnswer(std::uint64_t id, Pending& pending, ResultFrame result);
  void TakeRefusal(std::uint64_t id, Pending& pending, ResultFrame& result);
  void TakeFailure(std::uint64_t id, Pending& pending, ResultFrame& result);
  bool MayRepeat(Pending& pending, ErrorKind kind, bool not_run);
  void OnDeadline(std::uint64_t id);
  void OnGone(std::uint64_t id);
  void GiveAnswer(std::uint64_t id, HttpResponse response);
  void GiveError(std::uint64_t id, ErrorKind kind, Duration retry_after);
  void RefuseAtOnce(const ExchangePtr& exchange, ErrorKind kind);
  [[nodiscard]] std::vector<Candidate> CandidatesFor(Pending& pending);
  [[nodiscard]] RunFrame FrameOf(std::uint64_t id, const Pending& pending);
  [[nodiscard]] const std::string& InstanceOf(const std::string& node) const;
  [[nodiscard]] const std::string& VersionOf(const Candidate& chosen) const;
  // What an attempt at the pending node's upstream tells of its version.
  void Tell(const Pending& pending, bool bad, Duration took);
  void Learn(const std::string& node, bool failed);
  [[nodiscard]] PlacedRequest Placed(const Pending& pending);
  // Bytes that a request and its answer put on the way to another gate.
  [[nodiscard]] std::size_t BytesOf(const Pending& pending) const;
  [[nodiscard]] double FailureShare(const std::string& node, TimePoint now);
  [[nodiscard]] RetryBudget& BudgetOf(const std::string& service);
  void NoteDemand(const Pending& pending, bool refused);
  void LogDecision(const Pending& pending,
                   std::string_view outcome,
                   ErrorKind kind,
                   int status);

  boost::asio::io_context& loop;
  EntrySettings settings;
  EdgeHeaderNames names;
  Gate& gate;
  Links& links;
  VersionChoice& versions;
  SnapshotPtr snapshot;
  std::unordered_map<std::uint64_t, Pending> open;
  std::uint64_t next_id = 1;
  std::map<std::string, WeightedRoundRobin> turns;
  std::map<std::string, DeadlineHistory> deadlines;
  // Moving average of the bytes of an answer, by route.
  std::map<std::string, double> answer_bytes;
  // Moving average of the bytes that placed requests and their answers take.
  double usual_bytes = 0;
  std::map<std::string, NodeRecord> records;
  std::map<std::string, RetryBudget> budgets;
  Rng rng;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_ENTRY_H_
