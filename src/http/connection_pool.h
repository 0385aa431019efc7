// The open connections to each target.
#ifndef TEASELSPREAD_SRC_HTTP_CONNECTION_POOL_H_
#define TEASELSPREAD_SRC_HTTP_CONNECTION_POOL_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <tuple>
#include <vector>

#include "http/exchange.h"
#include "http/poll_stream.h"
#include "teaselspread/error.h"
#include "teaselspread/http_client.h"
#include "teaselspread/types.h"

namespace teaselspread {

struct PooledConnection {
  PollStream stream;
  std::chrono::steady_clock::time_point last_byte;
};

// Order for maps.
struct AddressLess {
  bool operator()(const Address& left, const Address& right) const {
    return std::tie(left.host, left.port) < std::tie(right.host, right.port);
  }
};

// Thread safe.
class ConnectionPool {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Precondition: `events` outlives the pool.
  ConnectionPool(std::size_t max_connections, ClientCounters& events)
      : max_per_target(max_connections), counters(events) {}

  // An idle connection that can be trusted, or a new one.
  // Errors: kConnectionLimit, kConnectFailed, kCancelled.
  [[nodiscard]] Result<PooledConnection> Take(const Address& target,
                                              Duration reuse_within,
                                              const CallBounds& bounds);

  // The connection is whole and between two requests.
  void GiveBack(const Address& target, PooledConnection connection);

  // A taken connection was closed.
  void Drop(const Address& target);

  // No connection is reused whose last byte came before `sent_at`: what made
  // one of them silent may have lost track of all of its age.
  void Distrust(const Address& target, TimePoint sent_at);

  void Forget(const Address& target);
  void Prune(Duration idle);
  [[nodiscard]] std::size_t Connections(const Address& target) const;

 private:
  struct TargetConnections {
    std::vector<PooledConnection> idle;
    // Idle and taken.
    std::size_t open = 0;
    TimePoint trusted_since;
  };

  // False when the target has no connection left to open.
  bool Reserve(const Address& target);
  std::optional<PooledConnection> TakeIdle(const Address& target,
                                           Duration reuse_within);
  bool Fresh(const PooledConnection& connection,
             TimePoint trusted_since,
             Duration reuse_within);
  bool Quiet(const PooledConnection& connection);

  std::size_t max_per_target;
  ClientCounters& counters;
  mutable std::mutex gate;
  std::map<Address, TargetConnections, AddressLess> targets;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_HTTP_CONNECTION_POOL_H_
