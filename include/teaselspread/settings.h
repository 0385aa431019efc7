// Settings of the daemons, read by one process on one VM at startup.
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

// Destination and level of the process's own log; an empty file means standard
// error.
struct LoggingSettings {
  std::string file;
  LogLevel level = LogLevel::kInfo;
};

// The defaults suit data centres 1 to 2 ms apart.
struct TimingSettings {
  // Interval between probes of two members (SWIM's protocol period).
  Duration probe_interval = std::chrono::seconds(1);
  // Maximum time for the response of a probed member.
  Duration probe_timeout = std::chrono::milliseconds(300);
  // Time for which one read of the log waits for new records (long poll).
  Duration log_poll = std::chrono::seconds(2);
  // Time-out of one call to the log.
  Duration log_timeout = std::chrono::seconds(2);
  // Interval between exchanges with another data centre.
  Duration exchange_interval = std::chrono::seconds(1);
  // Time after which an announcement that its upstream did not renew expires.
  Duration announcement_lease = std::chrono::seconds(3);
};

// The parameters of the platform's log service that its readers need.
struct LogServiceSettings {
  Address address;
  // Time for which the log service keeps a record.
  Duration retention = std::chrono::hours(24);
};

struct NodeSettings {
  // The VM's name, unique in the deployment.
  std::string vm;
  std::string deployment;
  std::string data_center;
  // Listens for callers, requests of other nodes, and operators.
  Address http;
  // Messages between nodes; UDP and TCP use the same port number.
  Address control;
  // Announcements of the upstream on this VM, on the loopback interface.
  // Default: 127.0.0.1 with the port of `http`.
  Address announce;
  // The upstream on this VM.
  Address upstream;
  LogServiceSettings log;
  // Control addresses of some nodes of the local data centre.
  std::vector<Address> seeds;
  // The same for each other data centre.
  std::map<std::string, std::vector<Address>> remote_seeds;
  // Memory of the VM for this process in MB; 0 for what the kernel reports.
  double memory_mb = 0;
  LoggingSettings logging;
  TimingSettings timings;
};

// Reads and validates the file. An error is one line "file:line: field: what
// was expected" of kind kSettings. Blocks on file I/O. Thread safe.
[[nodiscard]] Result<NodeSettings> LoadNodeSettings(const std::string& path);

// Parses and validates text that was read from `file`. Thread safe.
[[nodiscard]] Result<NodeSettings> ParseNodeSettings(const std::string& file,
                                                     const std::string& text);

// Parses "10.0.0.1:8080" or "[::1]:8080". The host must be an IP address, since
// processes take addresses from their settings and do no name resolution. Fails
// with kSettings. Thread safe.
[[nodiscard]] Result<Address> ParseAddress(std::string_view text);

// Formats an address in the form that ParseAddress reads. Thread safe.
[[nodiscard]] std::string ToString(const Address& address);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SETTINGS_H_
