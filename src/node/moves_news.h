// What nodes tell each other about moves: rumours inside a data centre, and
// news between data centres.
#ifndef TEASELSPREAD_NODE_MOVES_NEWS_H_
#define TEASELSPREAD_NODE_MOVES_NEWS_H_

#include <string>
#include <vector>

#include "node/moves_service.h"
#include "teaselspread/error.h"
#include "teaselspread/evidence.h"
#include "teaselspread/kernel.h"
#include "teaselspread/verdict.h"
#include "teaselspread/wire.h"

namespace teaselspread {

// Each as a rumour whose version orders copies as the module's own join does.
// Thread safe.
[[nodiscard]] OpaqueRumour RumourOf(const Verdict& verdict);
[[nodiscard]] OpaqueRumour RumourOf(const DataCenterReport& report);
[[nodiscard]] OpaqueRumour RumourOf(const EvidenceRow& row, TimePoint now);

// Tells the other data centres what has changed and what has its turn, if this
// node is a reader. Precondition: the caller holds `service.gate`; kernel's
// thread only.
void SendNews(Kernel& kernel, MovesService& service);

// Verdicts and reports that another data centre should know, encoded.
struct MoveNews {
  std::vector<std::string> verdicts;
  std::vector<std::string> reports;
  // Evidence rows of the sender's data centre.
  std::vector<std::string> rows;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->verdicts, this->reports, this->rows);
  }
};

// Thread safe. Errors of DecodeNews: kFrameMalformed.
[[nodiscard]] std::string EncodeNews(const MoveNews& news);
[[nodiscard]] Result<MoveNews> DecodeNews(const std::string& body);

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_MOVES_NEWS_H_
