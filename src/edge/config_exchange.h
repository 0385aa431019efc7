// Exchange of configurations between nodes: requests a newer one from another
// node, sends the own one on request and applies the copies that arrive.
#ifndef TEASELSPREAD_SRC_EDGE_CONFIG_EXCHANGE_H_
#define TEASELSPREAD_SRC_EDGE_CONFIG_EXCHANGE_H_

#include <string>

#include "edge/config_copy.h"
#include "edge/config_fetch.h"
#include "edge/frames.h"
#include "teaselspread/counters.h"

namespace teaselspread {

struct EdgeNode;

// Events of the exchange, counted for the metrics.
enum class CopyEvent : std::uint8_t {
  kRequested,
  kSent,
  kTooManyInFlight,
  kApplied,
  // The version, or a newer one, was already held when the copy arrived.
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
  // The last copy could not be unpacked, so the next one has to be whole.
  bool request_whole = false;
  CounterTable<CopyEvent> counters;
};

// Queries the best connected node, if one holds a newer configuration and no
// response is awaited from another.
void FetchNewerConfig(EdgeNode& node);

// The response to node `from`, which holds the record with this digest.
[[nodiscard]] LinkFrame RespondToConfigRequest(EdgeNode& node,
                                               const std::string& from,
                                               std::uint64_t digest);

void OnConfigCopy(EdgeNode& node,
                  const std::string& from,
                  const ConfigFrame& copy);
// `from` refuses to send a copy now, or ignored the request.
void OnConfigBusy(EdgeNode& node, const std::string& from);

// `peer` reported in its status that it holds `held`.
void OnPeerVersion(EdgeNode& node, const std::string& peer, ConfigVersion held);
void OnPeerLost(EdgeNode& node, const std::string& peer);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_CONFIG_EXCHANGE_H_
