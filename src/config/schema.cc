#include "config/schema.h"

#include <type_traits>

#include "base/text.h"

namespace teaselspread {
namespace {

using Type = ScalarType;

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(Section::kCount)>
    kSectionNames = {"deployment", "data_centers", "services",
                     "routes",     "moves",        "limits"};

constexpr bool kRequired = true;
constexpr bool kOptional = false;
constexpr double kMaxBytes = 1e12;
// Durations in seconds.
constexpr double kMinDuration = 0.001;
constexpr double kHour = 3600;
constexpr double kDay = 86400;

// The Scalar alternative that holds the value of a member of type T.
template <class T>
constexpr auto ScalarAlternativeOf() {
  if constexpr (std::is_same_v<T, bool> || !std::is_integral_v<T>) {
    return std::type_identity<T>();
  } else {
    return std::type_identity<std::int64_t>();
  }
}
template <class T>
using ScalarAlternative = typename decltype(ScalarAlternativeOf<T>())::type;

template <auto kMember, class Owner>
constexpr Field<Owner> MemberField(FieldRule rule) {
  return {rule,
          [](Owner& target, const Scalar& value) {
            using T = std::remove_reference_t<decltype(target.*kMember)>;
            target.*kMember =
                static_cast<T>(std::get<ScalarAlternative<T>>(value));
          },
          [](const Owner& source) -> Scalar {
            using T = std::remove_cvref_t<decltype(source.*kMember)>;
            return static_cast<ScalarAlternative<T>>(source.*kMember);
          }};
}

template <double MoveBounds::*kMember>
constexpr Field<MoveConfig> BoundsField(FieldRule rule) {
  return {rule,
          [](MoveConfig& target, const Scalar& value) {
            target.bounds.*kMember = std::get<double>(value);
          },
          [](const MoveConfig& source) -> Scalar {
            return source.bounds.*kMember;
          }};
}

template <auto kMember>
constexpr Field<ServiceConfig> ServiceField(FieldRule rule) {
  return MemberField<kMember, ServiceConfig>(rule);
}
template <auto kMember>
constexpr Field<RouteConfig> RouteField(FieldRule rule) {
  return MemberField<kMember, RouteConfig>(rule);
}
template <auto kMember>
constexpr Field<MoveConfig> MoveField(FieldRule rule) {
  return MemberField<kMember, MoveConfig>(rule);
}
template <auto kMember>
constexpr Field<LimitsConfig> LimitsField(FieldRule rule) {
  return MemberField<kMember, LimitsConfig>(rule);
}

using S = ServiceConfig;
using R = RouteConfig;
using M = MoveConfig;
using L = LimitsConfig;

constexpr std::array kServiceFields = {
    ServiceField<&S::version>({"version", Type::kName, kRequired}),
    ServiceField<&S::queue_limit>(
        {"queue_limit", Type::kInteger, kOptional, 0, 100000}),
    ServiceField<&S::connections>(
        {"connections", Type::kInteger, kOptional, 1, 100000}),
    ServiceField<&S::warm_up>(
        {"warm_up", Type::kDuration, kOptional, 0, kHour}),
};

constexpr std::array kRouteFields = {
    RouteField<&R::service>({"service", Type::kName, kRequired}),
    RouteField<&R::method>({"method", Type::kMethod, kRequired}),
    RouteField<&R::path_prefix>({"path_prefix", Type::kPathPrefix, kRequired}),
    RouteField<&R::priority>({"priority", Type::kPriority, kOptional}),
    RouteField<&R::idempotent>({"idempotent", Type::kBool, kOptional}),
    RouteField<&R::deadline>(
        {"deadline", Type::kDuration, kOptional, kMinDuration, kHour}),
    RouteField<&R::max_body_bytes>(
        {"max_body_bytes", Type::kBytes, kOptional, 0, kMaxBytes}),
};

constexpr std::array kMoveFields = {
    MoveField<&M::service>({"service", Type::kName, kRequired}),
    MoveField<&M::from>({"from", Type::kName, kRequired}),
    MoveField<&M::to>({"to", Type::kName, kRequired}),
    MoveField<&M::start>({"start", Type::kTime, kRequired}),
    MoveField<&M::by>({"by", Type::kTime, kRequired}),
    MoveField<&M::watch>({"watch", Type::kDuration, kOptional, 0, kDay}),
    BoundsField<&MoveBounds::extra_failures>(
        {"bounds/extra_failures", Type::kNumber, kOptional, 0, 1}),
    BoundsField<&MoveBounds::slowdown>(
        {"bounds/slowdown", Type::kNumber, kOptional, 1, 1000}),
    MoveField<&M::withdrawn>({"withdrawn", Type::kBool, kOptional}),
};

constexpr std::array kLimitsFields = {
    LimitsField<&L::max_header_bytes>(
        {"max_header_bytes", Type::kBytes, kOptional, 256, 1 << 20}),
    LimitsField<&L::max_body_bytes>(
        {"max_body_bytes", Type::kBytes, kOptional, 0, kMaxBytes}),
    LimitsField<&L::body_memory_bytes>(
        {"body_memory_bytes", Type::kBytes, kOptional, 0, kMaxBytes}),
    LimitsField<&L::retry_budget>(
        {"retry_budget", Type::kNumber, kOptional, 0, 1}),
    LimitsField<&L::silence>(
        {"silence", Type::kDuration, kOptional, kMinDuration, kHour}),
};

template <class Visitor>
void ForEachRule(Section section, Visitor visit) {
  const auto visit_rules = [&visit](const auto& fields) {
    for (const auto& field : fields)
      visit(field.rule);
  };
  switch (section) {
    case Section::kServices:
      return visit_rules(kServiceFields);
    case Section::kRoutes:
      return visit_rules(kRouteFields);
    case Section::kMoves:
      return visit_rules(kMoveFields);
    case Section::kLimits:
      return visit_rules(kLimitsFields);
    default:
      return;
  }
}

}  // namespace

std::string_view NameOf(Section section) {
  return kSectionNames.at(static_cast<std::size_t>(section));
}

Section SectionOf(std::string_view name) {
  for (std::size_t i = 0; i < kSectionNames.size(); ++i) {
    if (kSectionNames.at(i) == name)
      return static_cast<Section>(i);
  }
  return Section::kCount;
}

std::span<const Field<ServiceConfig>> ServiceFields() {
  return kServiceFields;
}
std::span<const Field<RouteConfig>> RouteFields() {
  return kRouteFields;
}
std::span<const Field<MoveConfig>> MoveFields() {
  return kMoveFields;
}
std::span<const Field<LimitsConfig>> LimitsFields() {
  return kLimitsFields;
}

const FieldRule* FindRule(Section section, std::string_view field) {
  const FieldRule* found = nullptr;
  ForEachRule(section, [&found, field](const FieldRule& rule) {
    if (rule.name == field)
      found = &rule;
  });
  return found;
}

std::string FieldNames(Section section) {
  std::string names;
  ForEachRule(section, [&names](const FieldRule& rule) {
    names += Concat(names.empty() ? "" : ", ", rule.name);
  });
  return names;
}

}  // namespace teaselspread
