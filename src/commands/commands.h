// Internal declarations of teaselctl's commands.
#ifndef TEASELSPREAD_SRC_COMMANDS_COMMANDS_H_
#define TEASELSPREAD_SRC_COMMANDS_COMMANDS_H_

#include <iosfwd>
#include <string>

#include "teaselspread/commands.h"
#include "teaselspread/config.h"
#include "teaselspread/error.h"

namespace teaselspread {

// Output streams of a command: results to `out`, progress and errors to `err`.
struct CommandStreams {
  std::ostream& out;
  std::ostream& err;
};

// Prints the error message to `err` and returns its exit code.
ExitCode Report(const Error& error, const CommandStreams& streams);

// Reads the folder of base file and overlays. Errors: kUsage, kConfigSyntax,
// kConfigInvalid.
[[nodiscard]] Result<Document> ReadSources(const std::string& folder);

// The commands. Each blocks up to the time-out.
ExitCode Validate(const CommandOptions& options, const CommandStreams& streams);
ExitCode RenderDataCenter(const CommandOptions& options,
                          const CommandStreams& streams);
ExitCode Diff(const CommandOptions& options, const CommandStreams& streams);
ExitCode Publish(const CommandOptions& options, const CommandStreams& streams);
ExitCode History(const CommandOptions& options, const CommandStreams& streams);
ExitCode Status(const CommandOptions& options, const CommandStreams& streams);
ExitCode Moves(const CommandOptions& options, const CommandStreams& streams);
ExitCode Watch(const CommandOptions& options, const CommandStreams& streams);
ExitCode Explain(const CommandOptions& options, const CommandStreams& streams);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_COMMANDS_COMMANDS_H_
