// State that the nodes of one data centre share about each other.
#ifndef TEASELSPREAD_MEMBER_H_
#define TEASELSPREAD_MEMBER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "teaselspread/types.h"

namespace teaselspread {

enum class UpstreamState : std::uint8_t { kNone, kWarming, kReady, kLeaving };
enum class MemberStatus : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

// Stable names for logs and for the status page. Thread safe.
[[nodiscard]] std::string_view NameOf(UpstreamState state);
[[nodiscard]] std::string_view NameOf(MemberStatus status);

// State that an upstream reported to the node beside it.
struct Announcement {
  std::string service;
  std::string version;
  UpstreamState state = UpstreamState::kNone;
  int slots = 0;
  int connections = 0;
  // When the upstream became ready; slow start is measured from here.
  TimePoint ready_since;

  bool operator==(const Announcement&) const = default;
};

// One node, as last reported. The highest incarnation wins; a restart has a
// higher one.
struct Member {
  // The VM's name, unique in the deployment.
  std::string id;
  std::string data_center;
  Address control;
  Address http;
  std::uint64_t incarnation = 0;
  MemberStatus status = MemberStatus::kAlive;
  // Configuration version that the node holds.
  ConfigVersion held = 0;
  Announcement upstream;

  bool operator==(const Member&) const = default;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_MEMBER_H_
