// Who may hold how much of the memory that callers make a node hold.
#include "edge/memory_account.h"

#include <criterion/criterion.h>

#include <utility>
#include <vector>

namespace teaselspread {
namespace {

constexpr std::size_t kLargestBody = std::size_t{64} << 20U;
constexpr std::size_t kMb = 1'000'000;

// Guards against a bound that refuses one request inside the limits on the
// smallest machine.
Test(memory_account, the_largest_body_fits_on_the_smallest_machine) {
  MemoryAccount account(BoundsFor(160 * kMb));
  MemoryHold body(&account);
  cr_assert(body.GrowTo(kLargestBody + 100'000));
}

// Guards against large requests that leave no memory to ordinary ones.
Test(memory_account, large_and_medium_holders_leave_memory_to_small_ones) {
  for (const std::size_t machine : {100, 160, 260, 1000}) {
    MemoryAccount account(BoundsFor(machine * kMb));
    std::vector<MemoryHold> holds;
    for (const std::size_t bytes : {10 * kMb, kMb}) {
      while (true) {
        MemoryHold hold(&account);
        if (!hold.GrowTo(bytes))
          break;
        holds.push_back(std::move(hold));
      }
    }
    int small = 0;
    for (; small < 50; ++small) {
      MemoryHold hold(&account);
      if (!hold.GrowTo(20'000))
        break;
      holds.push_back(std::move(hold));
    }
    cr_expect_eq(small, 50, "%zu MB: %d", machine, small);
    cr_expect_leq(account.Used(), machine * kMb);
    holds.clear();
    cr_expect_eq(account.Used(), 0U);
  }
}

Test(memory_account, room_is_made_before_a_holder_is_refused) {
  MemoryAccount account({1000, 1000, 1000});
  std::vector<MemoryHold> slow;
  for (int i = 0; i < 5; ++i) {
    slow.emplace_back(&account);
    cr_assert(slow.back().GrowTo(200));
  }
  account.make_room = [&slow] {
    if (slow.size() <= 2)
      return false;
    slow.pop_back();
    return true;
  };
  MemoryHold next(&account);
  cr_assert(next.GrowTo(500));
  cr_assert_eq(slow.size(), 2U);
  cr_assert(!next.GrowTo(700));
  cr_assert_eq(next.Bytes(), 500U);
}

// Guards against a node that runs out of stack: each request that is ended
// writes a refusal, and room for that would be made by ending the next one.
Test(memory_account, room_is_not_made_while_room_is_made) {
  MemoryAccount account({1000, 1000, 1000});
  MemoryHold slow(&account);
  slow.GrowAnywayTo(5000);
  int ended = 0;
  account.make_room = [&] {
    ++ended;
    MemoryHold refusal(&account);
    cr_expect(!refusal.GrowTo(10));
    return ended < 3;
  };
  MemoryHold next(&account);
  cr_expect(!next.GrowTo(500));
  cr_expect_eq(ended, 3);
}

// Guards against bytes that stay counted, or are counted twice, when a request
// passes from its connection to those that send it on.
Test(memory_account, a_split_hold_is_counted_once) {
  MemoryAccount account({1000, 1000, 1000});
  {
    MemoryHold received(&account);
    cr_assert(received.GrowTo(300));
    MemoryHold body = received.Split(200);
    cr_assert_eq(account.Used(), 300U);
    MemoryHold moved = std::move(body);
    moved.GrowAnywayTo(1500);
    cr_assert_eq(account.Used(), 1600U);
    MemoryHold more = received.Split(150);
    cr_assert_eq(account.Used(), 1650U);
    cr_assert_eq(received.Bytes(), 0U);
    moved.ShrinkTo(100);
    cr_assert_eq(account.Used(), 250U);
  }
  cr_assert_eq(account.Used(), 0U);
}

Test(memory_account, a_hold_without_an_account_has_no_bound) {
  MemoryHold hold;
  cr_assert(hold.GrowTo(kLargestBody));
  cr_assert_eq(hold.Split(100).Bytes(), 0U);
}

Test(memory_account, memory_is_trimmed_once_after_a_large_drop) {
  MemoryAccount account({100 * kMb, 100 * kMb, 100 * kMb});
  MemoryHold hold(&account);
  cr_assert(hold.GrowTo(50 * kMb));
  cr_assert(!account.HasDropped());
  hold.ShrinkTo(0);
  cr_assert(account.HasDropped());
  cr_assert(!account.HasDropped());
}

}  // namespace
}  // namespace teaselspread
