// Formats the merged configuration as YAML and JSON from one tree of values.
#include <utility>

#include "base/text.h"
#include "config/schema.h"
#include "teaselspread/operator.h"

namespace teaselspread {
namespace {

struct Branch;

// A scalar, or a map that keeps insertion order.
struct Tree {
  std::string text;
  // Whether it is written without quotes.
  bool is_plain = false;
  std::vector<Branch> branches;
};

struct Branch {
  std::string name;
  Tree tree;
};

// Numbers and booleans are native in JSON; all other values are strings.
bool IsPlain(const Scalar& value) {
  return std::holds_alternative<bool>(value) ||
         std::holds_alternative<std::int64_t>(value) ||
         std::holds_alternative<double>(value);
}

Tree& Child(Tree& parent, std::string_view name) {
  for (auto& [key, child] : parent.branches) {
    if (key == name)
      return child;
  }
  return parent.branches.emplace_back(Branch{std::string(name), {}}).tree;
}

// Sets the leaf at a path such as "bounds/slowdown".
void SetLeaf(Tree& tree, std::string_view path, const Scalar& value) {
  Tree* at = &tree;
  for (std::size_t slash = path.find('/'); slash != std::string_view::npos;
       slash = path.find('/')) {
    at = &Child(*at, path.substr(0, slash));
    path.remove_prefix(slash + 1);
  }
  Tree& leaf = Child(*at, path);
  leaf.text = CanonicalText(value);
  leaf.is_plain = IsPlain(value);
}

template <class T>
Tree TreeOf(std::span<const Field<T>> fields, const T& source) {
  Tree tree;
  for (const Field<T>& field : fields)
    SetLeaf(tree, field.rule.name, field.read(source));
  return tree;
}

// A flow sequence, which has the same syntax in YAML and JSON.
Tree ListOf(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names)
    text += Concat(text.empty() ? "" : ", ", JsonText(name));
  return {Concat("[", text, "]"), true, {}};
}

Tree TreeOf(const Snapshot& snapshot) {
  Tree tree;
  SetLeaf(tree, NameOf(Section::kDeployment), snapshot.deployment);
  Child(tree, NameOf(Section::kDataCenters)) = ListOf(snapshot.data_centers);
  Tree& services = Child(tree, NameOf(Section::kServices));
  for (const auto& [name, service] : snapshot.services)
    Child(services, name) = TreeOf(ServiceFields(), service);
  Tree& routes = Child(tree, NameOf(Section::kRoutes));
  for (const RouteConfig& route : snapshot.routes)
    Child(routes, route.name) = TreeOf(RouteFields(), route);
  Tree& moves = Child(tree, NameOf(Section::kMoves));
  for (const auto& [id, move] : snapshot.moves)
    Child(moves, id) = TreeOf(MoveFields(), move);
  Child(tree, NameOf(Section::kLimits)) =
      TreeOf(LimitsFields(), snapshot.limits);
  return tree;
}

// Names and canonical values hold no character that is special in YAML, but a
// name may look like a number or a boolean, so strings are quoted.
std::string YamlScalar(const Tree& tree) {
  return tree.is_plain ? tree.text : JsonText(tree.text);
}

void AppendYaml(std::string& text, const Tree& tree, std::size_t depth) {
  for (const auto& [name, child] : tree.branches) {
    text.append(2 * depth, ' ');
    text += Concat(name, ":");
    if (!child.branches.empty()) {
      text += '\n';
      AppendYaml(text, child, depth + 1);
    } else {
      text += Concat(" ", child.text.empty() ? "{}" : YamlScalar(child), "\n");
    }
  }
}

void AppendJson(std::string& text, const Tree& tree, std::size_t depth) {
  if (tree.branches.empty()) {
    text += tree.text.empty() ? "{}" : YamlScalar(tree);
    return;
  }
  std::string_view separator = "{\n";
  for (const auto& [name, child] : tree.branches) {
    text += separator;
    text.append(2 * (depth + 1), ' ');
    text += Concat(JsonText(name), ": ");
    AppendJson(text, child, depth + 1);
    separator = ",\n";
  }
  text += '\n';
  text.append(2 * depth, ' ');
  text += '}';
}

}  // namespace

std::string FormatYaml(const Snapshot& snapshot) {
  std::string text = Concat("# version ", snapshot.version, " at ",
                            snapshot.data_center, "\n");
  AppendYaml(text, TreeOf(snapshot), 0);
  return text;
}

std::string FormatJson(const Snapshot& snapshot) {
  Tree tree;
  SetLeaf(tree, "version", static_cast<std::int64_t>(snapshot.version));
  SetLeaf(tree, "data_center", snapshot.data_center);
  Tree content = TreeOf(snapshot);
  for (auto& child : content.branches)
    tree.branches.push_back(std::move(child));
  std::string text;
  AppendJson(text, tree, 0);
  return text + "\n";
}

}  // namespace teaselspread
