#include <algorithm>
#include <array>

#include <xxhash.h>

#include "teaselspread/claim_messages.h"

namespace teaselspread {
namespace {

constexpr std::size_t kMaxKeyLength = 128;
constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kVersionOffset = 14;
constexpr std::size_t kVariantOffset = 19;
constexpr int kHexBase = 16;

constexpr std::array<std::string_view, 5> kVoteNames = {"grant", "held", "done",
                                                        "mismatch", "abstain"};

int HexValue(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

bool IsDashAt(std::size_t i) {
  return i == 8 || i == 13 || i == 18 || i == 23;
}

bool IsUuidVersion7(std::string_view text) {
  if (text.size() != kUuidLength || text[kVersionOffset] != '7')
    return false;
  if (std::string_view("89abAB").find(text[kVariantOffset]) ==
      std::string_view::npos)
    return false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (IsDashAt(i) ? text[i] != '-' : HexValue(text[i]) < 0)
      return false;
  }
  return true;
}

// The first 48 bits are milliseconds since 1970.
TimePoint IssueTimeOf(std::string_view uuid) {
  std::int64_t milliseconds = 0;
  for (std::size_t i = 0; i < 13; ++i) {
    if (!IsDashAt(i))
      milliseconds = milliseconds * kHexBase + HexValue(uuid[i]);
  }
  return TimePoint(std::chrono::milliseconds(milliseconds));
}

}  // namespace

std::string_view NameOf(VoteKind kind) {
  return kVoteNames.at(static_cast<std::size_t>(kind));
}

Result<ClaimKey> ParseClaimKey(std::string_view header) {
  if (header.empty())
    return Fail(ErrorKind::kKeyMissing, "this route needs an Idempotency-Key");
  const bool printable = std::all_of(
      header.begin(), header.end(), [](char c) { return c > ' ' && c <= '~'; });
  if (header.size() > kMaxKeyLength || !printable) {
    return Fail(ErrorKind::kBadRequest,
                "Idempotency-Key: 1 to 128 printable characters, no spaces");
  }
  ClaimKey key;
  key.text = std::string(header);
  key.has_issue_time = IsUuidVersion7(header);
  if (key.has_issue_time)
    key.issued = IssueTimeOf(header);
  return key;
}

RequestDigest DigestOf(std::string_view method,
                       std::string_view path,
                       std::string_view body) {
  const auto seed = XXH3_64bits_withSeed(
      path.data(), path.size(), XXH3_64bits(method.data(), method.size()));
  const auto hash = XXH3_128bits_withSeed(body.data(), body.size(), seed);
  return {hash.high64, hash.low64};
}

}  // namespace teaselspread
