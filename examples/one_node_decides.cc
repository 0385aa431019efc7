// Drives one node's decisions without a socket: a configuration is rendered, a
// request is matched, admitted and finished on a clock of our own.
#include <iostream>

#include "teaselspread/teaselspread.h"

using namespace teaselspread;  // NOLINT: short example

int main() {
  ConfigSources sources;
  sources.base = {"base.yaml",
                  "deployment: demo\n"
                  "data_centers: [bole]\n"
                  "services: {registry-desk: {version: v1}}\n"
                  "routes:\n"
                  "  case-index: {service: registry-desk, method: GET,\n"
                  "               path_prefix: /cases, deadline: 2s}\n"};
  const auto document = LoadSources(sources);
  if (!document) {
    std::cerr << document.error().message << "\n";
    return 1;
  }
  const auto snapshot = Render(*document, "bole", 1);
  if (!snapshot) {
    std::cerr << snapshot.error().message << "\n";
    return 1;
  }
  const RouteConfig* route = MatchRoute(**snapshot, "GET", "/cases/7");
  std::cout << "route " << route->name << "\n";

  Rng rng(1);
  TimePoint now{std::chrono::seconds(1)};
  Gatekeeper gate;
  gate.settings.slots = 1;
  Arrival arrival;
  arrival.route = route->name;
  arrival.deadline = now + route->deadline;
  for (const std::uint64_t id : {1, 2}) {
    arrival.id = id;
    const ArrivalResult arrived = Arrive(gate, arrival, now, rng);
    std::cout << "request " << id << " " << NameOf(arrived.admission) << "\n";
  }
  now += std::chrono::milliseconds(5);
  const GateActions actions =
      Finish(gate, 1, std::chrono::milliseconds(5), true, now, rng);
  std::cout << "now runs " << actions.run.front() << "\n";
  return 0;
}
