#include "config/delta.h"

#include <array>
#include <memory>
#include <set>

#include <xxhash.h>

#include "teaselspread/config.h"

namespace teaselspread {
namespace {

struct XxhStateDeleter {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

// Hashes the size before the text, so that different lists of leaves never hash
// the same bytes.
void UpdateHash(XXH3_state_t* state, std::string_view text) {
  std::array<unsigned char, 4> size{};
  for (std::size_t i = 0; i < size.size(); ++i)
    size.at(i) = static_cast<unsigned char>(text.size() >> (8 * i));
  XXH3_128bits_update(state, size.data(), size.size());
  XXH3_128bits_update(state, text.data(), text.size());
}

std::string HexText(std::uint64_t value) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(16, '0');
  for (auto digit = text.rbegin(); digit != text.rend(); ++digit, value >>= 4)
    *digit = kDigits[value & 0xf];
  return text;
}

}  // namespace

Digest DigestOf(const Document& document) {
  const std::unique_ptr<XXH3_state_t, XxhStateDeleter> state(
      XXH3_createState());
  XXH3_128bits_reset(state.get());
  for (const auto& [path, value] : document.leaves) {
    UpdateHash(state.get(), path);
    UpdateHash(state.get(), value);
  }
  const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
  return {hash.high64, hash.low64};
}

std::string ToString(const Digest& digest) {
  return HexText(digest.high) + HexText(digest.low);
}

Delta MakeDelta(const Document& from, const Document& to) {
  Delta delta;
  auto old_leaf = from.leaves.begin();
  for (const auto& [path, value] : to.leaves) {
    for (; old_leaf != from.leaves.end() && old_leaf->first < path; ++old_leaf)
      delta.removed.push_back(old_leaf->first);
    const bool found = old_leaf != from.leaves.end() && old_leaf->first == path;
    if (!found || old_leaf->second != value)
      delta.set.emplace_hint(delta.set.end(), path, value);
    if (found)
      ++old_leaf;
  }
  for (; old_leaf != from.leaves.end(); ++old_leaf)
    delta.removed.push_back(old_leaf->first);
  return delta;
}

Document ApplyDelta(Document from, const Delta& delta) {
  ApplyInPlace(from, delta);
  return from;
}

void ApplyInPlace(Document& document, const Delta& delta) {
  for (const std::string& path : delta.removed)
    document.leaves.erase(path);
  for (const auto& [path, value] : delta.set)
    document.leaves.insert_or_assign(path, value);
}

Delta EffectiveDelta(const Document& document, const Delta& delta) {
  Delta effective;
  for (const auto& [path, value] : delta.set) {
    const auto leaf = document.leaves.find(path);
    if (leaf == document.leaves.end() || leaf->second != value)
      effective.set.emplace_hint(effective.set.end(), path, value);
  }
  for (const std::string& path : delta.removed) {
    if (document.leaves.contains(path) && !delta.set.contains(path))
      effective.removed.push_back(path);
  }
  return effective;
}

Delta InverseDelta(const Document& document, const Delta& delta) {
  Delta inverse;
  for (const auto& [path, value] : delta.set) {
    const auto leaf = document.leaves.find(path);
    if (leaf == document.leaves.end())
      inverse.removed.push_back(path);
    else
      inverse.set.emplace_hint(inverse.set.end(), path, leaf->second);
  }
  for (const std::string& path : delta.removed)
    inverse.set.emplace(path, document.leaves.at(path));
  return inverse;
}

void Append(Delta& first, const Delta& second) {
  std::set<std::string> removed(first.removed.begin(), first.removed.end());
  for (const std::string& path : second.removed) {
    first.set.erase(path);
    removed.insert(path);
  }
  for (const auto& [path, value] : second.set) {
    removed.erase(path);
    first.set.insert_or_assign(path, value);
  }
  first.removed.assign(removed.begin(), removed.end());
}

}  // namespace teaselspread
