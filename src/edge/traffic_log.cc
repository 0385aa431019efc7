#include "edge/traffic_log.h"

#include "edge/edge_node.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

constexpr Duration kTrafficLogInterval = std::chrono::seconds(10);

void LogLinkTraffic(const Links& links) {
  for (std::size_t i = 0; i < CounterTable<FrameKind>::kSize; ++i) {
    const auto kind = static_cast<FrameKind>(i);
    const std::uint64_t near = links.frames_near.Get(kind);
    const std::uint64_t far = links.frames_far.Get(kind);
    if (near + far == 0)
      continue;
    Log(LogLevel::kInfo, "links", "traffic",
        {{"frame", NameOf(kind)},
         {"near_frames", near},
         {"near_bytes", links.sent_near.Get(kind)},
         {"far_frames", far},
         {"far_bytes", links.sent_far.Get(kind)}});
  }
}

void LogStatusTopics(const CounterTable<StatusTopic>& topics) {
  for (std::size_t i = 0; i < kStatusTopics; ++i) {
    const auto topic = static_cast<StatusTopic>(i);
    if (const std::uint64_t sends = topics.Get(topic); sends > 0) {
      Log(LogLevel::kInfo, "links", "traffic",
          {{"topic", NameOf(topic)}, {"sends", sends}});
    }
  }
}

void LogStoreCalls(const CounterTable<StoreCall>& calls) {
  for (std::size_t i = 0; i < CounterTable<StoreCall>::kSize; ++i) {
    const auto call = static_cast<StoreCall>(i);
    if (const std::uint64_t count = calls.Get(call); count > 0) {
      Log(LogLevel::kInfo, "store", "calls",
          {{"call", NameOf(call)}, {"count", count}});
    }
  }
}

}  // namespace

void LogTrafficIfDue(EdgeNode& node, TimePoint now) {
  if (now - node.traffic_logged_at < kTrafficLogInterval)
    return;
  node.traffic_logged_at = now;
  LogLinkTraffic(node.links);
  LogStatusTopics(node.links.topics_sent);
  LogStoreCalls(node.store_calls);
}

}  // namespace teaselspread
