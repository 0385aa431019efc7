#include "config/move_identity.h"

#include <map>
#include <optional>

#include "base/text.h"
#include "config/schema.h"

namespace teaselspread {
namespace {

constexpr std::string_view kWithdrawn = "withdrawn";
constexpr std::string_view kTrue = "true";

// A leaf of a move; the views point into the document.
struct MoveLeaf {
  std::string_view id;
  std::string_view field;
  std::string_view value;
  const std::string* path;
};

using Key = std::pair<std::string_view, std::string_view>;
using Identities = std::map<Key, MoveLeaf>;

bool IsIdentityField(std::string_view field) {
  return field == "service" || field == "from" || field == "to";
}

// Splits a path of the form "<scope>moves/<id>/<field>".
std::optional<MoveLeaf> ParseMoveLeaf(std::string_view scope,
                                      const std::string& path,
                                      std::string_view value) {
  std::string_view rest = std::string_view(path).substr(scope.size());
  const std::string_view section = NameOf(Section::kMoves);
  if (!rest.starts_with(section) || rest.size() <= section.size())
    return std::nullopt;
  rest.remove_prefix(section.size() + 1);
  const std::size_t slash = rest.find('/');
  if (slash == std::string_view::npos)
    return std::nullopt;
  return MoveLeaf{rest.substr(0, slash), rest.substr(slash + 1), value, &path};
}

// Calls `visit(leaf)` for each leaf of a move in base and overlays.
template <class Visitor>
void ForEachMoveLeaf(const Document& document, Visitor visit) {
  std::vector<std::string> scopes = {std::string(kBasePrefix)};
  for (const std::string& name : DataCentersOf(document))
    scopes.push_back(OverlayPrefixOf(name));
  for (const std::string& scope : scopes) {
    const std::string prefix = Concat(scope, NameOf(Section::kMoves), "/");
    auto leaf = document.leaves.lower_bound(prefix);
    for (; leaf != document.leaves.end() && leaf->first.starts_with(prefix);
         ++leaf) {
      if (const auto found = ParseMoveLeaf(scope, leaf->first, leaf->second))
        visit(*found);
    }
  }
}

Identities IdentitiesOf(const Document& document) {
  Identities identities;
  ForEachMoveLeaf(document, [&identities](const MoveLeaf& leaf) {
    if (IsIdentityField(leaf.field))
      identities.try_emplace({leaf.id, leaf.field}, leaf);
  });
  return identities;
}

// Whether the move is still withdrawn in `after` or no longer exists there.
bool StaysWithdrawn(const Identities& identities,
                    const Document& after,
                    const MoveLeaf& leaf) {
  const auto updated = after.leaves.find(*leaf.path);
  return (updated != after.leaves.end() && updated->second == kTrue) ||
         !identities.contains({leaf.id, "to"});
}

}  // namespace

Checked<void> CheckMovesConsistent(const Document& document) {
  const Identities identities = IdentitiesOf(document);
  std::optional<Problem> problem;
  ForEachMoveLeaf(document, [&](const MoveLeaf& leaf) {
    const auto first = identities.find({leaf.id, leaf.field});
    if (problem || first == identities.end() ||
        first->second.value == leaf.value) {
      return;
    }
    problem =
        Problem{*leaf.path, Concat("expected ", first->second.value, " as in ",
                                   *first->second.path,
                                   ": a move is the same in all data centres")};
  });
  if (problem)
    return tl::make_unexpected(std::move(*problem));
  return {};
}

Checked<void> CheckMovesUnchanged(const Document& before,
                                  const Document& after) {
  const Identities identities = IdentitiesOf(after);
  std::optional<Problem> problem;
  ForEachMoveLeaf(before, [&](const MoveLeaf& leaf) {
    const auto updated = identities.find({leaf.id, leaf.field});
    if (updated != identities.end() && updated->second.value != leaf.value) {
      problem =
          Problem{*updated->second.path,
                  Concat("move ", leaf.id, " has ", leaf.field, " ", leaf.value,
                         "; give the changed move another id")};
    }
    if (leaf.field == kWithdrawn && leaf.value == kTrue &&
        !StaysWithdrawn(identities, after, leaf)) {
      problem = Problem{*leaf.path, Concat("move ", leaf.id,
                                           " was taken back for good; give "
                                           "a new move another id")};
    }
  });
  if (problem)
    return tl::make_unexpected(std::move(*problem));
  return {};
}

Document MovesOf(const Document& document) {
  Document moves;
  if (const auto names = document.leaves.find(std::string(kDataCentersLeaf));
      names != document.leaves.end()) {
    moves.leaves.insert(*names);
  }
  ForEachMoveLeaf(document, [&moves](const MoveLeaf& leaf) {
    moves.leaves.emplace(*leaf.path, leaf.value);
  });
  return moves;
}

}  // namespace teaselspread
