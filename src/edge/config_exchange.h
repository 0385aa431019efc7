// Configurations between nodes: asks others for a newer one, hands out the own
// one and takes in what comes.
#ifndef TEASELSPREAD_SRC_EDGE_CONFIG_EXCHANGE_H_
#define TEASELSPREAD_SRC_EDGE_CONFIG_EXCHANGE_H_

#include <string>

#include "edge/config_copy.h"
#include "edge/config_fetch.h"
#include "edge/frames.h"
#include "teaselspread/counters.h"

namespace teaselspread {

struct EdgeNode;

// How copies fare, for the metrics.
enum class CopyEvent : std::uint8_t {
  kRequested,
  kSent,
  kTooManyInFlight,
  kApplied,
  // A copy of a version that was held by then.
  kNotNeeded,
  kUnreadable,
  kCount,
};

// Stable name of a counter. Thread safe.
[[nodiscard]] std::string_view NameOf(CopyEvent event);

// Belongs to the thread that runs the loop.
struct ConfigExchange {
  ConfigArchive archive;
  FetchState fetch;
  CopiesInFlight in_flight;
  // The last copy could not be read: the next one has to be whole.
  bool request_whole = false;
  CounterTable<CopyEvent> counters;
};

// Asks the best node in touch, if one holds a newer configuration and no other
// owes an answer.
void FetchNewerConfig(EdgeNode& node);

// Answer to a node that holds the record with this digest.
[[nodiscard]] LinkFrame RespondToConfigRequest(EdgeNode& node,
                                               const std::string& from,
                                               std::uint64_t digest);

void OnConfigCopy(EdgeNode& node,
                  const std::string& from,
                  const ConfigFrame& copy);
// `from` sends no copy to this node now.
void OnConfigBusy(EdgeNode& node, const std::string& from);

// `peer` told its status.
void OnPeerVersion(EdgeNode& node, const std::string& peer, ConfigVersion held);
void OnPeerLost(EdgeNode& node, const std::string& peer);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_CONFIG_EXCHANGE_H_
