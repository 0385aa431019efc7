#include "node/moves_service.h"

#include <utility>

#include "node/module_frames.h"
#include "node/moves_news.h"
#include "teaselspread/config_log.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

constexpr Duration kStep = std::chrono::seconds(1);
// Over which the readers' appends of one verdict are spread; shorter than the
// time after which the decision asks for the append again.
constexpr Duration kAppendSpread = std::chrono::seconds(4);
// Rows in one second's message; the rest follow in the next.
constexpr std::size_t kRowsAtATime = 32;
void LogVerdict(const Verdict& verdict) {
  Log(LogLevel::kInfo, kMovesService, "verdict",
      {{"move", verdict.move},
       {"stage", NameOf(verdict.stage)},
       {"reason", NameOf(verdict.reason)},
       {"from_data_center", verdict.data_center},
       {"route", verdict.route}});
}

// To this service itself: append the verdict unless it stands in the log.
struct AppendVerdict {
  Verdict verdict;
};

// The readers of all data centres come to one verdict at the same time. Each
// waits at random first, and most then find that another was quicker.
Duration RandomWait(MovesService& service) {
  return Duration(service.rng() %
                  static_cast<std::uint64_t>(kAppendSpread.count()));
}

void AppendUnlessLogged(Kernel& kernel,
                        const MovesService& service,
                        const Verdict& verdict) {
  const auto logged = service.logged.find(verdict.move);
  const bool is_there = logged != service.logged.end() &&
                        logged->second.stage >= verdict.stage &&
                        kernel.Now() - logged->second.at < kAppendSpread;
  if (is_there || !service.reader)
    return;
  kernel.Post(kLogService,
              AppendToLog{EncodeRecord(OpaqueRecord{std::string(kVerdictRecord),
                                                    EncodeVerdict(verdict)})});
}

void Perform(Kernel& kernel,
             MovesService& service,
             const std::vector<MoveAction>& actions) {
  for (const MoveAction& action : actions) {
    switch (action.kind) {
      case MoveActionKind::kSpreadVerdict:
        LogVerdict(action.verdict);
        kernel.Post(kMembershipService, SpreadRumour{RumourOf(action.verdict)});
        break;
      case MoveActionKind::kAppendVerdict:
        if (service.reader)
          kernel.PostAt(kernel.Now() + RandomWait(service), kMovesService,
                        AppendVerdict{action.verdict});
        break;
      case MoveActionKind::kSpreadReport:
        // Every node works out the same report; two readers are enough to
        // say it, while hundreds would fill the rumours' budget.
        if (service.reader)
          kernel.Post(kMembershipService,
                      SpreadRumour{RumourOf(action.report)});
        break;
    }
  }
}

void SpreadEvidence(Kernel& kernel, MovesService& service) {
  const auto rows = RowsSince(service.evidence, service.spread_revision,
                              kRowsAtATime, &service.spread_revision);
  for (const EvidenceRow& row : rows) {
    if (row.key.node == service.node &&
        row.key.incarnation == service.incarnation)
      kernel.Post(kMembershipService,
                  SpreadRumour{RumourOf(row, kernel.Now())});
  }
}

void Step(Kernel& kernel, MovesService& service) {
  kernel.PostAt(kernel.Now() + kStep, kMovesService, Tick{});
  const std::scoped_lock lock(service.gate);
  if (!service.snapshot)
    return;
  service.capacity.last_contact[service.data_center] = kernel.Now();
  const auto actions =
      StepMoves(service.state, *service.snapshot, service.evidence,
                service.capacity, kernel.Now());
  Perform(kernel, service, actions);
  SpreadEvidence(kernel, service);
  SendNews(kernel, service);
  PurgeEvidence(service.evidence, LiveMoves(service.state, *service.snapshot));
}

// Takes in a report; true when it is news.
bool TakeReport(Kernel& kernel, MovesService& service, std::string_view bytes) {
  const auto report = DecodeReport(bytes);
  if (!report || !MergeReport(service.state, *report))
    return false;
  service.capacity.last_contact[report->data_center] = kernel.Now();
  return true;
}

bool TakeVerdict(MovesService& service, std::string_view bytes) {
  const auto verdict = DecodeVerdict(bytes);
  if (!verdict || !MergeVerdict(service.state, *verdict))
    return false;
  LogVerdict(*verdict);
  return true;
}

void HearRumour(Kernel& kernel,
                MovesService& service,
                const OpaqueRumour& rumour) {
  const std::scoped_lock lock(service.gate);
  if (rumour.topic == Topic::kVerdict) {
    TakeVerdict(service, rumour.body);
  } else if (rumour.topic == Topic::kMoveReport) {
    TakeReport(kernel, service, rumour.body);
  } else if (rumour.topic == Topic::kMoveEvidence) {
    if (const auto row = DecodeRow(rumour.body))
      MergeRow(service.evidence, *row);
  }
}

// News from another data centre goes on as rumours inside this one.
void HearNews(Kernel& kernel, MovesService& service, const std::string& body) {
  const auto news = DecodeNews(body);
  if (!news)
    return;
  const std::scoped_lock lock(service.gate);
  for (const std::string& bytes : news->verdicts) {
    if (TakeVerdict(service, bytes)) {
      if (const auto verdict = DecodeVerdict(bytes))
        kernel.Post(kMembershipService, SpreadRumour{RumourOf(*verdict)});
    }
  }
  for (const std::string& bytes : news->rows) {
    const auto row = DecodeRow(bytes);
    if (row && MergeRow(service.evidence, *row))
      kernel.Post(kMembershipService,
                  SpreadRumour{RumourOf(*row, kernel.Now())});
  }
  for (const std::string& bytes : news->reports) {
    if (TakeReport(kernel, service, bytes)) {
      if (const auto report = DecodeReport(bytes))
        kernel.Post(kMembershipService, SpreadRumour{RumourOf(*report)});
    }
  }
}

void HearRecord(Kernel& kernel,
                MovesService& service,
                const OpaqueRecord& record) {
  if (record.kind != kVerdictRecord)
    return;
  const auto verdict = DecodeVerdict(record.bytes);
  if (!verdict)
    return;
  const std::scoped_lock lock(service.gate);
  service.logged[verdict->move] = {verdict->stage, kernel.Now()};
  if (OnLoggedVerdict(service.state, *verdict, kernel.Now())) {
    LogVerdict(*verdict);
    kernel.Post(kMembershipService, SpreadRumour{RumourOf(*verdict)});
  }
}

EvidenceKey KeyFor(const MovesService& service,
                   const MoveConfig& move,
                   const std::string& version,
                   const std::string& route) {
  return {move.id, service.node, service.incarnation, service.data_center,
          version, route};
}

}  // namespace

void StartMovesService(Kernel& kernel, MovesService& service) {
  kernel.Register<Tick>(kMovesService,
                        [&](const Tick&) { Step(kernel, service); });
  kernel.Register<AppendVerdict>(
      kMovesService, [&](const AppendVerdict& append) {
        AppendUnlessLogged(kernel, service, append.verdict);
      });
  kernel.Register<SnapshotInForce>(kMovesService,
                                   [&](const SnapshotInForce& message) {
                                     const std::scoped_lock lock(service.gate);
                                     service.snapshot = message.snapshot;
                                   });
  kernel.Register<RoleChanged>(kMovesService, [&](const RoleChanged& role) {
    service.reader = role.reader;
  });
  kernel.Register<RumourHeard>(kMovesService, [&](const RumourHeard& heard) {
    HearRumour(kernel, service, heard.rumour);
  });
  kernel.Register<OpaqueRecordFound>(
      kMovesService, [&](const OpaqueRecordFound& found) {
        HearRecord(kernel, service, found.record);
      });
  kernel.Register<ModuleBody>(kMovesService, [&](const ModuleBody& news) {
    HearNews(kernel, service, news.body);
  });
  kernel.Post(kMovesService, Tick{});
}

std::string PickVersion(MovesService& service,
                        const Snapshot& snapshot,
                        const std::string& of,
                        Rng& rng) {
  const std::scoped_lock lock(service.gate);
  return PickVersion(service.state, snapshot, std::string_view(of), rng);
}

std::vector<std::string> OtherVersions(MovesService& service,
                                       const Snapshot& snapshot,
                                       const std::string& of,
                                       const std::string& picked) {
  const std::scoped_lock lock(service.gate);
  const MoveConfig* move = MoveOf(service.state, snapshot, of);
  if (move == nullptr)
    return {};
  // The old version may always stand in for the new one. The new one stands in
  // for the old only as far as it has a share already: otherwise a data centre
  // that loses its old upstreams would send everything to an unproved version.
  if (picked != move->from)
    return {move->from};
  if (ShareOf(service.state, snapshot, of, move->to) > 0)
    return {move->to};
  return {};
}

void RecordAnswer(MovesService& service,
                  const Snapshot& snapshot,
                  const RouteConfig& route,
                  const std::string& version,
                  const ResponseSample& sample) {
  const std::scoped_lock lock(service.gate);
  const MoveConfig* move = MoveOf(service.state, snapshot, route.service);
  if (move == nullptr)
    return;
  RecordResponse(service.evidence, KeyFor(service, *move, version, route.name),
                 sample);
}

void RecordUpstreamStart(MovesService& service,
                         const Announcement& announcement) {
  const std::scoped_lock lock(service.gate);
  if (!service.snapshot)
    return;
  const MoveConfig* move =
      MoveOf(service.state, *service.snapshot, announcement.service);
  if (move != nullptr)
    RecordStart(service.evidence,
                KeyFor(service, *move, announcement.version, ""));
}

void RecordUpstreamExit(MovesService& service,
                        const Announcement& announcement,
                        Duration lifetime) {
  const std::scoped_lock lock(service.gate);
  if (!service.snapshot)
    return;
  const MoveConfig* move =
      MoveOf(service.state, *service.snapshot, announcement.service);
  if (move != nullptr)
    RecordExit(service.evidence,
               KeyFor(service, *move, announcement.version, ""), lifetime);
}

void SetReadySlots(
    MovesService& service,
    std::map<std::pair<std::string, std::string>, int> ready_slots) {
  const std::scoped_lock lock(service.gate);
  service.capacity.ready_slots = std::move(ready_slots);
}

std::vector<AccountRow> AccountOf(MovesService& service, TimePoint now) {
  const std::scoped_lock lock(service.gate);
  if (!service.snapshot)
    return {};
  return MakeAccount(service.state, *service.snapshot, service.capacity, now);
}

}  // namespace teaselspread
