#include "edge/order_copy.h"

#include <string>
#include <string_view>

namespace teaselspread {
namespace {

constexpr ConfigVersion kNoConfig = 0;
// Key of the frame, followed by the data centre.
constexpr std::string_view kEvacuationPrefix = "evacuation ";
constexpr std::string_view kActive = "active";

}  // namespace

// The revision takes the place of the digest.
ConfigFrame PackEvacuation(const EvacuationOrder& order) {
  ConfigFrame frame;
  frame.version = kNoConfig;
  frame.key = std::string(kEvacuationPrefix) + order.data_center;
  frame.digest = order.revision;
  if (order.active)
    frame.packed = kActive;
  frame.size_bytes = static_cast<std::uint32_t>(frame.packed.size());
  return frame;
}

std::optional<EvacuationOrder> UnpackEvacuation(const ConfigFrame& frame) {
  if (frame.version != kNoConfig || !frame.key.starts_with(kEvacuationPrefix))
    return std::nullopt;
  return EvacuationOrder{frame.key.substr(kEvacuationPrefix.size()),
                         frame.packed == kActive, frame.digest};
}

}  // namespace teaselspread
