#include "edge/departures.h"

#include <algorithm>
#include <iterator>
#include <utility>

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

bool IsInForce(const Departure& departure, TimePoint now) {
  return now - departure.heard_at <= kRemembered;
}

// Completes a row that is known from less than `departure` tells. False if
// there is none for its process.
bool Merge(DepartureTable& table, const Departure& departure) {
  const auto row = std::find_if(
      table.departures.begin(), table.departures.end(),
      [&departure](const Departure& each) {
        return Matches(each, departure.instance, departure.process_stamp);
      });
  if (row == table.departures.end())
    return false;
  if (row->node.empty())
    row->node = departure.node;
  if (row->process_stamp == 0)
    row->process_stamp = departure.process_stamp;
  if (row->born_ms == 0)
    row->born_ms = departure.born_ms;
  return true;
}

}  // namespace

// Nodes tell each other of departures again. If that renewed them, two nodes
// could keep one for ever.
void RecordDeparture(DepartureTable& table,
                     Departure departure,
                     TimePoint now) {
  if (departure.instance.empty())
    return;
  auto& departures = table.departures;
  std::erase_if(departures,
                [now](const Departure& each) { return !IsInForce(each, now); });
  if (Merge(table, departure))
    return;
  departure.heard_at = now;
  departures.push_back(std::move(departure));
  if (departures.size() > kMaxDepartures)
    departures.pop_front();
}

std::vector<Departure> DeparturesInForce(const DepartureTable& table,
                                         TimePoint now) {
  std::vector<Departure> in_force;
  std::copy_if(table.departures.begin(), table.departures.end(),
               std::back_inserter(in_force),
               [now](const Departure& each) { return IsInForce(each, now); });
  return in_force;
}

bool HasLeft(const DepartureTable& table,
             std::string_view instance,
             std::uint32_t process_stamp,
             TimePoint now) {
  return std::any_of(table.departures.begin(), table.departures.end(),
                     [&](const Departure& each) {
                       return IsInForce(each, now) &&
                              Matches(each, instance, process_stamp);
                     });
}

}  // namespace teaselspread
