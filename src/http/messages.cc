#include "teaselspread/http.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <utility>

#include <absl/strings/match.h>

namespace teaselspread {
namespace {

constexpr std::array<std::string_view, 9> kHopHeaders = {
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
    "TE",         "Trailer",    "Upgrade",          "Content-Length",
    "Expect"};

bool Same(std::string_view left, std::string_view right) {
  return absl::EqualsIgnoreCase(absl::string_view(left.data(), left.size()),
                                absl::string_view(right.data(), right.size()));
}

}  // namespace

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (Same(header.name, name))
      return header.value;
  }
  return {};
}

void SetHeader(HttpHeaders& headers,
               std::string_view name,
               std::string_view value) {
  RemoveHeader(headers, name);
  headers.push_back({std::string(name), std::string(value)});
}

void RemoveHeader(HttpHeaders& headers, std::string_view name) {
  std::erase_if(headers, [name](const HttpHeader& header) {
    return Same(header.name, name);
  });
}

void RemoveHopHeaders(HttpHeaders& headers) {
  std::erase_if(headers, [](const HttpHeader& header) {
    return std::any_of(
        kHopHeaders.begin(), kHopHeaders.end(),
        [&](std::string_view name) { return Same(header.name, name); });
  });
}

std::string_view PathOf(const HttpRequest& request) {
  const std::string_view target = request.target;
  return target.substr(0, target.find('?'));
}

std::string_view QueryOf(const HttpRequest& request, std::string_view key) {
  const std::string_view target = request.target;
  std::size_t begin = target.find('?');
  while (begin != std::string_view::npos) {
    const std::size_t end = target.find('&', ++begin);
    const std::string_view pair = target.substr(begin, end - begin);
    if (const std::size_t equals = pair.find('=');
        pair.substr(0, equals) == key)
      return equals == std::string_view::npos ? "" : pair.substr(equals + 1);
    begin = end;
  }
  return {};
}

HttpResponse ErrorResponse(const Error& error,
                           std::chrono::seconds retry_after) {
  const ErrorTraits& answer = TraitsOf(error.kind);
  HttpResponse response;
  response.status = answer.http_status;
  response.headers = {
      {"Content-Type", "text/plain"},
      {std::string(kHeaderExecution), std::string(NameOf(answer.execution))},
      {std::string(kHeaderReason), std::string(answer.name)}};
  if (answer.retry_after) {
    SetHeader(response.headers, kHeaderRetryAfter,
              std::to_string(retry_after.count()));
  }
  response.body = std::string(answer.name) + ": " + error.message + "\n";
  return response;
}

bool PeerGone(int fd) {
  if (fd < 0)
    return false;
  pollfd entry{fd, POLLRDHUP, 0};
  return ::poll(&entry, 1, 0) > 0;
}

}  // namespace teaselspread
