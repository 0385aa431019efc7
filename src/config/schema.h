// Schema of the configuration: the fields of each section and their rules.
#ifndef TEASELSPREAD_CONFIG_SCHEMA_H_
#define TEASELSPREAD_CONFIG_SCHEMA_H_

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "config/scalar.h"
#include "teaselspread/snapshot.h"

namespace teaselspread {

// Sections of a source file.
enum class Section : std::uint8_t {
  kDeployment,
  kDataCenters,
  kServices,
  kRoutes,
  kMoves,
  kLimits,
  kCount,
};

// The name in the source file, such as "services". Thread safe.
[[nodiscard]] std::string_view NameOf(Section section);

// The section called `name`, or kCount if there is none. Thread safe.
[[nodiscard]] Section SectionOf(std::string_view name);

// The names that SectionOf accepts, for messages.
inline constexpr std::string_view kSectionExpectation =
    "unknown section, expected one of: deployment, data_centers, services, "
    "routes, moves, limits";

// Whether the section holds named entries, each with fields. Thread safe.
[[nodiscard]] constexpr bool HasEntries(Section section) {
  return section == Section::kServices || section == Section::kRoutes ||
         section == Section::kMoves;
}

// One field of `T`: its rule, setter and getter.
template <class T>
struct Field {
  FieldRule rule;
  void (*assign)(T& target, const Scalar& value);
  Scalar (*read)(const T& source);
};

// All fields of a section, in display order. Thread safe.
[[nodiscard]] std::span<const Field<ServiceConfig>> ServiceFields();
[[nodiscard]] std::span<const Field<RouteConfig>> RouteFields();
[[nodiscard]] std::span<const Field<MoveConfig>> MoveFields();
[[nodiscard]] std::span<const Field<LimitsConfig>> LimitsFields();

// The rule of `field` in `section`, or null if there is none. Thread safe.
[[nodiscard]] const FieldRule* FindRule(Section section,
                                        std::string_view field);

// "version, queue_limit, ...": the fields of `section`, for messages.
// Thread safe.
[[nodiscard]] std::string FieldNames(Section section);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_SCHEMA_H_
