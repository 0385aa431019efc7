// From YAML sources to a document, with the source line of each leaf.
#include <set>

#include <absl/strings/str_join.h>

#include "base/text.h"
#include "config/render.h"
#include "config/schema.h"
#include "config/yaml.h"
#include "teaselspread/config.h"

namespace teaselspread {
namespace {

using Done = Checked<void>;

// Where each path, and each entry above it, stands in the sources.
struct Place {
  std::string_view file;
  int line = 0;
};

struct Loader {
  Document document;
  std::map<std::string, Place> places;
  // The source being read, and its prefix in paths.
  std::string_view file;
  std::string prefix;
  bool is_overlay = false;
};

void Remember(Loader& loader, const std::string& path, const YAML::Node& node) {
  loader.places[path] = {loader.file, LineOf(node)};
}

Done Store(Loader& loader, const std::string& path, std::string value) {
  loader.document.leaves[path] = std::move(value);
  return {};
}

Done ReadScalar(Loader& loader,
                const std::string& path,
                const FieldRule& rule,
                const YAML::Node& node) {
  if (!node.IsScalar())
    return Wrong(path, Concat("expected one value, got ", KindOf(node)));
  auto value = ParseScalar(rule, node.Scalar());
  if (!value)
    return Wrong(path, Concat(value.error(), ", got ", Shown(node.Scalar())));
  return Store(loader, path, CanonicalText(*value));
}

// Calls `visit(key, path, value)` for each pair of a map. YAML lets a key stand
// twice and yaml-cpp takes one of the two, so that an operator's second entry
// would vanish without a word; it is refused here.
template <class Visitor>
Done ForEachKey(Loader& loader,
                const std::string& parent,
                const YAML::Node& node,
                Visitor visit) {
  if (!node.IsMap())
    return Wrong(parent, Concat("expected a map, got ", KindOf(node)));
  std::set<std::string> seen;
  for (const auto& pair : node) {
    if (!pair.first.IsScalar())
      return Wrong(parent, "expected a name as key");
    const std::string key = pair.first.Scalar();
    if (!IsName(key))
      return Wrong(parent, Concat("key ", Shown(key), ": ", kNameExpectation));
    const std::string path = Concat(parent, "/", key);
    Remember(loader, path, pair.first);
    if (!seen.insert(key).second)
      return Wrong(path, "stands twice");
    if (auto done = visit(key, path, pair.second); !done)
      return done;
  }
  return {};
}

// In an overlay, a null takes away what the base says.
bool IsDeletion(const Loader& loader, const YAML::Node& node) {
  return loader.is_overlay && node.IsNull();
}

Done ReadFields(Loader& loader,
                const std::string& path,
                Section section,
                std::string_view name_prefix,
                const YAML::Node& node) {
  return ForEachKey(
      loader, path, node,
      [&](const std::string& key, const std::string& at,
          const YAML::Node& value) -> Done {
        const std::string name = Concat(name_prefix, key);
        if (value.IsMap())
          return ReadFields(loader, at, section, name + "/", value);
        const FieldRule* rule = FindRule(section, name);
        if (rule == nullptr) {
          return Wrong(at, Concat("unknown field, expected one of: ",
                                  FieldNames(section)));
        }
        if (IsDeletion(loader, value))
          return Store(loader, at, std::string(kDeletedLeaf));
        return ReadScalar(loader, at, *rule, value);
      });
}

Done ReadEntries(Loader& loader,
                 const std::string& path,
                 Section section,
                 const YAML::Node& node) {
  return ForEachKey(loader, path, node,
                    [&](const std::string&, const std::string& at,
                        const YAML::Node& value) -> Done {
                      if (IsDeletion(loader, value))
                        return Store(loader, at, std::string(kDeletedLeaf));
                      // An entry without fields would leave no leaf and vanish.
                      if (value.IsMap() && value.size() == 0)
                        return Wrong(at, "expected at least one field");
                      return ReadFields(loader, at, section, "", value);
                    });
}

Done ReadDataCenters(Loader& loader,
                     const std::string& path,
                     const YAML::Node& node) {
  if (!node.IsSequence() || node.size() == 0) {
    return Wrong(path, Concat("expected a list of names, got ", KindOf(node)));
  }
  std::set<std::string> names;
  for (const YAML::Node& item : node) {
    if (!item.IsScalar() || !IsName(item.Scalar()))
      return Wrong(path, std::string(kNameExpectation));
    if (!names.insert(item.Scalar()).second)
      return Wrong(path, Concat("names ", item.Scalar(), " twice"));
  }
  return Store(loader, path, absl::StrJoin(names, ","));
}

Done ReadSection(Loader& loader,
                 const std::string& key,
                 const std::string& path,
                 const YAML::Node& node) {
  const Section section = SectionOf(key);
  const bool only_in_base =
      section == Section::kDeployment || section == Section::kDataCenters;
  if (loader.is_overlay && only_in_base)
    return Wrong(path, "expected only in the base file");
  if (section == Section::kCount) {
    return Wrong(path, std::string(kSectionExpectation));
  }
  if (section == Section::kDeployment)
    return ReadScalar(loader, path, {"deployment", ScalarType::kName}, node);
  if (section == Section::kDataCenters)
    return ReadDataCenters(loader, path, node);
  if (HasEntries(section))
    return ReadEntries(loader, path, section, node);
  return ReadFields(loader, path, section, "", node);
}

Done ReadRoot(Loader& loader, const std::string& root, const YAML::Node& node) {
  Remember(loader, root, node);
  // A file of comments only is an overlay that changes nothing.
  if (loader.is_overlay && node.IsNull())
    return {};
  return ForEachKey(loader, root, node,
                    [&](const std::string& key, const std::string& path,
                        const YAML::Node& value) {
                      return ReadSection(loader, key, path, value);
                    });
}

// The line of the nearest path at or above `path` that the sources contain.
Place PlaceOf(const Loader& loader, std::string path) {
  while (true) {
    if (const auto place = loader.places.find(path);
        place != loader.places.end()) {
      return place->second;
    }
    const std::size_t slash = path.rfind('/');
    if (slash == std::string::npos)
      return {loader.file, 1};
    path.resize(slash);
  }
}

tl::unexpected<Error> AsError(const Loader& loader, const Problem& problem) {
  const auto [file, line] = PlaceOf(loader, problem.path);
  return Fail(ErrorKind::kConfigInvalid,
              Concat(file, ":", line, ": ", problem.path, ": ", problem.text));
}

Result<void> ReadSource(Loader& loader,
                        const SourceText& source,
                        const std::string& root) {
  loader.file = source.file;
  const auto node =
      ParseYaml(source.file, source.text, ErrorKind::kConfigSyntax);
  if (!node)
    return tl::make_unexpected(node.error());
  if (const auto done = ReadRoot(loader, root, *node); !done)
    return AsError(loader, done.error());
  return {};
}

}  // namespace

Result<Document> LoadSources(const ConfigSources& sources) {
  Loader loader;
  if (const auto base = ReadSource(loader, sources.base, "base"); !base)
    return tl::make_unexpected(base.error());
  loader.is_overlay = true;
  for (const auto& [data_center, source] : sources.overlays) {
    const std::string root = Concat("overlay/", data_center);
    if (const auto read = ReadSource(loader, source, root); !read)
      return tl::make_unexpected(read.error());
  }
  loader.file = sources.base.file;
  if (const auto valid = ValidateChecked(loader.document); !valid)
    return AsError(loader, valid.error());
  return std::move(loader.document);
}

}  // namespace teaselspread
