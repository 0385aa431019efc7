#include "edge/memory_account.h"

#include <algorithm>
#include <utility>

#include "edge/loop_client.h"

namespace teaselspread {
namespace {

// The program, its configuration, logs, links and statistics, and what the
// connections of all callers take without a request.
constexpr std::size_t kProcessBytes = 40'000'000;
// Left to callers on a VM that is too small for the bounds above.
constexpr std::size_t kMinBytes = 8'000'000;
// Left to medium and small holders, and to small ones.
constexpr std::size_t kMediumReserve = 16'000'000;
constexpr std::size_t kSmallReserve = 8'000'000;
// The allocator keeps small blocks that are freed between others.
constexpr std::size_t kDropBytes = 16'000'000;

}  // namespace

MemoryBounds BoundsFor(std::size_t machine_bytes) {
  const std::size_t reserved = kProcessBytes + kMaxResponseBytes;
  const std::size_t all =
      std::max(machine_bytes, reserved + kMinBytes) - reserved;
  return {all, all - std::min(kSmallReserve, all / 4),
          all - std::min(kMediumReserve, all / 2)};
}

std::size_t BoundOf(const MemoryBounds& bounds, std::size_t bytes) {
  if (bytes <= kSmallHolder)
    return bounds.small;
  return bytes <= kMediumHolder ? bounds.medium : bounds.large;
}

bool MemoryAccount::Take(std::size_t more, std::size_t total) {
  const std::size_t bound = BoundOf(this->bounds, total);
  while (more > bound || this->used > bound - more) {
    if (more > bound || !this->MakeRoom())
      return false;
  }
  this->TakeAnyway(more);
  return true;
}

bool MemoryAccount::MakeRoom() {
  if (this->making_room)
    return false;
  this->making_room = true;
  const bool made = this->make_room();
  this->making_room = false;
  return made;
}

void MemoryAccount::TakeAnyway(std::size_t more) {
  this->used += more;
  this->most = std::max(this->most, this->used);
}

bool MemoryAccount::HasDropped() {
  if (this->most - this->used < kDropBytes)
    return false;
  this->most = this->used;
  return true;
}

MemoryHold::MemoryHold(MemoryHold&& other) noexcept
    : account(other.account), bytes(std::exchange(other.bytes, 0)) {}

MemoryHold& MemoryHold::operator=(MemoryHold&& other) noexcept {
  if (this == &other)
    return *this;
  this->ShrinkTo(0);
  this->account = other.account;
  this->bytes = std::exchange(other.bytes, 0);
  return *this;
}

bool MemoryHold::GrowTo(std::size_t total) {
  if (total <= this->bytes || this->account == nullptr)
    return true;
  if (!this->account->Take(total - this->bytes, total))
    return false;
  this->bytes = total;
  return true;
}

void MemoryHold::GrowAnywayTo(std::size_t total) {
  if (total <= this->bytes || this->account == nullptr)
    return;
  this->account->TakeAnyway(total - this->bytes);
  this->bytes = total;
}

void MemoryHold::ShrinkTo(std::size_t total) {
  if (total >= this->bytes)
    return;
  this->account->Give(this->bytes - total);
  this->bytes = total;
}

MemoryHold MemoryHold::Split(std::size_t part) {
  MemoryHold split(this->account);
  if (this->account == nullptr)
    return split;
  this->GrowAnywayTo(part);
  split.bytes = part;
  this->bytes -= part;
  return split;
}

}  // namespace teaselspread
