// The commands of teaselctl: file and network access around the pure functions
// of operator.h.
#ifndef TEASELSPREAD_COMMANDS_H_
#define TEASELSPREAD_COMMANDS_H_

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "teaselspread/operator.h"
#include "teaselspread/types.h"

namespace teaselspread {

// The values of the command line flags.
struct CommandOptions {
  // Folder with base.yaml and one overlay NAME.yaml for each data centre.
  std::string config;
  std::string deployment;
  std::string data_center;
  // "host:port" of the platform's log.
  std::string log;
  // "host:port" of nodes; each may be of another data centre.
  std::vector<std::string> nodes;
  std::string publish_id;
  // Publish a new origin although the log has lost every checkpoint.
  bool new_beginning = false;
  // The version that the operator's files were made from; 0 accepts any head.
  ConfigVersion expected_head = 0;
  OutputFormat output = OutputFormat::kText;
  Duration timeout = std::chrono::seconds(30);
  // For `watch`: the version to wait for, or 0 to wait until all moves ended.
  ConfigVersion version = 0;
  // For `explain`.
  std::string method = "GET";
  std::string path;
};

struct CommandInfo {
  std::string_view name;
  std::string_view description;
};

// All commands, for the help text. Thread safe.
[[nodiscard]] const std::vector<CommandInfo>& Commands();

// Runs one command: its result goes to `out`, progress and errors to `err`.
// Blocks up to the timeout. Thread safe on different streams.
[[nodiscard]] ExitCode RunCommand(const std::string& name,
                                  const CommandOptions& options,
                                  std::ostream& out,
                                  std::ostream& err);

}  // namespace teaselspread

#endif  // TEASELSPREAD_COMMANDS_H_
