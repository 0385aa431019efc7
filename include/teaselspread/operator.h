// What teaselctl shows and how it ends: the pure part of the command line.
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

// How teaselctl ends. Scripts depend on the numbers: they never change.
enum class ExitCode : std::uint8_t {
  kOk = 0,
  // Something that fits no other code.
  kFailed = 1,
  // Bad flags or arguments.
  kUsage = 2,
  // The files are not valid; nothing was published.
  kInvalid = 3,
  // Another publish came first; nothing changed.
  kConflict = 4,
  // The log or the nodes cannot be reached; nothing is known to have changed.
  kUnreachable = 5,
  // The append may have taken effect; run the same publish again.
  kUnknown = 6,
  // Not reached in the time given by the operator.
  kTimeout = 7,
  // `diff` found differences.
  kDifferent = 8,
};

// One row of the table of exit codes.
struct ExitCodeInfo {
  ExitCode code;
  std::string_view name;
  std::string_view description;
};

// All exit codes, for the help text and the docs. Thread safe.
[[nodiscard]] const std::vector<ExitCodeInfo>& ExitCodes();

// The code for an error of `kind`. Thread safe.
[[nodiscard]] ExitCode ExitCodeOf(ErrorKind kind);

// The code for the verdict on a publish. A duplicate is to be looked up by
// FindOutcome first. Thread safe.
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

// One leaf that differs. An empty text stands for "not there".
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

// Whether the version that the operator's files were made from is still the
// accepted one. A publish takes the head as its parent when it is made, so that
// without this an operator with an old copy of the files would undo what others
// have published since, without a conflict. Fails with kConfigConflict and
// names the winner. Precondition: the state is folded to the log's end.
// Thread safe.
[[nodiscard]] Result<void> CheckExpectedHead(const FoldState& state,
                                             ConfigVersion expected_head);

// The last publishes with their verdicts, oldest first. Thread safe.
[[nodiscard]] Table OutcomeTable(const FoldState& state);

// What `publish` says in the end: accepted as which version, or refused, why
// and by whom it was beaten. Thread safe.
[[nodiscard]] std::string FormatOutcome(const PublishOutcome& outcome,
                                        OutputFormat format);

}  // namespace teaselspread

#endif  // TEASELSPREAD_OPERATOR_H_
