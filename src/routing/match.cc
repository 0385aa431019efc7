#include <absl/strings/match.h>

#include "teaselspread/routing.h"

namespace teaselspread {
namespace {

// "/bundles" must not match "/bundles-archive", which belongs to another route.
bool PrefixMatches(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix))
    return false;
  if (prefix.empty() || prefix.back() == '/' || path.size() == prefix.size())
    return true;
  const char next = path[prefix.size()];
  return next == '/' || next == '?';
}

bool HostMatches(std::string_view wanted, std::string_view host) {
  return wanted.empty() ||
         absl::EqualsIgnoreCase(absl::string_view(wanted.data(), wanted.size()),
                                absl::string_view(host.data(), host.size()));
}

}  // namespace

std::string_view WithoutPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  const bool is_port = colon != std::string_view::npos &&
                       host.find(']', colon) == std::string_view::npos;
  return is_port ? host.substr(0, colon) : host;
}

const RouteConfig* MatchRoute(const Snapshot& snapshot,
                              std::string_view host,
                              std::string_view method,
                              std::string_view path) {
  const std::string_view name = WithoutPort(host);
  for (const RouteConfig& route : snapshot.routes) {
    const bool method_matches = route.method.empty() || route.method == method;
    if (method_matches && HostMatches(route.host, name) &&
        PrefixMatches(route.path_prefix, path))
      return &route;
  }
  return nullptr;
}

const RouteConfig* MatchRoute(const Snapshot& snapshot,
                              std::string_view method,
                              std::string_view path) {
  for (const RouteConfig& route : snapshot.routes) {
    const bool method_matches = route.method.empty() || route.method == method;
    if (method_matches && PrefixMatches(route.path_prefix, path))
      return &route;
  }
  return nullptr;
}

}  // namespace teaselspread
