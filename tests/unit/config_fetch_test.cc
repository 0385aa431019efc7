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

std::optional<std::string> Ask(FetchState& state,
                               std::vector<ConfigHolder> holders,
                               Duration at,
                               bool reads = false) {
  Rng rng(1);
  return NextToAsk(state, holders, 1, reads, kStart + at, rng);
}

// Guards against a second copy while the first is on its way: it takes as long
// as the line is narrow, not as long as somebody thought.
Test(config_fetch, one_answer_is_owed_at_a_time) {
  FetchState state;
  const std::vector<ConfigHolder> holders = {{"a", 2, true}, {"b", 2, true}};
  const auto first = Ask(state, holders, Ms(0));
  cr_assert(first.has_value());
  for (int ms = 0; ms < 60'000; ms += 100)
    cr_assert_not(Ask(state, holders, Ms(ms)).has_value());
  OnFetchAnswer(state, *first);
  cr_assert(Ask(state, holders, Ms(60'000)).has_value());
}

// Guards against a node that waits for an answer that went down with its link.
Test(config_fetch, the_answer_of_a_lost_link_is_asked_of_another) {
  FetchState state;
  cr_assert(Ask(state, {{"a", 2, true}}, Ms(0)) == "a");
  OnFetchLost(state, "a");
  cr_assert(Ask(state, {{"b", 2, true}}, Ms(1)) == "b");
}

// A node tells that it is busy, or answers a ping, when another one owes the
// copy: that is no reason to ask a third one.
Test(config_fetch, what_others_say_does_not_end_the_wait) {
  FetchState state;
  cr_assert(Ask(state, {{"a", 2, true}}, Ms(0)) == "a");
  OnFetchBusy(state, "b", kStart);
  OnFetchLost(state, "b");
  OnFetchAnswer(state, "b");
  cr_assert_not(Ask(state, {{"c", 2, true}}, Ms(1)).has_value());
}

Test(config_fetch, a_busy_node_is_left_alone_for_a_moment) {
  FetchState state;
  cr_assert(Ask(state, {{"a", 3, true}, {"b", 2, true}}, Ms(0)) == "a");
  OnFetchBusy(state, "a", kStart);
  cr_assert(Ask(state, {{"a", 3, true}, {"b", 2, true}}, Ms(1)) == "b");
  OnFetchAnswer(state, "b");
  cr_assert_not(Ask(state, {{"a", 3, true}}, Ms(100)).has_value());
  cr_assert(Ask(state, {{"a", 3, true}}, Ms(200)) == "a");
}

Test(config_fetch, others_are_asked_only_when_the_readers_nearby_are_late) {
  FetchState state;
  cr_assert_not(Ask(state, {{"far", 2, false}}, Ms(0)).has_value());
  cr_assert(Ask(state, {{"far", 2, false}}, Ms(900)) == "far");
  FetchState reader;
  cr_assert_not(Ask(reader, {{"a", 2, true}}, Ms(0), true).has_value());
  cr_assert(Ask(reader, {{"a", 2, true}}, Ms(900), true) == "a");
}

// Nodes of one data centre behind lines of 10 Mbit/s each way, on a virtual
// clock: one of them has a new configuration and tells so, the others fetch it
// from whoever holds it.
class NarrowDataCentre {
 public:
  NarrowDataCentre(std::size_t count, std::size_t bytes, std::uint32_t seed)
      : copy_bytes(bytes), rng(seed), nodes(count) {
    for (std::size_t i = 0; i < count; ++i)
      this->nodes[i].name = "n" + std::to_string(100 + i);
    this->nodes[0].held = 2;
    this->At(TimePoint{}, [this] { this->Tell(0); });
  }

  // When the last node held it, from the moment at which the first did.
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
  static constexpr Duration kWay = Ms(1);
  static constexpr Duration kToTakeIn = Ms(150);
  static constexpr Duration kTick = Ms(250);
  static constexpr std::int64_t kBytesPerMs = 1250;

  struct Node {
    std::string name;
    ConfigVersion held = 1;
    FetchState fetch;
    CopiesUnderWay under_way;
    // When its line is free, each way.
    TimePoint sends;
    TimePoint receives;
    // What it knows of the others.
    std::map<std::string, std::size_t> holders;
  };

  void At(TimePoint when, std::function<void()> task) {
    this->events.emplace(when, std::move(task));
  }

  void Tell(std::size_t holder) {
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (i == holder)
        continue;
      this->At(this->now + kWay, [this, i, holder] {
        this->nodes[i].holders[this->nodes[holder].name] = holder;
        OnHeld(this->nodes[i].under_way, this->nodes[holder].name, 2);
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
    const auto asked = NextToAsk(node.fetch, holders, node.held, false,
                                 kStart + (this->now - TimePoint{}), this->rng);
    if (!asked)
      return;
    const std::size_t other = node.holders.at(*asked);
    this->At(this->now + kWay,
             [this, self, other] { this->Answer(other, self); });
  }

  void Answer(std::size_t self, std::size_t asker) {
    Node& node = this->nodes[self];
    const std::string& to = this->nodes[asker].name;
    if (!MayHandOut(node.under_way, this->copy_bytes)) {
      this->At(this->now + kWay, [this, self, asker] {
        OnFetchBusy(this->nodes[asker].fetch, this->nodes[self].name,
                    kStart + (this->now - TimePoint{}));
        this->Fetch(asker);
        this->At(this->now + kTick, [this, asker] { this->Fetch(asker); });
      });
      return;
    }
    node.under_way.to[to] = {this->copy_bytes, 2, this->now};
    const Duration on_line =
        Ms(static_cast<std::int64_t>(this->copy_bytes) / kBytesPerMs);
    Node& receiver = this->nodes[asker];
    node.sends = std::max(node.sends, this->now) + on_line;
    receiver.receives = std::max(receiver.receives + on_line, node.sends);
    this->At(receiver.receives + kToTakeIn, [this, self, asker] {
      OnFetchAnswer(this->nodes[asker].fetch, this->nodes[self].name);
      this->nodes[asker].held = 2;
      this->last_held = this->now;
      this->Tell(asker);
    });
  }

  std::size_t copy_bytes;
  Rng rng;
  std::vector<Node> nodes;
  std::multimap<TimePoint, std::function<void()>> events;
  TimePoint now;
  TimePoint last_held;
};

// Guards against one node behind a narrow line that sends whole copies to all
// of its data centre at once: the last would have it after four seconds, and a
// configuration has to be in force everywhere two seconds after it was
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
