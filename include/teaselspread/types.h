// Time, randomness and the small value types that every module shares.
#ifndef TEASELSPREAD_TYPES_H_
#define TEASELSPREAD_TYPES_H_

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

namespace teaselspread {

// Decision code never reads a clock: the caller passes the time in. Daemons
// pass the system clock's; tests and benchmarks pass a virtual clock's.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::system_clock, Duration>;

// For use in a cereal `serialize` member: cereal's own functions for time
// points don't accept the non-const ones of such a member. Thread safe.
template <class Archive>
void SerializeTime(Archive& archive, TimePoint& time) {
  std::int64_t count = time.time_since_epoch().count();
  archive(count);
  time = TimePoint(Duration(count));
}

// Seeded by the caller, so that every decision is reproducible.
using Rng = std::mt19937_64;

// Offset of the accepted record in the platform's log; 0 if there is none yet.
using ConfigVersion = std::uint64_t;

// An IP address and a port.
struct Address {
  std::string host;
  std::uint16_t port = 0;

  bool operator==(const Address&) const = default;
  auto operator<=>(const Address&) const = default;  // NOLINT: false positive

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->host, this->port);
  }
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_TYPES_H_
