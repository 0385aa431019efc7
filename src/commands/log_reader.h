// Reads and folds the log from its oldest record, for the operator commands.
#ifndef TEASELSPREAD_SRC_COMMANDS_LOG_READER_H_
#define TEASELSPREAD_SRC_COMMANDS_LOG_READER_H_

#include <memory>
#include <string>

#include "teaselspread/commands.h"
#include "teaselspread/config_log.h"
#include "teaselspread/error.h"
#include "teaselspread/log_client.h"

namespace teaselspread {

// Not thread safe.
struct LogReader {
  std::unique_ptr<LogClient> client;
  std::string stream;
  FoldState fold;
};

// Sends nothing yet. Errors: kUsage without --log or --deployment.
[[nodiscard]] Result<LogReader> OpenLog(const CommandOptions& options);

// Folds up to the end of the log. Errors: kLogUnavailable, kLogExpired. Blocks
// up to the client's time-outs.
[[nodiscard]] Result<void> ReadToEnd(LogReader& reader);

// OpenLog followed by ReadToEnd.
[[nodiscard]] Result<LogReader> ReadWholeLog(const CommandOptions& options);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_COMMANDS_LOG_READER_H_
