// The open connections of a server, and which of them gives way to a new one.
#ifndef TEASELSPREAD_SRC_HTTP_CONNECTION_TABLE_H_
#define TEASELSPREAD_SRC_HTTP_CONNECTION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <mutex>

#include <boost/intrusive/list.hpp>

#include "http/caller_limits.h"

namespace teaselspread {

// Owned by the thread of its connection; guarded by the table.
struct OpenConnection : boost::intrusive::list_base_hook<> {
  int fd = -1;
  ConnectionState state;
  // Shut down in favour of another one.
  bool ended = false;
};

enum class EndResult : std::uint8_t {
  kEnded,
  // None can be spared yet, but some have not sent a whole request.
  kSoon,
  // All of them have requests.
  kNone,
};

// Thread safe.
class ConnectionTable {
 public:
  // Precondition: `fd` stays open, and `connection` in place, until Remove.
  void Add(OpenConnection& connection, int fd);
  void Remove(OpenConnection& connection);

  // It waits for its next request, or for the rest of a head of which some
  // bytes have been received.
  void OnWaiting(OpenConnection& connection, bool head_begun);
  // A head has been received on it, or `bytes` of the body after it.
  void OnHead(OpenConnection& connection);
  void OnBody(OpenConnection& connection, std::size_t bytes);
  // A whole request has been received on it.
  void OnRequest(OpenConnection& connection);

  // Shuts down the connection that can best be spared, which wakes its thread.
  [[nodiscard]] EndResult EndDispensable();

 private:
  std::mutex gate;
  boost::intrusive::list<OpenConnection> connections;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_HTTP_CONNECTION_TABLE_H_
