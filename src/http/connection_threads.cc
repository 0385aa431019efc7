#include "http/connection_threads.h"

#include <system_error>
#include <thread>
#include <utility>

namespace teaselspread {

ConnectionThreads::ConnectionThreads(std::size_t spares,
                                     std::function<void(int)> serve)
    : spare(spares), serve_socket(std::move(serve)) {
  const std::scoped_lock lock(this->gate);
  while (this->threads < this->spare && this->AddThread()) {
  }
}

ConnectionThreads::~ConnectionThreads() {
  this->Finish();
}

bool ConnectionThreads::Serve(int socket) {
  const std::scoped_lock lock(this->gate);
  const bool thread_free = this->idle > this->waiting.size();
  if (!thread_free && !this->AddThread())
    return false;
  this->waiting.push_back(socket);
  this->given.notify_one();
  return true;
}

void ConnectionThreads::Finish() {
  std::unique_lock lock(this->gate);
  this->finishing = true;
  this->given.notify_all();
  this->changed.wait(lock, [this] { return this->threads == 0; });
}

std::size_t ConnectionThreads::Busy() const {
  const std::scoped_lock lock(this->gate);
  return this->CountBusy();
}

bool ConnectionThreads::WaitUntilBelow(std::size_t count,
                                       std::chrono::milliseconds timeout) {
  std::unique_lock lock(this->gate);
  return this->changed.wait_for(lock, timeout,
                                [&] { return this->CountBusy() < count; });
}

// A new thread counts as idle until it takes its first socket.
bool ConnectionThreads::AddThread() {
  try {
    std::thread([this] { this->Work(); }).detach();
  } catch (const std::system_error&) {
    return false;
  }
  ++this->threads;
  ++this->idle;
  return true;
}

void ConnectionThreads::Work() {
  std::unique_lock lock(this->gate);
  while (true) {
    this->given.wait(
        lock, [this] { return this->finishing || !this->waiting.empty(); });
    if (this->waiting.empty())
      break;
    const int socket = this->waiting.front();
    this->waiting.pop_front();
    --this->idle;
    lock.unlock();
    this->serve_socket(socket);
    lock.lock();
    ++this->idle;
    this->changed.notify_all();
    if (this->idle > this->spare + this->waiting.size())
      break;
  }
  --this->idle;
  --this->threads;
  this->changed.notify_all();
}

}  // namespace teaselspread
