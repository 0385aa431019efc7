#include "teaselspread/routing.h"

namespace teaselspread {
namespace {

// "/bundles" must not catch "/bundles-archive", which is another route's.
bool PrefixFits(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix))
    return false;
  if (prefix.empty() || prefix.back() == '/' || path.size() == prefix.size())
    return true;
  const char next = path[prefix.size()];
  return next == '/' || next == '?';
}

}  // namespace

const RouteConfig* MatchRoute(const Snapshot& snapshot,
                              std::string_view method,
                              std::string_view path) {
  for (const RouteConfig& route : snapshot.routes) {
    const bool method_fits = route.method.empty() || route.method == method;
    if (method_fits && PrefixFits(route.path_prefix, path))
      return &route;
  }
  return nullptr;
}

}  // namespace teaselspread
