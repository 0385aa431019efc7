// Output formats and exit codes of teaselctl: the pure part of the command
// line, without files or sockets.
#ifndef TEASELSPREAD_OPERATOR_H_
#define TEASELSPREAD_OPERATOR_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "teaselspread/config.h"
#include "teaselspread/config_log.h"
#include "teaselspread/error.h"
#include "teaselspread/snapshot.h"

namespace teaselspread {

// Exit codes of teaselctl. Scripts depend on the numbers: they never change.
enum class ExitCode : std::uint8_t {
  kOk = 0,
  // Any failure without a code of its own.
  kFailed = 1,
  // Bad flags or arguments.
  kUsage = 2,
  // The files are not valid; nothing was published.
  kInvalid = 3,
  // Another publish was accepted first; nothing changed.
  kConflict = 4,
  // The log or the nodes cannot be reached; nothing is known to have changed.
  kUnreachable = 5,
  // The append may have taken effect; run the same publish again.
  kUnknown = 6,
  // Not reached within the operator's time-out.
  kTimeout = 7,
  // `diff` found differences.
  kDifferent = 8,
};

struct ExitCodeInfo {
  ExitCode code;
  std::string_view name;
  std::string_view description;
};

// All exit codes, for the help text and the docs. Thread safe.
[[nodiscard]] const std::vector<ExitCodeInfo>& ExitCodes();

// The exit code for an error of `kind`. Thread safe.
[[nodiscard]] ExitCode ExitCodeOf(ErrorKind kind);

// The exit code for the verdict on a publish. Precondition: a duplicate has
// been resolved by FindOutcome. Thread safe.
[[nodiscard]] ExitCode ExitCodeOf(FoldReason reason);

enum class OutputFormat : std::uint8_t { kText, kJson };

// Columns and rows of text. Preconditions: each row has one cell for each
// column.
struct Table {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

// Aligned text with a heading, or a JSON list of objects, one a line. Ends in a
// line break. Thread safe.
[[nodiscard]] std::string FormatTable(const Table& table, OutputFormat format);

// A JSON string with its quotes. Bytes that are no UTF-8 become U+FFFD.
// Thread safe.
[[nodiscard]] std::string JsonText(std::string_view text);

// The merged configuration of one data centre as YAML, every field written out,
// in an order that depends on the content alone. It is itself a valid base
// file. Thread safe.
[[nodiscard]] std::string FormatYaml(const Snapshot& snapshot);

// The same as JSON. Thread safe.
[[nodiscard]] std::string FormatJson(const Snapshot& snapshot);

// One leaf that differs. An empty text means that the leaf is absent.
struct Difference {
  std::string path;
  std::string before;
  std::string after;

  bool operator==(const Difference&) const = default;
};

// Leaves that differ, sorted by path. Thread safe.
[[nodiscard]] std::vector<Difference> DiffDocuments(const Document& before,
                                                    const Document& after);

// "- path: value" and "+ path: value" lines, or a JSON list. Empty text if
// nothing differs. Thread safe.
[[nodiscard]] std::string FormatDifferences(
    const std::vector<Difference>& differences,
    OutputFormat format);

// Checks that the version that the operator's files were made from is still the
// head. A publish takes the current head as its parent, so without this check
// outdated files would undo later publishes of others without a conflict. Fails
// with kConfigConflict and names the accepted publish. Precondition: the state
// is folded to the end of the log. Thread safe.
[[nodiscard]] Result<void> CheckExpectedHead(const FoldState& state,
                                             ConfigVersion expected_head);

// The last publishes with their verdicts, oldest first. Thread safe.
[[nodiscard]] Table OutcomeTable(const FoldState& state);

// The result of `publish`: the accepted version, or the reason of the refusal
// and the publish that is in force. Thread safe.
[[nodiscard]] std::string FormatOutcome(const PublishOutcome& outcome,
                                        OutputFormat format);

}  // namespace teaselspread

#endif  // TEASELSPREAD_OPERATOR_H_
