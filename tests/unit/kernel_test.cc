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
  std::vector<std::string> received;
  kernel.Register<Note>(
      "listener", [&](const Note& note) { received.push_back(note.text); });
  kernel.PostAt(kStart + std::chrono::seconds(2), "listener", Note{"late"});
  kernel.PostAt(kStart + std::chrono::seconds(1), "listener", Note{"early"});
  kernel.Post("listener", Note{"now"});
  kernel.Advance(kStart);
  cr_assert(received == std::vector<std::string>{"now"});
  cr_assert(kernel.NextWake() == kStart + std::chrono::seconds(1));
  kernel.Advance(kStart + std::chrono::seconds(5));
  cr_assert(received == (std::vector<std::string>{"now", "early", "late"}));
  cr_assert(!kernel.NextWake().has_value());
}

// When an operator sets the clock of the machine back, timers that were due
// must not be delayed until the clock reaches the old time again.
Test(kernel, time_does_not_go_back_when_the_clock_is_set_back) {
  Kernel kernel;
  kernel.Advance(kStart);
  kernel.Advance(kStart - std::chrono::seconds(50));
  cr_assert(kernel.Now() == kStart);
}

// A sender that still uses the old name of a renamed service would otherwise
// lose its messages without any indication.
Test(kernel, counts_undeliverable_messages) {
  Kernel kernel;
  kernel.Register<Note>("listener", [](const Note&) {});
  kernel.Post("nobody", Note{"lost"});
  kernel.Post("listener", 7);
  kernel.Advance(kStart);
  cr_assert(kernel.Counters().Get(KernelEvent::kUnknownService) == 1);
  cr_assert(kernel.Counters().Get(KernelEvent::kUnknownMessage) == 1);
}

// A message that a handler posts is delivered by the same Advance(), so that a
// decision is not delayed until the next socket event.
Test(kernel, messages_posted_by_handlers_run_in_the_same_turn) {
  Kernel kernel;
  int received = 0;
  kernel.Register<Note>("first",
                        [&](const Note& note) { kernel.Post("second", note); });
  kernel.Register<Note>("second", [&](const Note&) { ++received; });
  kernel.Post("first", Note{"x"});
  kernel.Advance(kStart);
  cr_assert(received == 1);
}

}  // namespace
}  // namespace teaselspread
