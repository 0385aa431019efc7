#include "http/connection_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <iterator>
#include <utility>

namespace teaselspread {
namespace {

// An idle connection whose owner has not come back for this long is free to
// all.
constexpr auto kRest = std::chrono::milliseconds(10);

enum class IdleState { kQuiet, kClosed, kUnsolicited };

// Looks at a connection that should have nothing to say.
IdleState StateOf(const PollStream& stream) {
  char byte = 0;
  const ssize_t count = ::recv(stream.Fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0)
    return IdleState::kUnsolicited;
  const bool quiet = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return quiet ? IdleState::kQuiet : IdleState::kClosed;
}

}  // namespace

std::size_t ConnectionPool::OwnShard() {
  static std::atomic<std::size_t> threads{0};
  thread_local const std::size_t mine = threads++ % kShards;
  return mine;
}

// A thread that keeps its connection wakes the same peer thread each time, and
// the two stay near each other: that halves the time of a hop. So a busy thread
// rather opens a connection than takes that of another busy one; a rested one
// is taken, since opening costs more than the hop.
Result<PooledConnection> ConnectionPool::Take(const Address& target,
                                              Duration reuse_within,
                                              const CallBounds& bounds) {
  for (const Choice choice : {Choice::kOwn, Choice::kRested}) {
    if (auto idle = this->TakeQuiet(target, reuse_within, choice))
      return std::move(*idle);
  }
  if (this->Reserve(target))
    return this->Open(target, bounds);
  if (auto idle = this->TakeQuiet(target, reuse_within, Choice::kAny))
    return std::move(*idle);
  // What was found unusable just now has made room.
  if (this->Reserve(target))
    return this->Open(target, bounds);
  this->counters.Add(ClientEvent::kConnectionLimit);
  return Fail(ErrorKind::kConnectionLimit,
              "every connection to the target is in use");
}

Result<PooledConnection> ConnectionPool::Open(const Address& target,
                                              const CallBounds& bounds) {
  Result<PollStream> stream = Connect(target, bounds);
  if (!stream) {
    this->Drop(target);
    const bool cancelled = stream.error().kind == ErrorKind::kCancelled;
    this->counters.Add(cancelled ? ClientEvent::kCancelled
                                 : ClientEvent::kConnectFailed);
    return tl::make_unexpected(stream.error());
  }
  this->counters.Add(ClientEvent::kOpened);
  return PooledConnection{std::move(*stream), std::chrono::steady_clock::now(),
                          std::this_thread::get_id()};
}

bool ConnectionPool::Reserve(const Address& target) {
  const std::scoped_lock lock(this->gate);
  std::size_t& count = this->open[target];
  if (count >= this->max_per_target)
    return false;
  ++count;
  return true;
}

void ConnectionPool::Release(const Address& target, std::size_t count) {
  const std::scoped_lock lock(this->gate);
  const auto found = this->open.find(target);
  found->second -= count;
  if (found->second == 0)
    this->open.erase(found);
}

// The own shard first, then those of other threads.
std::optional<PooledConnection> ConnectionPool::TakeQuiet(const Address& target,
                                                          Duration reuse_within,
                                                          Choice choice) {
  const std::size_t own = OwnShard();
  const std::size_t count = choice == Choice::kOwn ? 1 : kShards;
  for (std::size_t i = 0; i < count; ++i) {
    Shard& shard = this->shards.at((own + i) % kShards);
    while (auto idle = this->TakeIdle(shard, target, reuse_within, choice)) {
      if (this->Quiet(*idle)) {
        this->counters.Add(ClientEvent::kReused);
        return idle;
      }
      this->Drop(target);
    }
  }
  return std::nullopt;
}

bool ConnectionPool::Eligible(const PooledConnection& connection,
                              Choice choice) {
  switch (choice) {
    case Choice::kOwn:
      return connection.user == std::this_thread::get_id();
    case Choice::kRested:
      return std::chrono::steady_clock::now() - connection.last_byte > kRest;
    case Choice::kAny:
      break;
  }
  return true;
}

std::optional<PooledConnection> ConnectionPool::TakeIdle(Shard& shard,
                                                         const Address& target,
                                                         Duration reuse_within,
                                                         Choice choice) {
  const std::scoped_lock lock(shard.gate);
  const auto found = shard.targets.find(target);
  if (found == shard.targets.end())
    return std::nullopt;
  IdleConnections& connections = found->second;
  auto& idle = connections.idle;
  while (true) {
    const auto chosen =
        std::find_if(idle.rbegin(), idle.rend(),
                     [choice](const PooledConnection& candidate) {
                       return Eligible(candidate, choice);
                     });
    if (chosen == idle.rend())
      return std::nullopt;
    PooledConnection connection = std::move(*chosen);
    idle.erase(std::next(chosen).base());
    if (this->Fresh(connection, connections.trusted_since, reuse_within))
      return connection;
    this->Drop(target);
  }
}

bool ConnectionPool::Fresh(const PooledConnection& connection,
                           TimePoint trusted_since,
                           Duration reuse_within) {
  const auto now = std::chrono::steady_clock::now();
  const bool trusted = connection.last_byte >= trusted_since;
  const bool recent = now - connection.last_byte <= reuse_within;
  if (!trusted)
    this->counters.Add(ClientEvent::kDistrusted);
  else if (!recent)
    this->counters.Add(ClientEvent::kExpired);
  return trusted && recent;
}

// A closed connection takes the bytes of a request and loses them, and a late
// answer would be taken for that of the next request. Neither shows unless it
// is looked for before the connection is used. Not under the lock: it asks the
// kernel.
bool ConnectionPool::Quiet(const PooledConnection& connection) {
  const IdleState state = StateOf(connection.stream);
  if (state == IdleState::kClosed)
    this->counters.Add(ClientEvent::kClosedByPeer);
  if (state == IdleState::kUnsolicited)
    this->counters.Add(ClientEvent::kUnsolicitedBytes);
  return state == IdleState::kQuiet;
}

void ConnectionPool::GiveBack(const Address& target,
                              PooledConnection connection) {
  connection.last_byte = std::chrono::steady_clock::now();
  connection.user = std::this_thread::get_id();
  Shard& shard = this->shards.at(OwnShard());
  const std::scoped_lock lock(shard.gate);
  shard.targets[target].idle.push_back(std::move(connection));
}

void ConnectionPool::Drop(const Address& target) {
  this->Release(target, 1);
}

void ConnectionPool::Distrust(const Address& target, TimePoint sent_at) {
  for (Shard& shard : this->shards) {
    const std::scoped_lock lock(shard.gate);
    TimePoint& since = shard.targets[target].trusted_since;
    since = std::max(since, sent_at);
  }
}

void ConnectionPool::Forget(const Address& target) {
  for (Shard& shard : this->shards) {
    const std::scoped_lock lock(shard.gate);
    const auto found = shard.targets.find(target);
    if (found == shard.targets.end())
      continue;
    const std::size_t count = found->second.idle.size();
    found->second.idle.clear();
    if (count > 0)
      this->Release(target, count);
  }
}

void ConnectionPool::Prune(Duration idle) {
  const auto oldest = std::chrono::steady_clock::now() - idle;
  for (Shard& shard : this->shards) {
    const std::scoped_lock lock(shard.gate);
    for (auto& [target, connections] : shard.targets) {
      const std::size_t count = std::erase_if(
          connections.idle, [oldest](const PooledConnection& connection) {
            return connection.last_byte < oldest;
          });
      if (count > 0)
        this->Release(target, count);
    }
    // Targets come and go all the time; their entries must not pile up. What
    // is still taken is older than the distrust that goes with the entry only
    // if its call lasts longer than `idle`.
    std::erase_if(shard.targets, [oldest](const auto& entry) {
      return entry.second.idle.empty() && entry.second.trusted_since < oldest;
    });
  }
}

std::size_t ConnectionPool::Connections(const Address& target) const {
  const std::scoped_lock lock(this->gate);
  const auto found = this->open.find(target);
  return found == this->open.end() ? 0 : found->second;
}

}  // namespace teaselspread
