#include <array>
#include <cstddef>

#include "teaselspread/member.h"
#include "teaselspread/snapshot.h"

namespace teaselspread {
namespace {

constexpr std::array<std::string_view, 3> kPriorityNames = {
    "internal", "normal", "background"};
constexpr std::array<std::string_view, 4> kUpstreamStateNames = {
    "none", "warming", "ready", "leaving"};
constexpr std::array<std::string_view, 4> kMemberStatusNames = {
    "alive", "suspect", "dead", "left"};

}  // namespace

std::string_view NameOf(Priority priority) {
  return kPriorityNames.at(static_cast<std::size_t>(priority));
}

std::string_view NameOf(UpstreamState state) {
  return kUpstreamStateNames.at(static_cast<std::size_t>(state));
}

std::string_view NameOf(MemberStatus status) {
  return kMemberStatusNames.at(static_cast<std::size_t>(status));
}

}  // namespace teaselspread
