#include "http/connection_table.h"

#include <sys/socket.h>

#include <tuple>

#include "base/clock.h"

namespace teaselspread {

void ConnectionTable::Add(OpenConnection& connection, int fd) {
  const std::scoped_lock lock(this->gate);
  connection.fd = fd;
  connection.state.since = SteadyNow();
  this->connections.push_back(connection);
}

void ConnectionTable::Remove(OpenConnection& connection) {
  const std::scoped_lock lock(this->gate);
  this->connections.erase(this->connections.iterator_to(connection));
}

void ConnectionTable::OnWaiting(OpenConnection& connection, bool head_begun) {
  const std::scoped_lock lock(this->gate);
  connection.state.busy = false;
  connection.state.receives_head = head_begun;
  if (connection.state.used)
    connection.state.since = SteadyNow();
}

void ConnectionTable::OnRequest(OpenConnection& connection) {
  const std::scoped_lock lock(this->gate);
  connection.state.busy = true;
  connection.state.used = true;
}

bool ConnectionTable::EndDispensable() {
  const std::scoped_lock lock(this->gate);
  const TimePoint now = SteadyNow();
  const auto rank = [now](const OpenConnection& connection) {
    return std::tuple(DispensableAs(connection.state, now),
                      connection.state.since);
  };
  OpenConnection* chosen = nullptr;
  for (OpenConnection& each : this->connections) {
    if (!each.ended && (chosen == nullptr || rank(each) < rank(*chosen)))
      chosen = &each;
  }
  if (chosen == nullptr ||
      DispensableAs(chosen->state, now) == Dispensable::kNo)
    return false;
  chosen->ended = true;
  ::shutdown(chosen->fd, SHUT_RDWR);
  return true;
}

}  // namespace teaselspread
