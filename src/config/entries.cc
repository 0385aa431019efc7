#include "config/entries.h"

#include <algorithm>
#include <bitset>
#include <span>
#include <tuple>

#include "base/text.h"
#include "config/schema.h"

namespace teaselspread {
namespace {

using Leaves = std::span<const MergedLeaf>;

constexpr std::size_t kMaxFields = 32;

// Leaves of one entry, or of a section without entries. They are contiguous and
// share a prefix such as "services/registry-desk/".
struct LeafGroup {
  Section section = Section::kCount;
  std::string_view name;
  std::string_view prefix;
  Leaves leaves;
};

// `path` up to and including its first slash at or after `from`.
std::string_view PrefixThroughSlash(std::string_view path, std::size_t from) {
  return path.substr(0, path.find('/', from) + 1);
}

std::string_view WithoutTrailingSlash(std::string_view prefix) {
  return prefix.substr(0, prefix.size() - (prefix.empty() ? 0 : 1));
}

// The group that starts at the first leaf. Precondition: leaves is not empty.
LeafGroup FirstGroup(Leaves leaves) {
  const std::string_view path = leaves.front().path;
  LeafGroup group;
  group.prefix = PrefixThroughSlash(path, 0);
  group.section = SectionOf(
      group.prefix.empty() ? path : WithoutTrailingSlash(group.prefix));
  if (HasEntries(group.section)) {
    const std::size_t name_begin = group.prefix.size();
    const std::string_view entry_prefix = PrefixThroughSlash(path, name_begin);
    group.name = WithoutTrailingSlash(
        entry_prefix.substr(std::min(name_begin, entry_prefix.size())));
    group.prefix = entry_prefix;
  }
  std::size_t size = 1;
  while (!group.prefix.empty() && size < leaves.size() &&
         leaves[size].path.starts_with(group.prefix)) {
    ++size;
  }
  group.leaves = leaves.first(size);
  return group;
}

template <class T>
Checked<void> CheckRequiredFields(std::span<const Field<T>> fields,
                                  const std::bitset<kMaxFields>& seen,
                                  const LeafGroup& group) {
  for (std::size_t i = 0; i < fields.size(); ++i) {
    const FieldRule& rule = fields[i].rule;
    if (!rule.required || seen.test(i))
      continue;
    const MergedLeaf& leaf = group.leaves.front();
    const std::size_t field_size = leaf.path.size() - group.prefix.size() + 1;
    return Invalid(
        std::string(leaf.origin.substr(0, leaf.origin.size() - field_size)),
        Concat("missing field ", rule.name));
  }
  return {};
}

template <class T>
Checked<T> ReadFields(std::span<const Field<T>> fields,
                      const LeafGroup& group) {
  T entry;
  std::bitset<kMaxFields> seen;
  for (const MergedLeaf& leaf : group.leaves) {
    const std::string_view name = leaf.path.substr(group.prefix.size());
    const auto field = std::find_if(
        fields.begin(), fields.end(),
        [name](const Field<T>& known) { return known.rule.name == name; });
    if (field == fields.end()) {
      return Invalid(std::string(leaf.origin),
                     Concat("unknown field, expected one of: ",
                            FieldNames(group.section)));
    }
    auto value = ParseScalar(field->rule, leaf.value);
    if (!value)
      return Invalid(std::string(leaf.origin), std::move(value.error()));
    field->assign(entry, *value);
    seen.set(static_cast<std::size_t>(std::distance(fields.begin(), field)));
  }
  if (auto complete = CheckRequiredFields(fields, seen, group); !complete)
    return tl::make_unexpected(std::move(complete.error()));
  return entry;
}

Checked<void> ReadService(const LeafGroup& group, Snapshot& snapshot) {
  auto service = ReadFields(ServiceFields(), group);
  if (!service)
    return tl::make_unexpected(std::move(service.error()));
  service->name = group.name;
  snapshot.services.emplace_hint(snapshot.services.end(), service->name,
                                 std::move(*service));
  return {};
}

Checked<void> ReadRoute(const LeafGroup& group, Snapshot& snapshot) {
  auto route = ReadFields(RouteFields(), group);
  if (!route)
    return tl::make_unexpected(std::move(route.error()));
  route->name = group.name;
  snapshot.routes.push_back(std::move(*route));
  return {};
}

Checked<void> ReadMove(const LeafGroup& group, Snapshot& snapshot) {
  auto move = ReadFields(MoveFields(), group);
  if (!move)
    return tl::make_unexpected(std::move(move.error()));
  move->id = group.name;
  snapshot.moves.emplace(move->id, std::move(*move));
  return {};
}

Checked<void> ReadLimits(const LeafGroup& group, Snapshot& snapshot) {
  auto limits = ReadFields(LimitsFields(), group);
  if (!limits)
    return tl::make_unexpected(std::move(limits.error()));
  snapshot.limits = *limits;
  return {};
}

// Deployment and data centres are only set in the base file, so that all data
// centres agree on which data centres exist.
Checked<void> CheckOnlyInBase(const LeafGroup& group) {
  const std::string_view origin = group.leaves.front().origin;
  if (group.prefix.empty() && origin.starts_with(kBasePrefix))
    return {};
  return Invalid(std::string(origin), "expected only in the base file");
}

Checked<void> ReadGroup(const LeafGroup& group, Snapshot& snapshot) {
  const std::string_view origin = group.leaves.front().origin;
  if (HasEntries(group.section) && !IsName(group.name))
    return Invalid(std::string(origin), std::string(kNameExpectation));
  switch (group.section) {
    case Section::kDeployment:
    case Section::kDataCenters:
      return CheckOnlyInBase(group);
    case Section::kServices:
      return ReadService(group, snapshot);
    case Section::kRoutes:
      return ReadRoute(group, snapshot);
    case Section::kMoves:
      return ReadMove(group, snapshot);
    case Section::kLimits:
      return ReadLimits(group, snapshot);
    case Section::kCount:
      break;
  }
  return Invalid(std::string(origin), std::string(kSectionExpectation));
}

bool IsMatchedFirst(const RouteConfig& a, const RouteConfig& b) {
  if (a.path_prefix.size() != b.path_prefix.size())
    return a.path_prefix.size() > b.path_prefix.size();
  return std::tie(a.path_prefix, a.method, a.name) <
         std::tie(b.path_prefix, b.method, b.name);
}

}  // namespace

Checked<void> ReadEntries(const std::vector<MergedLeaf>& leaves,
                          Snapshot& snapshot) {
  for (Leaves rest = leaves; !rest.empty();) {
    const LeafGroup group = FirstGroup(rest);
    if (auto read = ReadGroup(group, snapshot); !read)
      return read;
    rest = rest.subspan(group.leaves.size());
  }
  std::sort(snapshot.routes.begin(), snapshot.routes.end(), IsMatchedFirst);
  return {};
}

}  // namespace teaselspread
