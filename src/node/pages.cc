#include "node/pages.h"

#include <array>

#include "base/text.h"
#include "node/node.h"
#include "teaselspread/operator.h"

namespace teaselspread {
namespace {

using PageHandler = HttpResponse (*)(Node&, const HttpRequest&);

HttpResponse Json(std::string body) {
  HttpResponse response;
  SetHeader(response.headers, "Content-Type", "application/json");
  response.body = std::move(body);
  return response;
}

HttpResponse Text(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  SetHeader(response.headers, "Content-Type", "text/plain");
  response.body = std::move(body);
  return response;
}

HttpResponse Busy() {
  return ErrorResponse(Error{ErrorKind::kInternal, "the node is too busy"});
}

std::string MemberJson(const Member& member) {
  const Announcement& upstream = member.upstream;
  return Concat("{\"vm\":", JsonText(member.id),
                ",\"data_center\":", JsonText(member.data_center),
                ",\"status\":", JsonText(NameOf(member.status)),
                ",\"http\":", JsonText(ToString(member.http)),
                ",\"version\":", member.held,
                ",\"service\":", JsonText(upstream.service),
                ",\"upstream_version\":", JsonText(upstream.version),
                ",\"upstream_state\":", JsonText(NameOf(upstream.state)),
                ",\"slots\":", upstream.slots, "}");
}

std::string StatusJson(Node& node) {
  const Membership& membership = node.membership.state;
  std::string members = MemberJson(membership.self);
  for (const auto& [id, entry] : membership.members)
    members += Concat(",\n", MemberJson(entry.member));
  const ConfigInForce& config = node.config.in_force;
  const SpreadState& spread = node.spread.state;
  return Concat("{\"vm\":", JsonText(node.settings.vm),
                ",\"deployment\":", JsonText(node.settings.deployment),
                ",\"data_center\":", JsonText(node.settings.data_center),
                ",\"version\":", config.version,
                ",\"publish_id\":", JsonText(config.publish_id),
                ",\"digest\":", JsonText(ToString(config.digest)),
                ",\"floor\":", spread.floor,
                ",\"ready\":", IsReady(spread) ? "true" : "false",
                ",\"reader\":", node.config.reader ? "true" : "false",
                ",\"highest_heard\":", spread.highest_known, ",\n\"members\":[",
                members, "]}\n");
}

HttpResponse Status(Node& node, const HttpRequest&) {
  auto body = OnKernel(node, [](Node& each) { return StatusJson(each); });
  return body ? Json(std::move(*body)) : Busy();
}

HttpResponse Health(Node& node, const HttpRequest&) {
  const std::scoped_lock lock(node.requests.gate);
  const bool well = node.requests.ready && !node.requests.leaving;
  return Text(well ? 200 : 503, well ? "ready\n" : "not ready\n");
}

HttpResponse Moves(Node& node, const HttpRequest& request) {
  const auto account = AccountOf(node.moves, SystemNow());
  if (QueryOf(request, "format") == "text")
    return Text(200, FormatAccountText(account));
  return Json(FormatAccountJson(account));
}

HttpResponse Announce(Node& node, const HttpRequest& request) {
  if (const auto taken =
          TakeAnnouncement(node.requests, request.body, SystemNow());
      !taken) {
    return Refuse(node.requests, taken.error(), nullptr, Duration{});
  }
  return Text(200, "ok\n");
}

// One line of the Prometheus text format.
void Metric(std::string& text,
            std::string_view name,
            std::string_view label,
            std::string_view value,
            std::uint64_t count) {
  text += Concat("teaselspread_", name, "{", label, "=\"", value, "\"} ", count,
                 "\n");
}

template <class Reason>
void Metrics(std::string& text,
             std::string_view name,
             const CounterTable<Reason>& counters) {
  for (std::size_t i = 0; i < CounterTable<Reason>::kSize; ++i) {
    const auto reason = static_cast<Reason>(i);
    Metric(text, name, "reason", NameOf(reason), counters.Get(reason));
  }
}

template <class Reason, class Counts>
void ArrayMetrics(std::string& text,
                  std::string_view name,
                  const Counts& counts) {
  for (std::size_t i = 0; i < counts.size(); ++i)
    Metric(text, name, "reason", NameOf(static_cast<Reason>(i)), counts.at(i));
}

std::string KernelMetrics(Node& node) {
  std::string text;
  Metrics(text, "kernel_events_total", node.kernel.Counters());
  ArrayMetrics<MembershipCount>(text, "membership_total",
                                node.membership.state.counts);
  ArrayMetrics<SpreadCount>(text, "spread_total", node.spread.state.counts);
  ArrayMetrics<FoldReason>(text, "fold_total", node.config.fold.counters);
  text += Concat("teaselspread_config_version ", node.config.in_force.version,
                 "\n");
  return text;
}

HttpResponse MetricsPage(Node& node, const HttpRequest&) {
  auto text = OnKernel(node, [](Node& each) { return KernelMetrics(each); });
  if (!text)
    return Busy();
  for (std::size_t kind = 0; kind < kMessageKinds; ++kind)
    Metric(*text, "control_bytes_total", "kind", KindName(kind),
           node.bytes_by_kind.at(kind));
  Metrics(*text, "refusals_total", node.requests.answers_by_error);
  Metrics(*text, "transport_total", node.transport.Counters());
  Metrics(*text, "refused_frames_total", node.refused_frames);
  Metrics(*text, "http_server_total", node.server->Counters());
  Metrics(*text, "http_client_total", node.clients.Counters());
  Metrics(*text, "log_total", node.log.counters);
  *text += Concat("teaselspread_answers_total ", node.requests.answered.load(),
                  "\n");
  const std::scoped_lock lock(node.requests.gate);
  Metrics(*text, "retries_total", node.requests.retry_budget.counters);
  Metrics(*text, "gate_refusals_total", node.requests.gatekeeper.refusals);
  *text += Concat("teaselspread_running ", node.requests.gatekeeper.running,
                  "\nteaselspread_queued ",
                  node.requests.gatekeeper.queue.size(), "\n");
  return Text(200, std::move(*text));
}

std::string TargetsText(const Requests& requests, const std::string& service) {
  std::string text;
  const auto versions = requests.table.services.find(service);
  if (versions == requests.table.services.end())
    return "no upstream of this service is ready in this data centre\n";
  const TimePoint now = SystemNow();
  for (const auto& [version, group] : versions->second) {
    for (const Target& target : group.targets) {
      text += Concat("target ", target.id, " version ", version, " slots ",
                     target.slots, " in_flight ", target.in_flight,
                     IsEjected(target, now) ? " EJECTED" : "", "\n");
    }
  }
  return text;
}

std::string RefusalsText(const Requests& requests, const std::string& route) {
  std::string text;
  const auto found = requests.refusals.find(route);
  if (found == requests.refusals.end())
    return "nothing on this route was refused here\n";
  for (std::size_t i = 0; i < found->second.by_kind.size(); ++i) {
    if (const auto count = found->second.by_kind.at(i); count > 0)
      text += Concat("refused ", NameOf(static_cast<ErrorKind>(i)), " ", count,
                     "\n");
  }
  return text;
}

HttpResponse Explain(Node& node, const HttpRequest& request) {
  std::string method(QueryOf(request, "method"));
  const std::string path(QueryOf(request, "path"));
  if (method.empty())
    method = "GET";
  const std::scoped_lock lock(node.requests.gate);
  if (!node.requests.snapshot)
    return Text(503, "no configuration is in force yet\n");
  const RouteConfig* route = MatchRoute(*node.requests.snapshot, method, path);
  if (route == nullptr)
    return Text(404, Concat("no route for ", method, " ", path, "\n"));
  return Text(200, Concat("route ", route->name, "\nservice ", route->service,
                          "\npriority ", NameOf(route->priority),
                          "\nidempotent ", route->idempotent ? "yes" : "no",
                          "\n", TargetsText(node.requests, route->service),
                          RefusalsText(node.requests, route->name)));
}

struct Page {
  std::string_view path;
  std::string_view method;
  PageHandler handler;
};

constexpr std::array<Page, 6> kPages = {{
    {"/status", "GET", Status},
    {"/metrics", "GET", MetricsPage},
    {"/health", "GET", Health},
    {"/moves", "GET", Moves},
    {"/explain", "GET", Explain},
    {kAnnouncePath, "POST", Announce},
}};

}  // namespace

bool IsPage(const HttpRequest& request) {
  const std::string_view path = PathOf(request);
  for (const Page& page : kPages) {
    if (page.path == path)
      return true;
  }
  return false;
}

HttpResponse ServePage(Node& node, const HttpRequest& request) {
  for (const Page& page : kPages) {
    if (page.path == PathOf(request) && page.method == request.method)
      return page.handler(node, request);
  }
  return Text(405, "this page takes another method\n");
}

}  // namespace teaselspread
