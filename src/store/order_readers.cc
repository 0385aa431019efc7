#include "teaselspread/order_readers.h"

#include <algorithm>
#include <array>

namespace teaselspread {
namespace {

constexpr std::array<std::string_view, 3> kRoleNames = {"told", "second",
                                                        "first"};

// Together with the time until a read counts as overdue, this stays below the
// three seconds within which nodes have to follow a store that has recovered.
constexpr Duration kFirstWait = std::chrono::milliseconds(1500);
constexpr Duration kSecondWait = std::chrono::seconds(10);

}  // namespace

std::string_view NameOf(ReaderRole role) {
  return kRoleNames.at(static_cast<std::size_t>(role));
}

ReaderRole RoleOf(const ReaderPeer& self, std::span<const ReaderPeer> peers) {
  const auto ranks_higher = [&self](const ReaderPeer& peer) {
    if (peer.line_mbit != self.line_mbit)
      return peer.line_mbit > self.line_mbit;
    return peer.node < self.node;
  };
  const auto higher_ranked =
      std::count_if(peers.begin(), peers.end(), [&](const ReaderPeer& peer) {
        return !peer.store_unavailable && ranks_higher(peer);
      });
  if (higher_ranked == 0)
    return ReaderRole::kFirst;
  return higher_ranked == 1 ? ReaderRole::kSecond : ReaderRole::kNonReader;
}

Duration ReadWaitOf(ReaderRole role) {
  return role == ReaderRole::kSecond ? kSecondWait : kFirstWait;
}

}  // namespace teaselspread
