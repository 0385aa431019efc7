// Watches the memory of processes that a test has started, and ends one that
// passes the memory of its machine. Tests only.
#ifndef TEASELSPREAD_TESTS_PROCESS_MEMORY_WATCH_H_
#define TEASELSPREAD_TESTS_PROCESS_MEMORY_WATCH_H_

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "process/process_usage.h"

namespace teaselspread {

// Bytes that the kernel has received for each local port and that have not been
// read. Thread safe.
inline std::map<std::uint16_t, std::size_t> UnreadBytesByPort() {
  std::map<std::uint16_t, std::size_t> unread;
  std::ifstream file("/proc/net/tcp");
  std::string line;
  std::getline(file, line);
  while (std::getline(file, line)) {
    unsigned port = 0;
    std::size_t queued = 0;
    if (std::sscanf(line.c_str(), " %*d: %*8x:%4x %*8x:%*4x %*2x %*8x:%8zx",
                    &port, &queued) == 2)
      unread[static_cast<std::uint16_t>(port)] += queued;
  }
  return unread;
}

struct WatchedProcess {
  pid_t pid = 0;
  // Bytes that wait in the kernel for these ports count as its memory.
  std::set<std::uint16_t> ports{};
  std::size_t peak_bytes = 0;
  // Of `peak_bytes`, what waited in the kernel.
  std::size_t unread_bytes = 0;
  bool ended_for_memory = false;
};

// Thread safe.
class MemoryWatch {
 public:
  MemoryWatch(std::vector<WatchedProcess> processes, std::size_t limit_bytes)
      : watched(std::move(processes)), limit(limit_bytes) {
    this->thread = std::thread([this] { this->Watch(); });
  }
  ~MemoryWatch() { (void)this->Stop(); }
  MemoryWatch(const MemoryWatch&) = delete;
  MemoryWatch& operator=(const MemoryWatch&) = delete;

  // Ends the watch, and returns what was seen.
  const std::vector<WatchedProcess>& Stop() {
    this->stopping = true;
    if (this->thread.joinable())
      this->thread.join();
    return this->watched;
  }

 private:
  void Watch() {
    constexpr auto kInterval = std::chrono::milliseconds(10);
    // Reading the kernel's table of connections takes long if there are many.
    constexpr int kRoundsBetweenTables = 20;
    std::map<std::uint16_t, std::size_t> unread;
    for (int round = 0; !this->stopping; ++round) {
      if (round % kRoundsBetweenTables == 0)
        unread = UnreadBytesByPort();
      for (WatchedProcess& process : this->watched)
        this->Check(process, unread);
      std::this_thread::sleep_for(kInterval);
    }
  }

  void Check(WatchedProcess& process,
             const std::map<std::uint16_t, std::size_t>& unread) const {
    std::size_t waiting = 0;
    for (const auto& [port, queued] : unread)
      waiting += process.ports.contains(port) ? queued : 0;
    const std::size_t bytes = ResidentBytes(process.pid) + waiting;
    if (bytes > process.peak_bytes) {
      process.peak_bytes = bytes;
      process.unread_bytes = waiting;
    }
    if (bytes <= this->limit || process.ended_for_memory)
      return;
    process.ended_for_memory = true;
    ::kill(process.pid, SIGKILL);
  }

  std::vector<WatchedProcess> watched;
  std::size_t limit;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_TESTS_PROCESS_MEMORY_WATCH_H_
