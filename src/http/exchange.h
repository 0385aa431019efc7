// One request and its answer on one connection.
#ifndef TEASELSPREAD_SRC_HTTP_EXCHANGE_H_
#define TEASELSPREAD_SRC_HTTP_EXCHANGE_H_

#include <chrono>

#include "http/poll_stream.h"
#include "teaselspread/error.h"
#include "teaselspread/http.h"
#include "teaselspread/http_client.h"
#include "teaselspread/types.h"

namespace teaselspread {

// The options of a call as points in time.
struct CallBounds {
  StreamLimits connect;
  StreamLimits exchange;
};

// Thread safe.
[[nodiscard]] CallBounds BoundsOf(const CallOptions& options);

// Errors: kConnectFailed, also for an address that is no IP number. Thread
// safe.
[[nodiscard]] Result<PollStream> Connect(const Address& target,
                                         const CallBounds& bounds);

struct ExchangeOutcome {
  Result<HttpResponse> response;
  // The connection is whole and between two requests.
  bool reusable = false;
  // The request was sent, and nothing at all came back in time.
  bool no_byte_came = false;
};

// Precondition: nothing is left to read on `stream`. Not thread safe.
[[nodiscard]] ExchangeOutcome Exchange(PollStream& stream,
                                       const Address& target,
                                       const HttpRequest& request,
                                       const CallOptions& options,
                                       const CallBounds& bounds);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_HTTP_EXCHANGE_H_
