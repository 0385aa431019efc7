// Commands that read the operator's configuration files.
#include <array>
#include <filesystem>
#include <fstream>
#include <ostream>
#include <sstream>

#include "base/text.h"
#include "commands/commands.h"
#include "commands/log_reader.h"

namespace teaselspread {
namespace {

namespace fs = std::filesystem;

constexpr std::string_view kBaseFileName = "base.yaml";
constexpr std::string_view kExtension = ".yaml";

Result<std::string> ReadFile(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    return Fail(ErrorKind::kUsage, Concat(path.string(), ": cannot be read"));
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace

ExitCode Report(const Error& error, const CommandStreams& streams) {
  streams.err << "teaselctl: " << error.message << "\n";
  return ExitCodeOf(error.kind);
}

Result<Document> ReadSources(const std::string& folder) {
  if (folder.empty())
    return Fail(ErrorKind::kUsage, "--config=FOLDER is needed");
  ConfigSources sources;
  const fs::path base = fs::path(folder) / kBaseFileName;
  auto text = ReadFile(base);
  if (!text)
    return tl::make_unexpected(text.error());
  sources.base = {base.string(), std::move(*text)};
  std::error_code error;
  for (const auto& entry : fs::directory_iterator(folder, error)) {
    const fs::path& path = entry.path();
    if (path.extension() != kExtension || path.filename() == kBaseFileName)
      continue;
    auto overlay = ReadFile(path);
    if (!overlay)
      return tl::make_unexpected(overlay.error());
    sources.overlays[path.stem().string()] = {path.string(),
                                              std::move(*overlay)};
  }
  return LoadSources(sources);
}

ExitCode Validate(const CommandOptions& options,
                  const CommandStreams& streams) {
  const auto document = ReadSources(options.config);
  if (!document)
    return Report(document.error(), streams);
  Table table{{"data_center", "routes", "services", "moves", "result"}, {}};
  for (const std::string& data_center : DataCentersOf(*document)) {
    const auto snapshot = Render(*document, data_center, 1);
    if (!snapshot)
      return Report(snapshot.error(), streams);
    table.rows.push_back({data_center,
                          std::to_string((*snapshot)->routes.size()),
                          std::to_string((*snapshot)->services.size()),
                          std::to_string((*snapshot)->moves.size()), "valid"});
  }
  streams.out << FormatTable(table, options.output);
  return ExitCode::kOk;
}

ExitCode RenderDataCenter(const CommandOptions& options,
                          const CommandStreams& streams) {
  const auto document = ReadSources(options.config);
  if (!document)
    return Report(document.error(), streams);
  if (options.data_center.empty())
    return Report({ErrorKind::kUsage, "--data_center=NAME is needed"}, streams);
  const auto snapshot = Render(*document, options.data_center, 1);
  if (!snapshot)
    return Report(snapshot.error(), streams);
  streams.out << (options.output == OutputFormat::kJson
                      ? FormatJson(**snapshot)
                      : FormatYaml(**snapshot));
  return ExitCode::kOk;
}

ExitCode Diff(const CommandOptions& options, const CommandStreams& streams) {
  const auto document = ReadSources(options.config);
  if (!document)
    return Report(document.error(), streams);
  const auto reader = ReadWholeLog(options);
  if (!reader)
    return Report(reader.error(), streams);
  const auto differences = DiffDocuments(reader->fold.document, *document);
  streams.out << FormatDifferences(differences, options.output);
  return differences.empty() ? ExitCode::kOk : ExitCode::kDifferent;
}

}  // namespace teaselspread
