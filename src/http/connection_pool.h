// The open connections to each target.
#ifndef TEASELSPREAD_SRC_HTTP_CONNECTION_POOL_H_
#define TEASELSPREAD_SRC_HTTP_CONNECTION_POOL_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
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
  // Who used it last.
  std::thread::id user;
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
  struct IdleConnections {
    std::vector<PooledConnection> idle;
    TimePoint trusted_since;
  };
  // The idle connections of the threads that share a shard. One list for all
  // threads doubled the time of a hop: the thread that holds its lock gets
  // paused, and every forwarding thread waits for it.
  struct Shard {
    std::mutex gate;
    std::map<Address, IdleConnections, AddressLess> targets;
  };
  static constexpr std::size_t kShards = 16;

  // Which idle connections a thread may take, in the order of preference.
  enum class Choice { kOwn, kRested, kAny };

  [[nodiscard]] static std::size_t OwnShard();
  [[nodiscard]] static bool Eligible(const PooledConnection& connection,
                                     Choice choice);
  // Precondition: reserved.
  Result<PooledConnection> Open(const Address& target,
                                const CallBounds& bounds);
  // False when the target has no connection left to open.
  bool Reserve(const Address& target);
  void Release(const Address& target, std::size_t count);
  std::optional<PooledConnection> TakeQuiet(const Address& target,
                                            Duration reuse_within,
                                            Choice choice);
  std::optional<PooledConnection> TakeIdle(Shard& shard,
                                           const Address& target,
                                           Duration reuse_within,
                                           Choice choice);
  bool Fresh(const PooledConnection& connection,
             TimePoint trusted_since,
             Duration reuse_within);
  bool Quiet(const PooledConnection& connection);

  std::size_t max_per_target;
  ClientCounters& counters;
  std::array<Shard, kShards> shards;
  mutable std::mutex gate;
  // Idle and taken, for each target.
  std::map<Address, std::size_t, AddressLess> open;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_HTTP_CONNECTION_POOL_H_
