// The slots of the upstream stand-in and the requests that hold them.
#ifndef TEASELSPREAD_STANDINS_UPSTREAM_SLOTS_H_
#define TEASELSPREAD_STANDINS_UPSTREAM_SLOTS_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <set>
#include <string>

namespace standin {

enum class WorkEnd { kDone, kCancelled, kDeadline };

// Thread safe.
class Slots {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit Slots(std::size_t slot_count) : count(slot_count) {}

  // False when every slot is taken and `queue` others wait already.
  bool Enter(std::size_t queue, TimePoint give_up) {
    std::unique_lock lock(this->gate);
    if (this->running >= this->count && this->waiting >= queue)
      return false;
    ++this->waiting;
    const bool got = this->changed.wait_until(
        lock, give_up, [this] { return this->running < this->count; });
    --this->waiting;
    this->running += got ? 1 : 0;
    return got;
  }

  void Exit() {
    const std::scoped_lock lock(this->gate);
    --this->running;
    this->changed.notify_all();
  }

  // Holds the slot for the length of the work.
  WorkEnd Work(const std::string& request_id, TimePoint done, TimePoint limit) {
    std::unique_lock lock(this->gate);
    const bool stopped = this->changed.wait_until(
        lock, std::min(done, limit),
        [&] { return this->cancelled.erase(request_id) > 0; });
    if (stopped)
      return WorkEnd::kCancelled;
    return done <= limit ? WorkEnd::kDone : WorkEnd::kDeadline;
  }

  // Stops the work on `request_id`, now or when it begins.
  void Cancel(const std::string& request_id) {
    const std::scoped_lock lock(this->gate);
    this->cancelled.insert(request_id);
    this->changed.notify_all();
  }

  // Waits until nothing runs.
  void WaitIdle() {
    std::unique_lock lock(this->gate);
    this->changed.wait(
        lock, [this] { return this->running == 0 && this->waiting == 0; });
  }

  [[nodiscard]] std::size_t Running() {
    const std::scoped_lock lock(this->gate);
    return this->running;
  }

  [[nodiscard]] double Load() {
    const std::scoped_lock lock(this->gate);
    return static_cast<double>(this->running + this->waiting) /
           static_cast<double>(this->count);
  }

 private:
  std::size_t count;
  std::mutex gate;
  std::condition_variable changed;
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::set<std::string> cancelled;
};

}  // namespace standin

#endif  // TEASELSPREAD_STANDINS_UPSTREAM_SLOTS_H_
