#include "teaselspread/move_account.h"

#include <algorithm>
#include <array>
#include <tuple>

#include <absl/strings/str_format.h>

namespace teaselspread {
namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(AccountState::kCount)>
    kStateNames = {"waiting",     "running", "late",
                   "unconfirmed", "done",    "taken-back"};

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(ShareLimit::kCount)>
    kLimitSentences = {
        "The share is full.",
        "The start has not come.",
        "An earlier move of the same service has not ended.",
        "The share follows the schedule.",
        "The share waits for good answers of the new version.",
        "The new version has too few ready slots for a larger share.",
        "Some answers of the new version look worse than the old one's: the "
        "share does not grow until that is settled.",
        "The new version gets no requests while a fault is being confirmed.",
};

long Seconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::seconds>(duration).count();
}

bool IsReachable(const MovesState& state,
                 const MoveCapacity& capacity,
                 const std::string& data_center,
                 TimePoint now) {
  if (data_center == state.data_center)
    return true;
  const auto contact = capacity.last_contact.find(data_center);
  return contact != capacity.last_contact.end() &&
         now - contact->second <= state.settings.silence_timeout;
}

std::vector<AccountDataCenter> DataCentersOf(const MovesState& state,
                                             const Snapshot& snapshot,
                                             const MoveCapacity& capacity,
                                             const std::string& move,
                                             TimePoint now) {
  std::vector<AccountDataCenter> all;
  for (const std::string& name : snapshot.data_centers) {
    AccountDataCenter data_center;
    data_center.name = name;
    data_center.reachable = IsReachable(state, capacity, name, now);
    if (const auto report = state.reports.find({move, name});
        report != state.reports.end()) {
      data_center.reported = true;
      data_center.report = report->second;
    }
    all.push_back(std::move(data_center));
  }
  return all;
}

bool AllKnowDone(const std::vector<AccountDataCenter>& all) {
  return std::all_of(all.begin(), all.end(), [](const auto& data_center) {
    return data_center.reachable && data_center.reported &&
           data_center.report.stage == MoveStage::kDone;
  });
}

AccountState StateOf(const AccountRow& row, MoveStage stage, TimePoint now) {
  switch (stage) {
    case MoveStage::kRolledBack:
      return AccountState::kRolledBack;
    case MoveStage::kDone:
      return AllKnowDone(row.data_centers) ? AccountState::kDone
                                           : AccountState::kUnconfirmed;
    case MoveStage::kRunning:
      break;
  }
  if (now < row.start)
    return AccountState::kWaiting;
  return now > row.by ? AccountState::kLate : AccountState::kRunning;
}

std::string FormatComparison(const Verdict& v) {
  return absl::StrFormat(
      "%.1f%% of %d answers of %s against %.1f%% of %d of %s",
      100 * v.new_ratio, v.new_runs, v.to, 100 * v.old_ratio, v.old_runs,
      v.from);
}

// The judge's scope as text. The scope is a route or "*" for all routes, with
// the prefix "everywhere" if the responses of all data centres were summed.
std::string FormatLocation(const Verdict& v) {
  constexpr std::string_view kEverywhere = "everywhere";
  std::string route = v.route;
  std::string location = v.data_center;
  if (route.rfind(kEverywhere, 0) == 0) {
    location = "all data centres together";
    route.erase(0, std::min(route.size(), kEverywhere.size() + 1));
  }
  if (route.empty() || route == "*")
    return location;
  return location + ", route " + route;
}

std::string ExplainVerdict(const Verdict& v) {
  switch (v.reason) {
    case VerdictReason::kFailures:
      return absl::StrFormat("Taken back: more failures at %s (%s).",
                             FormatLocation(v), FormatComparison(v));
    case VerdictReason::kLatency:
      return absl::StrFormat("Taken back: slower at %s (slow answers: %s).",
                             FormatLocation(v), FormatComparison(v));
    case VerdictReason::kShedding:
      return absl::StrFormat("Taken back: refused more work at %s (%s).",
                             FormatLocation(v), FormatComparison(v));
    case VerdictReason::kCrashOnStart:
      return absl::StrFormat(
          "Taken back: new upstreams at %s vanish soon after they are ready.",
          v.data_center);
    case VerdictReason::kWithdrawn:
      return "Taken back: the operator withdrew it.";
    default:
      return "Every data centre had full share and a clean watch period.";
  }
}

std::string ExplainRunning(const MovesState& state, const std::string& move) {
  const auto found = state.moves.find(move);
  if (found == state.moves.end())
    return "This node has not looked at the move yet.";
  std::string text(
      kLimitSentences.at(static_cast<std::size_t>(found->second.limit)));
  if (found->second.versions_changed)
    text +=
        " The file names other versions under this id now; they are ignored. "
        "A new move needs a new id.";
  return text;
}

void AddUnknowns(AccountRow& row, MoveStage stage, TimePoint now) {
  for (const AccountDataCenter& data_center : row.data_centers) {
    const std::string& name = data_center.name;
    if (!data_center.reachable && data_center.reported) {
      row.unknown.push_back(
          absl::StrFormat("%s is not heard; its last report is %d s old.", name,
                          Seconds(now - data_center.report.reported_at)));
    } else if (!data_center.reachable) {
      row.unknown.push_back(name + " is not heard and has reported nothing.");
    } else if (!data_center.reported) {
      row.unknown.push_back(name + " has reported nothing yet.");
    } else if (stage != MoveStage::kRunning &&
               data_center.report.stage != stage) {
      row.unknown.push_back(name + " has not said that it knows the verdict.");
    }
  }
}

AccountRow RowOf(const MovesState& state,
                 const Snapshot& snapshot,
                 const MoveCapacity& capacity,
                 const MoveConfig& move,
                 TimePoint now) {
  AccountRow row;
  row.move = move.id;
  row.service = move.service;
  row.from = move.from;
  row.to = move.to;
  row.start = move.start;
  row.by = move.by;
  row.time_left = move.by - now;
  row.data_centers = DataCentersOf(state, snapshot, capacity, move.id, now);
  MoveStage stage = MoveStage::kRunning;
  if (const auto verdict = state.verdicts.find(move.id);
      verdict != state.verdicts.end()) {
    stage = verdict->second.stage;
    row.from = verdict->second.from;
    row.to = verdict->second.to;
    row.reason = verdict->second.reason;
    row.explanation = ExplainVerdict(verdict->second);
  } else {
    row.explanation = ExplainRunning(state, move.id);
  }
  row.state = StateOf(row, stage, now);
  AddUnknowns(row, stage, now);
  return row;
}

std::string Quoted(std::string_view text) {
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\')
      quoted += '\\';
    if (static_cast<unsigned char>(c) < 0x20)
      absl::StrAppendFormat(&quoted, "\\u%04x", static_cast<unsigned>(c));
    else
      quoted += c;
  }
  return quoted + '"';
}

std::string_view BoolName(bool value) {
  return value ? "true" : "false";
}

double EpochSeconds(TimePoint time) {
  return std::chrono::duration<double>(time.time_since_epoch()).count();
}

std::string JsonOf(const AccountDataCenter& data_center) {
  const DataCenterReport& r = data_center.report;
  return absl::StrFormat(
      R"({"name":%s,"heard":%s,"reported":%s,"share":%.4f,"clean":%s,)"
      R"("stage":%s,"reported_at":%.3f,"full_since":%.3f,)"
      R"("new_runs":%d,"new_failures":%d,"old_runs":%d,"old_failures":%d})",
      Quoted(data_center.name), BoolName(data_center.reachable),
      BoolName(data_center.reported), r.share, BoolName(r.clean),
      Quoted(NameOf(r.stage)), EpochSeconds(r.reported_at),
      EpochSeconds(r.full_since), r.new_runs, r.new_failures, r.old_runs,
      r.old_failures);
}

std::string JsonOf(const AccountRow& row) {
  std::string centers;
  for (const AccountDataCenter& data_center : row.data_centers)
    centers += (centers.empty() ? "" : ",") + JsonOf(data_center);
  std::string unknown;
  for (const std::string& sentence : row.unknown)
    unknown += (unknown.empty() ? "" : ",") + Quoted(sentence);
  return absl::StrFormat(
      R"({"move":%s,"service":%s,"from":%s,"to":%s,"state":%s,)"
      R"("start":%.3f,"by":%.3f,"seconds_left":%d,"reason":%s,)"
      R"("explanation":%s,"data_centers":[%s],"unknown":[%s]})",
      Quoted(row.move), Quoted(row.service), Quoted(row.from), Quoted(row.to),
      Quoted(NameOf(row.state)), EpochSeconds(row.start), EpochSeconds(row.by),
      Seconds(row.time_left), Quoted(NameOf(row.reason)),
      Quoted(row.explanation), centers, unknown);
}

}  // namespace

std::string_view NameOf(AccountState state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

std::vector<AccountRow> MakeAccount(const MovesState& state,
                                    const Snapshot& snapshot,
                                    const MoveCapacity& capacity,
                                    TimePoint now) {
  std::vector<AccountRow> account;
  for (const auto& [id, move] : snapshot.moves)
    account.push_back(RowOf(state, snapshot, capacity, move, now));
  std::sort(account.begin(), account.end(),
            [](const AccountRow& a, const AccountRow& b) {
              return std::tie(a.start, a.move) < std::tie(b.start, b.move);
            });
  return account;
}

std::string FormatAccountText(const std::vector<AccountRow>& account) {
  std::string text;
  for (const AccountRow& row : account) {
    absl::StrAppendFormat(&text, "%s  %s  %s -> %s  %s", row.move, row.service,
                          row.from, row.to, NameOf(row.state));
    if (row.time_left >= Duration(0))
      absl::StrAppendFormat(&text, "  %d s left\n", Seconds(row.time_left));
    else
      absl::StrAppendFormat(&text, "  by passed %d s ago\n",
                            -Seconds(row.time_left));
    absl::StrAppendFormat(&text, "  %s\n", row.explanation);
    for (const AccountDataCenter& data_center : row.data_centers) {
      const DataCenterReport& r = data_center.report;
      absl::StrAppendFormat(
          &text, "  %-14s %5.1f%%  new %d/%d failed  old %d/%d failed%s%s\n",
          data_center.name, 100 * r.share, r.new_failures, r.new_runs,
          r.old_failures, r.old_runs, r.clean ? "  clean" : "",
          data_center.reachable ? "" : "  NOT HEARD");
    }
    for (const std::string& sentence : row.unknown)
      absl::StrAppendFormat(&text, "  unknown: %s\n", sentence);
  }
  return text;
}

std::string FormatAccountJson(const std::vector<AccountRow>& account) {
  std::string rows;
  for (const AccountRow& row : account)
    rows += (rows.empty() ? "" : ",\n ") + JsonOf(row);
  return "[" + rows + "]\n";
}

}  // namespace teaselspread
