// What ordinary callers and the machine of a node must notice of a hostile
// client. Tests only.
#ifndef TEASELSPREAD_TESTS_PROCESS_HOSTILE_CHECKS_H_
#define TEASELSPREAD_TESTS_PROCESS_HOSTILE_CHECKS_H_

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "process/hostile_requests.h"
#include "process/memory_watch.h"
#include "process/ordinary_traffic.h"

#include <criterion/criterion.h>

namespace teaselspread {

inline constexpr std::chrono::milliseconds kPlayTime{6000};
// Fraction of the ordinary requests that have to be served.
inline constexpr double kServedRatio = 0.9;
// Time after which a node that the client has left serves as before.
inline constexpr std::chrono::milliseconds kRecovery{3000};

inline void ExpectServed(const std::string& when,
                         const OrdinaryOutcome& outcome) {
  std::string failures;
  for (const auto& [status, count] : outcome.failures)
    failures += " " + std::to_string(status) + ":" + std::to_string(count);
  std::printf("  %s: %zu of %zu ordinary requests served;%s\n", when.c_str(),
              outcome.served, outcome.requests, failures.c_str());
  cr_expect_geq(outcome.ServedRatio(), kServedRatio, "%s: %zu of %zu",
                when.c_str(), outcome.served, outcome.requests);
}

inline void ExpectReady(ReadinessProbe& probe) {
  const double ready = probe.Stop();
  std::printf("  ready at %.2f of the checks\n", ready);
  cr_expect_geq(ready, kServedRatio);
}

inline void ExpectWithinMemory(MemoryWatch& watch) {
  for (const WatchedProcess& process : watch.Stop()) {
    std::printf("  peak %zu MB, %zu of them not read\n",
                process.peak_bytes / 1'000'000,
                process.unread_bytes / 1'000'000);
    cr_expect(!process.ended_for_memory, "%zu MB",
              process.peak_bytes / 1'000'000);
  }
}

// Sends all that `body` sends on one connection, as an ordinary client; the
// status of the response, or 0.
inline int StatusOf(const HostileClient& body, std::uint16_t port) {
  const RawSocket caller = RawSocket::ConnectTo(port);
  caller.Send(body.head +
              Repeated(body.unit, body.unit_bytes / body.unit.size()) +
              body.tail);
  const std::string got = caller.ReadUntil([](const std::string& response) {
    return response.find("\r\n\r\n") != std::string::npos;
  });
  return got.size() < 12 ? 0 : std::atoi(got.c_str() + 9);
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_TESTS_PROCESS_HOSTILE_CHECKS_H_
