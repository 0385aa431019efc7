#include "node/moves_service.h"

#include <criterion/criterion.h>

#include <vector>

#include "node/module_frames.h"
#include "teaselspread/config.h"

namespace teaselspread {
namespace {

constexpr TimePoint kStart{std::chrono::hours(500000)};

// One data centre's reader: its moves, its kernel, and what it sent across.
struct Side {
  Kernel kernel;
  MovesService service;
  std::vector<ToOtherDataCenters> sent;
};

SnapshotPtr SnapshotFor(const std::string& data_center) {
  ConfigSources sources;
  sources.base = {"base.yaml",
                  "deployment: test\n"
                  "data_centers: [bole, piassa]\n"
                  "services: {registry-desk: {version: v1}}\n"
                  "routes:\n"
                  "  case-index: {service: registry-desk, method: GET,\n"
                  "               path_prefix: /cases}\n"
                  "moves:\n"
                  "  ledger: {service: registry-desk, from: v1, to: v2,\n"
                  "           start: 2026-01-01T00:00:00Z,\n"
                  "           by: 2036-01-01T00:00:00Z, watch: 10s}\n"};
  const auto document = LoadSources(sources);
  cr_assert(document.has_value(), "%s",
            document ? "" : document.error().message.c_str());
  return *Render(*document, data_center, 1);
}

void Begin(Side& side, const std::string& data_center) {
  side.service.node = data_center + "-1";
  side.service.incarnation = 1;
  side.service.data_center = data_center;
  side.service.state.node = side.service.node;
  side.service.state.data_center = data_center;
  side.service.reader = true;
  side.kernel.Register<ToOtherDataCenters>(
      kSpreadService,
      [&side](const ToOtherDataCenters& sent) { side.sent.push_back(sent); });
  StartMovesService(side.kernel, side.service);
  side.kernel.Post(kMovesService, SnapshotInForce{SnapshotFor(data_center)});
  side.kernel.Advance(kStart);
}

// A service has one request every few seconds in each data centre. Each alone
// sees too few answers of the new version to judge it; unless they hear each
// other's counters, a version that fails now and then is called done.
Test(moves_service, a_data_center_hears_the_answers_of_the_others) {
  Side bole;
  Side piassa;
  Begin(bole, "bole");
  Begin(piassa, "piassa");
  const SnapshotPtr snapshot = SnapshotFor("bole");
  for (int i = 0; i < 7; ++i)
    RecordAnswer(bole.service, *snapshot, snapshot->routes.front(), "v2",
                 ResponseSample{ResponseOutcome::kFailed,
                                std::chrono::milliseconds(3), false});
  for (int second = 1; second <= 5; ++second)
    bole.kernel.Advance(kStart + std::chrono::seconds(second));
  for (const ToOtherDataCenters& sent : bole.sent)
    piassa.kernel.Post(kMovesService, ModuleBody{{}, sent.body});
  piassa.kernel.Advance(kStart + std::chrono::seconds(6));
  const EvidenceCounters heard =
      TotalOf(piassa.service.evidence, "ledger", "bole", "v2", "case-index");
  cr_assert(heard.runs == 7, "%d heard", static_cast<int>(heard.runs));
  cr_assert(heard.failures == 7);
}

// A fault ends a move in every data centre at the same moment. Each of the 48
// readers appended the verdict at once, so that ten moves ended by one shared
// fault filled the log for more than a second, and operators' publishes waited
// behind them.
Test(moves_service, one_reader_appends_a_verdict_and_the_others_see_it) {
  constexpr int kReaders = 12;
  std::vector<Side> sides(kReaders);
  std::vector<std::string> log;
  for (int i = 0; i < kReaders; ++i) {
    Side& side = sides.at(i);
    Begin(side, i % 2 == 0 ? "bole" : "piassa");
    side.service.rng.seed(i + 1);
    side.kernel.Register<AppendToLog>(
        kLogService,
        [&log](const AppendToLog& append) { log.push_back(append.bytes); });
  }
  Verdict verdict;
  verdict.move = "ledger";
  verdict.service = "registry-desk";
  verdict.from = "v1";
  verdict.to = "v2";
  verdict.stage = MoveStage::kRolledBack;
  verdict.reason = VerdictReason::kFailures;
  verdict.decided_at = kStart;
  for (Side& side : sides)
    cr_assert(MergeVerdict(side.service.state, verdict));
  std::size_t read = 0;
  for (int tenth = 1; tenth <= 100; ++tenth) {
    for (Side& side : sides)
      side.kernel.Advance(kStart + tenth * std::chrono::milliseconds(100));
    for (; read < log.size(); ++read) {
      const auto record = DecodeRecord(log.at(read));
      cr_assert(record.has_value());
      for (Side& side : sides)
        side.kernel.Post(
            kMovesService,
            OpaqueRecordFound{read + 1, std::get<OpaqueRecord>(*record)});
    }
  }
  cr_assert(!log.empty());
  cr_assert(log.size() <= 3, "%zu appends", log.size());
}

}  // namespace
}  // namespace teaselspread
