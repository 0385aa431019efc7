#include "node/moves_news.h"

#include <algorithm>
#include <map>
#include <utility>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "node/bytes.h"
#include "node/module_frames.h"

namespace teaselspread {
namespace {

// Rumours of a move outlive the longest quiet spell in it; then every node
// drops them.
constexpr Duration kEvidenceLife = std::chrono::hours(4);
constexpr Duration kReportLife = std::chrono::minutes(10);
// Rows in one turn, over all other data centres: with 150 bytes a row and two
// copies, 3 KB/s of a speaker's budget whatever the number of data centres.
constexpr std::size_t kRowsInTurn = 30;
constexpr std::size_t kRowsLookedAt = 64;
// News goes to each other data centre twice. Saying everything each second
// took 26 times a node's whole budget at 24 data centres with 20 live moves and
// 50 verdicts (docs/CAPACITY.md). So what changed goes at once, and the rest
// takes turns.
constexpr Duration kNewsEvery = std::chrono::seconds(3);
constexpr std::size_t kReportsInTurn = 3;
constexpr std::size_t kVerdictsInTurn = 1;

std::uint64_t VerdictRank(const Verdict& verdict) {
  // A higher stage wins and, of two equal ones, the earlier: the same order as
  // JoinVerdicts, so that "last version wins" of the rumours is the join.
  constexpr unsigned kStageShift = 60;
  constexpr std::uint64_t kTimeMask = (std::uint64_t{1} << kStageShift) - 1;
  const auto at =
      static_cast<std::uint64_t>(verdict.decided_at.time_since_epoch().count());
  return (static_cast<std::uint64_t>(verdict.stage) << kStageShift) |
         (kTimeMask - (at & kTimeMask));
}

// Changes only with what the others must hear at once; shares and counts wait
// for their turn.
std::uint64_t FactsOf(const DataCenterReport& report) {
  constexpr unsigned kStageShift = 1;
  constexpr unsigned kTimeShift = 3;
  const auto full =
      static_cast<std::uint64_t>(report.full_since.time_since_epoch().count());
  return (full << kTimeShift) |
         (static_cast<std::uint64_t>(report.stage) << kStageShift) |
         static_cast<std::uint64_t>(report.clean);
}

// One thing to tell the other data centres.
struct NewsItem {
  std::string key;
  std::uint64_t facts = 0;
  // Said in each turn.
  bool always = false;
  std::string bytes;
};

// The items to send now: the changed ones and, in a turn, those that are always
// said and the `in_turn` others that wait the longest. Notes them in `sent`.
std::vector<std::string> TakeNews(std::map<std::string, NewsSent>& sent,
                                  std::vector<NewsItem> items,
                                  bool turn,
                                  std::size_t in_turn,
                                  TimePoint now) {
  std::map<std::string, NewsSent> still;
  for (const NewsItem& item : items) {
    if (const auto found = sent.find(item.key); found != sent.end())
      still.insert(*found);
  }
  sent = std::move(still);
  const auto sent_at = [&](const NewsItem& item) {
    const auto found = sent.find(item.key);
    return found == sent.end() ? TimePoint() : found->second.at;
  };
  std::stable_sort(items.begin(), items.end(),
                   [&](const NewsItem& left, const NewsItem& right) {
                     return sent_at(left) < sent_at(right);
                   });
  std::vector<std::string> taken;
  for (NewsItem& item : items) {
    const auto found = sent.find(item.key);
    const bool changed =
        found == sent.end() || found->second.facts != item.facts;
    if (!changed && !(turn && item.always)) {
      if (!turn || in_turn == 0)
        continue;
      --in_turn;
    }
    sent[item.key] = {item.facts, now};
    taken.push_back(std::move(item.bytes));
  }
  return taken;
}

std::vector<NewsItem> VerdictItems(const MovesService& service) {
  std::vector<NewsItem> items;
  for (const auto& [move, verdict] : service.state.verdicts)
    items.push_back(
        {move, VerdictRank(verdict), false, EncodeVerdict(verdict)});
  return items;
}

// A move is done once every data centre has lately said that it is clean: such
// reports are said in each turn.
std::vector<NewsItem> ReportItems(const MovesService& service) {
  std::vector<NewsItem> items;
  for (const auto& [key, report] : service.state.reports) {
    if (key.second != service.data_center)
      continue;
    const bool waits = report.clean && report.stage == MoveStage::kRunning;
    items.push_back({key.first, FactsOf(report), waits, EncodeReport(report)});
  }
  return items;
}

// With little traffic one data centre alone sees too few answers, and the judge
// pools those of all of them. Without the others' rows it would let a bad
// version through that fails now and then.
std::vector<std::string> RowsForOthers(MovesService& service) {
  std::vector<std::string> rows;
  const std::size_t others =
      std::max<std::size_t>(service.snapshot->data_centers.size(), 2) - 1;
  const std::size_t most = std::max<std::size_t>(kRowsInTurn / others, 1);
  for (std::size_t looked = 0; looked < kRowsLookedAt && rows.size() < most;
       ++looked) {
    const auto next = RowsSince(service.evidence, service.news_revision, 1,
                                &service.news_revision);
    if (next.empty())
      break;
    // Rows heard from elsewhere are their own readers' to tell.
    if (next.front().key.data_center == service.data_center)
      rows.push_back(EncodeRow(next.front()));
  }
  return rows;
}

}  // namespace

OpaqueRumour RumourOf(const Verdict& verdict) {
  return {Topic::kVerdict, verdict.move, VerdictRank(verdict),
          EncodeVerdict(verdict), TimePoint::max()};
}

OpaqueRumour RumourOf(const DataCenterReport& report) {
  return {
      Topic::kMoveReport, report.move + "/" + report.data_center,
      static_cast<std::uint64_t>(report.reported_at.time_since_epoch().count()),
      EncodeReport(report), report.reported_at + kReportLife};
}

OpaqueRumour RumourOf(const EvidenceRow& row, TimePoint now) {
  const EvidenceKey& key = row.key;
  const EvidenceCounters& cells = row.counters;
  // Every cell only grows, so their sum orders two copies of one row.
  const std::uint64_t version = cells.runs + cells.failures + cells.shed +
                                cells.crash_suspects + cells.cold +
                                cells.starts + cells.early_exits;
  return {Topic::kMoveEvidence,
          key.node + "/" + std::to_string(key.incarnation) + "/" + key.move +
              "/" + key.version + "/" + key.route,
          version, EncodeRow(row), now + kEvidenceLife};
}

void SendNews(Kernel& kernel, MovesService& service) {
  if (!service.reader) {
    service.verdicts_sent.clear();
    service.reports_sent.clear();
    return;
  }
  const TimePoint now = kernel.Now();
  const bool turn = now >= service.next_news;
  if (turn)
    service.next_news = now + kNewsEvery;
  MoveNews news;
  news.verdicts = TakeNews(service.verdicts_sent, VerdictItems(service), turn,
                           kVerdictsInTurn, now);
  news.reports = TakeNews(service.reports_sent, ReportItems(service), turn,
                          kReportsInTurn, now);
  if (turn)
    news.rows = RowsForOthers(service);
  if (news.verdicts.empty() && news.reports.empty() && news.rows.empty())
    return;
  kernel.Post(kSpreadService,
              ToOtherDataCenters{Module::kMoves, EncodeNews(news)});
}

std::string EncodeNews(const MoveNews& news) {
  return ToBytes(news);
}

Result<MoveNews> DecodeNews(const std::string& body) {
  return FromBytes<MoveNews>(body);
}

}  // namespace teaselspread
