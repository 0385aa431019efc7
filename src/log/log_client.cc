#include "teaselspread/log_client.h"

#include <charconv>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

#include "log/log_frame.h"

namespace teaselspread {
namespace {

constexpr std::size_t kMaxConnections = 16;
constexpr int kOk = 200;
constexpr int kExpired = 410;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

std::optional<std::uint64_t> NumberOf(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, failure] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (failure != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

std::string StatusText(const HttpResponse& answer) {
  return "the log answered " + std::to_string(answer.status);
}

tl::unexpected<LogReadError> FailRead(ErrorKind kind,
                                      std::string message,
                                      std::uint64_t first_kept = 0) {
  return tl::make_unexpected(
      LogReadError{{kind, std::move(message)}, first_kept});
}

}  // namespace

LogClient::LogClient(LogClientOptions settings)
    : options(std::move(settings)), pool(kMaxConnections) {}

HttpRequest LogClient::NewRequest(std::string method,
                                  std::string target) const {
  HttpRequest request;
  request.method = std::move(method);
  request.target = std::move(target);
  request.headers = {{"X-VM", this->options.vm},
                     {"X-Data-Center", this->options.data_center}};
  return request;
}

CallOptions LogClient::OptionsFor(Duration wait) const {
  CallOptions call;
  call.connect_timeout = this->options.connect_timeout;
  call.timeout = wait + this->options.timeout;
  call.silence = call.timeout;
  call.max_body_bytes = this->options.max_batch_bytes;
  return call;
}

Result<std::uint64_t> LogClient::Append(const std::string& stream,
                                        const std::string& bytes) {
  HttpRequest request = this->NewRequest("POST", "/streams/" + stream);
  request.body = bytes;
  const Result<HttpResponse> answer = this->pool.Send(
      this->options.log, request, this->OptionsFor(Duration(0)));
  if (!answer) {
    const bool never_sent =
        AnswerOf(answer.error().kind).execution == Execution::kNotRun;
    return Fail(
        never_sent ? ErrorKind::kLogUnavailable : ErrorKind::kAppendUnknown,
        answer.error().message);
  }
  if (answer->status == kTooManyRequests || answer->status == kUnavailable)
    return Fail(ErrorKind::kLogUnavailable, StatusText(*answer));
  if (answer->status != kOk)
    return Fail(ErrorKind::kAppendUnknown, StatusText(*answer));
  if (const auto offset = NumberOf(FindHeader(answer->headers, "X-Offset")))
    return *offset;
  return Fail(ErrorKind::kAppendUnknown, "the log's answer has no offset");
}

ReadResult LogClient::Read(const std::string& stream,
                           std::uint64_t from,
                           std::size_t max,
                           Duration wait) {
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  const std::string target =
      "/streams/" + stream + "?from=" + std::to_string(from) +
      "&max=" + std::to_string(max) + "&wait_ms=" + std::to_string(wait_ms);
  const Result<HttpResponse> answer =
      this->pool.Send(this->options.log, this->NewRequest("GET", target),
                      this->OptionsFor(wait));
  if (!answer)
    return FailRead(ErrorKind::kLogUnavailable, answer.error().message);
  if (answer->status != kOk && answer->status != kExpired)
    return FailRead(ErrorKind::kLogUnavailable, StatusText(*answer));
  const auto first = NumberOf(FindHeader(answer->headers, "X-First-Offset"));
  const auto next = NumberOf(FindHeader(answer->headers, "X-Next-Offset"));
  if (!first || !next)
    return FailRead(ErrorKind::kFrameMalformed, "an answer without offsets");
  if (answer->status == kExpired)
    return FailRead(ErrorKind::kLogExpired, "the offset is no longer kept",
                    *first);
  Result<std::vector<StoredRecord>> records = DecodeRecords(answer->body, from);
  if (!records)
    return FailRead(ErrorKind::kFrameMalformed, records.error().message);
  return ReadBatch{std::move(*records), *first, *next};
}

}  // namespace teaselspread
