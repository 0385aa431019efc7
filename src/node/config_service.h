// Keeps the configuration in force, and folds the log while the node reads it.
#ifndef TEASELSPREAD_NODE_CONFIG_SERVICE_H_
#define TEASELSPREAD_NODE_CONFIG_SERVICE_H_

#include <atomic>
#include <cstddef>
#include <string>

#include "node/messages.h"
#include "teaselspread/config.h"
#include "teaselspread/config_log.h"
#include "teaselspread/kernel.h"
#include "teaselspread/snapshot.h"

namespace teaselspread {

// What is in force on this node.
struct ConfigInForce {
  ConfigVersion version = 0;
  std::string publish_id;
  Digest digest;
  Document document;
  SnapshotPtr snapshot;
};

// Not thread safe: belongs to the kernel's thread.
struct ConfigService {
  std::string data_center;
  CheckpointRule checkpoint_rule;
  ConfigInForce in_force;
  // The fold runs ahead of what is in force: a version is put in force only
  // once its witnesses know of it.
  FoldState fold;
  CheckpointTimer checkpoint_timer;
  bool reader = false;
  // The last read left nothing behind in the log.
  bool reached_end = false;
  // The limit in force, for the callers' threads.
  std::atomic<std::size_t> max_header_bytes{LimitsConfig{}.max_header_bytes};
  Rng rng;
};

// Registers the service. Precondition: `service` outlives `kernel`.
void StartConfigService(Kernel& kernel, ConfigService& service);

// The configuration that `updates` make of `current`, all of it or nothing.
// Errors: kMissingParent, kDigestMismatch, kConfigInvalid, kFrameMalformed,
// kStaleVersion. Thread safe.
[[nodiscard]] Result<ConfigInForce> ApplyTo(
    const ConfigInForce& current,
    const std::vector<ConfigUpdate>& updates,
    const std::string& data_center);

// `config` as one full update for other nodes. Thread safe.
[[nodiscard]] ConfigUpdate FullUpdateOf(const ConfigInForce& config);

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_CONFIG_SERVICE_H_
