#include "http/connection_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace teaselspread {
namespace {

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

Result<PooledConnection> ConnectionPool::Take(const Address& target,
                                              Duration reuse_within,
                                              const CallBounds& bounds) {
  while (auto idle = this->TakeIdle(target, reuse_within)) {
    if (this->Quiet(*idle)) {
      this->counters.Add(ClientEvent::kReused);
      return std::move(*idle);
    }
    this->Drop(target);
  }
  if (!this->Reserve(target)) {
    this->counters.Add(ClientEvent::kConnectionLimit);
    return Fail(ErrorKind::kConnectionLimit,
                "every connection to the target is in use");
  }
  Result<PollStream> stream = Connect(target, bounds);
  if (!stream) {
    this->Drop(target);
    const bool cancelled = stream.error().kind == ErrorKind::kCancelled;
    this->counters.Add(cancelled ? ClientEvent::kCancelled
                                 : ClientEvent::kConnectFailed);
    return tl::make_unexpected(stream.error());
  }
  this->counters.Add(ClientEvent::kOpened);
  return PooledConnection{std::move(*stream), std::chrono::steady_clock::now()};
}

bool ConnectionPool::Reserve(const Address& target) {
  const std::scoped_lock lock(this->gate);
  std::size_t& open = this->targets[target].open;
  if (open >= this->max_per_target)
    return false;
  ++open;
  return true;
}

std::optional<PooledConnection> ConnectionPool::TakeIdle(
    const Address& target,
    Duration reuse_within) {
  const std::scoped_lock lock(this->gate);
  TargetConnections& connections = this->targets[target];
  while (!connections.idle.empty()) {
    PooledConnection connection = std::move(connections.idle.back());
    connections.idle.pop_back();
    if (this->Fresh(connection, connections.trusted_since, reuse_within))
      return connection;
    --connections.open;
  }
  return std::nullopt;
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
  const std::scoped_lock lock(this->gate);
  this->targets[target].idle.push_back(std::move(connection));
}

void ConnectionPool::Drop(const Address& target) {
  const std::scoped_lock lock(this->gate);
  --this->targets[target].open;
}

void ConnectionPool::Distrust(const Address& target, TimePoint sent_at) {
  const std::scoped_lock lock(this->gate);
  TargetConnections& connections = this->targets[target];
  connections.trusted_since = std::max(connections.trusted_since, sent_at);
}

void ConnectionPool::Forget(const Address& target) {
  const std::scoped_lock lock(this->gate);
  TargetConnections& connections = this->targets[target];
  connections.open -= connections.idle.size();
  connections.idle.clear();
}

void ConnectionPool::Prune(Duration idle) {
  const auto oldest = std::chrono::steady_clock::now() - idle;
  const std::scoped_lock lock(this->gate);
  for (auto& [target, connections] : this->targets) {
    connections.open -= std::erase_if(
        connections.idle, [oldest](const PooledConnection& connection) {
          return connection.last_byte < oldest;
        });
  }
  std::erase_if(this->targets,
                [](const auto& entry) { return entry.second.open == 0; });
}

std::size_t ConnectionPool::Connections(const Address& target) const {
  const std::scoped_lock lock(this->gate);
  const auto found = this->targets.find(target);
  return found == this->targets.end() ? 0 : found->second.open;
}

}  // namespace teaselspread
