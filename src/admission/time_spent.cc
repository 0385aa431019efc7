#include "teaselspread/time_spent.h"

namespace teaselspread {
namespace {

std::int64_t MillisOf(Duration deadline) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(deadline)
      .count();
}

void HalveCounts(DeadlineHistory& history) {
  history.total = 0;
  for (auto row = history.counts.begin(); row != history.counts.end();) {
    row->second /= 2;
    if (row->second < 1) {
      row = history.counts.erase(row);
      continue;
    }
    history.total += row->second;
    ++row;
  }
}

}  // namespace

void RecordDeadline(DeadlineHistory& history, Duration deadline) {
  ++history.counts[MillisOf(deadline)];
  ++history.total;
  if (history.total >= history.settings.max_requests)
    HalveCounts(history);
}

Duration TimeSpent(const DeadlineHistory& history, Duration deadline) {
  if (history.total < history.settings.min_requests)
    return Duration{0};
  const std::int64_t deadline_ms = MillisOf(deadline);
  const double usual_count = history.settings.usual_fraction * history.total;
  for (auto row = history.counts.lower_bound(deadline_ms);
       row != history.counts.end(); ++row) {
    if (row->second >= usual_count)
      return std::chrono::milliseconds(row->first - deadline_ms);
  }
  return Duration{0};
}

}  // namespace teaselspread
