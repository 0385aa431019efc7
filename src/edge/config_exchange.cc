#include "edge/config_exchange.h"

#include <array>
#include <vector>

#include "base/clock.h"
#include "edge/edge_node.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

ConfigVersion HeldVersion(const EdgeNode& node) {
  const SnapshotPtr& held = node.entry.CurrentSnapshot();
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

void FetchNewerConfig(EdgeNode& node) {
  ConfigExchange& exchange = node.config_exchange;
  const ConfigVersion held = HeldVersion(node);
  // A reader that reaches the store gets the change there within its interval
  // between reads.
  const bool is_reader = node.orders.Role() != ReaderRole::kNonReader &&
                         node.orders.StoreReachable();
  const auto peer = NextToQuery(exchange.fetch, HoldersOf(node), held,
                                is_reader, SteadyNow(), node.rng);
  if (!peer)
    return;
  exchange.counters.Add(CopyEvent::kRequested);
  Log(LogLevel::kInfo, "config", "asked",
      {{"node", *peer},
       {"held", held},
       {"theirs", node.links.Find(*peer)->status.held_version},
       {"whole", exchange.request_whole ? 1 : 0}});
  node.links.RequestConfig(
      *peer, exchange.request_whole ? 0 : exchange.archive.NewestDigest());
}

LinkFrame RespondToConfigRequest(EdgeNode& node,
                                 const std::string& from,
                                 std::uint64_t digest) {
  ConfigExchange& exchange = node.config_exchange;
  const TimePoint now = SteadyNow();
  ExpireCopies(exchange.in_flight, now);
  // A node that requests again has lost the copy that was sent to it.
  exchange.in_flight.by_node.erase(from);
  // The receiver takes it that the sender has told it all other orders.
  auto copy = node.gate.OrdersKnown()
                  ? exchange.archive.CopyFor(digest)
                  : Fail(ErrorKind::kNotReady, "orders not read yet");
  if (!copy || !MaySendCopy(exchange.in_flight, copy->packed.size())) {
    exchange.counters.Add(CopyEvent::kTooManyInFlight);
    Log(LogLevel::kInfo, "config", "not-handed-out",
        {{"node", from},
         {"reason", copy ? "too-many-under-way" : NameOf(copy.error().kind)},
         {"under_way", exchange.in_flight.by_node.size()}});
    return ConfigBusy{};
  }
  exchange.counters.Add(CopyEvent::kSent);
  exchange.in_flight.by_node[from] = {copy->packed.size(), copy->version, now};
  Log(LogLevel::kInfo, "config", "handed-out",
      {{"node", from},
       {"version", copy->version},
       {"bytes", copy->packed.size()},
       {"whole", copy->base_digest == 0 ? 1 : 0},
       {"under_way", exchange.in_flight.by_node.size()}});
  return std::move(*copy);
}

void OnConfigCopy(EdgeNode& node,
                  const std::string& from,
                  const ConfigFrame& copy) {
  ConfigExchange& exchange = node.config_exchange;
  const ConfigVersion held = HeldVersion(node);
  Log(LogLevel::kInfo, "config", "received",
      {{"node", from},
       {"version", copy.version},
       {"held", held},
       {"bytes", copy.packed.size()},
       {"after_ask_ms", Millis(SteadyNow() - exchange.fetch.queried_at)}});
  OnFetchResponse(exchange.fetch, from);
  if (copy.version <= held) {
    exchange.counters.Add(CopyEvent::kNotNeeded);
    return;
  }
  const auto record = exchange.archive.Unpack(copy);
  exchange.request_whole = !record;
  if (!record) {
    exchange.counters.Add(CopyEvent::kUnreadable);
    Log(LogLevel::kWarning, "config", "copy-unreadable",
        {{"node", from},
         {"reason", NameOf(record.error().kind)},
         {"message", record.error().message}});
    return;
  }
  exchange.counters.Add(CopyEvent::kApplied);
  ApplyOrder(node, *record);
  // The node that sent it knows the other orders, too, and has told them on
  // the same link before.
  node.gate.SetOrdersKnown();
}

void OnConfigBusy(EdgeNode& node, const std::string& from) {
  OnFetchBusy(node.config_exchange.fetch, from, SteadyNow());
  FetchNewerConfig(node);
}

void OnPeerVersion(EdgeNode& node,
                   const std::string& peer,
                   ConfigVersion held) {
  OnVersionHeld(node.config_exchange.in_flight, peer, held);
  if (held > HeldVersion(node))
    FetchNewerConfig(node);
}

void OnPeerLost(EdgeNode& node, const std::string& peer) {
  node.config_exchange.in_flight.by_node.erase(peer);
  OnFetchLost(node.config_exchange.fetch, peer);
  FetchNewerConfig(node);
}

}  // namespace teaselspread
