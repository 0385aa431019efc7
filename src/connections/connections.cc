#include "teaselspread/connections.h"

#include <algorithm>
#include <array>

namespace teaselspread {
namespace {

constexpr std::array<std::string_view, 6> kConnectionEndNames = {
    "whole", "timeout", "cancelled", "short-body", "silent", "error"};

// The cause of a silent connection, such as a restarted firewall, affects every
// connection of that time. Only a later byte shows that one still works.
bool IsFresh(const ConnectionPool& pool,
             const Connection& connection,
             TimePoint now) {
  if (connection.last_byte <= pool.stale_until)
    return false;
  return now - connection.last_byte <= pool.settings.max_idle_time;
}

std::vector<std::uint64_t> RemoveStale(ConnectionPool& pool, TimePoint now) {
  std::vector<std::uint64_t> dropped;
  for (const Connection& connection : pool.connections) {
    if (!connection.in_use && !IsFresh(pool, connection, now))
      dropped.push_back(connection.id);
  }
  std::erase_if(pool.connections, [&](const Connection& connection) {
    return !connection.in_use && !IsFresh(pool, connection, now);
  });
  return dropped;
}

Connection* Find(ConnectionPool& pool, std::uint64_t id) {
  const auto found = std::find_if(
      pool.connections.begin(), pool.connections.end(),
      [id](const Connection& connection) { return connection.id == id; });
  return found == pool.connections.end() ? nullptr : &*found;
}

}  // namespace

std::string_view NameOf(ConnectionEnd end) {
  return kConnectionEndNames.at(static_cast<std::size_t>(end));
}

AcquireResult Acquire(ConnectionPool& pool, TimePoint now) {
  AcquireResult acquired;
  acquired.close = RemoveStale(pool, now);
  Connection* latest = nullptr;
  for (Connection& connection : pool.connections) {
    if (connection.in_use)
      continue;
    if (latest == nullptr || connection.last_byte > latest->last_byte)
      latest = &connection;
  }
  if (latest != nullptr) {
    latest->in_use = true;
    // The silence is measured from this request, not from the last use.
    latest->last_byte = now;
    acquired.kind = AcquireKind::kReuse;
    acquired.id = latest->id;
    return acquired;
  }
  const auto open = static_cast<int>(pool.connections.size());
  if (open >= pool.settings.max_connections)
    return acquired;
  acquired.kind = AcquireKind::kOpen;
  acquired.id = pool.next_id++;
  pool.connections.push_back({acquired.id, now, now, true});
  return acquired;
}

void OnByte(ConnectionPool& pool, std::uint64_t id, TimePoint now) {
  if (Connection* connection = Find(pool, id))
    connection->last_byte = now;
}

std::vector<std::uint64_t> Release(ConnectionPool& pool,
                                   std::uint64_t id,
                                   ConnectionEnd end,
                                   TimePoint now) {
  Connection* connection = Find(pool, id);
  if (connection == nullptr)
    return {};
  if (end == ConnectionEnd::kComplete) {
    connection->in_use = false;
    connection->last_byte = now;
    return {};
  }
  const TimePoint silent_since = connection->last_byte;
  std::erase_if(pool.connections,
                [id](const Connection& other) { return other.id == id; });
  std::vector<std::uint64_t> close = {id};
  if (end == ConnectionEnd::kSilent) {
    pool.stale_until = std::max(pool.stale_until, silent_since);
    const std::vector<std::uint64_t> dropped = RemoveStale(pool, now);
    close.insert(close.end(), dropped.begin(), dropped.end());
  }
  return close;
}

std::vector<std::uint64_t> SilentConnections(const ConnectionPool& pool,
                                             TimePoint now) {
  std::vector<std::uint64_t> silent;
  for (const Connection& connection : pool.connections) {
    const bool quiet = now - connection.last_byte > pool.settings.silence;
    if (connection.in_use && quiet)
      silent.push_back(connection.id);
  }
  return silent;
}

}  // namespace teaselspread
