#include "edge/departure_exchange.h"

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include "base/clock.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

constexpr ConfigVersion kNoConfig = 0;
// Key of the frame, followed by the node.
constexpr std::string_view kDeparturePrefix = "departure ";
// Start time and identity of the process.
constexpr std::size_t kFields = 2;

void Record(EdgeNode& node, const DepartureNotice& notice) {
  Departure departure;
  departure.node = notice.node;
  departure.instance = notice.call.instance;
  departure.born_ms = notice.call.born_ms;
  departure.process_stamp = static_cast<std::uint32_t>(notice.call.born_ms);
  RecordDeparture(node.entry.departures, std::move(departure), SteadyNow());
}

}  // namespace

ConfigFrame PackDeparture(const DepartureNotice& notice) {
  ConfigFrame frame;
  frame.version = kNoConfig;
  frame.key = std::string(kDeparturePrefix) + notice.node;
  frame.packed = absl::StrCat(notice.call.born_ms, " ", notice.call.instance);
  frame.size_bytes = static_cast<std::uint32_t>(frame.packed.size());
  return frame;
}

std::optional<DepartureNotice> UnpackDeparture(const ConfigFrame& frame) {
  if (frame.version != kNoConfig || !frame.key.starts_with(kDeparturePrefix))
    return std::nullopt;
  const std::vector<std::string> fields =
      absl::StrSplit(frame.packed, absl::MaxSplits(' ', 1));
  DepartureNotice notice;
  notice.node = frame.key.substr(kDeparturePrefix.size());
  if (fields.size() != kFields || fields[1].empty() ||
      !absl::SimpleAtoi(fields[0], &notice.call.born_ms))
    return std::nullopt;
  notice.call.instance = fields[1];
  return notice;
}

void AnnounceDeparture(EdgeNode& node, const LeaveCall& call) {
  const DepartureNotice notice{node.settings.vm, call};
  Record(node, notice);
  node.links.SendToCallers(PackDeparture(notice));
}

void OnDepartureNotice(EdgeNode& node, const DepartureNotice& notice) {
  Record(node, notice);
  if (notice.node != node.settings.vm)
    return;
  if (!node.gate.RecallDeparture(notice.call))
    return;
  Log(LogLevel::kInfo, "gate", "departure-recalled",
      {{"instance", notice.call.instance}, {"born_ms", notice.call.born_ms}});
}

void SendDepartures(EdgeNode& node, const std::string& to) {
  const TimePoint now = SteadyNow();
  for (const Departure& each : DeparturesInForce(node.entry.departures, now)) {
    if (each.node != to && each.node != node.settings.vm)
      continue;
    node.links.SendToCaller(
        to, PackDeparture({each.node, {each.instance, each.born_ms}}));
  }
}

}  // namespace teaselspread
