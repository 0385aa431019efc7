#include <string>

#include <absl/strings/str_cat.h>

#include "base/clock.h"
#include "edge/edge_node.h"

namespace teaselspread {
namespace {

constexpr double kMicrosPerSecond = 1e6;

void AppendValue(std::string& text,
                 std::string_view name,
                 std::string_view label,
                 std::string_view value,
                 std::uint64_t count) {
  absl::StrAppend(&text, "teaselspread_", std::string(name));
  if (!label.empty()) {
    absl::StrAppend(&text, "{", std::string(label), "=\"", std::string(value),
                    "\"}");
  }
  absl::StrAppend(&text, " ", count, "\n");
}

template <class Reason>
void AppendTable(std::string& text,
                 std::string_view name,
                 std::string_view label,
                 const CounterTable<Reason>& table) {
  for (std::size_t i = 0; i < CounterTable<Reason>::kSize; ++i) {
    const auto reason = static_cast<Reason>(i);
    if (const std::uint64_t count = table.Get(reason); count > 0)
      AppendValue(text, name, label, NameOf(reason), count);
  }
}

void AppendHistogram(std::string& text,
                     const std::string& route,
                     const LatencyHistogram& histogram) {
  const std::string name = "teaselspread_request_seconds";
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    if (histogram.counts.at(i) == 0)
      continue;
    cumulative += histogram.counts.at(i);
    const double bound =
        static_cast<double>(LatencyBound(i).count()) / kMicrosPerSecond;
    absl::StrAppend(&text, name, "_bucket{route=\"", route, "\",le=\"", bound,
                    "\"} ", cumulative, "\n");
  }
  const double sum =
      static_cast<double>(histogram.sum.count()) / kMicrosPerSecond;
  absl::StrAppend(&text, name, "_bucket{route=\"", route, "\",le=\"+Inf\"} ",
                  histogram.count, "\n", name, "_sum{route=\"", route, "\"} ",
                  sum, "\n", name, "_count{route=\"", route, "\"} ",
                  histogram.count, "\n");
}

void AppendQuota(std::string& text, const QuotaService& quota) {
  if (!quota.IsActive())
    return;
  AppendTable(text, "quota_total", "outcome", quota.events);
  AppendTable(text, "quota_token_requests_total", "result",
              quota.token_requests);
  AppendValue(text, "quota_tokens_lent_total", "", "", quota.tokens_lent);
  AppendValue(text, "quota_tokens_borrowed_total", "", "",
              quota.tokens_borrowed);
  AppendValue(text, "quota_known_nodes", "", "", quota.KnownNodes());
  absl::StrAppend(&text, "teaselspread_quota_share ", quota.Share(), "\n");
}

}  // namespace

std::string MetricsText(EdgeNode& node) {
  std::string text;
  const EntryCounters& entry = node.entry.counters;
  const SnapshotPtr& held = node.entry.CurrentSnapshot();
  AppendValue(text, "config_version", "", "", held ? held->version : 0);
  AppendValue(text, "requests_total", "", "", entry.requests);
  AppendValue(text, "answered_total", "", "", entry.answered);
  AppendValue(text, "callers_left_total", "", "", entry.callers_left);
  AppendTable(text, "refused_total", "reason", entry.refusals);
  AppendTable(text, "retries_total", "reason", entry.retries);
  AppendTable(text, "gate_refused_total", "reason",
              node.gate.AdmissionState().refusals);
  CrashEvidence& crashes = node.gate.crash_evidence;
  AppendTable(text, "upstream_crashes_total", "sign", crashes.crashes);
  AppendTable(text, "suspects_total", "event", crashes.events);
  AppendValue(text, "suspect_rows", "", "", crashes.CountRows());
  AppendValue(text, "suspect_rows_reported", "", "",
              crashes.Reported(SteadyNow()).size());
  AppendValue(text, "abandoned_runs_dropped_total", "", "",
              crashes.CountDroppedRuns());
  AppendTable(text, "listener_total", "event", node.outbound.counters);
  AppendTable(text, "readiness_listener_total", "event",
              node.readiness.counters);
  AppendTable(text, "admin_listener_total", "event", node.admin.counters);
  AppendValue(text, "listener_connections", "", "",
              node.outbound.CountSessions());
  AppendValue(text, "memory_held_bytes", "", "", node.memory.Used());
  AppendValue(text, "memory_bound_bytes", "", "", node.memory.Bounds().small);
  AppendTable(text, "upstream_connections_total", "event",
              node.gate.pool.counters);
  AppendTable(text, "links_total", "event", node.links.counters);
  AppendTable(text, "link_bytes_near_total", "frame", node.links.sent_near);
  AppendTable(text, "link_bytes_far_total", "frame", node.links.sent_far);
  AppendTable(text, "link_frames_near_total", "frame", node.links.frames_near);
  AppendTable(text, "link_frames_far_total", "frame", node.links.frames_far);
  AppendTable(text, "status_topics_sent_total", "topic",
              node.links.topics_sent);
  AppendTable(text, "store_calls_total", "call", node.store_calls);
  AppendTable(text, "heartbeats_total", "verdict", node.heartbeats);
  AppendTable(text, "config_copies_total", "event",
              node.config_exchange.counters);
  AppendTable(text, "store_reads_total", "outcome", node.orders.outcomes);
  AppendValue(text, "log_lines_dropped_total", "", "", node.log.Dropped());
  const GateStatus gate = node.gate.Status();
  AppendValue(text, "gate_running", "", "", gate.running);
  AppendValue(text, "gate_waiting", "", "", gate.waiting);
  AppendValue(text, "gate_slots", "", "", gate.slots);
  AppendValue(text, "gate_slow_start_ms", "", "", gate.warm_up_ms);
  AppendValue(text, "gate_starts_total", "", "", node.gate.starts);
  AppendValue(text, "gate_refused_by_limit_total", "", "",
              node.gate.AdmissionState().refused_by_limit);
  const Gatekeeper& admission = node.gate.AdmissionState();
  if (const int cap = LongSlots(admission); cap < admission.settings.slots) {
    AppendValue(text, "gate_long_slots", "", "",
                static_cast<std::uint64_t>(cap));
  }
  AppendValue(text, "gate_held_back_total", "", "", admission.held_back);
  AppendValue(text, "gate_refused_by_reserve_total", "", "",
              admission.refused_by_reserve);
  AppendTable(text, "gate_limit_events_total", "event", node.gate.limit_events);
  AppendValue(text, "gate_leaving_responses_total", "", "",
              node.gate.leaving_responses);
  if (const SpeedFactor& speed = node.gate.Speed(); speed.reported) {
    AppendValue(text, "gate_work_percent", "", "",
                PercentAt(speed, SteadyNow()));
  }
  if (node.gate.ignored_loads > 0) {
    AppendValue(text, "gate_loads_ignored_total", "", "",
                node.gate.ignored_loads);
  }
  if (const auto& limit = node.gate.Limit().per_second)
    absl::StrAppend(&text, "teaselspread_gate_limit_per_second ", *limit, "\n");
  AppendValue(text, "gate_evacuated", "", "", node.gate.IsEvacuated() ? 1 : 0);
  AppendQuota(text, node.quota);
  for (const auto& [route, histogram] : node.entry.latency_by_route)
    AppendHistogram(text, route, histogram);
  return text;
}

}  // namespace teaselspread
