// Which open connection to a target may be used again.
//
// Something between two ends may lose track of a connection: it stays open and
// says nothing, while new ones work. These are the decisions; the sockets are
// the caller's.
#ifndef TEASELSPREAD_CONNECTIONS_H_
#define TEASELSPREAD_CONNECTIONS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "teaselspread/types.h"

namespace teaselspread {

// How one use of a connection ended.
enum class ConnectionEnd : std::uint8_t {
  kWhole,
  kTimeout,
  kCancelled,
  kShortBody,
  kSilent,
  kError,
};

// "whole", "timeout", "cancelled", "short-body", "silent" or "error". Thread
// safe.
[[nodiscard]] std::string_view NameOf(ConnectionEnd end);

struct ConnectionSettings {
  // Connections to one target, in use and idle.
  int most = 128;
  // Idle ones older than this are closed, not used.
  Duration longest_idle = std::chrono::seconds(30);
  // Longest stretch without a byte in use.
  Duration silence = std::chrono::seconds(5);
};

struct Connection {
  std::uint64_t id = 0;
  TimePoint opened;
  TimePoint last_byte;
  bool in_use = false;
};

// The connections to one target.
struct ConnectionPool {
  ConnectionSettings settings;
  std::vector<Connection> connections;
  std::uint64_t next_id = 1;
  // Idle connections opened or last heard at or before this are not trusted.
  TimePoint distrust_until;
};

enum class AcquireKind : std::uint8_t { kReuse, kOpen, kLimit };

struct Acquired {
  AcquireKind kind = AcquireKind::kLimit;
  // The connection to use, or the id of the one to open.
  std::uint64_t id = 0;
  // Close these first; they were dropped from the pool.
  std::vector<std::uint64_t> close;
};

// A connection for one request: an idle one that was heard of lately, else a
// new one, else kLimit. Not thread safe.
[[nodiscard]] Acquired Acquire(ConnectionPool& pool, TimePoint now);

// A byte came in on `id`. Not thread safe.
void OnByte(ConnectionPool& pool, std::uint64_t id, TimePoint now);

// The use of `id` has ended. Returns the connections to close: `id` itself
// unless the answer was whole, and after a silence the idle ones that were last
// heard before the silent one went quiet. Not thread safe.
[[nodiscard]] std::vector<std::uint64_t> Release(ConnectionPool& pool,
                                                 std::uint64_t id,
                                                 ConnectionEnd end,
                                                 TimePoint now);

// Connections in use without a byte for the allowed time. Release them as
// kSilent. Not thread safe.
[[nodiscard]] std::vector<std::uint64_t> SilentOnes(const ConnectionPool& pool,
                                                    TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONNECTIONS_H_
