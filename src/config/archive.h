// Reads and writes strings and leaves in cereal archives. Memory use on load is
// bounded by the size of the input.
#ifndef TEASELSPREAD_CONFIG_ARCHIVE_H_
#define TEASELSPREAD_CONFIG_ARCHIVE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <cereal/archives/portable_binary.hpp>

namespace teaselspread {

using InputArchive = cereal::PortableBinaryInputArchive;
using OutputArchive = cereal::PortableBinaryOutputArchive;

inline constexpr std::size_t kReadChunkBytes = 65536;

inline void SaveText(OutputArchive& archive, std::string_view text) {
  archive(static_cast<std::uint32_t>(text.size()));
  archive.saveBinary<1>(text.data(), static_cast<std::streamsize>(text.size()));
}

// cereal's own string load allocates whatever size the input declares, so a few
// corrupt bytes could allocate gigabytes. Reading in chunks fails at the end of
// the input instead. Throws cereal::Exception.
inline void LoadText(InputArchive& archive, std::string& text) {
  std::uint32_t size = 0;
  archive(size);
  text.clear();
  while (text.size() < size) {
    const std::size_t at = text.size();
    const std::size_t chunk = std::min<std::size_t>(kReadChunkBytes, size - at);
    text.resize(at + chunk);
    archive.loadBinary<1>(text.data() + at,
                          static_cast<std::streamsize>(chunk));
  }
}

// Adjacent paths in sorted order share most of their prefix, so each path is
// written as the length of the prefix shared with `previous` and the rest.
void SavePath(OutputArchive& archive,
              std::string_view path,
              std::string_view previous);
void LoadPath(InputArchive& archive,
              std::string& path,
              std::string_view previous);

void SaveLeaves(OutputArchive& archive,
                const std::map<std::string, std::string>& leaves);
void LoadLeaves(InputArchive& archive,
                std::map<std::string, std::string>& leaves);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_ARCHIVE_H_
