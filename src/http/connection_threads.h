// The threads that serve connections, some of them kept ready.
#ifndef TEASELSPREAD_SRC_HTTP_CONNECTION_THREADS_H_
#define TEASELSPREAD_SRC_HTTP_CONNECTION_THREADS_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace teaselspread {

// A new thread waits a whole time slice for its first turn on a busy machine,
// which callers notice as 4 ms for each hop on new connections; a thread that
// waits already runs at once. Thread safe.
class ConnectionThreads {
 public:
  // `serve` is called with a socket and owns it. `spares` threads wait ready.
  ConnectionThreads(std::size_t spares, std::function<void(int)> serve);
  // As Finish.
  ~ConnectionThreads();
  ConnectionThreads(const ConnectionThreads&) = delete;
  ConnectionThreads& operator=(const ConnectionThreads&) = delete;

  // Serves `socket` on a thread of its own; false, with the socket left to the
  // caller, when the system gives no more threads.
  [[nodiscard]] bool Serve(int socket);

  // Waits until every connection has ended by itself, then ends the threads.
  // Precondition: Serve is not called any more.
  void Finish();

  // Connections that are being served or wait for their thread.
  [[nodiscard]] std::size_t Busy() const;

  // Waits until there are fewer connections than `count`. False if `timeout`
  // passes before. Thread safe.
  [[nodiscard]] bool WaitUntilBelow(std::size_t count,
                                    std::chrono::milliseconds timeout);

 private:
  [[nodiscard]] std::size_t CountBusy() const {
    return this->threads - this->idle + this->waiting.size();
  }
  // Precondition: the lock is held.
  bool AddThread();
  void Work();

  std::size_t spare;
  std::function<void(int)> serve_socket;
  mutable std::mutex gate;
  std::condition_variable given;
  std::condition_variable changed;
  std::deque<int> waiting;
  std::size_t threads = 0;
  std::size_t idle = 0;
  bool finishing = false;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_HTTP_CONNECTION_THREADS_H_
