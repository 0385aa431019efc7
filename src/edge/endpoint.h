// Converts an Address to an endpoint of Boost.Asio, and listens on one.
#ifndef TEASELSPREAD_SRC_EDGE_ENDPOINT_H_
#define TEASELSPREAD_SRC_EDGE_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>

#include "teaselspread/error.h"
#include "teaselspread/types.h"

namespace teaselspread {

// Errors: kSettings when the host is no IP number. Thread safe.
[[nodiscard]] Result<boost::asio::ip::tcp::endpoint> TcpEndpointOf(
    const Address& address);

// Opens `acceptor` on `address` and returns the address with the port that was
// bound. Errors: kSettings when the address cannot be bound. Not thread safe on
// the same acceptor.
[[nodiscard]] Result<Address> ListenOn(boost::asio::ip::tcp::acceptor& acceptor,
                                       const Address& address);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_ENDPOINT_H_
