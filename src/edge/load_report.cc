#include "edge/load_report.h"

#include <cmath>
#include <cstddef>
#include <string>
#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace teaselspread {
namespace {

constexpr std::size_t kSlotsField = 2;
constexpr std::size_t kPercentField = 3;

std::optional<int> ParseSlots(const std::string& text) {
  int slots = 0;
  if (!absl::SimpleAtoi(text, &slots) || slots < 1)
    return std::nullopt;
  return slots;
}

std::optional<double> ParsePercent(const std::string& text) {
  double percent = 0;
  if (!absl::SimpleAtod(text, &percent) || !std::isfinite(percent) ||
      percent <= 0)
    return std::nullopt;
  return percent;
}

}  // namespace

LoadReport ParseLoad(std::string_view text) {
  LoadReport report;
  if (text.empty())
    return report;
  const std::vector<std::string> fields =
      absl::StrSplit(std::string(text), ',');
  if (fields.size() > kSlotsField)
    report.slots = ParseSlots(fields[kSlotsField]);
  const bool has_percent = fields.size() > kPercentField;
  if (has_percent)
    report.work_percent = ParsePercent(fields[kPercentField]);
  report.malformed = !report.slots || (has_percent && !report.work_percent);
  return report;
}

}  // namespace teaselspread
