// A bound on the bytes of bodies that one process holds at a time.
#ifndef TEASELSPREAD_MEMORY_BUDGET_H_
#define TEASELSPREAD_MEMORY_BUDGET_H_

#include <array>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <utility>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace teaselspread {

// Bytes of requests and responses that a process may hold on a VM with this
// much memory. Leaves room for the process itself and for the threads of its
// connections. Thread safe.
[[nodiscard]] std::size_t BodyMemoryOf(std::size_t machine_bytes);

// Requests may use half of a budget, answers all that is left: were requests
// allowed all of it, each of them would hold its body while it waits for memory
// for its answer, and none would ever end.
enum class BudgetUse : std::uint8_t { kRequest, kAnswer };

// Uploads of tens of MB arrive many at once; without a common bound a small VM
// runs out of memory, and the kernel ends the process with every request in
// it. Thread safe.
class MemoryBudget : public boost::intrusive_ref_counter<MemoryBudget> {
 public:
  explicit MemoryBudget(std::size_t bytes) : limit(bytes) {}

  // False, with nothing taken, when fewer than `bytes` are free for a holder
  // that has `held` already: small requests have memory that larger ones cannot
  // take. Thread safe.
  [[nodiscard]] bool Take(BudgetUse use,
                          std::size_t bytes,
                          std::size_t held = 0);

  // As Take, but waits until `deadline` for the bytes. Thread safe.
  [[nodiscard]] bool TakeBefore(BudgetUse use,
                                std::size_t bytes,
                                std::size_t held,
                                std::chrono::steady_clock::time_point deadline);

  // Precondition: `bytes` were taken for `use`. Thread safe.
  void Give(BudgetUse use, std::size_t bytes);

  // Thread safe.
  [[nodiscard]] std::size_t Used() const;

 private:
  [[nodiscard]] bool Fits(BudgetUse use,
                          std::size_t bytes,
                          std::size_t held) const;
  [[nodiscard]] std::size_t& UsedBy(BudgetUse use) {
    return this->used.at(static_cast<std::size_t>(use));
  }

  std::size_t limit;
  mutable std::mutex gate;
  std::condition_variable freed;
  // By BudgetUse.
  std::array<std::size_t, 2> used{};
};

using MemoryBudgetPtr = boost::intrusive_ptr<MemoryBudget>;

// Gives back, when its last owner goes, what a body took. Growing it is not
// thread safe; sharing it is.
class BudgetHold : public boost::intrusive_ref_counter<BudgetHold> {
 public:
  BudgetHold(MemoryBudgetPtr owner, BudgetUse purpose)
      : budget(std::move(owner)), use(purpose) {}
  ~BudgetHold() { this->budget->Give(this->use, this->bytes); }
  BudgetHold(const BudgetHold&) = delete;
  BudgetHold& operator=(const BudgetHold&) = delete;

  // Holds `total` bytes in all; false when the budget is used up.
  [[nodiscard]] bool GrowTo(std::size_t total);

  // Gives back all but `total` bytes, if it holds more.
  void ShrinkTo(std::size_t total);

  // As GrowTo, but waits until `deadline`.
  [[nodiscard]] bool GrowToBefore(
      std::size_t total,
      std::chrono::steady_clock::time_point deadline);

 private:
  MemoryBudgetPtr budget;
  BudgetUse use;
  std::size_t bytes = 0;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_MEMORY_BUDGET_H_
