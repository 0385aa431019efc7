// Rendering and validation that report the path of the invalid leaf, so that
// messages can include its source line.
#ifndef TEASELSPREAD_CONFIG_RENDER_H_
#define TEASELSPREAD_CONFIG_RENDER_H_

#include <string_view>

#include "config/merge.h"
#include "teaselspread/config.h"

namespace teaselspread {

// Like Render and ValidateAll in config.h. Thread safe.
[[nodiscard]] Checked<SnapshotPtr> RenderChecked(const Document& document,
                                                 std::string_view data_center,
                                                 ConfigVersion version);
[[nodiscard]] Checked<void> ValidateChecked(const Document& document);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_RENDER_H_
