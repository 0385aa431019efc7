// Loads YAML sources into a document and records the source line of each leaf.
#include <set>

#include <absl/strings/str_join.h>

#include "base/text.h"
#include "config/render.h"
#include "config/schema.h"
#include "config/yaml.h"
#include "teaselspread/config.h"

namespace teaselspread {
namespace {

using ReadResult = Checked<void>;

// Source position of a path, which names a leaf or an entry above leaves.
struct SourceLocation {
  std::string_view file;
  int line = 0;
};

struct Loader {
  Document document;
  std::map<std::string, SourceLocation> locations;
  // The source being read, and the prefix of its paths.
  std::string_view file;
  std::string prefix;
  bool is_overlay = false;
};

void RecordLocation(Loader& loader,
                    const std::string& path,
                    const YAML::Node& node) {
  loader.locations[path] = {loader.file, LineOf(node)};
}

ReadResult StoreLeaf(Loader& loader,
                     const std::string& path,
                     std::string value) {
  loader.document.leaves[path] = std::move(value);
  return {};
}

ReadResult ReadScalar(Loader& loader,
                      const std::string& path,
                      const FieldRule& rule,
                      const YAML::Node& node) {
  if (!node.IsScalar())
    return Invalid(path,
                   Concat("expected one value, got ", DescribeKind(node)));
  auto value = ParseScalar(rule, node.Scalar());
  if (!value)
    return Invalid(path,
                   Concat(value.error(), ", got ", Quoted(node.Scalar())));
  return StoreLeaf(loader, path, CanonicalText(*value));
}

// Calls `visit(key, path, value)` for each pair of a map. Rejects duplicate
// keys: yaml-cpp accepts them and silently keeps only one, which would drop an
// operator's second entry.
template <class Visitor>
ReadResult ForEachKey(Loader& loader,
                      const std::string& parent,
                      const YAML::Node& node,
                      Visitor visit) {
  if (!node.IsMap())
    return Invalid(parent, Concat("expected a map, got ", DescribeKind(node)));
  std::set<std::string> seen;
  for (const auto& pair : node) {
    if (!pair.first.IsScalar())
      return Invalid(parent, "expected a name as key");
    const std::string key = pair.first.Scalar();
    if (!IsName(key))
      return Invalid(parent,
                     Concat("key ", Quoted(key), ": ", kNameExpectation));
    const std::string path = Concat(parent, "/", key);
    RecordLocation(loader, path, pair.first);
    if (!seen.insert(key).second)
      return Invalid(path, "stands twice");
    if (auto result = visit(key, path, pair.second); !result)
      return result;
  }
  return {};
}

// In an overlay, a null deletes the entry or field of the base file.
bool IsDeletion(const Loader& loader, const YAML::Node& node) {
  return loader.is_overlay && node.IsNull();
}

ReadResult ReadFields(Loader& loader,
                      const std::string& path,
                      Section section,
                      std::string_view name_prefix,
                      const YAML::Node& node) {
  return ForEachKey(
      loader, path, node,
      [&](const std::string& key, const std::string& field_path,
          const YAML::Node& value) -> ReadResult {
        const std::string name = Concat(name_prefix, key);
        if (value.IsMap())
          return ReadFields(loader, field_path, section, name + "/", value);
        const FieldRule* rule = FindRule(section, name);
        if (rule == nullptr) {
          return Invalid(field_path, Concat("unknown field, expected one of: ",
                                            FieldNames(section)));
        }
        if (IsDeletion(loader, value))
          return StoreLeaf(loader, field_path, std::string(kDeletedLeaf));
        return ReadScalar(loader, field_path, *rule, value);
      });
}

ReadResult ReadEntries(Loader& loader,
                       const std::string& path,
                       Section section,
                       const YAML::Node& node) {
  return ForEachKey(
      loader, path, node,
      [&](const std::string&, const std::string& entry_path,
          const YAML::Node& value) -> ReadResult {
        if (IsDeletion(loader, value))
          return StoreLeaf(loader, entry_path, std::string(kDeletedLeaf));
        // An entry without fields has no leaves and would be lost.
        if (value.IsMap() && value.size() == 0)
          return Invalid(entry_path, "expected at least one field");
        return ReadFields(loader, entry_path, section, "", value);
      });
}

ReadResult ReadDataCenters(Loader& loader,
                           const std::string& path,
                           const YAML::Node& node) {
  if (!node.IsSequence() || node.size() == 0) {
    return Invalid(
        path, Concat("expected a list of names, got ", DescribeKind(node)));
  }
  std::set<std::string> names;
  for (const YAML::Node& item : node) {
    if (!item.IsScalar() || !IsName(item.Scalar()))
      return Invalid(path, std::string(kNameExpectation));
    if (!names.insert(item.Scalar()).second)
      return Invalid(path, Concat("names ", item.Scalar(), " twice"));
  }
  return StoreLeaf(loader, path, absl::StrJoin(names, ","));
}

ReadResult ReadSection(Loader& loader,
                       const std::string& key,
                       const std::string& path,
                       const YAML::Node& node) {
  const Section section = SectionOf(key);
  const bool only_in_base =
      section == Section::kDeployment || section == Section::kDataCenters;
  if (loader.is_overlay && only_in_base)
    return Invalid(path, "expected only in the base file");
  if (section == Section::kCount) {
    return Invalid(path, std::string(kSectionExpectation));
  }
  if (section == Section::kDeployment)
    return ReadScalar(loader, path, {"deployment", ScalarType::kName}, node);
  if (section == Section::kDataCenters)
    return ReadDataCenters(loader, path, node);
  if (HasEntries(section))
    return ReadEntries(loader, path, section, node);
  return ReadFields(loader, path, section, "", node);
}

ReadResult ReadRoot(Loader& loader,
                    const std::string& root,
                    const YAML::Node& node) {
  RecordLocation(loader, root, node);
  // An overlay file may contain only comments and then changes nothing.
  if (loader.is_overlay && node.IsNull())
    return {};
  return ForEachKey(loader, root, node,
                    [&](const std::string& key, const std::string& path,
                        const YAML::Node& value) {
                      return ReadSection(loader, key, path, value);
                    });
}

// The location of `path` or its nearest ancestor in the sources.
SourceLocation LocationOf(const Loader& loader, std::string path) {
  while (true) {
    if (const auto place = loader.locations.find(path);
        place != loader.locations.end()) {
      return place->second;
    }
    const std::size_t slash = path.rfind('/');
    if (slash == std::string::npos)
      return {loader.file, 1};
    path.resize(slash);
  }
}

tl::unexpected<Error> ToError(const Loader& loader, const Problem& problem) {
  const auto [file, line] = LocationOf(loader, problem.path);
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
  if (const auto result = ReadRoot(loader, root, *node); !result)
    return ToError(loader, result.error());
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
    return ToError(loader, valid.error());
  return std::move(loader.document);
}

}  // namespace teaselspread
