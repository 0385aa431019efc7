#include "config/render.h"

#include <algorithm>

#include <absl/strings/str_split.h>

#include "base/text.h"
#include "config/entries.h"
#include "config/move_identity.h"
#include "config/references.h"
#include "config/scalar.h"

namespace teaselspread {
namespace {

constexpr std::string_view kDeploymentLeaf = "base/deployment";

// '0' follows '/' in ASCII, so these sort directly after all paths under
// "base/" and "overlay/".
constexpr std::string_view kAfterBase = "base0";
constexpr std::string_view kAfterOverlays = "overlay0";

// The leaves are sorted, so it suffices to check the leaves next to the ranges
// of the two roots.
Checked<void> CheckRoots(const Document& document) {
  const auto& leaves = document.leaves;
  const auto invalid = [](const std::string& path) {
    return Invalid(path, "expected a path under base/ or overlay/");
  };
  if (!leaves.empty() && !leaves.begin()->first.starts_with(kBasePrefix))
    return invalid(leaves.begin()->first);
  if (const auto next = leaves.lower_bound(std::string(kAfterBase));
      next != leaves.end() && !next->first.starts_with(kOverlayPrefix)) {
    return invalid(next->first);
  }
  if (const auto next = leaves.lower_bound(std::string(kAfterOverlays));
      next != leaves.end()) {
    return invalid(next->first);
  }
  return {};
}

Checked<void> CheckOverlayNames(const Document& document,
                                const std::vector<std::string>& data_centers) {
  auto leaf = document.leaves.lower_bound(std::string(kOverlayPrefix));
  while (leaf != document.leaves.end()) {
    const std::string rest = leaf->first.substr(kOverlayPrefix.size());
    const std::string name = rest.substr(0, rest.find('/'));
    if (!std::binary_search(data_centers.begin(), data_centers.end(), name)) {
      return Invalid(leaf->first, Concat("no data centre is called ", name,
                                         " in data_centers of the base file"));
    }
    // Skips to the first leaf after this overlay.
    leaf = document.leaves.lower_bound(Concat(kOverlayPrefix, name, "0"));
  }
  return {};
}

Checked<void> CheckDataCenters(const std::vector<std::string>& names) {
  const auto invalid = [](std::string_view text) {
    return Invalid(std::string(kDataCentersLeaf), std::string(text));
  };
  if (names.empty())
    return Invalid("base", "missing field data_centers");
  if (std::adjacent_find(names.begin(), names.end()) != names.end())
    return invalid("names a data centre twice");
  if (!std::all_of(names.begin(), names.end(), IsName))
    return invalid(kNameExpectation);
  return {};
}

// Checks the document as a whole: its roots and the names of the deployment,
// the data centres and the overlays. Returns the data centres.
Checked<std::vector<std::string>> CheckDocument(const Document& document) {
  if (auto roots = CheckRoots(document); !roots)
    return tl::make_unexpected(roots.error());
  const auto deployment = document.leaves.find(std::string(kDeploymentLeaf));
  if (deployment == document.leaves.end())
    return Invalid("base", "missing field deployment");
  if (!IsName(deployment->second))
    return Invalid(deployment->first, std::string(kNameExpectation));
  std::vector<std::string> names = DataCentersOf(document);
  if (auto checked = CheckDataCenters(names); !checked)
    return tl::make_unexpected(checked.error());
  if (auto overlays = CheckOverlayNames(document, names); !overlays)
    return tl::make_unexpected(overlays.error());
  return names;
}

// Converts the merged path of a problem to a full document path. References are
// checked on the merged view, so the leaf may come from either file.
Problem ResolvePath(const Document& document,
                    std::string_view data_center,
                    Problem problem) {
  std::string in_overlay = Concat(OverlayPrefixOf(data_center), problem.path);
  problem.path = document.leaves.contains(in_overlay)
                     ? std::move(in_overlay)
                     : Concat(kBasePrefix, problem.path);
  return problem;
}

// A document that passed CheckDocument, and data shared by its data centres.
struct CheckedDocument {
  const Document& document;
  std::vector<std::string> data_centers;
  std::vector<MergedLeaf> base;
};

Checked<CheckedDocument> PrepareDocument(const Document& document) {
  auto names = CheckDocument(document);
  if (!names)
    return tl::make_unexpected(std::move(names.error()));
  return CheckedDocument{document, std::move(*names), BaseLeaves(document)};
}

Checked<SnapshotPtr> RenderDataCenter(const CheckedDocument& source,
                                      std::string_view data_center,
                                      ConfigVersion version) {
  const auto leaves = Merge(source.document, source.base, data_center);
  if (!leaves)
    return tl::make_unexpected(leaves.error());
  boost::intrusive_ptr<Snapshot> snapshot(new Snapshot);
  snapshot->version = version;
  snapshot->deployment =
      source.document.leaves.at(std::string(kDeploymentLeaf));
  snapshot->data_center = std::string(data_center);
  snapshot->data_centers = source.data_centers;
  if (auto read = ReadEntries(*leaves, *snapshot); !read)
    return tl::make_unexpected(std::move(read.error()));
  if (auto checked = CheckReferences(*snapshot); !checked) {
    return tl::make_unexpected(
        ResolvePath(source.document, data_center, std::move(checked.error())));
  }
  return SnapshotPtr(std::move(snapshot));
}

tl::unexpected<Error> ToError(const Problem& problem) {
  return Fail(ErrorKind::kConfigInvalid,
              Concat(problem.path, ": ", problem.text));
}

}  // namespace

Checked<SnapshotPtr> RenderChecked(const Document& document,
                                   std::string_view data_center,
                                   ConfigVersion version) {
  const auto source = PrepareDocument(document);
  if (!source)
    return tl::make_unexpected(source.error());
  if (!std::binary_search(source->data_centers.begin(),
                          source->data_centers.end(), data_center)) {
    return Invalid(std::string(kDataCentersLeaf),
                   Concat("no data centre is called ", data_center));
  }
  return RenderDataCenter(*source, data_center, version);
}

Checked<void> ValidateChecked(const Document& document) {
  const auto source = PrepareDocument(document);
  if (!source)
    return tl::make_unexpected(source.error());
  if (auto agree = CheckMovesConsistent(document); !agree)
    return agree;
  for (const std::string& name : source->data_centers) {
    if (auto snapshot = RenderDataCenter(*source, name, 0); !snapshot)
      return tl::make_unexpected(std::move(snapshot.error()));
  }
  return {};
}

std::vector<std::string> DataCentersOf(const Document& document) {
  const auto leaf = document.leaves.find(std::string(kDataCentersLeaf));
  if (leaf == document.leaves.end())
    return {};
  std::vector<std::string> names = absl::StrSplit(leaf->second, ',');
  std::sort(names.begin(), names.end());
  return names;
}

Result<SnapshotPtr> Render(const Document& document,
                           std::string_view data_center,
                           ConfigVersion version) {
  auto snapshot = RenderChecked(document, data_center, version);
  if (!snapshot)
    return ToError(snapshot.error());
  return std::move(*snapshot);
}

Result<void> ValidateChange(const Document& before, const Document& after) {
  if (auto valid = ValidateAll(after); !valid)
    return valid;
  if (const auto kept = CheckMovesUnchanged(before, after); !kept)
    return ToError(kept.error());
  return {};
}

Result<void> ValidateAll(const Document& document) {
  if (const auto checked = ValidateChecked(document); !checked)
    return ToError(checked.error());
  return {};
}

}  // namespace teaselspread
