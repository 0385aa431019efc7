#include "config/merge.h"

#include <map>
#include <set>

#include "base/text.h"

namespace teaselspread {
namespace {

using Leaf = std::map<std::string, std::string>::const_iterator;

// Leaves whose path starts with `prefix`, with the prefix removed.
std::vector<MergedLeaf> LeavesUnder(const Document& document,
                                    std::string_view prefix) {
  std::vector<MergedLeaf> found;
  const auto end = document.leaves.end();
  for (auto leaf = document.leaves.lower_bound(std::string(prefix));
       leaf != end && leaf->first.starts_with(prefix); ++leaf) {
    const std::string_view origin = leaf->first;
    found.push_back({origin.substr(prefix.size()), leaf->second, origin});
  }
  return found;
}

// Whether the path or one of its ancestors is deleted.
bool IsDeleted(const std::set<std::string_view>& deleted,
               std::string_view path) {
  for (std::size_t end = path.size(); end != std::string_view::npos;
       end = path.rfind('/', end - 1)) {
    if (deleted.contains(path.substr(0, end)))
      return true;
    if (end == 0)
      return false;
  }
  return false;
}

// Whether the base has a leaf or an entry at this path.
bool BaseContains(const Document& document, std::string_view path) {
  const std::string base_path = Concat(kBasePrefix, path);
  if (document.leaves.contains(base_path))
    return true;
  const std::string entry = base_path + "/";
  const auto leaf = document.leaves.lower_bound(entry);
  return leaf != document.leaves.end() && leaf->first.starts_with(entry);
}

std::vector<MergedLeaf> MergeSorted(const std::vector<MergedLeaf>& base,
                                    const std::vector<MergedLeaf>& overlay,
                                    const std::set<std::string_view>& deleted) {
  std::vector<MergedLeaf> merged;
  merged.reserve(base.size() + overlay.size());
  auto next = overlay.begin();
  const auto take_overlay = [&] {
    if (next->value != kDeletedLeaf)
      merged.push_back(*next);
    ++next;
  };
  for (const MergedLeaf& leaf : base) {
    while (next != overlay.end() && next->path < leaf.path)
      take_overlay();
    if (next != overlay.end() && next->path == leaf.path)
      take_overlay();
    else if (deleted.empty() || !IsDeleted(deleted, leaf.path))
      merged.push_back(leaf);
  }
  while (next != overlay.end())
    take_overlay();
  return merged;
}

}  // namespace

std::string OverlayPrefixOf(std::string_view data_center) {
  return Concat(kOverlayPrefix, data_center, "/");
}

std::vector<MergedLeaf> BaseLeaves(const Document& document) {
  return LeavesUnder(document, kBasePrefix);
}

Checked<std::vector<MergedLeaf>> Merge(const Document& document,
                                       const std::vector<MergedLeaf>& base,
                                       std::string_view data_center) {
  const std::vector<MergedLeaf> overlay =
      LeavesUnder(document, OverlayPrefixOf(data_center));
  std::set<std::string_view> deleted;
  for (const MergedLeaf& leaf : overlay) {
    if (leaf.value != kDeletedLeaf)
      continue;
    if (!BaseContains(document, leaf.path))
      return Invalid(std::string(leaf.origin), "deletes what the base lacks");
    deleted.insert(leaf.path);
  }
  return MergeSorted(base, overlay, deleted);
}

}  // namespace teaselspread
