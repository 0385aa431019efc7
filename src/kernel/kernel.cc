#include "teaselspread/kernel.h"

#include <algorithm>
#include <array>

namespace teaselspread {
namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(KernelEvent::kCount)>
    kEventNames = {"delivered", "timer-fired", "unknown-service",
                   "unknown-message"};

}  // namespace

std::string_view NameOf(KernelEvent event) {
  return kEventNames.at(static_cast<std::size_t>(event));
}

void Kernel::Advance(TimePoint to) {
  this->now = std::max(this->now, to);
  this->FireDueTimers();
  while (!this->queue.empty()) {
    const Envelope envelope = std::move(this->queue.front());
    this->queue.pop_front();
    this->Deliver(envelope);
  }
}

std::optional<TimePoint> Kernel::NextWake() const {
  if (this->timers.empty())
    return std::nullopt;
  return this->timers.begin()->first;
}

void Kernel::FireDueTimers() {
  const auto due = this->timers.upper_bound(this->now);
  for (auto timer = this->timers.begin(); timer != due; ++timer) {
    this->counters.Add(KernelEvent::kTimerFired);
    this->queue.push_back(std::move(timer->second));
  }
  this->timers.erase(this->timers.begin(), due);
}

void Kernel::Deliver(const Envelope& envelope) {
  const auto service = this->services.find(envelope.service);
  if (service == this->services.end()) {
    this->counters.Add(KernelEvent::kUnknownService);
    return;
  }
  const auto handler = service->second.find(envelope.message.type());
  if (handler == service->second.end()) {
    this->counters.Add(KernelEvent::kUnknownMessage);
    return;
  }
  this->counters.Add(KernelEvent::kDelivered);
  handler->second(envelope.message);
}

}  // namespace teaselspread
