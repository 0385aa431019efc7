// Scalars of the configuration: text to value, value to canonical text.
#ifndef TEASELSPREAD_CONFIG_SCALAR_H_
#define TEASELSPREAD_CONFIG_SCALAR_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include <tl/expected.hpp>

#include "teaselspread/snapshot.h"
#include "teaselspread/types.h"

namespace teaselspread {

enum class ScalarType : std::uint8_t {
  kName,
  kMethod,
  kPathPrefix,
  kPriority,
  kBool,
  kInteger,
  kBytes,
  kNumber,
  kDuration,
  kTime,
};

using Scalar = std::variant<std::string,
                            bool,
                            std::int64_t,
                            double,
                            Duration,
                            TimePoint,
                            Priority>;

// What one field may hold. Bounds count in units, bytes or seconds.
struct FieldRule {
  std::string_view name;
  ScalarType type = ScalarType::kName;
  bool required = false;
  double low = 0;
  double high = 0;
};

// The value, or what was expected instead, for a person. Thread safe.
[[nodiscard]] tl::expected<Scalar, std::string> ParseScalar(
    const FieldRule& rule,
    std::string_view text);

// The one text that stands for `value`: equal values have equal digests.
// Thread safe.
[[nodiscard]] std::string CanonicalText(const Scalar& value);

// Whether `text` may name a service, version, route, move or data centre.
// Thread safe.
[[nodiscard]] bool IsName(std::string_view text);

// What IsName wants, for messages.
inline constexpr std::string_view kNameExpectation =
    "expected a name of 1 to 32 letters, digits, '.', '_' or '-' that starts "
    "with a letter or digit";

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_SCALAR_H_
