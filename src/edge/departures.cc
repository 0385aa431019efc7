#include "edge/departures.h"

#include <algorithm>

namespace teaselspread {
namespace {

// A process that leaves ends some seconds later, at times many. One that starts
// under its name and whose start time is not known is avoided as long.
constexpr Duration kRemembered = std::chrono::seconds(60);
// Bounds the memory where upstreams are replaced in quick succession.
constexpr std::size_t kMaxDepartures = 1024;

bool Matches(const Departure& departure,
             std::string_view instance,
             std::uint32_t process_stamp) {
  const bool stamps_known = departure.process_stamp != 0 && process_stamp != 0;
  return departure.instance == instance &&
         (!stamps_known || departure.process_stamp == process_stamp);
}

}  // namespace

void RecordDeparture(DepartureTable& table,
                     std::string_view instance,
                     std::uint32_t process_stamp,
                     TimePoint now) {
  if (instance.empty())
    return;
  auto& departures = table.departures;
  std::erase_if(departures, [&](const Departure& each) {
    return now - each.heard_at > kRemembered ||
           Matches(each, instance, process_stamp);
  });
  departures.push_back({std::string(instance), process_stamp, now});
  if (departures.size() > kMaxDepartures)
    departures.pop_front();
}

bool HasLeft(const DepartureTable& table,
             std::string_view instance,
             std::uint32_t process_stamp,
             TimePoint now) {
  return std::any_of(table.departures.begin(), table.departures.end(),
                     [&](const Departure& each) {
                       return now - each.heard_at <= kRemembered &&
                              Matches(each, instance, process_stamp);
                     });
}

}  // namespace teaselspread
