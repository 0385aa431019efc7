// The body of a request, held once by all parts of the process that need it:
// the entry until the response, for retries, and each connection on which it
// is being sent.
#ifndef TEASELSPREAD_SRC_EDGE_REQUEST_BODY_H_
#define TEASELSPREAD_SRC_EDGE_REQUEST_BODY_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "edge/memory_account.h"

namespace teaselspread {

// Does not change once it is shared. Not thread safe.
struct RequestBody
    : boost::intrusive_ref_counter<RequestBody, boost::thread_unsafe_counter> {
  RequestBody(std::string all, MemoryHold counted)
      : bytes(std::move(all)), memory(std::move(counted)) {}

  std::string bytes;
  MemoryHold memory;
};

using RequestBodyPtr = boost::intrusive_ptr<const RequestBody>;

// Null for an empty body. Not thread safe.
[[nodiscard]] inline RequestBodyPtr MakeRequestBody(std::string bytes,
                                                    MemoryHold memory = {}) {
  if (bytes.empty())
    return {};
  return RequestBodyPtr(new RequestBody(std::move(bytes), std::move(memory)));
}

// The view lives as long as the body. Not thread safe.
[[nodiscard]] inline std::string_view BytesOf(const RequestBodyPtr& body) {
  return body ? std::string_view(body->bytes) : std::string_view();
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_REQUEST_BODY_H_
