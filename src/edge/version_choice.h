// Which version of a service the next request goes to.
//
// Everything here belongs to the thread that runs the loop.
#ifndef TEASELSPREAD_SRC_EDGE_VERSION_CHOICE_H_
#define TEASELSPREAD_SRC_EDGE_VERSION_CHOICE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "edge/frames.h"
#include "teaselspread/types.h"

namespace teaselspread {

// Ready slots by version, of one service.
using VersionSlots = std::map<std::string, std::uint32_t, std::less<>>;

// How an upstream answered, as far as a move is concerned.
struct VersionAnswer {
  std::string_view service;
  std::string_view version;
  std::string_view route;
  bool failed = false;
  bool timed_out = false;
  Duration took{};
};

// Not thread safe.
class VersionChoice {
 public:
  // What is ready now; call it when a gate's status changed.
  void SetSlots(std::map<std::string, VersionSlots, std::less<>> ready) {
    this->slots = std::move(ready);
  }

  // The version for the next request; empty when nothing is ready.
  [[nodiscard]] std::string Pick(std::string_view service);

  void OnAnswer(const VersionAnswer& answer);

 private:
  std::map<std::string, VersionSlots, std::less<>> slots;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_VERSION_CHOICE_H_
