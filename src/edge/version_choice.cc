#include "edge/version_choice.h"

#include <algorithm>

namespace teaselspread {

// A version that nobody ordered gets nothing while another serves: upstreams
// of a new one may be up before the order to move is read.
std::string VersionChoice::Pick(std::string_view service) {
  const auto found = this->slots.find(service);
  if (found == this->slots.end() || found->second.empty())
    return {};
  const auto most = std::max_element(
      found->second.begin(), found->second.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return most->first;
}

void VersionChoice::OnAnswer(const VersionAnswer& /*answer*/) {}

}  // namespace teaselspread
