#include "teaselspread/kernel.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace teaselspread {
namespace {

struct Note {
  std::string text;
};

constexpr TimePoint kStart{std::chrono::seconds(100)};

Test(kernel, delivers_in_order_and_fires_timers_when_due) {
  Kernel kernel;
  std::vector<std::string> heard;
  kernel.Register<Note>("listener",
                        [&](const Note& note) { heard.push_back(note.text); });
  kernel.PostAt(kStart + std::chrono::seconds(2), "listener", Note{"late"});
  kernel.PostAt(kStart + std::chrono::seconds(1), "listener", Note{"early"});
  kernel.Post("listener", Note{"now"});
  kernel.Advance(kStart);
  cr_assert(heard == std::vector<std::string>{"now"});
  cr_assert(kernel.NextWake() == kStart + std::chrono::seconds(1));
  kernel.Advance(kStart + std::chrono::seconds(5));
  cr_assert(heard == (std::vector<std::string>{"now", "early", "late"}));
  cr_assert(!kernel.NextWake().has_value());
}

// The machine's clock is set back by an operator. Timers that were due must
// not wait for the old time to come round again.
Test(kernel, a_clock_set_back_does_not_turn_time_back) {
  Kernel kernel;
  kernel.Advance(kStart);
  kernel.Advance(kStart - std::chrono::seconds(50));
  cr_assert(kernel.Now() == kStart);
}

// A service is renamed and one sender keeps the old name. Without a count the
// message would vanish with no trace.
Test(kernel, counts_what_it_cannot_deliver) {
  Kernel kernel;
  kernel.Register<Note>("listener", [](const Note&) {});
  kernel.Post("nobody", Note{"lost"});
  kernel.Post("listener", 7);
  kernel.Advance(kStart);
  cr_assert(kernel.Counters().Get(KernelEvent::kUnknownService) == 1);
  cr_assert(kernel.Counters().Get(KernelEvent::kUnknownMessage) == 1);
}

// A handler posts to another service while it runs: both are delivered in the
// same turn, so a decision never waits for the next socket event.
Test(kernel, messages_posted_by_handlers_run_in_the_same_turn) {
  Kernel kernel;
  int heard = 0;
  kernel.Register<Note>("first",
                        [&](const Note& note) { kernel.Post("second", note); });
  kernel.Register<Note>("second", [&](const Note&) { ++heard; });
  kernel.Post("first", Note{"x"});
  kernel.Advance(kStart);
  cr_assert(heard == 1);
}

}  // namespace
}  // namespace teaselspread
