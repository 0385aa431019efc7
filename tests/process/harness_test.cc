#include "process/harness.h"

#include <criterion/criterion.h>

#include <sys/wait.h>
#include <unistd.h>

#include <cstdint>

#include "process/ports.h"

namespace teaselspread {
namespace {

// Runs `body` in another process, which then ends without any destructor, and
// returns the port that it gives.
template <class Body>
std::uint16_t PortFromDyingProcess(Body body) {
  int ends[2] = {-1, -1};
  cr_assert(::pipe(ends) == 0);
  const pid_t child = ::fork();
  if (child == 0) {
    const std::uint16_t port = body();
    (void)::write(ends[1], &port, sizeof port);
    ::_exit(1);
  }
  std::uint16_t port = 0;
  cr_assert(::read(ends[0], &port, sizeof port) == sizeof port);
  ::waitpid(child, nullptr, 0);
  ::close(ends[0]);
  ::close(ends[1]);
  return port;
}

// A test fails and its process ends without a destructor. The programs that it
// started must not stay: they would hold ports and processors of other tests.
Test(harness, programs_end_with_the_test_that_started_them) {
  const std::uint16_t port = PortFromDyingProcess([] {
    auto* log = new Program("log_standin", {"--port=0"});
    return log->PortAfter();
  });
  cr_assert(port != 0);
  cr_assert(WaitUntil([port] {
    return CallOnce({"127.0.0.1", port}, "GET", "/").body == "connect-failed";
  }));
}

// A program is started by a thread that ends; the program stays.
Test(harness, programs_stay_when_the_thread_that_started_them_ends) {
  std::unique_ptr<Program> log;
  std::thread starting([&] {
    log = std::make_unique<Program>("log_standin",
                                    std::vector<std::string>{"--port=0"});
  });
  starting.join();
  cr_assert(log->PortAfter() != 0);
  cr_assert_not(log->Exited());
}

// Two tests run side by side and each takes a port before its program listens.
// With the same port for both, one program cannot start.
Test(harness, a_port_is_taken_by_one_test_at_a_time) {
  const std::uint16_t port = ClaimPort();
  const std::uint16_t other = PortFromDyingProcess(
      [port] { return Claim(port) ? port : std::uint16_t{0}; });
  cr_assert(other == 0);
  const std::uint16_t freed = PortFromDyingProcess([] { return ClaimPort(); });
  cr_assert(Claim(freed));
}

}  // namespace
}  // namespace teaselspread
