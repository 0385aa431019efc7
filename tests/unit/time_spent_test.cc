#include "teaselspread/time_spent.h"

#include <criterion/criterion.h>

#include <random>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

// Two thirds of the requests are first attempts; the others are retries with
// the rest of their 800 ms.
DeadlineHistory MakeHistory() {
  DeadlineHistory history;
  Rng rng(3);
  for (int i = 0; i < 600; ++i) {
    const bool first = rng() % 3 != 0;
    RecordDeadline(history, first ? Ms(800) : Ms(300 + rng() % 450));
  }
  return history;
}

Test(time_spent, first_attempts_have_spent_nothing) {
  cr_assert(TimeSpent(MakeHistory(), Ms(800)) == Duration{0});
}

// A refused caller retries 250 ms later. Treated as a first attempt it would be
// queued and answered late, in place of a request that could be in time.
Test(time_spent, the_gap_below_the_usual_deadline_was_spent) {
  cr_assert(TimeSpent(MakeHistory(), Ms(550)) == Ms(250));
}

// Some callers use a shorter deadline. It must not be taken for the remaining
// time of a longer one.
Test(time_spent, several_deadlines_may_be_usual) {
  DeadlineHistory history = MakeHistory();
  for (int i = 0; i < 100; ++i)
    RecordDeadline(history, Ms(400));
  cr_assert(TimeSpent(history, Ms(400)) == Duration{0});
  cr_assert(TimeSpent(history, Ms(390)) == Ms(10));
}

Test(time_spent, no_estimate_before_enough_requests) {
  DeadlineHistory history;
  for (int i = 0; i < 10; ++i)
    RecordDeadline(history, Ms(800));
  cr_assert(TimeSpent(history, Ms(500)) == Duration{0});
}

// Operators change the deadline of a route's callers.
Test(time_spent, a_new_usual_deadline_is_learnt) {
  DeadlineHistory history = MakeHistory();
  for (int i = 0; i < 3000; ++i)
    RecordDeadline(history, Ms(600));
  cr_assert(TimeSpent(history, Ms(600)) == Duration{0});
  cr_assert(TimeSpent(history, Ms(500)) == Ms(100));
}

}  // namespace
}  // namespace teaselspread
