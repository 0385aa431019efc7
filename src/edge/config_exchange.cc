#include "edge/config_exchange.h"

#include <array>
#include <vector>

#include "base/clock.h"
#include "edge/edge_node.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

ConfigVersion HeldVersion(const EdgeNode& node) {
  const SnapshotPtr& held = node.entry.InForce();
  return held ? held->version : 0;
}

std::vector<ConfigHolder> HoldersOf(const EdgeNode& node) {
  std::vector<ConfigHolder> holders;
  for (const auto& [name, peer] : node.links.Peers()) {
    if (peer.connected) {
      holders.push_back({name, peer.status.held_version,
                         peer.data_center == node.settings.data_center});
    }
  }
  return holders;
}

auto Millis(Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}  // namespace

std::string_view NameOf(CopyEvent event) {
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(CopyEvent::kCount)>
      kNames = {"asked", "handed-out", "too-many-under-way",
                "taken", "not-needed", "unreadable"};
  return kNames.at(static_cast<std::size_t>(event));
}

void FetchNewer(EdgeNode& node) {
  ConfigExchange& exchange = node.exchange;
  const ConfigVersion held = HeldVersion(node);
  // A reader in touch has it within its own time of gathering.
  const bool reads =
      node.orders.Role() != ReaderRole::kTold && node.orders.StoreReachable();
  const auto peer = NextToAsk(exchange.fetch, HoldersOf(node), held, reads,
                              SteadyNow(), node.rng);
  if (!peer)
    return;
  exchange.counters.Add(CopyEvent::kAsked);
  Log(LogLevel::kInfo, "config", "asked",
      {{"node", *peer},
       {"held", held},
       {"theirs", node.links.Find(*peer)->status.held_version},
       {"whole", exchange.ask_whole ? 1 : 0}});
  node.links.RequestConfig(*peer,
                           exchange.ask_whole ? 0 : exchange.archive.Newest());
}

LinkFrame AnswerAsk(EdgeNode& node,
                    const std::string& from,
                    std::uint64_t digest) {
  ConfigExchange& exchange = node.exchange;
  const TimePoint now = SteadyNow();
  ForgetOldCopies(exchange.under_way, now);
  // Whoever asks again has lost what it was sent.
  exchange.under_way.to.erase(from);
  auto copy = exchange.archive.CopyFor(digest);
  if (!copy || !MayHandOut(exchange.under_way, copy->packed.size())) {
    exchange.counters.Add(CopyEvent::kTooManyUnderWay);
    Log(LogLevel::kInfo, "config", "not-handed-out",
        {{"node", from},
         {"reason", copy ? "too-many-under-way" : NameOf(copy.error().kind)},
         {"under_way", exchange.under_way.to.size()}});
    return ConfigBusy{};
  }
  exchange.counters.Add(CopyEvent::kHandedOut);
  exchange.under_way.to[from] = {copy->packed.size(), copy->version, now};
  Log(LogLevel::kInfo, "config", "handed-out",
      {{"node", from},
       {"version", copy->version},
       {"bytes", copy->packed.size()},
       {"whole", copy->base_digest == 0 ? 1 : 0},
       {"under_way", exchange.under_way.to.size()}});
  return std::move(*copy);
}

void TakeCopy(EdgeNode& node,
              const std::string& from,
              const ConfigFrame& copy) {
  ConfigExchange& exchange = node.exchange;
  const ConfigVersion held = HeldVersion(node);
  Log(LogLevel::kInfo, "config", "received",
      {{"node", from},
       {"version", copy.version},
       {"held", held},
       {"bytes", copy.packed.size()},
       {"after_ask_ms", Millis(SteadyNow() - exchange.fetch.asked_at)}});
  OnFetchAnswer(exchange.fetch, from);
  if (copy.version <= held) {
    exchange.counters.Add(CopyEvent::kNotNeeded);
    return;
  }
  const auto record = exchange.archive.Read(copy);
  exchange.ask_whole = !record;
  if (!record) {
    exchange.counters.Add(CopyEvent::kUnreadable);
    Log(LogLevel::kWarning, "config", "copy-unreadable",
        {{"node", from},
         {"reason", NameOf(record.error().kind)},
         {"message", record.error().message}});
    return;
  }
  exchange.counters.Add(CopyEvent::kTaken);
  TakeOrder(node, *record);
}

void TakeBusy(EdgeNode& node, const std::string& from) {
  OnFetchBusy(node.exchange.fetch, from, SteadyNow());
  FetchNewer(node);
}

void OnPeerHolds(EdgeNode& node, const std::string& peer, ConfigVersion held) {
  OnHeld(node.exchange.under_way, peer, held);
  if (held > HeldVersion(node))
    FetchNewer(node);
}

void OnPeerLost(EdgeNode& node, const std::string& peer) {
  node.exchange.under_way.to.erase(peer);
  OnFetchLost(node.exchange.fetch, peer);
  FetchNewer(node);
}

}  // namespace teaselspread
