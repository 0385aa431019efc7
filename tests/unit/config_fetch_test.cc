#include "edge/config_fetch.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);

std::optional<std::string> Query(FetchState& state,
                                 std::vector<ConfigHolder> holders,
                                 Duration at,
                                 bool is_reader = false) {
  Rng rng(1);
  return NextToQuery(state, holders, 1, is_reader, kStart + at, rng);
}

// Guards against requesting a second copy while the first is in flight: on a
// slow line a copy may take longer than any time-out allows for.
Test(config_fetch, one_copy_is_awaited_at_a_time) {
  FetchState state;
  const std::vector<ConfigHolder> holders = {{"a", 2, true}, {"b", 2, true}};
  const auto first = Query(state, holders, Ms(0));
  cr_assert(first.has_value());
  for (int ms = 0; ms < 60'000; ms += 100)
    cr_assert_not(Query(state, holders, Ms(ms)).has_value());
  OnFetchResponse(state, *first);
  cr_assert(Query(state, holders, Ms(60'000)).has_value());
}

// Guards against waiting forever for a response whose link was lost.
Test(config_fetch, a_lost_link_leads_to_a_query_of_another_node) {
  FetchState state;
  cr_assert(Query(state, {{"a", 2, true}}, Ms(0)) == "a");
  OnFetchLost(state, "a");
  cr_assert(Query(state, {{"b", 2, true}}, Ms(1)) == "b");
}

// Guards against querying a third node because a node other than the queried
// one reports busy, responds or loses its link.
Test(config_fetch, messages_of_other_nodes_do_not_end_the_wait) {
  FetchState state;
  cr_assert(Query(state, {{"a", 2, true}}, Ms(0)) == "a");
  OnFetchBusy(state, "b", kStart);
  OnFetchLost(state, "b");
  OnFetchResponse(state, "b");
  cr_assert_not(Query(state, {{"c", 2, true}}, Ms(1)).has_value());
}

Test(config_fetch, a_busy_node_is_not_queried_during_its_backoff) {
  FetchState state;
  cr_assert(Query(state, {{"a", 3, true}, {"b", 2, true}}, Ms(0)) == "a");
  OnFetchBusy(state, "a", kStart);
  cr_assert(Query(state, {{"a", 3, true}, {"b", 2, true}}, Ms(1)) == "b");
  OnFetchResponse(state, "b");
  cr_assert_not(Query(state, {{"a", 3, true}}, Ms(100)).has_value());
  cr_assert(Query(state, {{"a", 3, true}}, Ms(200)) == "a");
}

Test(config_fetch,
     other_data_centres_are_queried_only_when_near_readers_are_late) {
  FetchState state;
  cr_assert_not(Query(state, {{"far", 2, false}}, Ms(0)).has_value());
  cr_assert(Query(state, {{"far", 2, false}}, Ms(900)) == "far");
  FetchState reader;
  cr_assert_not(Query(reader, {{"a", 2, true}}, Ms(0), true).has_value());
  cr_assert(Query(reader, {{"a", 2, true}}, Ms(900), true) == "a");
}

// Simulates, on a virtual clock, the nodes of one data centre behind lines of
// 10 Mbit/s each way: one of them announces a new configuration, the others
// fetch it from any node that holds it.
class NarrowDataCentre {
 public:
  NarrowDataCentre(std::size_t count, std::size_t bytes, std::uint32_t seed)
      : copy_bytes(bytes), rng(seed), nodes(count) {
    for (std::size_t i = 0; i < count; ++i)
      this->nodes[i].name = "n" + std::to_string(100 + i);
    this->nodes[0].held = 2;
    this->Schedule(TimePoint{}, [this] { this->Announce(0); });
  }

  // Time from the first node's holding it until the last one's.
  Duration Run() {
    while (!this->events.empty()) {
      const auto next = this->events.begin();
      this->now = next->first;
      const auto task = std::move(next->second);
      this->events.erase(next);
      task();
    }
    return this->last_held - TimePoint{};
  }

  [[nodiscard]] bool AllHold() const {
    return std::all_of(this->nodes.begin(), this->nodes.end(),
                       [](const Node& node) { return node.held == 2; });
  }

 private:
  static constexpr Duration kOneWayDelay = Ms(1);
  static constexpr Duration kApplyTime = Ms(150);
  static constexpr Duration kTick = Ms(250);
  static constexpr std::int64_t kBytesPerMs = 1250;

  struct Node {
    std::string name;
    ConfigVersion held = 1;
    FetchState fetch;
    CopiesInFlight in_flight;
    // When its line is free again, each way.
    TimePoint send_free_at;
    TimePoint receive_free_at;
    // Nodes that it knows to hold the new version: index by name.
    std::map<std::string, std::size_t> holders;
  };

  void Schedule(TimePoint when, std::function<void()> task) {
    this->events.emplace(when, std::move(task));
  }

  void Announce(std::size_t holder) {
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (i == holder)
        continue;
      this->Schedule(this->now + kOneWayDelay, [this, i, holder] {
        this->nodes[i].holders[this->nodes[holder].name] = holder;
        OnVersionHeld(this->nodes[i].in_flight, this->nodes[holder].name, 2);
        this->Fetch(i);
      });
    }
  }

  void Fetch(std::size_t self) {
    Node& node = this->nodes[self];
    if (node.held == 2)
      return;
    std::vector<ConfigHolder> holders;
    for (const auto& [name, index] : node.holders)
      holders.push_back({name, 2, true});
    const auto queried =
        NextToQuery(node.fetch, holders, node.held, false,
                    kStart + (this->now - TimePoint{}), this->rng);
    if (!queried)
      return;
    const std::size_t other = node.holders.at(*queried);
    this->Schedule(this->now + kOneWayDelay,
                   [this, self, other] { this->Respond(other, self); });
  }

  void Respond(std::size_t self, std::size_t requester) {
    Node& node = this->nodes[self];
    const std::string& to = this->nodes[requester].name;
    if (!MaySendCopy(node.in_flight, this->copy_bytes)) {
      this->Schedule(this->now + kOneWayDelay, [this, self, requester] {
        OnFetchBusy(this->nodes[requester].fetch, this->nodes[self].name,
                    kStart + (this->now - TimePoint{}));
        this->Fetch(requester);
        this->Schedule(this->now + kTick,
                       [this, requester] { this->Fetch(requester); });
      });
      return;
    }
    node.in_flight.by_node[to] = {this->copy_bytes, 2, this->now};
    const Duration transfer_time =
        Ms(static_cast<std::int64_t>(this->copy_bytes) / kBytesPerMs);
    Node& receiver = this->nodes[requester];
    node.send_free_at = std::max(node.send_free_at, this->now) + transfer_time;
    receiver.receive_free_at =
        std::max(receiver.receive_free_at + transfer_time, node.send_free_at);
    this->Schedule(
        receiver.receive_free_at + kApplyTime, [this, self, requester] {
          OnFetchResponse(this->nodes[requester].fetch, this->nodes[self].name);
          this->nodes[requester].held = 2;
          this->last_held = this->now;
          this->Announce(requester);
        });
  }

  std::size_t copy_bytes;
  Rng rng;
  std::vector<Node> nodes;
  std::multimap<TimePoint, std::function<void()>> events;
  TimePoint now;
  TimePoint last_held;
};

// Guards against one node behind a slow line sending whole copies to its whole
// data centre at once: the last node would have the configuration after four
// seconds, but it has to be in force everywhere two seconds after it was
// acknowledged.
Test(config_fetch, a_data_centre_behind_narrow_lines_has_it_in_time) {
  constexpr std::size_t kNodes = 24;
  constexpr std::size_t kCopyBytes = 200'000;
  constexpr Duration kInForce = Ms(2000);
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    NarrowDataCentre data_centre(kNodes, kCopyBytes, seed);
    const Duration took = data_centre.Run();
    cr_assert(data_centre.AllHold(), "seed %u", seed);
    cr_assert(took <= kInForce, "seed %u: %lld ms", seed,
              static_cast<long long>(took / Ms(1)));
  }
}

}  // namespace
}  // namespace teaselspread
