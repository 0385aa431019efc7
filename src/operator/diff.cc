#include "base/text.h"
#include "teaselspread/operator.h"

namespace teaselspread {
namespace {

std::string_view ValueAt(const Document& document, const std::string& path) {
  const auto leaf = document.leaves.find(path);
  return leaf == document.leaves.end() ? std::string_view() : leaf->second;
}

std::string AcceptedText(const PublishOutcome& outcome) {
  return Concat("publish ", outcome.publish_id, ": accepted as version ",
                outcome.offset, "\n");
}

std::string RefusedText(const PublishOutcome& outcome) {
  return Concat("publish ", outcome.publish_id, ": refused (",
                NameOf(outcome.reason), "): ", outcome.message, "\nversion ",
                outcome.head, " of publish ", outcome.head_publish_id,
                " stays in force\n");
}

}  // namespace

std::vector<Difference> DiffDocuments(const Document& before,
                                      const Document& after) {
  const Delta delta = MakeDelta(before, after);
  std::map<std::string, Difference> differences;
  for (const auto& [path, value] : delta.set) {
    differences[path] = {path, std::string(ValueAt(before, path)), value};
  }
  for (const std::string& path : delta.removed)
    differences[path] = {path, std::string(ValueAt(before, path)), ""};
  std::vector<Difference> sorted;
  sorted.reserve(differences.size());
  for (auto& [path, difference] : differences)
    sorted.push_back(std::move(difference));
  return sorted;
}

std::string FormatDifferences(const std::vector<Difference>& differences,
                              OutputFormat format) {
  if (format == OutputFormat::kJson) {
    Table table{{"path", "before", "after"}, {}};
    for (const auto& [path, before, after] : differences)
      table.rows.push_back({path, before, after});
    return FormatTable(table, format);
  }
  std::string text;
  for (const auto& [path, before, after] : differences) {
    if (!before.empty())
      text += Concat("- ", path, ": ", before, "\n");
    if (!after.empty())
      text += Concat("+ ", path, ": ", after, "\n");
  }
  return text;
}

Result<void> CheckExpectedHead(const FoldState& state,
                               ConfigVersion expected_head) {
  if (expected_head == state.head)
    return {};
  return Fail(ErrorKind::kConfigConflict,
              Concat("the files were made from version ", expected_head,
                     ", but version ", state.head, " of publish ",
                     state.head_publish_id, " is in force"));
}

Table OutcomeTable(const FoldState& state) {
  Table table{{"offset", "publish_id", "verdict", "in_force", "message"}, {}};
  for (const PublishOutcome& outcome : state.outcomes) {
    table.rows.push_back({Concat(outcome.offset), outcome.publish_id,
                          std::string(NameOf(outcome.reason)),
                          Concat(outcome.head), outcome.message});
  }
  return table;
}

std::string FormatOutcome(const PublishOutcome& outcome, OutputFormat format) {
  if (format == OutputFormat::kText) {
    return outcome.reason == FoldReason::kAccepted ? AcceptedText(outcome)
                                                   : RefusedText(outcome);
  }
  return Concat("{\"publish_id\": ", JsonText(outcome.publish_id),
                ", \"verdict\": ", JsonText(NameOf(outcome.reason)),
                ", \"offset\": ", outcome.offset, ", \"head\": ", outcome.head,
                ", \"head_publish_id\": ", JsonText(outcome.head_publish_id),
                ", \"message\": ", JsonText(outcome.message), "}\n");
}

}  // namespace teaselspread
