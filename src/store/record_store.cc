#include "teaselspread/record_store.h"

#include <array>

namespace teaselspread {
namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(StoreOutcome::kCount)>
    kOutcomeNames = {"ok",       "throttled", "unavailable", "forgotten",
                     "conflict", "unknown",   "malformed"};
constexpr std::array<std::string_view,
                     static_cast<std::size_t>(RecordStream::kCount)>
    kStreamNames = {"orders", "nodes", "reports"};

}  // namespace

std::string_view NameOf(StoreOutcome outcome) {
  return kOutcomeNames.at(static_cast<std::size_t>(outcome));
}

std::string_view NameOf(RecordStream stream) {
  return kStreamNames.at(static_cast<std::size_t>(stream));
}

}  // namespace teaselspread
