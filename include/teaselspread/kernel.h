// In-process message dispatcher: services registered by name, typed messages
// between them, a timer queue, and counters of undeliverable messages.
#ifndef TEASELSPREAD_KERNEL_H_
#define TEASELSPREAD_KERNEL_H_

#include <any>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <typeindex>
#include <utility>

#include "teaselspread/counters.h"
#include "teaselspread/types.h"

namespace teaselspread {

enum class KernelEvent : std::uint8_t {
  kDelivered,
  kTimerFired,
  // A message to a service name that is not registered: a wiring error.
  kUnknownService,
  // A message of a type for which the service has no handler.
  kUnknownMessage,
  kCount,
};

// Stable name of a kernel counter. Thread safe.
[[nodiscard]] std::string_view NameOf(KernelEvent event);

// Not thread safe: only the thread that calls Advance() may use it, except for
// Counters(). Other threads submit work through that thread's event loop.
class Kernel {
 public:
  // Registers `handler` for messages of type M to `service`. A second
  // registration of the same pair replaces the first.
  template <class M>
  void Register(std::string_view service,
                std::function<void(const M&)> handler) {
    auto erased = [handler = std::move(handler)](const std::any& message) {
      handler(std::any_cast<const M&>(message));
    };
    this->services[std::string(service)].insert_or_assign(
        std::type_index(typeid(M)), std::move(erased));
  }

  // Queues `message`; the next Advance() delivers queued messages in order.
  template <class M>
  void Post(std::string_view service, M message) {
    this->queue.push_back(
        Envelope{std::string(service), std::any(std::move(message))});
  }

  // Queues `message` for delivery at `when`. Timers with the same
  // due time fire in the order in which they were set.
  template <class M>
  void PostAt(TimePoint when, std::string_view service, M message) {
    this->timers.emplace(
        when, Envelope{std::string(service), std::any(std::move(message))});
  }

  // Sets the time, fires due timers and delivers until the queue is empty.
  // Time is monotonic: an earlier `to` still delivers, but keeps the time.
  void Advance(TimePoint to);

  // The latest time passed to Advance().
  [[nodiscard]] TimePoint Now() const { return this->now; }

  // Due time of the next timer; none when no timer is set.
  [[nodiscard]] std::optional<TimePoint> NextWake() const;

  // Thread safe.
  [[nodiscard]] const CounterTable<KernelEvent>& Counters() const {
    return this->counters;
  }

 private:
  using Handler = std::function<void(const std::any&)>;
  struct Envelope {
    std::string service;
    std::any message;
  };

  void FireDueTimers();
  void Deliver(const Envelope& envelope);

  TimePoint now;
  std::map<std::string, std::map<std::type_index, Handler>, std::less<>>
      services;
  std::deque<Envelope> queue;
  std::multimap<TimePoint, Envelope> timers;
  CounterTable<KernelEvent> counters;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_KERNEL_H_
