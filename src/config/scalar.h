// Parses scalars of the configuration and formats them as canonical text.
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

// Type and range of one field. Bounds are inclusive, in bytes for sizes and in
// seconds for durations.
struct FieldRule {
  std::string_view name;
  ScalarType type = ScalarType::kName;
  bool required = false;
  double low = 0;
  double high = 0;
};

// Returns the value, or a message for operators that states what was expected.
// Thread safe.
[[nodiscard]] tl::expected<Scalar, std::string> ParseScalar(
    const FieldRule& rule,
    std::string_view text);

// The canonical text of `value`, so that equal values have equal digests.
// Thread safe.
[[nodiscard]] std::string CanonicalText(const Scalar& value);

// Whether `text` is a valid name of a service, version, route, move, deployment
// or data centre. Thread safe.
[[nodiscard]] bool IsName(std::string_view text);

// The rule of IsName, for messages.
inline constexpr std::string_view kNameExpectation =
    "expected a name of 1 to 32 letters, digits, '.', '_' or '-' that starts "
    "with a letter or digit";

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_SCALAR_H_
