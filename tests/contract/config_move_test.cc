#include <criterion/criterion.h>

#include <functional>
#include <string>
#include <vector>

#include "teaselspread/config_log.h"

namespace teaselspread {
namespace {

constexpr const char* kBase = R"(
deployment: addis
data_centers: [bole, piassa]
services:
  registry-desk: {version: v1}
moves:
  m1:
    service: registry-desk
    from: v1
    to: v2
    start: 2026-12-04T18:00:00Z
    by: 2026-12-04T22:00:00Z
  m0:
    service: registry-desk
    from: v1
    to: v9
    start: 2026-12-01T18:00:00Z
    by: 2026-12-01T22:00:00Z
    withdrawn: true
)";

using Leaves = std::map<std::string, std::string>;

void EraseMove(Leaves& leaves, const std::string& prefix) {
  std::erase_if(leaves, [&prefix](const auto& leaf) {
    return leaf.first.starts_with(prefix);
  });
}

// Renames every path that starts with `from` to start with `to`.
void RenamePrefix(Leaves& leaves,
                  const std::string& from,
                  const std::string& to) {
  Leaves renamed;
  for (const auto& [path, value] : leaves) {
    if (path.starts_with(from))
      renamed[to + path.substr(from.size())] = value;
  }
  EraseMove(leaves, from);
  leaves.merge(renamed);
}

struct MoveEdit {
  const char* name;
  std::function<void(Leaves&)> edit;
  bool accepted;
};

const std::vector<MoveEdit> kEdits = {
    {"another target",
     [](Leaves& leaves) { leaves["base/moves/m1/to"] = "v3"; }, false},
    {"another target in one data centre",
     [](Leaves& leaves) { leaves["overlay/bole/moves/m1/to"] = "v3"; }, false},
    {"the same id for another move in an overlay",
     [](Leaves& leaves) {
       RenamePrefix(leaves, "base/moves/m1/", "overlay/bole/moves/m1/");
       leaves["overlay/bole/moves/m1/to"] = "v3";
     },
     false},
    {"a withdrawn move resumed",
     [](Leaves& leaves) { leaves.erase("base/moves/m0/withdrawn"); }, false},
    {"a withdrawn move resumed explicitly",
     [](Leaves& leaves) { leaves["base/moves/m0/withdrawn"] = "false"; },
     false},
    {"later",
     [](Leaves& leaves) {
       leaves["base/moves/m1/by"] = "2026-12-05T22:00:00Z";
     },
     true},
    {"later in one data centre",
     [](Leaves& leaves) {
       leaves["overlay/bole/moves/m1/by"] = "2026-12-05T22:00:00Z";
     },
     true},
    {"withdrawn",
     [](Leaves& leaves) { leaves["base/moves/m1/withdrawn"] = "true"; }, true},
    {"removed",
     [](Leaves& leaves) {
       EraseMove(leaves, "base/moves/m1/");
       EraseMove(leaves, "base/moves/m0/");
     },
     true},
    {"not here",
     [](Leaves& leaves) {
       leaves["overlay/bole/moves/m1"] = std::string(kDeletedLeaf);
     },
     true},
    {"another id",
     [](Leaves& leaves) {
       RenamePrefix(leaves, "base/moves/m1/", "base/moves/m2/");
       leaves["base/moves/m2/to"] = "v3";
     },
     true},
};

// A move has ended, and the operator changes its target in place to start the
// next one. Since the verdict is stored by id, the new version would receive
// all traffic at once, and a faulty version would fail every request.
Test(config_move, a_move_keeps_its_service_and_versions) {
  const auto before = LoadSources({{"base.yaml", kBase}, {}});
  cr_assert(before.has_value(), "%s", before.error().message.c_str());
  for (const MoveEdit& edit : kEdits) {
    FoldState state;
    Fold(state, 1, EncodeRecord(MakeChange(state, *before, "one")));
    cr_assert(state.head == 1);
    Document after = *before;
    edit.edit(after.leaves);
    const auto valid = ValidateChange(*before, after);
    cr_assert(valid.has_value() == edit.accepted, "%s", edit.name);
    const FoldResult result =
        Fold(state, 2, EncodeRecord(MakeChange(state, after, "two")));
    const FoldReason expected =
        edit.accepted ? FoldReason::kAccepted : FoldReason::kInvalid;
    cr_assert(result.reason == expected, "%s: %s", edit.name,
              FindOutcome(state, "two")->message.c_str());
    cr_assert(state.document == (edit.accepted ? after : *before));
  }
}

}  // namespace
}  // namespace teaselspread
