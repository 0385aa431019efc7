#include "teaselspread/operator.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

namespace teaselspread {
namespace {

const std::string kBase = R"(deployment: addis
data_centers: [bole, piassa]
services:
  registry-desk: {version: "1.10", warm_up: 90s}
routes:
  case-index: {service: registry-desk, method: GET, path_prefix: /cases}
  filing:
    service: registry-desk
    method: POST
    path_prefix: /filings
    idempotent: false
    priority: background
moves:
  m1:
    service: registry-desk
    from: "1.10"
    to: "true"
    start: 2026-12-04T18:00:00Z
    by: 2026-12-04T22:00:00Z
    bounds: {slowdown: 1.25}
)";

Document Load(const std::string& base) {
  auto document = LoadSources({{"base.yaml", base}, {}});
  cr_assert(document.has_value(), "%s", document.error().message.c_str());
  return std::move(*document);
}

// Rendering that drops a field, or writes version 1.10 without quotes so that
// it is read back as 1.1, would show another configuration than the one in
// force.
Test(operator_output, rendered_yaml_is_a_base_file_with_the_same_content) {
  const auto first = Render(Load(kBase), "bole", 7);
  const std::string text = FormatYaml(**first);
  const auto second = Render(Load(text), "bole", 7);
  cr_assert(FormatYaml(**second) == text);
  cr_assert((*second)->moves.at("m1").to == "true");
  cr_assert((*second)->moves.at("m1").bounds.slowdown == 1.25);
  cr_assert(text.find("version: \"1.10\"") != std::string::npos);
  cr_assert((*second)->services.at("registry-desk").version == "1.10");
  cr_assert((*second)->routes.front().idempotent == false);
}

Test(operator_output, json_has_the_version_and_plain_numbers) {
  const std::string text = FormatJson(**Render(Load(kBase), "bole", 7));
  for (const char* part :
       {"\"version\": 7,", "\"data_center\": \"bole\"", "\"slowdown\": 1.25",
        "\"idempotent\": false", "\"data_centers\": [\"bole\", \"piassa\"]"}) {
    cr_assert(text.find(part) != std::string::npos, "%s\n%s", part,
              text.c_str());
  }
}

Test(operator_output, differences_name_each_leaf_once) {
  std::string changed = kBase;
  changed.replace(changed.find("/cases"), 6, "/indexes");
  changed.replace(changed.find("    priority: background\n"), 25, "");
  const auto differences = DiffDocuments(Load(kBase), Load(changed));
  cr_assert(FormatDifferences(differences, OutputFormat::kText) ==
            "- base/routes/case-index/path_prefix: /cases\n"
            "+ base/routes/case-index/path_prefix: /indexes\n"
            "- base/routes/filing/priority: background\n");
  cr_assert(FormatDifferences({}, OutputFormat::kText).empty());
}

Test(operator_output, table_columns_align_and_json_is_escaped) {
  const Table table{{"vm", "version"}, {{"bole-01", "7"}, {"a\"b", "12"}}};
  cr_assert(FormatTable(table, OutputFormat::kText) ==
            "vm       version\nbole-01  7\na\"b      12\n");
  cr_assert(FormatTable(table, OutputFormat::kJson) ==
            "[\n  {\"vm\": \"bole-01\", \"version\": \"7\"},\n"
            "  {\"vm\": \"a\\\"b\", \"version\": \"12\"}\n]\n");
  cr_assert(FormatTable({{"vm"}, {}}, OutputFormat::kJson) == "[]\n");
}

Test(operator_output, json_text_is_always_valid_utf8) {
  cr_assert(JsonText("a\n\x01\x7f") == "\"a\\n\\u0001\\u007f\"");
  cr_assert(JsonText("\xe1\x88\xa0") == "\"\xe1\x88\xa0\"");
  for (const char* invalid : {"\xff", "\xc0", "\xed", "\xe1"})
    cr_assert(JsonText(invalid) == "\"\xef\xbf\xbd\"");
}

Test(operator_output, a_conflict_names_the_winning_publish) {
  const std::string text =
      FormatOutcome({"mine", 9, FoldReason::kConflict, 8, "theirs",
                     "parent 7 is not the accepted version 8"},
                    OutputFormat::kText);
  cr_assert(text.find("refused (conflict)") != std::string::npos);
  cr_assert(text.find("version 8 of publish theirs") != std::string::npos);
}

// Two operators change copies of the same files. The second publish takes the
// first one's version as its parent, so the log detects no conflict and the
// first change is lost.
Test(operator_output, files_made_from_an_old_version_are_a_conflict) {
  FoldState state;
  const Document document = Load(kBase);
  Fold(state, 1, EncodeRecord(MakeChange(state, document, "theirs")));
  cr_assert(CheckExpectedHead(state, 1).has_value());
  const auto outdated = CheckExpectedHead(state, 0);
  cr_assert(outdated.error().kind == ErrorKind::kConfigConflict);
  cr_assert(outdated.error().message.find("publish theirs") !=
            std::string::npos);
  const Table table = OutcomeTable(state);
  cr_assert(table.rows.size() == 1 && table.rows[0][2] == "accepted");
}

Test(operator_output, each_exit_code_is_listed_once) {
  std::set<int> codes;
  for (const ExitCodeInfo& row : ExitCodes())
    codes.insert(static_cast<int>(row.code));
  cr_assert(codes.size() == ExitCodes().size());
  for (int i = 0; i < static_cast<int>(ErrorKind::kCount); ++i) {
    const ExitCode code = ExitCodeOf(static_cast<ErrorKind>(i));
    cr_assert(code != ExitCode::kOk && codes.contains(static_cast<int>(code)));
  }
  cr_assert(ExitCodeOf(FoldReason::kAccepted) == ExitCode::kOk);
  cr_assert(ExitCodeOf(FoldReason::kConflict) == ExitCode::kConflict);
}

}  // namespace
}  // namespace teaselspread
