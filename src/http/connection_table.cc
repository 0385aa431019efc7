#include "http/connection_table.h"

#include <sys/socket.h>

#include <utility>

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
  connection.state.receives_body = false;
  connection.state.receives_head = head_begun;
  if (connection.state.used)
    connection.state.since = SteadyNow();
}

void ConnectionTable::OnHead(OpenConnection& connection) {
  const std::scoped_lock lock(this->gate);
  const TimePoint now = SteadyNow();
  connection.state.used = true;
  connection.state.receives_body = true;
  connection.state.since = now;
  connection.state.body = {now, now, 0};
}

void ConnectionTable::OnBody(OpenConnection& connection, std::size_t bytes) {
  const std::scoped_lock lock(this->gate);
  OnMoved(connection.state.body, bytes, SteadyNow());
}

void ConnectionTable::OnRequest(OpenConnection& connection) {
  const std::scoped_lock lock(this->gate);
  connection.state.busy = true;
  connection.state.receives_body = false;
}

EndResult ConnectionTable::EndDispensable() {
  const std::scoped_lock lock(this->gate);
  const TimePoint now = SteadyNow();
  OpenConnection* chosen = nullptr;
  std::pair best_rank{Dispensable::kNo, TimePoint::min()};
  EndResult otherwise = EndResult::kNone;
  for (OpenConnection& each : this->connections) {
    if (!each.state.busy)
      otherwise = EndResult::kSoon;
    const std::pair rank{DispensableAs(each.state, now), each.state.since};
    if (each.ended || rank >= best_rank)
      continue;
    chosen = &each;
    best_rank = rank;
  }
  if (chosen == nullptr)
    return otherwise;
  chosen->ended = true;
  ::shutdown(chosen->fd, SHUT_RDWR);
  return EndResult::kEnded;
}

}  // namespace teaselspread
