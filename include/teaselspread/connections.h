// Decides which open connection to a target may be reused.
//
// A middlebox may drop the state of a connection: it stays open but transfers
// no bytes, while new connections work. Only the decisions are made here; the
// caller owns the sockets.
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
  kComplete,
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
  // Maximum number of connections to one target, in use and idle.
  int max_connections = 128;
  // Connections idle for longer than this are closed instead of reused.
  Duration max_idle_time = std::chrono::seconds(30);
  // Maximum time without a received byte while in use.
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
  // Idle connections whose last byte came at or before this are not reused.
  TimePoint stale_until;
};

enum class AcquireKind : std::uint8_t { kReuse, kOpen, kLimit };

struct AcquireResult {
  AcquireKind kind = AcquireKind::kLimit;
  // The connection to use, or the id of the one to open.
  std::uint64_t id = 0;
  // Connections to close first; they were removed from the pool.
  std::vector<std::uint64_t> close;
};

// A connection for one request: the idle one with the latest byte that is not
// stale, else a new one, else kLimit. Not thread safe.
[[nodiscard]] AcquireResult Acquire(ConnectionPool& pool, TimePoint now);

// Records that a byte was received on `id`. Not thread safe.
void OnByte(ConnectionPool& pool, std::uint64_t id, TimePoint now);

// Ends the use of `id`. Returns the connections to close: `id` itself unless
// the response was complete, and after kSilent also the idle ones whose last
// byte came no later than that of `id`. Not thread safe.
[[nodiscard]] std::vector<std::uint64_t> Release(ConnectionPool& pool,
                                                 std::uint64_t id,
                                                 ConnectionEnd end,
                                                 TimePoint now);

// Connections in use without a byte for longer than the `silence` setting. The
// caller releases them as kSilent. Not thread safe.
[[nodiscard]] std::vector<std::uint64_t> SilentConnections(
    const ConnectionPool& pool,
    TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONNECTIONS_H_
