#include "edge/status_feed.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <vector>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr Ms kTick{100};

GateStatus ReadyStatus() {
  GateStatus status;
  status.instance = "i-1";
  status.service = "desk";
  status.state = LeaseState::kReady;
  status.slots = 15;
  TrialStatus move;
  move.service = "desk";
  move.to = "v2";
  status.trial_statuses = {move};
  status.trial_summaries = {move};
  return status;
}

// A node and its callers, on a virtual clock. A sixth of the callers are in the
// own data centre, and the first `active` ones send requests all the time.
struct Callers {
  Callers(std::size_t count, std::size_t active) : readers(count) {
    for (std::size_t i = 0; i < count; ++i) {
      this->readers[i].in_own_data_center = i % 6 == 0;
      ++(i % 6 == 0 ? this->audience.near_callers : this->audience.far_callers);
    }
    this->active_callers = std::min(active, count);
    this->received.resize(count);
  }

  void Change(const GateStatus& next) {
    RecordChanges(this->feed, ChangedTopics(this->status, next));
    this->status = next;
  }

  // Sends what is due; returns the number of frames.
  std::size_t Send(TimePoint now) {
    std::size_t frames = 0;
    for (std::size_t i = 0; i < this->readers.size(); ++i) {
      StatusReader& reader = this->readers[i];
      if (i < this->active_callers)
        reader.last_request_at = now;
      const TopicSet due = TopicsDue(this->feed, reader, this->audience, now);
      if (due == 0)
        continue;
      const TopicSet carried = TopicsCarried(due, reader.evaluates_moves);
      MarkSent(this->feed, reader, carried, now);
      this->received[i] |= carried;
      ++frames;
    }
    return frames;
  }

  [[nodiscard]] std::size_t CountReceived(StatusTopic topic) const {
    return static_cast<std::size_t>(std::count_if(
        this->received.begin(), this->received.end(),
        [topic](TopicSet topics) { return (topics & BitOf(topic)) != 0; }));
  }

  StatusFeed feed;
  StatusAudience audience;
  GateStatus status;
  std::vector<StatusReader> readers;
  // Topics that each caller has received.
  std::vector<TopicSet> received;
  std::size_t active_callers = 0;
};

// Frames a second while load, counters and the age of a move change all the
// time.
double FramesPerSecond(std::size_t count) {
  constexpr std::size_t kActive = 10;
  constexpr Ms kSpan{10000};
  Callers callers(count, kActive);
  for (std::size_t i = 0; i < 3; ++i)
    callers.readers[callers.readers.size() - 1 - i].evaluates_moves = true;
  GateStatus status = ReadyStatus();
  status.trial_statuses[0].counters.resize(1);
  callers.Change(status);
  callers.Send(kStart);
  std::size_t frames = 0;
  for (Ms passed = kTick; passed <= kSpan; passed += kTick) {
    ++status.running;
    status.trial_statuses[0].age_ms += 100;
    status.trial_summaries[0].age_ms += 100;
    ++status.trial_statuses[0].counters[0].runs;
    callers.Change(status);
    frames += callers.Send(kStart + passed);
  }
  return static_cast<double>(frames) /
         std::chrono::duration<double>(kSpan).count();
}

// While a move ran, each node sent its state to every other one several times a
// second: with 362 nodes, processor time and bytes of the whole deployment went
// into it.
Test(status_feed, frames_of_a_node_do_not_grow_with_the_deployment) {
  // Active callers five times a second, evaluators twice, and one frame in
  // twelve milliseconds to the other callers of either kind.
  constexpr double kBound = 10 * 5 + 3 * 2 + 2 * 1000.0 / 12;
  for (const std::size_t count : {100U, 362U, 600U, 1000U}) {
    const double frames = FramesPerSecond(count);
    cr_assert(frames <= kBound * 1.05 + static_cast<double>(count) / 4,
              "%zu callers: %.0f frames/s", count, frames);
  }
  cr_assert(FramesPerSecond(362) <= kBound);
}

// An upstream leaves. Each caller that learns of it late sends requests that
// are refused and have to be sent again.
Test(status_feed, a_leaving_upstream_reaches_every_caller_at_once) {
  Callers callers(400, 0);
  GateStatus status = ReadyStatus();
  callers.Change(status);
  callers.Send(kStart);
  status.state = LeaseState::kLeaving;
  callers.Change(status);
  callers.received.assign(400, 0);
  callers.Send(kStart + Ms(1));
  cr_assert_eq(callers.CountReceived(StatusTopic::kUpstream), 400U);
}

// A configuration has to be in force within seconds everywhere: nodes fetch it
// from others of their data centre that report to hold it.
Test(status_feed, a_new_version_reaches_the_own_data_centre_at_once) {
  Callers callers(400, 0);
  callers.audience.reads_orders = true;
  GateStatus status = ReadyStatus();
  callers.Change(status);
  callers.Send(kStart);
  status.held_version = 8;
  callers.Change(status);
  callers.received.assign(400, 0);
  callers.Send(kStart + Ms(100));
  cr_assert_eq(callers.CountReceived(StatusTopic::kVersion),
               callers.audience.near_callers);
  callers.Send(kStart + Ms(500));
  cr_assert_eq(callers.CountReceived(StatusTopic::kVersion), 400U);
}

// Configurations come in quick succession. If every node told every other one
// of each, that would be most of what hundreds of nodes send.
Test(status_feed, other_data_centres_hear_of_versions_from_readers) {
  Callers callers(400, 0);
  GateStatus status = ReadyStatus();
  callers.Change(status);
  callers.Send(kStart);
  callers.received.assign(400, 0);
  for (Ms passed = kTick; passed <= Ms(3000); passed += kTick) {
    ++status.held_version;
    callers.Change(status);
    callers.Send(kStart + passed);
  }
  cr_assert_eq(callers.CountReceived(StatusTopic::kVersion),
               callers.audience.near_callers);
}

// A bad version has to be stopped before a tenth of the requests has reached
// it, so those that judge it do not wait for the next interval.
Test(status_feed, a_bad_response_reaches_evaluators_at_once_and_no_one_else) {
  Callers callers(400, 0);
  callers.readers[7].evaluates_moves = true;
  callers.readers[11].evaluates_moves = true;
  GateStatus status = ReadyStatus();
  callers.Change(status);
  callers.Send(kStart);
  callers.received.assign(400, 0);
  TrialCounters bad;
  bad.instance = "i-2";
  bad.of_new_version = true;
  bad.runs = 1;
  bad.bad = 1;
  status.trial_statuses[0].counters = {bad};
  callers.Change(status);
  callers.Send(kStart + Ms(1));
  cr_assert_eq(callers.CountReceived(StatusTopic::kBadResponses), 2U);
  ++status.trial_statuses[0].counters[0].runs;
  callers.Change(status);
  callers.Send(kStart + Ms(5000));
  cr_assert_eq(callers.CountReceived(StatusTopic::kEvidence), 2U);
}

// The verdict on a move comes from a node that evaluates it; the other nodes
// need not repeat it to all.
Test(status_feed, only_evaluators_tell_all_nodes_the_progress_of_a_move) {
  for (const bool evaluates : {false, true}) {
    Callers callers(400, 0);
    callers.audience.evaluates_moves = evaluates;
    callers.readers[7].evaluates_moves = true;
    GateStatus status = ReadyStatus();
    callers.Change(status);
    callers.Send(kStart);
    callers.received.assign(400, 0);
    status.trial_statuses[0].progress = MoveProgress::kRolledBack;
    status.trial_summaries[0].progress = MoveProgress::kRolledBack;
    callers.Change(status);
    callers.Send(kStart + Ms(1));
    cr_assert_eq(callers.CountReceived(StatusTopic::kProgress),
                 evaluates ? 400U : 1U);
  }
}

// An evaluator is lost, and the next node takes its place. It judges by the
// counters of all nodes, which it has not been sent before.
Test(status_feed, a_new_evaluator_gets_the_counters) {
  Callers callers(400, 0);
  GateStatus status = ReadyStatus();
  status.trial_statuses[0].counters.resize(1);
  status.trial_statuses[0].counters[0].runs = 9;
  callers.Change(status);
  callers.Send(kStart);
  cr_assert_eq(callers.CountReceived(StatusTopic::kEvidence), 0U);
  callers.readers[31].evaluates_moves = true;
  callers.Send(kStart + Ms(1));
  cr_assert_eq(callers.CountReceived(StatusTopic::kEvidence), 1U);
}

// The last request of an old version has ended. If those that judge the move
// heard of it with the next load of an idle link only, a good version would be
// rolled back as overdue.
Test(status_feed, an_upstream_that_comes_to_rest_is_known_to_evaluators_soon) {
  Callers callers(400, 0);
  callers.readers[7].evaluates_moves = true;
  GateStatus status = ReadyStatus();
  status.running = 1;
  callers.Change(status);
  callers.Send(kStart);
  callers.received.assign(400, 0);
  status.running = 0;
  callers.Change(status);
  callers.Send(kStart + Ms(200));
  cr_assert(callers.received.at(7) & BitOf(StatusTopic::kIdle));
  cr_assert_eq(callers.CountReceived(StatusTopic::kLoad), 1U);
}

// Few nodes exchange their loads as often as ever: a delay would only make them
// choose by older loads.
Test(status_feed, small_deployments_get_loads_five_times_a_second) {
  cr_assert(SharedInterval(12) == Ms(200));
  cr_assert(SharedInterval(16) == Ms(200));
  cr_assert(SharedInterval(100) == Ms(1200));
  cr_assert(SharedInterval(1000) == Ms(4000));
}

// Guards against traffic that grows with the square of the nodes after each
// crash: only the node beside the upstream tells it at once, the others pass on
// what they heard at intervals that grow with their number.
Test(status_feed, crashes_counted_elsewhere_are_passed_on_at_intervals) {
  constexpr std::size_t kCallers = 299;
  Callers callers(kCallers, 20);
  GateStatus status = ReadyStatus();
  callers.Change(status);
  callers.Send(kStart);
  status.suspects = {{1, 2, 1, 0, 9}};
  callers.Change(status);
  cr_assert_eq(callers.Send(kStart + kTick), kCallers, "counted here: at once");
  std::size_t frames = 0;
  TimePoint now = kStart + kTick;
  for (std::uint32_t i = 0; i < 20; ++i) {
    status.relayed_suspects = {{1, 3, i + 1, 0, 9}};
    callers.Change(status);
    now += kTick;
    frames += callers.Send(now);
  }
  cr_assert_leq(frames, kCallers * 2, "%zu frames in two seconds", frames);
}

// An overloaded upstream names another rate in each response. If each one went
// to every node, a few such upstreams would be most of what hundreds of nodes
// send.
Test(status_feed, changes_of_a_limit_are_sent_at_the_interval_of_loads) {
  constexpr std::size_t kActive = 10;
  constexpr std::size_t kCallers = 300;
  Callers callers(kCallers, kActive);
  GateStatus status = ReadyStatus();
  callers.Change(status);
  callers.Send(kStart);
  std::size_t frames = 0;
  constexpr Ms kSpan{10000};
  for (Ms passed = kTick; passed <= kSpan; passed += kTick) {
    status.limit_per_second = 10.0 + static_cast<double>(passed.count() % 7);
    callers.Change(status);
    frames += callers.Send(kStart + passed);
  }
  const double seconds = std::chrono::duration<double>(kSpan).count();
  // Once to everybody, then as often as loads.
  cr_assert_leq(static_cast<double>(frames),
                kCallers + seconds * (kActive * 5 + 2 * 1000.0 / 12));
  // Callers that send requests know of it within the interval.
  callers.received.assign(kCallers, 0);
  status.limit_per_second.reset();
  callers.Change(status);
  callers.Send(kStart + kSpan + Ms(200));
  cr_assert_geq(callers.CountReceived(StatusTopic::kLimit), kActive);
}

}  // namespace
}  // namespace teaselspread
