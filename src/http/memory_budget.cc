#include "teaselspread/memory_budget.h"

namespace teaselspread {

bool MemoryBudget::Take(std::size_t bytes) {
  const std::scoped_lock lock(this->gate);
  if (!this->Fits(bytes))
    return false;
  this->used += bytes;
  return true;
}

bool MemoryBudget::TakeBefore(std::size_t bytes,
                              std::chrono::steady_clock::time_point deadline) {
  std::unique_lock lock(this->gate);
  const bool fits =
      this->freed.wait_until(lock, deadline, [&] { return this->Fits(bytes); });
  if (fits)
    this->used += bytes;
  return fits;
}

void MemoryBudget::Give(std::size_t bytes) {
  const std::scoped_lock lock(this->gate);
  this->used -= bytes;
  this->freed.notify_all();
}

std::size_t MemoryBudget::Used() const {
  const std::scoped_lock lock(this->gate);
  return this->used;
}

bool BudgetHold::GrowTo(std::size_t total) {
  return this->GrowToBefore(total,
                            std::chrono::steady_clock::time_point::min());
}

bool BudgetHold::GrowToBefore(std::size_t total,
                              std::chrono::steady_clock::time_point deadline) {
  if (total <= this->bytes)
    return true;
  const std::size_t more = total - this->bytes;
  const bool waits = deadline != std::chrono::steady_clock::time_point::min();
  const bool taken = waits ? this->budget->TakeBefore(more, deadline)
                           : this->budget->Take(more);
  if (taken)
    this->bytes = total;
  return taken;
}

}  // namespace teaselspread
