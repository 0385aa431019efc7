#include <algorithm>
#include <array>
#include <functional>
#include <utility>

#include <xxhash.h>

#include "spread/internal.h"

namespace teaselspread {
namespace {

constexpr auto kCounts = static_cast<std::size_t>(SpreadCount::kCount);
constexpr std::array<std::string_view, kCounts> kCountNames = {
    "push-sent",           "push-retried",       "push-adopted",
    "push-duplicate",      "pull-sent",          "pull-timeout",
    "pull-busy-heard",     "pull-busy-sent",     "chain-served",
    "snapshot-served",     "below-held-refused", "update-rejected",
    "applied-unwitnessed", "vouch-refused",      "pause-noticed"};

}  // namespace

std::string_view NameOf(SpreadCount counter) {
  return kCountNames.at(static_cast<std::size_t>(counter));
}

Sender SenderOf(const SpreadState& state, TimePoint now) {
  std::uint32_t age = kAgeUnknown;
  if (state.fresh_as_of != TimePoint{} && state.fresh_as_of <= now) {
    const auto exact =
        std::chrono::ceil<std::chrono::milliseconds>(now - state.fresh_as_of);
    if (exact.count() < kAgeUnknown)
      age = static_cast<std::uint32_t>(exact.count());
  }
  return Sender{state.id, state.incarnation, state.control, state.held, age};
}

std::vector<std::string> ReadersOf(const SpreadState& state,
                                   bool with_standbys) {
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  if (!state.leaving)
    ranked.emplace_back(spread::RankOf(state.id, spread::kReaderSeed),
                        &state.id);
  for (const auto& [id, peer] : state.peers) {
    // A suspect may be dead: one reader too many is better than none.
    if (peer.status == MemberStatus::kAlive)
      ranked.emplace_back(peer.reader_rank, &id);
  }
  const std::size_t wanted =
      state.settings.readers + (with_standbys ? state.settings.standbys : 0);
  const std::size_t count = std::min(wanted, ranked.size());
  const auto middle = ranked.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(ranked.begin(), middle, ranked.end(), std::greater<>{});
  std::vector<std::string> readers;
  for (std::size_t i = 0; i < count; ++i)
    readers.push_back(*ranked[i].second);
  return readers;
}

bool IsReader(const SpreadState& state, TimePoint now) {
  if (state.leaving || now < state.started + state.settings.reader_delay)
    return false;
  const std::size_t position = state.reader_position;
  const SpreadSettings& settings = state.settings;
  if (position < settings.readers)
    return true;
  // Replaces readers that died, or that alone lost the log, long before the
  // failure detector confirms a failure.
  return position < settings.readers + settings.standbys &&
         now - state.last_reader_heartbeat >= settings.standby_timeout;
}

bool IsReady(const SpreadState& state) {
  return state.floor_settled && state.held > 0 && state.held >= state.floor;
}

namespace spread {

void Count(SpreadState& state, SpreadCount counter) {
  ++state.counts.at(static_cast<std::size_t>(counter));
}

bool IsLive(const SpreadPeer& peer) {
  return peer.status == MemberStatus::kAlive ||
         peer.status == MemberStatus::kSuspect;
}

Duration RandomUpTo(Duration limit, Rng& rng) {
  if (limit <= Duration::zero())
    return Duration::zero();
  return Duration{
      std::uniform_int_distribution<Duration::rep>(0, limit.count())(rng)};
}

void Send(Call& call, const Address& to, Message message) {
  call.actions.sends.push_back({to, Transport::kDatagram, std::move(message)});
}

void SendStream(Call& call, const Address& to, Message message) {
  call.actions.sends.push_back({to, Transport::kStream, std::move(message)});
}

std::uint64_t RankOf(const std::string& id, std::uint64_t seed) {
  return XXH3_64bits_withSeed(id.data(), id.size(), seed);
}

std::uint64_t SeedOf(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

std::vector<std::string> TreeOrder(const SpreadState& state,
                                   ConfigVersion version) {
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  ranked.reserve(state.peers.size() + 1);
  ranked.emplace_back(RankOf(state.id, version), &state.id);
  for (const auto& [id, peer] : state.peers) {
    if (IsLive(peer))
      ranked.emplace_back(RankOf(id, version), &id);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> order;
  order.reserve(ranked.size());
  for (const auto& [rank, id] : ranked)
    order.push_back(*id);
  return order;
}

std::vector<const SpreadPeer*> RankedWitnesses(const SpreadState& state,
                                               std::size_t count,
                                               bool include_gone) {
  std::vector<const SpreadPeer*> ranked;
  for (const auto& [id, peer] : state.peers) {
    if (IsLive(peer) || (include_gone && peer.status == MemberStatus::kDead))
      ranked.push_back(&peer);
  }
  const std::size_t wanted = std::min(count, ranked.size());
  const auto middle = ranked.begin() + static_cast<std::ptrdiff_t>(wanted);
  std::partial_sort(ranked.begin(), middle, ranked.end(),
                    [](const SpreadPeer* left, const SpreadPeer* right) {
                      return left->witness_rank > right->witness_rank;
                    });
  ranked.resize(wanted);
  return ranked;
}

}  // namespace spread
}  // namespace teaselspread
