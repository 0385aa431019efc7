#include "edge/http_text.h"

#include <boost/beast/http/status.hpp>

namespace teaselspread {
namespace {

// Space for a status line, the framing headers and line ends.
constexpr std::size_t kFramingBytes = 128;
constexpr std::size_t kHeaderOverheadBytes = 4;

std::size_t HeaderBytes(const HttpHeaders& headers) {
  std::size_t bytes = 0;
  for (const auto& [name, value] : headers)
    bytes += name.size() + value.size() + kHeaderOverheadBytes;
  return bytes;
}

void AppendHeaders(std::string& text, const HttpHeaders& headers) {
  for (const auto& [name, value] : headers) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
}

void AppendLength(std::string& text, std::size_t bytes) {
  text += "Content-Length: ";
  text += std::to_string(bytes);
  text += "\r\n";
}

bool MayHaveBody(int status) {
  constexpr int kFirstFinal = 200;
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status >= kFirstFinal && status != kNoContent &&
         status != kNotModified;
}

}  // namespace

std::string HeadTextOf(const HttpRequest& request,
                       std::string_view host,
                       std::size_t body_bytes) {
  HttpHeaders headers = request.headers;
  RemoveHopHeaders(headers);
  std::string text;
  text.reserve(kFramingBytes + request.target.size() + HeaderBytes(headers));
  text += request.method;
  text += ' ';
  text += request.target;
  text += " HTTP/1.1\r\n";
  if (FindHeader(headers, "Host").empty()) {
    text += "Host: ";
    text += host;
    text += "\r\n";
  }
  AppendHeaders(text, headers);
  const bool may_omit_length =
      request.method == "GET" || request.method == "HEAD";
  if (!may_omit_length || body_bytes > 0)
    AppendLength(text, body_bytes);
  text += "\r\n";
  return text;
}

std::string TextOf(const HttpResponse& response,
                   AfterMessage after,
                   bool head_only) {
  HttpHeaders headers = response.headers;
  RemoveHopHeaders(headers);
  std::string text;
  text.reserve(kFramingBytes + HeaderBytes(headers) + response.body.size());
  text += "HTTP/1.1 ";
  text += std::to_string(response.status);
  text += ' ';
  const auto known =
      boost::beast::http::int_to_status(static_cast<unsigned>(response.status));
  const auto reason = boost::beast::http::obsolete_reason(known);
  text.append(reason.data(), reason.size());
  text += "\r\n";
  AppendHeaders(text, headers);
  if (after == AfterMessage::kClose)
    text += "Connection: close\r\n";
  const bool has_body = MayHaveBody(response.status);
  if (has_body)
    AppendLength(text, response.body.size());
  text += "\r\n";
  if (has_body && !head_only)
    text += response.body;
  return text;
}

}  // namespace teaselspread
