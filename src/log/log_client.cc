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
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, failure] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (failure != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

std::string StatusText(const HttpResponse& response) {
  return "the log answered " + std::to_string(response.status);
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
  const Result<HttpResponse> response = this->pool.Send(
      this->options.log, request, this->OptionsFor(Duration(0)));
  if (!response) {
    const bool never_sent =
        TraitsOf(response.error().kind).execution == Execution::kNotRun;
    return Fail(
        never_sent ? ErrorKind::kLogUnavailable : ErrorKind::kAppendUnknown,
        response.error().message);
  }
  if (response->status == kTooManyRequests ||
      response->status == kServiceUnavailable)
    return Fail(ErrorKind::kLogUnavailable, StatusText(*response));
  if (response->status != kOk)
    return Fail(ErrorKind::kAppendUnknown, StatusText(*response));
  if (const auto offset =
          ParseNumber(FindHeader(response->headers, "X-Offset")))
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
  const Result<HttpResponse> response =
      this->pool.Send(this->options.log, this->NewRequest("GET", target),
                      this->OptionsFor(wait));
  if (!response)
    return FailRead(ErrorKind::kLogUnavailable, response.error().message);
  if (response->status != kOk && response->status != kGone)
    return FailRead(ErrorKind::kLogUnavailable, StatusText(*response));
  const auto first =
      ParseNumber(FindHeader(response->headers, "X-First-Offset"));
  const auto next = ParseNumber(FindHeader(response->headers, "X-Next-Offset"));
  if (!first || !next)
    return FailRead(ErrorKind::kFrameMalformed, "an answer without offsets");
  if (response->status == kGone)
    return FailRead(ErrorKind::kLogExpired, "the offset is no longer kept",
                    *first);
  Result<std::vector<StoredRecord>> records =
      DecodeRecords(response->body, from);
  if (!records)
    return FailRead(ErrorKind::kFrameMalformed, records.error().message);
  return ReadBatch{std::move(*records), *first, *next};
}

}  // namespace teaselspread
