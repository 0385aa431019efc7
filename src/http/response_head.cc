#include "http/response_head.h"

#include <algorithm>
#include <array>
#include <cstddef>

#include "http/beast_convert.h"
#include "teaselspread/http.h"

namespace teaselspread {
namespace {

constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastFinalStatus = 599;
constexpr std::array<unsigned, 3> kInterimStatuses = {100, 102, 103};

bool RequestIdsDiffer(const boost::beast::http::fields& fields) {
  const boost::beast::string_view name(kHeaderRequestId.data(),
                                       kHeaderRequestId.size());
  const auto [first, end] = fields.equal_range(name);
  return std::any_of(first, end, [first = first](const auto& field) {
    return field.value() != first->value();
  });
}

}  // namespace

std::string_view NameOf(HeadFault fault) {
  static constexpr std::array<std::string_view, 5> kNames = {
      "none", "status", "framing", "folded-line", "request-ids"};
  return kNames.at(static_cast<std::size_t>(fault));
}

bool IsFinalStatus(unsigned status) {
  return status >= kFirstFinalStatus && status <= kLastFinalStatus;
}

bool IsInterimStatus(unsigned status) {
  return std::find(kInterimStatuses.begin(), kInterimStatuses.end(), status) !=
         kInterimStatuses.end();
}

HeadFault FaultOf(unsigned status, const boost::beast::http::fields& fields) {
  if (!IsFinalStatus(status) && !IsInterimStatus(status))
    return HeadFault::kStatus;
  if (HasUnknownFraming(fields))
    return HeadFault::kFraming;
  return RequestIdsDiffer(fields) ? HeadFault::kRequestIds : HeadFault::kNone;
}

bool HasFoldedLine(std::string_view head) {
  return head.find("\n ") != std::string_view::npos ||
         head.find("\n\t") != std::string_view::npos;
}

}  // namespace teaselspread
