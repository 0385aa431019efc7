// Merges the base file with an overlay, and defines the problem type that
// validation reports by path.
#ifndef TEASELSPREAD_CONFIG_MERGE_H_
#define TEASELSPREAD_CONFIG_MERGE_H_

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "teaselspread/config.h"

namespace teaselspread {

// A validation error of the leaf or entry at `path`. Unless stated otherwise,
// the path is a full document path, so that the source line can be found.
struct Problem {
  std::string path;
  std::string text;
};

// The value, or the problem that validation found.
template <class T>
using Checked = tl::expected<T, Problem>;

inline tl::unexpected<Problem> Invalid(std::string path, std::string text) {
  return tl::make_unexpected(Problem{std::move(path), std::move(text)});
}

inline constexpr std::string_view kBasePrefix = "base/";
inline constexpr std::string_view kOverlayPrefix = "overlay/";
inline constexpr std::string_view kDataCentersLeaf = "base/data_centers";

// "overlay/<data_center>/". Thread safe.
[[nodiscard]] std::string OverlayPrefixOf(std::string_view data_center);

// One leaf of the merged view; it points into the document.
struct MergedLeaf {
  // Without "base/" or "overlay/<data centre>/".
  std::string_view path;
  std::string_view value;
  // The full document path, for problems.
  std::string_view origin;
};

// Leaves of the base file, sorted by path. Precondition: the document outlives
// the result. Thread safe.
[[nodiscard]] std::vector<MergedLeaf> BaseLeaves(const Document& document);

// Effective leaves of `data_center`, sorted by path. Deleting a path that the
// base lacks is a problem, since it is most likely a typing error.
// Preconditions: `base` is BaseLeaves(document), and the document outlives the
// result. Thread safe.
[[nodiscard]] Checked<std::vector<MergedLeaf>> Merge(
    const Document& document,
    const std::vector<MergedLeaf>& base,
    std::string_view data_center);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_MERGE_H_
