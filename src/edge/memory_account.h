// The memory that the callers of this process make it hold: heads and bodies of
// requests, responses that are not read, frames of other nodes. All of it is
// counted in one account, which is smaller than the memory of the VM.
//
// Everything here must be used on the thread that runs the loop.
#ifndef TEASELSPREAD_SRC_EDGE_MEMORY_ACCOUNT_H_
#define TEASELSPREAD_SRC_EDGE_MEMORY_ACCOUNT_H_

#include <chrono>
#include <cstddef>
#include <functional>

#include "teaselspread/types.h"

namespace teaselspread {

// One holder may grow while the bytes of all holders stay below the bound for
// its own size. So the last part of the memory is left to small requests,
// however many large ones there are.
struct MemoryBounds {
  // Holders of up to kSmallHolder bytes.
  std::size_t small = 0;
  // Holders of up to kMediumHolder bytes.
  std::size_t medium = 0;
  // All others.
  std::size_t large = 0;
};

inline constexpr std::size_t kSmallHolder = std::size_t{256} << 10U;
inline constexpr std::size_t kMediumHolder = std::size_t{2} << 20U;

// Retry-After of refusals for lack of memory: it is held by other requests,
// most of which take longer than others.
inline constexpr Duration kMemoryRetryAfter = std::chrono::milliseconds(500);

// The bounds on a VM with this much memory. Thread safe.
[[nodiscard]] MemoryBounds BoundsFor(std::size_t machine_bytes);

// The bound for a holder of `bytes`. Thread safe.
[[nodiscard]] std::size_t BoundOf(const MemoryBounds& bounds,
                                  std::size_t bytes);

// Not thread safe.
class MemoryAccount {
 public:
  explicit MemoryAccount(const MemoryBounds& all) : bounds(all) {}
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  // Whether a holder may grow by `more` to `total` bytes. Tries to make room if
  // not. Takes the bytes if so.
  [[nodiscard]] bool Take(std::size_t more, std::size_t total);
  // Takes bytes that exist already, whatever the bounds.
  void TakeAnyway(std::size_t more);
  // Precondition: `bytes` were taken.
  void Give(std::size_t bytes) { this->used -= bytes; }

  [[nodiscard]] std::size_t Used() const { return this->used; }
  [[nodiscard]] const MemoryBounds& Bounds() const { return this->bounds; }

  // Whether so much was given back since the last call that returned true that
  // the allocator should return its free memory to the kernel.
  [[nodiscard]] bool HasDropped();

  // Ends the slow holder that has most; false if none is slow. It may take
  // memory itself, for a refusal; room is not made for that.
  std::function<bool()> make_room = [] { return false; };

 private:
  [[nodiscard]] bool MakeRoom();

  MemoryBounds bounds;
  std::size_t used = 0;
  bool making_room = false;
  // Most bytes in use since the last drop.
  std::size_t most = 0;
};

// Bytes of one holder, given back when it ends. Without an account it holds any
// number. Movable; not thread safe.
class MemoryHold {
 public:
  MemoryHold() = default;
  explicit MemoryHold(MemoryAccount* of) : account(of) {}
  ~MemoryHold() { this->ShrinkTo(0); }
  MemoryHold(MemoryHold&& other) noexcept;
  MemoryHold& operator=(MemoryHold&& other) noexcept;

  // Holds at least `total` bytes. False, with nothing taken, if they are not
  // free.
  [[nodiscard]] bool GrowTo(std::size_t total);
  // Holds at least `total` bytes, which exist already.
  void GrowAnywayTo(std::size_t total);
  // Holds at most `total` bytes.
  void ShrinkTo(std::size_t total);
  // Moves `bytes` to a hold of their own; takes what is missing.
  [[nodiscard]] MemoryHold Split(std::size_t bytes);

  [[nodiscard]] std::size_t Bytes() const { return this->bytes; }

 private:
  MemoryAccount* account = nullptr;
  std::size_t bytes = 0;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_MEMORY_ACCOUNT_H_
