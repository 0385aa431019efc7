// Between Beast's header fields and the plain ones of http.h.
#ifndef TEASELSPREAD_SRC_HTTP_BEAST_CONVERT_H_
#define TEASELSPREAD_SRC_HTTP_BEAST_CONVERT_H_

#include <iterator>
#include <string>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>

#include "teaselspread/http.h"

namespace teaselspread {

// Thread safe.
inline HttpHeaders HeadersOf(const boost::beast::http::fields& fields) {
  HttpHeaders headers;
  headers.reserve(16);
  for (const auto& field : fields) {
    headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return headers;
}

// Adds `headers` but for those that frame the message. Not thread safe on the
// same fields.
inline void CopyHeaders(const HttpHeaders& headers,
                        boost::beast::http::fields& fields) {
  HttpHeaders end_to_end = headers;
  RemoveHopHeaders(end_to_end);
  for (const HttpHeader& header : end_to_end)
    fields.insert(header.name, header.value);
}

// Whether transfer codings other than chunked alone are named. Where such a
// body ends is not known, and its bytes would be taken for further requests.
// Thread safe.
inline bool HasUnknownFraming(const boost::beast::http::fields& fields) {
  const auto [first, end] =
      fields.equal_range(boost::beast::http::field::transfer_encoding);
  if (first == end)
    return false;
  return std::next(first) != end ||
         !boost::beast::iequals(first->value(), "chunked");
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_HTTP_BEAST_CONVERT_H_
