#include "config/render.h"

#include <algorithm>
#include <bitset>
#include <tuple>

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include "base/text.h"
#include "config/references.h"
#include "config/schema.h"

namespace teaselspread {
namespace {

using Leaves = std::vector<MergedLeaf>;

constexpr std::string_view kDeploymentLeaf = "base/deployment";
constexpr std::string_view kDataCentersLeaf = "base/data_centers";
constexpr std::size_t kMaxFields = 32;

// "services/registry-desk/version" in its three parts.
struct LeafPath {
  Section section = Section::kCount;
  std::string_view entry;
  std::string_view field;
};

std::pair<std::string_view, std::string_view> CutFirst(std::string_view path) {
  const std::size_t slash = path.find('/');
  if (slash == std::string_view::npos)
    return {path, {}};
  return {path.substr(0, slash), path.substr(slash + 1)};
}

LeafPath Split(std::string_view path) {
  const auto [section_name, rest] = CutFirst(path);
  const Section section = SectionOf(section_name);
  if (!HasEntries(section))
    return {section, {}, rest};
  const auto [entry, field] = CutFirst(rest);
  return {section, entry, field};
}

// Reads the leaves of one entry, or of a section without entries.
template <class T>
struct EntryReader {
  std::span<const Field<T>> fields;
  Section section;
  T entry = {};
  std::bitset<kMaxFields> seen = {};

  Checked<void> Take(std::string_view name, const MergedLeaf& leaf) {
    const auto field = std::find_if(
        this->fields.begin(), this->fields.end(),
        [name](const Field<T>& known) { return known.rule.name == name; });
    if (field == this->fields.end()) {
      return Wrong(std::string(leaf.origin),
                   Concat("unknown field, expected one of: ",
                          FieldNames(this->section)));
    }
    const auto value = ParseScalar(field->rule, leaf.value);
    if (!value)
      return Wrong(std::string(leaf.origin), value.error());
    field->assign(this->entry, *value);
    this->seen.set(
        static_cast<std::size_t>(std::distance(this->fields.begin(), field)));
    return {};
  }

  // Precondition: path is the entry's whole path, for the message.
  Checked<T> Finish(std::string_view path) {
    for (std::size_t i = 0; i < this->fields.size(); ++i) {
      const FieldRule& rule = this->fields[i].rule;
      if (rule.required && !this->seen.test(i)) {
        return Wrong(std::string(path), Concat("missing field ", rule.name));
      }
    }
    return std::move(this->entry);
  }
};

// Reads the entry that begins at `leaf` and moves `leaf` past it: the leaves of
// one entry lie side by side.
template <class T>
Checked<T> ReadEntry(std::span<const Field<T>> fields,
                     Leaves::const_iterator& leaf,
                     Leaves::const_iterator end) {
  const LeafPath first = Split(leaf->path);
  std::string_view origin = leaf->origin;
  if (!first.field.empty())
    origin.remove_suffix(first.field.size() + 1);
  EntryReader<T> reader{fields, first.section};
  for (; leaf != end; ++leaf) {
    const LeafPath path = Split(leaf->path);
    if (path.section != first.section || path.entry != first.entry)
      break;
    if (auto taken = reader.Take(path.field, *leaf); !taken)
      return tl::make_unexpected(taken.error());
  }
  return reader.Finish(origin);
}

Checked<void> ReadService(Leaves::const_iterator& leaf,
                          Leaves::const_iterator end,
                          Snapshot& snapshot) {
  const std::string name(Split(leaf->path).entry);
  auto service = ReadEntry(ServiceFields(), leaf, end);
  if (!service)
    return tl::make_unexpected(service.error());
  service->name = name;
  snapshot.services.emplace(name, std::move(*service));
  return {};
}

Checked<void> ReadRoute(Leaves::const_iterator& leaf,
                        Leaves::const_iterator end,
                        Snapshot& snapshot) {
  const std::string name(Split(leaf->path).entry);
  auto route = ReadEntry(RouteFields(), leaf, end);
  if (!route)
    return tl::make_unexpected(route.error());
  route->name = name;
  snapshot.routes.push_back(std::move(*route));
  return {};
}

Checked<void> ReadMove(Leaves::const_iterator& leaf,
                       Leaves::const_iterator end,
                       Snapshot& snapshot) {
  const std::string id(Split(leaf->path).entry);
  auto move = ReadEntry(MoveFields(), leaf, end);
  if (!move)
    return tl::make_unexpected(move.error());
  move->id = id;
  snapshot.moves.emplace(id, std::move(*move));
  return {};
}

Checked<void> ReadLimits(Leaves::const_iterator& leaf,
                         Leaves::const_iterator end,
                         Snapshot& snapshot) {
  auto limits = ReadEntry(LimitsFields(), leaf, end);
  if (!limits)
    return tl::make_unexpected(limits.error());
  snapshot.limits = *limits;
  return {};
}

// Deployment and data centres are the same everywhere, so that an overlay
// cannot give one data centre another idea of which others there are.
Checked<void> ReadHeader(Leaves::const_iterator& leaf) {
  const std::string_view origin = leaf->origin;
  if (origin == kDeploymentLeaf || origin == kDataCentersLeaf) {
    ++leaf;
    return {};
  }
  return Wrong(std::string(origin), "expected only in the base file");
}

Checked<void> ReadSection(Leaves::const_iterator& leaf,
                          Leaves::const_iterator end,
                          Snapshot& snapshot) {
  const LeafPath path = Split(leaf->path);
  if (HasEntries(path.section) && !IsName(path.entry))
    return Wrong(std::string(leaf->origin), std::string(kNameExpectation));
  switch (path.section) {
    case Section::kDeployment:
    case Section::kDataCenters:
      return ReadHeader(leaf);
    case Section::kServices:
      return ReadService(leaf, end, snapshot);
    case Section::kRoutes:
      return ReadRoute(leaf, end, snapshot);
    case Section::kMoves:
      return ReadMove(leaf, end, snapshot);
    case Section::kLimits:
      return ReadLimits(leaf, end, snapshot);
    case Section::kCount:
      break;
  }
  return Wrong(std::string(leaf->origin),
               "unknown section, expected one of: deployment, data_centers, "
               "services, routes, moves, limits");
}

void SortRoutes(std::vector<RouteConfig>& routes) {
  std::sort(routes.begin(), routes.end(),
            [](const RouteConfig& a, const RouteConfig& b) {
              return std::make_tuple(
                         b.path_prefix.size(), std::string_view(a.path_prefix),
                         std::string_view(a.method), std::string_view(a.name)) <
                     std::make_tuple(
                         a.path_prefix.size(), std::string_view(b.path_prefix),
                         std::string_view(b.method), std::string_view(b.name));
            });
}

// References are checked on the merged view; the leaf at fault may come from
// either file.
Problem Locate(const Document& document,
               std::string_view data_center,
               Problem problem) {
  std::string in_overlay = Concat(OverlayPrefixOf(data_center), problem.path);
  problem.path = document.leaves.contains(in_overlay)
                     ? std::move(in_overlay)
                     : Concat(kBasePrefix, problem.path);
  return problem;
}

Checked<void> CheckOverlayNames(const Document& document,
                                const std::vector<std::string>& data_centers) {
  auto leaf = document.leaves.lower_bound(std::string(kOverlayPrefix));
  while (leaf != document.leaves.end()) {
    if (!leaf->first.starts_with(kOverlayPrefix))
      break;
    const std::string name(
        CutFirst(std::string_view(leaf->first).substr(kOverlayPrefix.size()))
            .first);
    if (!std::binary_search(data_centers.begin(), data_centers.end(), name)) {
      return Wrong(leaf->first, Concat("no data centre is called ", name,
                                       " in data_centers of the base file"));
    }
    // '0' follows '/': the first leaf after this overlay.
    leaf = document.leaves.lower_bound(Concat(kOverlayPrefix, name, "0"));
  }
  return {};
}

Checked<void> CheckRoots(const Document& document) {
  for (const auto& [path, value] : document.leaves) {
    if (!path.starts_with(kBasePrefix) && !path.starts_with(kOverlayPrefix))
      return Wrong(path, "expected a path under base/ or overlay/");
  }
  return {};
}

// What concerns the document as a whole: names of deployment and data centres.
Checked<std::vector<std::string>> CheckDocument(const Document& document) {
  if (auto roots = CheckRoots(document); !roots)
    return tl::make_unexpected(roots.error());
  const auto deployment = document.leaves.find(std::string(kDeploymentLeaf));
  if (deployment == document.leaves.end())
    return Wrong("base", "missing field deployment");
  if (!IsName(deployment->second))
    return Wrong(deployment->first, std::string(kNameExpectation));
  std::vector<std::string> names = DataCentersOf(document);
  if (names.empty())
    return Wrong("base", "missing field data_centers");
  if (std::adjacent_find(names.begin(), names.end()) != names.end())
    return Wrong(std::string(kDataCentersLeaf), "names a data centre twice");
  for (const std::string& name : names) {
    if (!IsName(name))
      return Wrong(std::string(kDataCentersLeaf),
                   std::string(kNameExpectation));
  }
  if (auto overlays = CheckOverlayNames(document, names); !overlays)
    return tl::make_unexpected(overlays.error());
  return names;
}

// Precondition: the document as a whole is checked.
Checked<SnapshotPtr> RenderOne(const Document& document,
                               const std::vector<std::string>& data_centers,
                               std::string_view data_center,
                               ConfigVersion version) {
  auto leaves = Merge(document, data_center);
  if (!leaves)
    return tl::make_unexpected(leaves.error());
  boost::intrusive_ptr<Snapshot> snapshot(new Snapshot);
  snapshot->version = version;
  snapshot->deployment = document.leaves.at(std::string(kDeploymentLeaf));
  snapshot->data_center = std::string(data_center);
  snapshot->data_centers = data_centers;
  Leaves::const_iterator leaf = leaves->begin();
  while (leaf != leaves->end()) {
    if (auto read = ReadSection(leaf, leaves->end(), *snapshot); !read)
      return tl::make_unexpected(read.error());
  }
  SortRoutes(snapshot->routes);
  if (auto checked = CheckReferences(*snapshot); !checked) {
    return tl::make_unexpected(
        Locate(document, data_center, std::move(checked.error())));
  }
  return SnapshotPtr(std::move(snapshot));
}

tl::unexpected<Error> AsError(const Problem& problem) {
  return Fail(ErrorKind::kConfigInvalid,
              Concat(problem.path, ": ", problem.text));
}

}  // namespace

Checked<SnapshotPtr> RenderChecked(const Document& document,
                                   std::string_view data_center,
                                   ConfigVersion version) {
  const auto names = CheckDocument(document);
  if (!names)
    return tl::make_unexpected(names.error());
  if (!std::binary_search(names->begin(), names->end(), data_center)) {
    return Wrong(std::string(kDataCentersLeaf),
                 Concat("no data centre is called ", data_center));
  }
  return RenderOne(document, *names, data_center, version);
}

Checked<void> ValidateChecked(const Document& document) {
  const auto names = CheckDocument(document);
  if (!names)
    return tl::make_unexpected(names.error());
  for (const std::string& name : *names) {
    if (auto snapshot = RenderOne(document, *names, name, 0); !snapshot)
      return tl::make_unexpected(snapshot.error());
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
    return AsError(snapshot.error());
  return std::move(*snapshot);
}

Result<void> ValidateAll(const Document& document) {
  if (const auto checked = ValidateChecked(document); !checked)
    return AsError(checked.error());
  return {};
}

}  // namespace teaselspread
