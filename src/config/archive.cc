#include "config/archive.h"

namespace teaselspread {
namespace {

std::size_t CommonPrefixSize(std::string_view a, std::string_view b) {
  const auto [end, other] =
      std::mismatch(a.begin(), a.end(), b.begin(), b.end());
  return static_cast<std::size_t>(end - a.begin());
}

}  // namespace

void SavePath(OutputArchive& archive,
              std::string_view path,
              std::string_view previous) {
  const auto shared_size = static_cast<std::uint16_t>(
      std::min<std::size_t>(CommonPrefixSize(path, previous), UINT16_MAX));
  archive(shared_size);
  SaveText(archive, path.substr(shared_size));
}

void LoadPath(InputArchive& archive,
              std::string& path,
              std::string_view previous) {
  std::uint16_t shared_size = 0;
  archive(shared_size);
  if (shared_size > previous.size())
    throw cereal::Exception("a path shares more than the one before it has");
  std::string rest;
  LoadText(archive, rest);
  path.assign(previous.substr(0, shared_size));
  path += rest;
}

void SaveLeaves(OutputArchive& archive,
                const std::map<std::string, std::string>& leaves) {
  archive(static_cast<std::uint32_t>(leaves.size()));
  std::string_view previous;
  for (const auto& [path, value] : leaves) {
    SavePath(archive, path, previous);
    SaveText(archive, value);
    previous = path;
  }
}

void LoadLeaves(InputArchive& archive,
                std::map<std::string, std::string>& leaves) {
  std::uint32_t count = 0;
  archive(count);
  std::string previous;
  for (std::uint32_t i = 0; i < count; ++i) {
    std::string path;
    LoadPath(archive, path, previous);
    std::string value;
    LoadText(archive, value);
    previous = path;
    leaves.emplace_hint(leaves.end(), std::move(path), std::move(value));
  }
}

}  // namespace teaselspread
