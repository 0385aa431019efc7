#include "edge/status_feed.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace teaselspread {
namespace {

using std::chrono::milliseconds;

// Interval of loads to callers that send requests here. Results carry the load
// too, and each frame wakes up its receiver.
constexpr Duration kActiveInterval = milliseconds(200);
// A caller counts as one that sends requests for this long after the last one.
constexpr Duration kActiveFor = std::chrono::seconds(2);
// Frames to callers that send no requests are spread out to about one in this
// time, to those of the own data centre and to the others each.
constexpr Duration kTimePerIdleFrame = milliseconds(12);
// Oldest load that a caller may hold. An upstream that is free again must be
// found while a burst of some seconds lasts.
constexpr Duration kMaxSharedInterval = std::chrono::seconds(4);
// The times of an upstream change less than its load.
constexpr int kLoadsPerTimes = 2;
// Nodes fetch a configuration in their own data centre first, and from others
// only when none there has held it for several hundred milliseconds. It is
// enough that the nodes that read the store tell the others then.
constexpr Duration kFarVersionInterval = milliseconds(500);
// Response counters to each evaluator: it gets those of all nodes, so the
// interval grows with their number. Bad responses are sent at once.
constexpr Duration kMinEvidenceInterval = milliseconds(500);
constexpr Duration kEvidenceTimePerNode = milliseconds(3);
// The sums change slowly: they give the usual response time of the old version.
constexpr Duration kSummaryInterval = std::chrono::seconds(2);

// Never sent.
constexpr Duration kNever = Duration::max();

bool IsActive(const StatusReader& reader, TimePoint now) {
  return reader.last_request_at != TimePoint{} &&
         now - reader.last_request_at < kActiveFor;
}

Duration LoadInterval(const StatusReader& reader,
                      const StatusAudience& audience,
                      TimePoint now) {
  if (IsActive(reader, now))
    return kActiveInterval;
  return SharedInterval(reader.in_own_data_center ? audience.near_callers
                                                  : audience.far_callers);
}

Duration EvidenceInterval(const StatusAudience& audience) {
  const auto nodes =
      static_cast<std::int64_t>(audience.near_callers + audience.far_callers);
  return std::max(kMinEvidenceInterval, kEvidenceTimePerNode * nodes);
}

Duration IntervalOf(StatusTopic topic,
                    const StatusReader& reader,
                    const StatusAudience& audience,
                    TimePoint now) {
  const bool near = reader.in_own_data_center;
  switch (topic) {
    case StatusTopic::kUpstream:
    case StatusTopic::kSuspects:
      return Duration{0};
    case StatusTopic::kVersion:
      if (near)
        return Duration{0};
      return audience.reads_orders
                 ? kFarVersionInterval
                 : std::max(kFarVersionInterval,
                            SharedInterval(audience.far_callers));
    case StatusTopic::kLoad:
    case StatusTopic::kDemand:
    case StatusTopic::kLimit:
      return LoadInterval(reader, audience, now);
    case StatusTopic::kRelayedSuspects:
      return SharedInterval(near ? audience.near_callers
                                 : audience.far_callers);
    case StatusTopic::kIdle:
      return reader.evaluates_moves ? kActiveInterval : kNever;
    case StatusTopic::kTimes:
      return kLoadsPerTimes * LoadInterval(reader, audience, now);
    // Evaluators tell all nodes; the others only need to tell evaluators.
    case StatusTopic::kProgress:
      return audience.evaluates_moves || reader.evaluates_moves ? Duration{0}
                                                                : kNever;
    case StatusTopic::kMoveSummary:
      return audience.evaluates_moves && !reader.evaluates_moves
                 ? std::max(kSummaryInterval,
                            SharedInterval(audience.far_callers))
                 : kNever;
    case StatusTopic::kEvidence:
      return reader.evaluates_moves ? EvidenceInterval(audience) : kNever;
    case StatusTopic::kBadResponses:
      return reader.evaluates_moves ? Duration{0} : kNever;
    case StatusTopic::kCount:
      break;
  }
  return kNever;
}

bool IsIdle(const GateStatus& status) {
  return status.running + status.waiting == 0;
}

bool SameMove(const TrialStatus& a, const TrialStatus& b) {
  return std::tie(a.service, a.to, a.progress, a.reported, a.moved,
                  a.duration_ms, a.incarnation) ==
         std::tie(b.service, b.to, b.progress, b.reported, b.moved,
                  b.duration_ms, b.incarnation);
}

bool SameMoves(const std::vector<TrialStatus>& a,
               const std::vector<TrialStatus>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), SameMove);
}

bool SameCounters(const std::vector<TrialStatus>& a,
                  const std::vector<TrialStatus>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const TrialStatus& left, const TrialStatus& right) {
                      return left.counters == right.counters;
                    });
}

std::uint64_t CountBad(const std::vector<TrialStatus>& statuses) {
  std::uint64_t bad = 0;
  for (const TrialStatus& status : statuses) {
    for (const TrialCounters& counters : status.counters)
      bad += counters.of_new_version ? counters.bad : 0;
  }
  return bad;
}

bool SameSuspicions(const std::vector<TrialStatus>& a,
                    const std::vector<TrialStatus>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const TrialStatus& left, const TrialStatus& right) {
                      return ReportsSuspicion(left) == ReportsSuspicion(right);
                    });
}

constexpr TopicSet kUpstreamPartTopics =
    BitOf(StatusTopic::kUpstream) | BitOf(StatusTopic::kVersion);
constexpr TopicSet kSuspectPartTopics =
    BitOf(StatusTopic::kSuspects) | BitOf(StatusTopic::kRelayedSuspects);
constexpr TopicSet kTimesPartTopics =
    BitOf(StatusTopic::kTimes) | BitOf(StatusTopic::kLimit);
constexpr TopicSet kEvidenceTopics =
    BitOf(StatusTopic::kEvidence) | BitOf(StatusTopic::kBadResponses);
constexpr TopicSet kMovePartTopics = BitOf(StatusTopic::kProgress) |
                                     BitOf(StatusTopic::kMoveSummary) |
                                     kEvidenceTopics;

}  // namespace

std::string_view NameOf(StatusTopic topic) {
  static constexpr std::array<std::string_view, kStatusTopics> kNames = {
      "upstream", "version",          "load",     "idle",          "times",
      "progress", "summary",          "evidence", "bad-responses", "suspects",
      "demand",   "relayed-suspects", "limit"};
  return kNames.at(static_cast<std::size_t>(topic));
}

TopicSet ChangedTopics(const GateStatus& before, const GateStatus& after) {
  TopicSet topics = 0;
  const auto add = [&topics](StatusTopic topic, bool changed) {
    topics |= changed ? BitOf(topic) : TopicSet{0};
  };
  const std::uint8_t parts = ChangedParts(before, after);
  const auto has = [parts](StatusPart part) {
    return (parts & static_cast<std::uint8_t>(part)) != 0;
  };
  add(StatusTopic::kUpstream,
      std::tie(before.state, before.instance, before.service, before.version,
               before.slots) != std::tie(after.state, after.instance,
                                         after.service, after.version,
                                         after.slots));
  add(StatusTopic::kVersion,
      std::tie(before.held_version, before.store_unavailable,
               before.warm_up_ms) != std::tie(after.held_version,
                                              after.store_unavailable,
                                              after.warm_up_ms));
  add(StatusTopic::kLoad, has(StatusPart::kLoad));
  add(StatusTopic::kIdle, !IsIdle(before) && IsIdle(after));
  add(StatusTopic::kTimes,
      std::tie(before.mean_ms, before.route_times, before.process_stamp) !=
          std::tie(after.mean_ms, after.route_times, after.process_stamp));
  add(StatusTopic::kLimit, before.limit_per_second != after.limit_per_second);
  add(StatusTopic::kProgress,
      !SameMoves(before.trial_statuses, after.trial_statuses) ||
          !SameSuspicions(before.trial_summaries, after.trial_summaries));
  add(StatusTopic::kMoveSummary,
      !SameCounters(before.trial_summaries, after.trial_summaries));
  add(StatusTopic::kEvidence,
      !SameCounters(before.trial_statuses, after.trial_statuses));
  add(StatusTopic::kBadResponses,
      CountBad(before.trial_statuses) != CountBad(after.trial_statuses));
  add(StatusTopic::kSuspects, before.suspects != after.suspects);
  add(StatusTopic::kRelayedSuspects,
      before.relayed_suspects != after.relayed_suspects);
  add(StatusTopic::kDemand, has(StatusPart::kDemand));
  return topics;
}

void RecordChanges(StatusFeed& feed, TopicSet changed) {
  for (std::size_t i = 0; i < kStatusTopics; ++i) {
    if ((changed & BitOf(static_cast<StatusTopic>(i))) != 0)
      ++feed.revisions.at(i);
  }
}

Duration SharedInterval(std::size_t callers) {
  return std::clamp(kTimePerIdleFrame * static_cast<std::int64_t>(callers),
                    kActiveInterval, kMaxSharedInterval);
}

TopicSet TopicsDue(const StatusFeed& feed,
                   const StatusReader& reader,
                   const StatusAudience& audience,
                   TimePoint now) {
  TopicSet due = 0;
  for (std::size_t i = 0; i < kStatusTopics; ++i) {
    if (feed.revisions.at(i) == reader.sent_revisions.at(i))
      continue;
    const auto topic = static_cast<StatusTopic>(i);
    const Duration interval = IntervalOf(topic, reader, audience, now);
    if (interval != kNever && now - reader.sent_at.at(i) >= interval)
      due |= BitOf(topic);
  }
  return due;
}

void MarkSent(const StatusFeed& feed,
              StatusReader& reader,
              TopicSet topics,
              TimePoint now) {
  for (std::size_t i = 0; i < kStatusTopics; ++i) {
    if ((topics & BitOf(static_cast<StatusTopic>(i))) == 0)
      continue;
    reader.sent_revisions.at(i) = feed.revisions.at(i);
    reader.sent_at.at(i) = now;
  }
}

std::uint8_t PartsOf(TopicSet topics) {
  std::uint8_t parts = 0;
  const auto add = [&](TopicSet carried, StatusPart part) {
    parts |= (topics & carried) != 0 ? static_cast<std::uint8_t>(part) : 0;
  };
  add(kUpstreamPartTopics, StatusPart::kUpstream);
  add(kLoadTopics, StatusPart::kLoad);
  add(kTimesPartTopics, StatusPart::kTimes);
  add(kMovePartTopics, StatusPart::kMoves);
  add(kSuspectPartTopics, StatusPart::kSuspects);
  add(BitOf(StatusTopic::kDemand), StatusPart::kDemand);
  return parts;
}

TopicSet TopicsCarried(TopicSet topics, bool with_evidence) {
  TopicSet carried = topics;
  if ((topics & kUpstreamPartTopics) != 0)
    carried |= kUpstreamPartTopics;
  if ((topics & kSuspectPartTopics) != 0)
    carried |= kSuspectPartTopics;
  if ((topics & kLoadTopics) != 0)
    carried |= kLoadTopics;
  if ((topics & kTimesPartTopics) != 0)
    carried |= kTimesPartTopics;
  if ((topics & kMovePartTopics) != 0) {
    carried |= BitOf(StatusTopic::kProgress);
    carried |=
        with_evidence ? kEvidenceTopics : BitOf(StatusTopic::kMoveSummary);
  }
  return carried;
}

}  // namespace teaselspread
