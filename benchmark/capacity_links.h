// A node as speaker between data centres, and what all of them ask of the log.
#ifndef TEASELSPREAD_BENCHMARK_CAPACITY_LINKS_H_
#define TEASELSPREAD_BENCHMARK_CAPACITY_LINKS_H_

#include <string>
#include <vector>

#include "capacity_fit.h"
#include "node/claims_messages.h"
#include "node/moves_news.h"
#include "teaselspread/spread.h"
#include "teaselspread/verdict.h"
#include "teaselspread/wire.h"

namespace teaselspread::capacity {

// How often and to how many the services send; the constants stand in
// src/node/claims_service.cc, src/node/moves_service.cc and
// src/node/spread_service.cc.
struct LinkPeriods {
  double copies = 2;
  double readers = 2;
  double offers_s = 1.0 / 3;
  double offered = 2;
  double quiet_notices_s = 0.1;
  double holders = 3;
  double news_s = 1.0 / 3;
  int reports_in_turn = 3;
  int verdicts_in_turn = 1;
};

inline double FrameBytes(const Message& message) {
  constexpr double kDatagramHeaders = 28;
  // The packets of a connection that carries one frame.
  constexpr double kStreamHeaders = 400;
  return double(Encode(message).size()) +
         (TransportFor(message) == Transport::kDatagram ? kDatagramHeaders
                                                        : kStreamHeaders);
}

inline Sender SpeakerSender() {
  return {"vm-dc-117-0412", 1234567890123, {"10.17.1.12", 7000}, 123456, 250};
}

inline double ModuleBytes(Module module, std::string body) {
  return FrameBytes(ModuleFrame{SpeakerSender(), module, std::move(body)});
}

inline Holder HolderNumber(int index) {
  return {"vm-dc-117-04" + std::to_string(10 + index),
          "dc-117",
          1234567890123,
          {"10.17.1.12", 7000}};
}

inline double OfferBytes(int holders) {
  HolderOffer offer{"dc-117", {}};
  for (int i = 0; i < holders; ++i)
    offer.holders.push_back(HolderNumber(i));
  return ModuleBytes(Module::kClaims, EncodeClaim(offer));
}

inline double EpochNoticeBytes() {
  EpochNotice notice;
  for (int i = 0; i < 3; ++i) {
    notice.epoch.holders.push_back(HolderNumber(i));
    notice.epoch.previous.push_back(HolderNumber(i + 3));
  }
  notice.active = notice.epoch;
  return ModuleBytes(Module::kClaims, EncodeClaim(notice));
}

inline double NewsBytes(int verdicts, int reports) {
  MoveNews news;
  for (int i = 0; i < verdicts; ++i) {
    Verdict verdict;
    verdict.move = "case-index-" + std::to_string(i) + "-v2";
    verdict.service = "registry-desk-" + std::to_string(i);
    verdict.from = "v1";
    verdict.to = "v2";
    verdict.data_center = "dc-117";
    verdict.route = "case-index-" + std::to_string(i);
    news.verdicts.push_back(EncodeVerdict(verdict));
  }
  for (int i = 0; i < reports; ++i) {
    DataCenterReport report;
    report.move = "case-index-" + std::to_string(i) + "-v2";
    report.data_center = "dc-117";
    news.reports.push_back(EncodeReport(report));
  }
  return ModuleBytes(Module::kMoves, EncodeNews(news));
}

inline void MeasureLinks(Rows& rows) {
  const LinkPeriods periods;
  const SpreadSettings spread;
  VersionNotice notice{SpeakerSender(), "dc-117", 17, false, {}};
  for (std::size_t i = 0; i < spread.readers; ++i)
    notice.speakers.push_back({HolderNumber(int(i)).id, {"10.17.1.12", 7000}});
  const double notice_bytes = FrameBytes(notice);
  std::vector<Sample> offers;
  std::vector<Sample> epochs;
  std::vector<Sample> news_before;
  std::vector<Sample> news_after;
  constexpr int kVerdicts = 50;
  constexpr int kReports = 20;
  const double all_news = NewsBytes(kVerdicts, kReports);
  const double turn =
      NewsBytes(periods.verdicts_in_turn, periods.reports_in_turn);
  for (const int count : {4, 8, 12, 18, 24}) {
    const double frames = (count - 1) * periods.copies;
    offers.push_back({double(count), frames * periods.offers_s *
                                         OfferBytes(int(periods.offered))});
    epochs.push_back(
        {double(count), count * periods.readers * periods.quiet_notices_s *
                            EpochNoticeBytes()});
    news_before.push_back({double(count), frames * all_news});
    news_after.push_back({double(count), frames * periods.news_s * turn});
  }
  const char* x = "data centre";
  const Line offer =
      Report("speaker: offers of holders sent", x, "B/s", offers);
  const Line epoch =
      Report("holder: notices of the epoch received", x, "B/s", epochs);
  const Line before =
      Report("speaker: everything each second, 50 verdicts, 20 reports", x,
             "B/s", news_before);
  const Line after =
      Report("speaker: news in turn, 1 verdict and 3 reports in 3 s", x, "B/s",
             news_after);
  std::printf(R"({"frame_bytes":{"offer_of_2":%.0f,"offer_of_4":%.0f,)"
              R"("epoch_notice":%.0f,"version_notice":%.0f,"one_verdict":%.0f,)"
              R"("one_report":%.0f}})"
              "\n",
              OfferBytes(2), OfferBytes(4), EpochNoticeBytes(), notice_bytes,
              NewsBytes(1, 0), NewsBytes(0, 1));
  const std::string worked = "worked out";
  rows.push_back({"speaker", "version notices sent (3 calls, answers)", "B/s",
                  2 * double(spread.notice_fan_out) * notice_bytes, kBytesBound,
                  "does not grow", worked});
  rows.push_back({"speaker", "offers of holders sent", "B/s",
                  offer.At(kDataCenters), kBytesBound, SlopeText(offer, x),
                  worked});
  rows.push_back(
      {"speaker", "news of moves, everything each second (until now)", "B/s",
       before.At(kDataCenters), kBytesBound, SlopeText(before, x), worked});
  rows.push_back({"speaker", "news of moves, in turn", "B/s",
                  after.At(kDataCenters), kBytesBound, SlopeText(after, x),
                  worked});
  rows.push_back({"holder", "notices of the epoch received", "B/s",
                  epoch.At(kDataCenters), kBytesBound, SlopeText(epoch, x),
                  worked});
  // An idle reader asks every 2 s, and once more for each record.
  const double appends = kChangesPerSecond * (1 + 1.0 / 64);
  rows.push_back({"log", "appends of changes and checkpoints", "/s", appends,
                  300, "40,000 changes a day", worked});
  rows.push_back({"log", "reads", "/s",
                  kDataCenters * periods.readers * (0.5 + appends), 0,
                  "2 readers a data centre", worked});
}

}  // namespace teaselspread::capacity

#endif  // TEASELSPREAD_BENCHMARK_CAPACITY_LINKS_H_
