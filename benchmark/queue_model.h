// A virtual-clock model of one service: targets with slots, entries that choose
// among them. It measures the decisions under load, not the network.
#ifndef TEASELSPREAD_BENCHMARK_QUEUE_MODEL_H_
#define TEASELSPREAD_BENCHMARK_QUEUE_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "percentiles.h"
#include "teaselspread/admission.h"
#include "teaselspread/retry.h"
#include "teaselspread/routing.h"

namespace teaselspread::bench {

// Events in order of time.
class EventQueue {
 public:
  TimePoint now{std::chrono::hours(1)};

  void At(TimePoint at, std::function<void()> action) {
    this->events.push({at, this->next_order++, std::move(action)});
  }
  void RunUntil(TimePoint end) {
    while (!this->events.empty() && this->events.top().at < end) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.action();
    }
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(this->at, this->order) > std::tie(other.at, other.order);
    }
  };
  std::priority_queue<Event> events;
  std::uint64_t next_order = 0;
};

struct ModelSettings {
  int targets = 9;
  int slots = 15;
  Duration service_time = std::chrono::milliseconds(50);
  Duration lookup_time = std::chrono::milliseconds(5);
  // Share of internal lookups among the requests.
  double lookups = 0.2;
  Duration deadline = std::chrono::milliseconds(500);
  Duration hop = std::chrono::microseconds(100);
};

struct ModelResult {
  double asked = 0;
  double sent = 0;
  double good = 0;
  // Slot time spent on requests that were answered in time.
  double good_work_us = 0;
  double late = 0;
  double refused = 0;
  Percentiles wait_us;
  Percentiles lookup_wait_us;
  // How long refused callers waited to be told.
  Percentiles refusal_us;
  std::vector<double> good_by_second;
  std::vector<double> asked_by_second;
};

struct ModelRequest {
  std::uint64_t id = 0;
  bool lookup = false;
  TimePoint asked;
  TimePoint deadline;
  Duration work{};
  int attempts = 0;
  std::vector<std::string> tried;
};

}  // namespace teaselspread::bench

#endif  // TEASELSPREAD_BENCHMARK_QUEUE_MODEL_H_
