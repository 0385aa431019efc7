#include "teaselspread/memory_budget.h"

namespace teaselspread {

bool MemoryBudget::Fits(BudgetUse use, std::size_t bytes) const {
  const std::size_t total = this->used[0] + this->used[1];
  const std::size_t requests =
      this->used.at(static_cast<std::size_t>(BudgetUse::kRequest));
  const std::size_t half = this->limit / 2;
  if (use == BudgetUse::kRequest && (bytes > half || requests > half - bytes))
    return false;
  return bytes <= this->limit && total <= this->limit - bytes;
}

bool MemoryBudget::Take(BudgetUse use, std::size_t bytes) {
  const std::scoped_lock lock(this->gate);
  if (!this->Fits(use, bytes))
    return false;
  this->UsedBy(use) += bytes;
  return true;
}

bool MemoryBudget::TakeBefore(BudgetUse use,
                              std::size_t bytes,
                              std::chrono::steady_clock::time_point deadline) {
  std::unique_lock lock(this->gate);
  const bool fits = this->freed.wait_until(
      lock, deadline, [&] { return this->Fits(use, bytes); });
  if (fits)
    this->UsedBy(use) += bytes;
  return fits;
}

void MemoryBudget::Give(BudgetUse use, std::size_t bytes) {
  const std::scoped_lock lock(this->gate);
  this->UsedBy(use) -= bytes;
  this->freed.notify_all();
}

std::size_t MemoryBudget::Used() const {
  const std::scoped_lock lock(this->gate);
  return this->used[0] + this->used[1];
}

bool BudgetHold::GrowTo(std::size_t total) {
  if (total <= this->bytes)
    return true;
  const bool taken = this->budget->Take(this->use, total - this->bytes);
  if (taken)
    this->bytes = total;
  return taken;
}

bool BudgetHold::GrowToBefore(std::size_t total,
                              std::chrono::steady_clock::time_point deadline) {
  if (total <= this->bytes)
    return true;
  const bool taken =
      this->budget->TakeBefore(this->use, total - this->bytes, deadline);
  if (taken)
    this->bytes = total;
  return taken;
}

}  // namespace teaselspread
