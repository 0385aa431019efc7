// Reports the progress of moves to operators through the store.
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

// One node writes at a time; the next one takes over when the progress that it
// knows of is not reported. If two write at once, the condition of the append
// lets only one succeed, so a final state of a move in the store is never
// overwritten by another one.
//
// Not thread safe.
class MoveReporter {
 public:
  // Precondition: both arguments outlive the reporter.
  MoveReporter(const EdgeAdapter& edge_adapter, VersionChoice& version_choice)
      : adapter(edge_adapter), versions(version_choice) {}
  MoveReporter(const MoveReporter&) = delete;
  MoveReporter& operator=(const MoveReporter&) = delete;
  ~MoveReporter() { *this->alive = false; }

  // Call it a few times a second. Reads the reports from the store when a move
  // waits for them. `rank` is this node's position among the connected nodes
  // (EvaluatorRank); 0 for the first.
  void Step(std::size_t rank);

 private:
  void Read();
  void Write(const std::string& service, const RecordPage& page);
  void OnWritten(const MoveReport& report, const AppendResult& result);
  void ApplyPage(const RecordPage& page);

  const EdgeAdapter& adapter;
  VersionChoice& versions;
  // Unreported progress by service, and when it was first seen.
  std::map<std::string, std::pair<MoveProgress, TimePoint>> unreported_since;
  bool call_in_flight = false;
  TimePoint next_attempt;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_MOVE_REPORTER_H_
