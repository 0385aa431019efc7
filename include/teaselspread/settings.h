// Settings of the daemons: what one process on one VM is told at its start.
#ifndef TEASELSPREAD_SETTINGS_H_
#define TEASELSPREAD_SETTINGS_H_

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "teaselspread/error.h"
#include "teaselspread/logging.h"
#include "teaselspread/types.h"

namespace teaselspread {

// Where the process writes its own log; an empty file means standard error.
struct LoggingSettings {
  std::string file;
  LogLevel level = LogLevel::kInfo;
};

// Intervals that suit data centres 1 to 2 ms apart.
struct TimingSettings {
  // Between probes of two members (SWIM's protocol period).
  Duration probe_interval = std::chrono::seconds(1);
  // Answer of a probed member.
  Duration probe_timeout = std::chrono::milliseconds(300);
  // How long one read of the log waits for news.
  Duration log_poll = std::chrono::seconds(2);
  // One call to the log.
  Duration log_timeout = std::chrono::seconds(2);
  // Between exchanges with another data centre.
  Duration exchange_interval = std::chrono::seconds(1);
  // After which an upstream that did not renew its announcement is gone.
  Duration announcement_lease = std::chrono::seconds(3);
};

// The platform's log service as far as readers must know it.
struct LogServiceSettings {
  Address address;
  // How long it keeps a record.
  Duration retention = std::chrono::hours(24);
};

struct NodeSettings {
  // The VM's name, unique in the deployment.
  std::string vm;
  std::string deployment;
  std::string data_center;
  // Callers, other nodes' requests and operators.
  Address http;
  // Messages between nodes, UDP and TCP on one number.
  Address control;
  // Announcements of the upstream on this VM, on the loopback interface. If the
  // file leaves it out: 127.0.0.1 at the port of `http`.
  Address announce;
  // The upstream on this VM.
  Address upstream;
  LogServiceSettings log;
  // Control addresses of some nodes of the own data centre.
  std::vector<Address> seeds;
  // The same for each other data centre.
  std::map<std::string, std::vector<Address>> remote_seeds;
  LoggingSettings logging;
  TimingSettings timings;
};

// Reads the file. Every field is checked; an error is one line "file:line:
// field: what was expected" of kind kSettings. Blocks on the file. Thread safe.
[[nodiscard]] Result<NodeSettings> LoadNodeSettings(const std::string& path);

// The same from text that was read from `file`. Thread safe.
[[nodiscard]] Result<NodeSettings> ParseNodeSettings(const std::string& file,
                                                     const std::string& text);

// "10.0.0.1:8080", or "[::1]:8080". Host must be an IP number: processes learn
// addresses from their settings and ask no name service. Fails with kSettings.
// Thread safe.
[[nodiscard]] Result<Address> ParseAddress(std::string_view text);

// The form that ParseAddress reads. Thread safe.
[[nodiscard]] std::string ToString(const Address& address);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SETTINGS_H_
