#include "teaselspread/verdict.h"

#include <algorithm>
#include <array>
#include <tuple>

#include "moves/wire.h"

namespace teaselspread {
namespace {

using moves::FromTicks;
using moves::LoadText;
using moves::SaveText;
using moves::Ticks;

constexpr std::array<std::string_view, 3> kStageNames = {"running", "done",
                                                         "taken-back"};

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(VerdictReason::kCount)>
    kReasonNames = {"none",     "watch-clean",    "failures", "latency",
                    "shedding", "crash-on-start", "withdrawn"};

auto OrderOf(const Verdict& v) {
  return std::tie(v.decided_at, v.data_center, v.route, v.reason, v.new_runs,
                  v.old_runs, v.new_ratio, v.old_ratio);
}

auto OrderOf(const DataCenterReport& r) {
  return std::tie(r.reported_at, r.share, r.rate, r.new_runs, r.new_failures,
                  r.old_runs, r.old_failures, r.full_since);
}

template <class T>
bool LoadEnum(std::uint8_t raw, T last, T& value) {
  if (raw > static_cast<std::uint8_t>(last))
    return false;
  value = static_cast<T>(raw);
  return true;
}

}  // namespace

std::string_view NameOf(MoveStage stage) {
  return kStageNames.at(static_cast<std::size_t>(stage));
}

std::string_view NameOf(VerdictReason reason) {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

const Verdict& JoinVerdicts(const Verdict& a, const Verdict& b) {
  if (a.stage != b.stage)
    return a.stage > b.stage ? a : b;
  return OrderOf(b) < OrderOf(a) ? b : a;
}

DataCenterReport JoinReports(const DataCenterReport& a,
                             const DataCenterReport& b) {
  DataCenterReport joined = OrderOf(a) < OrderOf(b) ? b : a;
  joined.clean = a.clean || b.clean;
  joined.stage = std::max(a.stage, b.stage);
  // The evidence behind the counters is dropped when the move ends or a node
  // restarts, so a later report may hold smaller counters.
  joined.new_runs = std::max(a.new_runs, b.new_runs);
  joined.new_failures = std::max(a.new_failures, b.new_failures);
  joined.old_runs = std::max(a.old_runs, b.old_runs);
  joined.old_failures = std::max(a.old_failures, b.old_failures);
  return joined;
}

std::string EncodeVerdict(const Verdict& v) {
  return moves::Encode([&v](auto& archive) {
    SaveText(archive, v.move);
    SaveText(archive, v.service);
    SaveText(archive, v.from);
    SaveText(archive, v.to);
    archive(static_cast<std::uint8_t>(v.stage),
            static_cast<std::uint8_t>(v.reason), Ticks(v.decided_at));
    SaveText(archive, v.data_center);
    SaveText(archive, v.route);
    archive(v.new_ratio, v.old_ratio, v.new_runs, v.old_runs);
  });
}

Result<Verdict> DecodeVerdict(std::string_view bytes) {
  return moves::Decode<Verdict>(bytes, [](auto& archive, Verdict& v) {
    std::uint8_t stage = 0;
    std::uint8_t reason = 0;
    std::int64_t at = 0;
    LoadText(archive, v.move);
    LoadText(archive, v.service);
    LoadText(archive, v.from);
    LoadText(archive, v.to);
    archive(stage, reason, at);
    LoadText(archive, v.data_center);
    LoadText(archive, v.route);
    archive(v.new_ratio, v.old_ratio, v.new_runs, v.old_runs);
    v.decided_at = FromTicks(at);
    return LoadEnum(stage, MoveStage::kRolledBack, v.stage) &&
           LoadEnum(reason, VerdictReason::kWithdrawn, v.reason);
  });
}

std::string EncodeReport(const DataCenterReport& r) {
  return moves::Encode([&r](auto& archive) {
    SaveText(archive, r.move);
    SaveText(archive, r.data_center);
    archive(Ticks(r.reported_at), r.share, r.rate, Ticks(r.full_since), r.clean,
            static_cast<std::uint8_t>(r.stage));
    archive(r.new_runs, r.new_failures, r.old_runs, r.old_failures);
  });
}

Result<DataCenterReport> DecodeReport(std::string_view bytes) {
  return moves::Decode<DataCenterReport>(
      bytes, [](auto& archive, DataCenterReport& r) {
        std::uint8_t stage = 0;
        std::int64_t at = 0;
        std::int64_t full_since = 0;
        LoadText(archive, r.move);
        LoadText(archive, r.data_center);
        archive(at, r.share, r.rate, full_since, r.clean, stage);
        archive(r.new_runs, r.new_failures, r.old_runs, r.old_failures);
        r.reported_at = FromTicks(at);
        r.full_since = FromTicks(full_since);
        return LoadEnum(stage, MoveStage::kRolledBack, r.stage);
      });
}

}  // namespace teaselspread
