// A table of counters, indexed by an enum of reasons.
#ifndef TEASELSPREAD_COUNTERS_H_
#define TEASELSPREAD_COUNTERS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace teaselspread {

// One counter for each value of `Reason`, an enum class that ends in kCount.
// Thread safe: relaxed atomics, since each counter is read on its own.
template <class Reason>
class CounterTable {
 public:
  static constexpr auto kSize = static_cast<std::size_t>(Reason::kCount);

  // Precondition: reason < kCount. Thread safe.
  void Add(Reason reason, std::uint64_t amount = 1) {
    this->counts.at(static_cast<std::size_t>(reason))
        .fetch_add(amount, std::memory_order_relaxed);
  }

  // Precondition: reason < kCount. Thread safe.
  [[nodiscard]] std::uint64_t Get(Reason reason) const {
    return this->counts.at(static_cast<std::size_t>(reason))
        .load(std::memory_order_relaxed);
  }

 private:
  std::array<std::atomic<std::uint64_t>, kSize> counts{};
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_COUNTERS_H_
