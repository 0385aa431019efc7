#include "config/references.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "base/text.h"

namespace teaselspread {
namespace {

using MovesOfService = std::map<std::string, std::vector<const MoveConfig*>>;

Checked<void> CheckRoute(const Snapshot& snapshot, const RouteConfig& route) {
  if (!snapshot.services.contains(route.service)) {
    return Invalid(Concat("routes/", route.name, "/service"),
                   Concat("no service is called ", route.service));
  }
  if (route.max_body_bytes > snapshot.limits.max_body_bytes) {
    return Invalid(Concat("routes/", route.name, "/max_body_bytes"),
                   Concat("expected at most limits/max_body_bytes, ",
                          snapshot.limits.max_body_bytes));
  }
  return {};
}

// With two routes of the same method and prefix, it would be undefined which
// deadline and at-most-once rule apply to a request. Routes are sorted by
// prefix and method, so that duplicates are adjacent.
Checked<void> CheckRoutes(const Snapshot& snapshot) {
  const RouteConfig* previous = nullptr;
  for (const RouteConfig& route : snapshot.routes) {
    if (auto checked = CheckRoute(snapshot, route); !checked)
      return checked;
    if (previous != nullptr && previous->method == route.method &&
        previous->path_prefix == route.path_prefix) {
      return Invalid(Concat("routes/", route.name, "/path_prefix"),
                     Concat("route ", previous->name, " already takes ",
                            route.method, " ", route.path_prefix));
    }
    previous = &route;
  }
  return {};
}

Checked<void> CheckMove(const Snapshot& snapshot, const MoveConfig& move) {
  const std::string path = Concat("moves/", move.id);
  if (!snapshot.services.contains(move.service)) {
    return Invalid(path + "/service",
                   Concat("no service is called ", move.service));
  }
  if (move.from == move.to)
    return Invalid(path + "/to", "expected another version than from");
  if (move.by <= move.start)
    return Invalid(path + "/by", "expected a time after start");
  // The move is done after its watch period at full share. With less time it
  // would finish late, or go to full share without evidence.
  if (move.by - move.start <= move.watch)
    return Invalid(path + "/by", "expected more time after start than watch");
  return {};
}

// A move may start from the version of its service or from one that an earlier
// move leads to. A finished move may stay in the file after the operator has
// set the service to its new version.
Checked<void> CheckVersions(const ServiceConfig& service,
                            const std::vector<const MoveConfig*>& moves) {
  std::set<std::string_view> known = {service.version};
  for (const MoveConfig* move : moves) {
    if (move->to == service.version)
      known.insert(move->from);
    if (!known.contains(move->from)) {
      return Invalid(
          Concat("moves/", move->id, "/from"),
          Concat("expected the version of ", service.name, ", ",
                 service.version, ", or one that an earlier move leads to"));
    }
    known.insert(move->to);
  }
  return {};
}

// Concurrent moves of one service would set conflicting traffic shares.
Checked<void> CheckOverlap(const std::vector<const MoveConfig*>& moves) {
  for (std::size_t i = 1; i < moves.size(); ++i) {
    const MoveConfig& earlier = *moves[i - 1];
    const MoveConfig& later = *moves[i];
    if (later.start < earlier.by + earlier.watch) {
      return Invalid(Concat("moves/", later.id, "/start"),
                     Concat("overlaps move ", earlier.id,
                            " of the same service, which ends with its "
                            "watch after by"));
    }
  }
  return {};
}

Checked<void> CheckMoves(const Snapshot& snapshot) {
  MovesOfService by_service;
  for (const auto& [id, move] : snapshot.moves) {
    if (auto checked = CheckMove(snapshot, move); !checked)
      return checked;
    if (!move.withdrawn)
      by_service[move.service].push_back(&move);
  }
  for (auto& [service, moves] : by_service) {
    std::sort(moves.begin(), moves.end(), [](const auto* a, const auto* b) {
      return std::tie(a->start, a->id) < std::tie(b->start, b->id);
    });
    if (auto checked = CheckOverlap(moves); !checked)
      return checked;
    if (auto checked = CheckVersions(snapshot.services.at(service), moves);
        !checked) {
      return checked;
    }
  }
  return {};
}

Checked<void> CheckLimits(const LimitsConfig& limits) {
  if (limits.max_body_bytes > limits.body_memory_bytes) {
    return Invalid("limits/max_body_bytes",
                   Concat("expected at most limits/body_memory_bytes, ",
                          limits.body_memory_bytes));
  }
  return {};
}

}  // namespace

Checked<void> CheckReferences(const Snapshot& snapshot) {
  if (auto checked = CheckLimits(snapshot.limits); !checked)
    return checked;
  if (auto checked = CheckRoutes(snapshot); !checked)
    return checked;
  return CheckMoves(snapshot);
}

}  // namespace teaselspread
