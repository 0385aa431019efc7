// Converts an Address to an endpoint of Boost.Asio, and listens on one.
#ifndef TEASELSPREAD_SRC_EDGE_ENDPOINT_H_
#define TEASELSPREAD_SRC_EDGE_ENDPOINT_H_

#include <chrono>

#include <boost/asio/ip/tcp.hpp>

#include "teaselspread/error.h"
#include "teaselspread/types.h"

namespace teaselspread {

// Pause after a connection could not be accepted, mostly for lack of
// descriptors. Without it the next attempt fails at once, and the loop takes
// all of the processor.
inline constexpr std::chrono::milliseconds kAcceptRetry{20};

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
