// Tells operators, through the store, what becomes of their moves.
//
// Belongs to the thread that runs the loop.
#ifndef TEASELSPREAD_SRC_EDGE_MOVE_REPORTER_H_
#define TEASELSPREAD_SRC_EDGE_MOVE_REPORTER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "edge/version_choice.h"
#include "teaselspread/edge.h"
#include "teaselspread/types.h"

namespace teaselspread {

// One node writes at a time; the others take over when what they believe does
// not get reported. Two that write at once are told apart by the condition of
// the append, so that an end of a move that stands in the store is never
// overwritten by another.
//
// Not thread safe.
class MoveReporter {
 public:
  // Precondition: both outlive the reporter.
  MoveReporter(const EdgeAdapter& edge_adapter, VersionChoice& version_choice)
      : adapter(edge_adapter), versions(version_choice) {}
  MoveReporter(const MoveReporter&) = delete;
  MoveReporter& operator=(const MoveReporter&) = delete;
  ~MoveReporter() { *this->alive = false; }

  // Reads what the store says of all moves.
  void Read();

  // Call it a few times a second. `rank` is this node's place among those in
  // touch, 0 for the first.
  void Step(std::size_t rank);

 private:
  void Write(const std::string& service, const RecordPage& page);
  void OnWritten(const MoveReport& report, const AppendResult& result);
  void ApplyPage(const RecordPage& page);

  const EdgeAdapter& adapter;
  VersionChoice& versions;
  // When each unreported state was first seen.
  std::map<std::string, std::pair<MoveProgress, TimePoint>> unreported_since;
  bool call_in_flight = false;
  bool has_read = false;
  TimePoint next_attempt;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_MOVE_REPORTER_H_
