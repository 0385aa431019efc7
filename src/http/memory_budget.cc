#include "teaselspread/memory_budget.h"

#include <algorithm>

namespace teaselspread {
namespace {

// Where memory is plentiful, a VM has other uses for it.
constexpr std::size_t kMaxBodyMemory = 256U << 20;
constexpr std::size_t kMinBodyMemory = 16U << 20;
// The process, the threads of its connections, and frames of other nodes.
constexpr std::size_t kOtherMemory = 64'000'000;

// Requests that hold more than this leave kSmallReserve to the others.
constexpr std::size_t kSmallHold = 64U << 10;
constexpr std::size_t kSmallReserve = 4U << 20;

}  // namespace

std::size_t BodyMemoryOf(std::size_t machine_bytes) {
  const std::size_t left = std::max(machine_bytes, kOtherMemory) - kOtherMemory;
  return std::clamp(left, kMinBodyMemory, kMaxBodyMemory);
}

bool MemoryBudget::Fits(BudgetUse use,
                        std::size_t bytes,
                        std::size_t held) const {
  const std::size_t total = this->used[0] + this->used[1];
  const std::size_t requests =
      this->used.at(static_cast<std::size_t>(BudgetUse::kRequest));
  const std::size_t half = this->limit / 2;
  const std::size_t reserve =
      held + bytes > kSmallHold ? std::min(kSmallReserve, half / 8) : 0;
  const std::size_t share = half - reserve;
  if (use == BudgetUse::kRequest && (bytes > share || requests > share - bytes))
    return false;
  return bytes <= this->limit && total <= this->limit - bytes;
}

bool MemoryBudget::Take(BudgetUse use, std::size_t bytes, std::size_t held) {
  const std::scoped_lock lock(this->gate);
  if (!this->Fits(use, bytes, held))
    return false;
  this->UsedBy(use) += bytes;
  return true;
}

bool MemoryBudget::TakeBefore(BudgetUse use,
                              std::size_t bytes,
                              std::size_t held,
                              std::chrono::steady_clock::time_point deadline) {
  std::unique_lock lock(this->gate);
  const bool fits = this->freed.wait_until(
      lock, deadline, [&] { return this->Fits(use, bytes, held); });
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
  const bool taken =
      this->budget->Take(this->use, total - this->bytes, this->bytes);
  if (taken)
    this->bytes = total;
  return taken;
}

void BudgetHold::ShrinkTo(std::size_t total) {
  if (total >= this->bytes)
    return;
  this->budget->Give(this->use, this->bytes - total);
  this->bytes = total;
}

bool BudgetHold::GrowToBefore(std::size_t total,
                              std::chrono::steady_clock::time_point deadline) {
  if (total <= this->bytes)
    return true;
  const bool taken = this->budget->TakeBefore(this->use, total - this->bytes,
                                              this->bytes, deadline);
  if (taken)
    this->bytes = total;
  return taken;
}

}  // namespace teaselspread
