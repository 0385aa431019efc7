#include "commands/commands.h"

#include <ostream>

namespace teaselspread {
namespace {

using Handler = ExitCode (*)(const CommandOptions&, const CommandStreams&);

struct Command {
  CommandInfo row;
  Handler handler;
};

const std::vector<Command>& AllCommands() {
  static const std::vector<Command> table = {
      {{"validate", "check the files of every data centre"}, Validate},
      {{"render", "print the merged configuration of one data centre"},
       RenderDataCenter},
      {{"diff", "compare the files with what is accepted in the log"}, Diff},
      {{"publish", "append the files and wait for the verdict"}, Publish},
      {{"history", "the last publishes and what became of each"}, History},
      {{"status", "which version each proxy holds"}, Status},
      {{"moves", "the account of all moves"}, Moves},
      {{"watch",
        "wait until version --until is in force, or until all moves ended"},
       Watch},
      {{"explain", "how a request is routed, and why it was refused"}, Explain},
  };
  return table;
}

}  // namespace

const std::vector<CommandInfo>& Commands() {
  static const std::vector<CommandInfo> rows = [] {
    std::vector<CommandInfo> all;
    for (const Command& command : AllCommands())
      all.push_back(command.row);
    return all;
  }();
  return rows;
}

ExitCode RunCommand(const std::string& name,
                    const CommandOptions& options,
                    std::ostream& out,
                    std::ostream& err) {
  const CommandStreams streams{out, err};
  for (const Command& command : AllCommands()) {
    if (command.row.name == name)
      return command.handler(options, streams);
  }
  return Report({ErrorKind::kUsage, "no command " + name + "; see --help"},
                streams);
}

}  // namespace teaselspread
