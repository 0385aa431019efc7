// Rendering that names the leaf at fault, for messages with a source line.
#ifndef TEASELSPREAD_CONFIG_RENDER_H_
#define TEASELSPREAD_CONFIG_RENDER_H_

#include <string_view>

#include "config/merge.h"
#include "teaselspread/config.h"

namespace teaselspread {

// As Render and ValidateAll of config.h. Thread safe.
[[nodiscard]] Checked<SnapshotPtr> RenderChecked(const Document& document,
                                                 std::string_view data_center,
                                                 ConfigVersion version);
[[nodiscard]] Checked<void> ValidateChecked(const Document& document);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_RENDER_H_
