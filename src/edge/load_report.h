// What the load header of an upstream's response says.
#ifndef TEASELSPREAD_SRC_EDGE_LOAD_REPORT_H_
#define TEASELSPREAD_SRC_EDGE_LOAD_REPORT_H_

#include <optional>
#include <string_view>

namespace teaselspread {

struct LoadReport {
  std::optional<int> slots;
  // Current duration of work in percent of the usual; not limited to plausible
  // values. Upstreams of earlier releases do not report it.
  std::optional<double> work_percent;
  // A figure that is used here is missing or invalid.
  bool malformed = false;
};

// Parses "running,waiting,slots" or "running,waiting,slots,percent". The first
// two figures are not read: the gate counts its requests itself. Each valid
// figure is kept even if the other one is invalid, and figures after the fourth
// are ignored, so that an upstream of a later release can still be registered.
// An empty text gives an empty report. Thread safe.
[[nodiscard]] LoadReport ParseLoad(std::string_view text);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_LOAD_REPORT_H_
