// Accepts connections and gives each one a thread.
#ifndef TEASELSPREAD_SRC_HTTP_LISTENER_H_
#define TEASELSPREAD_SRC_HTTP_LISTENER_H_

#include <cstddef>
#include <mutex>
#include <optional>
#include <thread>

#include "http/connection_threads.h"
#include "http/server_connection.h"
#include "teaselspread/error.h"
#include "teaselspread/types.h"

namespace teaselspread {

// Thread safe after Open.
class Listener {
 public:
  // Precondition: `shared` outlives the listener.
  explicit Listener(ServerSettings& shared) : settings(shared) {}
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Errors: kSettings. Call once.
  [[nodiscard]] Result<void> Open();

  // Takes the connections that wait in the kernel, closes the port and waits
  // for every connection to end by itself.
  void Stop();

  [[nodiscard]] Address LocalAddress() const { return this->local; }
  [[nodiscard]] std::size_t Connections() const;

 private:
  void AcceptUntilStopped();
  void AcceptOne();
  void Start(int socket);
  [[nodiscard]] bool MakeRoom();
  void Refuse(int socket);

  ServerSettings& settings;
  Address local;
  int listening = -1;
  // Readable for good once stopping: it wakes every wait for a next request.
  int stop_fd = -1;
  std::thread accepting;
  std::mutex stopping;
  std::optional<ConnectionThreads> threads;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_HTTP_LISTENER_H_
