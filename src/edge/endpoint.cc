#include "edge/endpoint.h"

#include "teaselspread/settings.h"

namespace teaselspread {
namespace {

using tcp = boost::asio::ip::tcp;

}  // namespace

Result<tcp::endpoint> TcpEndpointOf(const Address& address) {
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address.host, error);
  if (error)
    return Fail(ErrorKind::kSettings, "no IP number: " + address.host);
  return tcp::endpoint(ip, address.port);
}

Result<Address> ListenOn(tcp::acceptor& acceptor, const Address& address) {
  const auto endpoint = TcpEndpointOf(address);
  if (!endpoint)
    return tl::make_unexpected(endpoint.error());
  boost::system::error_code error;
  acceptor.open(endpoint->protocol(), error);
  if (!error)
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error)
    acceptor.bind(*endpoint, error);
  if (!error)
    acceptor.listen(tcp::acceptor::max_listen_connections, error);
  if (error)
    return Fail(ErrorKind::kSettings, "cannot listen on " + ToString(address) +
                                          ": " + error.message());
  return Address{address.host, acceptor.local_endpoint().port()};
}

}  // namespace teaselspread
