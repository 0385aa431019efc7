// What a connection of a caller holds: the request that is being received and
// the responses that are not written yet.
#include <algorithm>
#include <iterator>

#include <boost/asio/socket_base.hpp>

#include "edge/http_session.h"

namespace teaselspread {
namespace {

constexpr int kBodyReceiveBuffer = 128 * 1024;

}  // namespace

void HttpSession::FreeUnusedBuffer() {
  // A read in progress writes into the buffer.
  if (this->reading || this->buffer.size() > 0 ||
      this->buffer.capacity() <= kHeadReadBytes)
    return;
  this->buffer.clear();
  this->buffer.shrink_to_fit();
}

std::size_t HttpSession::RequestMemory() const {
  const std::size_t buffered =
      this->buffer.capacity() > kHeadReadBytes ? this->buffer.capacity() : 0;
  if (!this->in_request || !this->parser->is_header_done())
    return buffered;
  return buffered + this->head_memory + this->BodyBytes();
}

bool HttpSession::HoldRequest() {
  if (this->head_memory == 0 && this->parser->is_header_done()) {
    const auto& fields = this->parser->get().base();
    const auto count =
        static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
    this->head_memory = HeadMemory(count, this->receiving.bytes);
  }
  this->growing = true;
  const bool held = this->request_memory.GrowTo(this->RequestMemory());
  this->growing = false;
  return held;
}

void HttpSession::ReserveForChunks() {
  if (!this->parser->is_header_done() || !this->parser->chunked())
    return;
  std::string& body = this->parser->get().body();
  const std::size_t longest = this->listener->limits.max_body_bytes;
  if (body.size() >= kReserveChunksFrom && body.capacity() < longest)
    body.reserve(longest);
}

void HttpSession::RaiseReceiveBuffer() {
  if (this->receive_buffer_raised ||
      this->request_memory.Bytes() < kBodyReadBytes)
    return;
  this->receive_buffer_raised = true;
  boost::system::error_code ignored;  // affects throughput only
  this->socket.set_option(
      boost::asio::socket_base::receive_buffer_size(kBodyReceiveBuffer),
      ignored);
}

bool HttpSession::ReceivesSlowly(TimePoint now) const {
  return this->in_request && !this->growing && !this->closed &&
         this->intake != Intake::kClosed && IsSlow(this->receiving, now);
}

bool HttpSession::IsReadSlowly(TimePoint now) const {
  return this->writing && !this->growing && !this->closed &&
         IsSlow(this->sending, now);
}

std::size_t HttpSession::SlowBytes(TimePoint now) const {
  std::size_t bytes = 0;
  if (this->ReceivesSlowly(now))
    bytes += this->request_memory.Bytes();
  if (this->IsReadSlowly(now))
    bytes += this->unsent_memory.Bytes();
  return bytes;
}

void HttpSession::EndSlow(TimePoint now) {
  if (!this->IsReadSlowly(now)) {
    this->RefuseForMemory();
    return;
  }
  this->listener->counters.Add(ListenerEvent::kNoMemory);
  this->OnCallerDisconnected();
}

// What is written exists already; others make room for it if they can.
void HttpSession::CountUnsent() {
  this->growing = true;
  const std::size_t unsent = this->UnsentBytes();
  if (!this->unsent_memory.GrowTo(unsent))
    this->unsent_memory.GrowAnywayTo(unsent);
  this->unsent_memory.ShrinkTo(unsent);
  this->growing = false;
}

bool HttpSession::HoldResponse(Exchange& exchange, std::size_t bytes) {
  const std::size_t total = exchange.head_memory.Bytes() + bytes;
  this->growing = true;
  const bool held = exchange.head_memory.GrowTo(total);
  this->growing = false;
  if (held)
    return true;
  if (bytes <= kSmallHolder) {
    exchange.head_memory.GrowAnywayTo(total);
    return true;
  }
  this->listener->counters.Add(ListenerEvent::kNoMemory);
  this->OnCallerDisconnected();
  return false;
}

}  // namespace teaselspread
