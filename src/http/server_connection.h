// Reads, checks and answers the requests of one accepted connection.
#ifndef TEASELSPREAD_SRC_HTTP_SERVER_CONNECTION_H_
#define TEASELSPREAD_SRC_HTTP_SERVER_CONNECTION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "http/connection_table.h"
#include "http/poll_stream.h"
#include "teaselspread/http_server.h"

namespace teaselspread {

// What every connection of a server shares.
struct ServerSettings {
  HttpServerOptions options;
  HttpHandler handler;
  HeadCheck check_head;
  ServerCounters counters;
  ConnectionTable connections;
};

// Lives on its connection's thread. Not thread safe.
class ServerConnection {
 public:
  // Takes the accepted `socket`. Precondition: `stop` and `shared` outlive it.
  ServerConnection(int socket, int stop, ServerSettings& shared);

  // Returns when the connection is over.
  void Serve();

  // Answers `error` without reading a request.
  void RefuseAtOnce(const Error& error);

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  // A whole request and how its connection goes on.
  struct Received {
    HttpRequest request;
    bool keep_alive = false;
    bool head_only = false;
  };

  bool ServeOne();
  // What the parser holds is freed when it returns.
  [[nodiscard]] Result<Received> Receive();
  [[nodiscard]] bool WaitForRequest();
  [[nodiscard]] Result<void> ReadHead(Parser& parser);
  [[nodiscard]] Result<std::size_t> BodyLimit(const HttpRequest& head) const;
  [[nodiscard]] Result<void> ReadBody(Parser& parser, HttpRequest& request);
  [[nodiscard]] Error ReadError(const boost::system::error_code& error);
  [[nodiscard]] HttpResponse RunHandler(HttpRequest request);
  bool Write(HttpResponse response, bool keep_alive, bool head_only);
  void RefuseAndClose(const Error& error);
  [[nodiscard]] bool Stopping() const;

  PollStream stream;
  int stop_fd;
  ServerSettings& settings;
  boost::beast::flat_buffer buffer;
  OpenConnection open;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_HTTP_SERVER_CONNECTION_H_
