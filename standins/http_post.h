// One POST on a fresh connection, for announcements and records.
#ifndef TEASELSPREAD_STANDINS_HTTP_POST_H_
#define TEASELSPREAD_STANDINS_HTTP_POST_H_

#include <string>
#include <utility>

#include "http_server.h"

namespace standin {

// "host:port" split; port 0 when there is none.
inline std::pair<std::string, std::uint16_t> SplitAddress(
    const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return {text, 0};
  return {text.substr(0, colon),
          static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

// The answer's status, or 0 when there was none. Thread safe.
inline unsigned Post(const std::string& address,
                     const std::string& path,
                     std::string body) {
  const auto [host, port] = SplitAddress(address);
  boost::system::error_code error;
  asio::io_context context;
  Tcp::socket socket(context);
  socket.connect({asio::ip::make_address(host), port}, error);
  if (error)
    return 0;
  // A node that stopped answering must not hold up the next announcement.
  const timeval limit{2, 0};
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
             sizeof limit);
  Request request(http::verb::post, path, 11);
  request.set(http::field::host, address);
  request.set(http::field::content_type, "application/json");
  request.keep_alive(false);
  request.body() = std::move(body);
  request.prepare_payload();
  http::write(socket, request, error);
  if (error)
    return 0;
  pollfd entry{socket.native_handle(), POLLIN, 0};
  if (::poll(&entry, 1, 2000) <= 0)
    return 0;
  boost::beast::flat_buffer buffer;
  Response response;
  http::read(socket, buffer, response, error);
  return error ? 0 : response.result_int();
}

}  // namespace standin

#endif  // TEASELSPREAD_STANDINS_HTTP_POST_H_
