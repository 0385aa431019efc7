#include "config/scalar.h"

#include <algorithm>
#include <array>
#include <optional>

#include <absl/strings/ascii.h>

#include "base/text.h"

namespace teaselspread {
namespace {

using Parsed = tl::expected<Scalar, std::string>;

// Maximum size of names in messages between nodes. A longer name would be
// truncated there, and its verdicts and counts would match no entry.
constexpr std::size_t kMaxNameSize = 32;
constexpr std::size_t kMaxPathSize = 256;
constexpr std::array<std::string_view, 7> kMethods = {
    "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"};

struct Unit {
  std::string_view name;
  std::int64_t factor;
};

// Largest first: canonical text uses the largest unit that divides the value.
constexpr std::array<Unit, 5> kDurationUnits = {{{"h", 3'600'000'000},
                                                 {"m", 60'000'000},
                                                 {"s", 1'000'000},
                                                 {"ms", 1'000},
                                                 {"us", 1}}};
constexpr std::array<Unit, 4> kByteUnits = {
    {{"GiB", 1LL << 30}, {"MiB", 1LL << 20}, {"KiB", 1LL << 10}, {"", 1}}};
constexpr double kMicrosPerSecond = 1e6;

tl::unexpected<std::string> Expected(std::string text) {
  return tl::make_unexpected("expected " + std::move(text));
}

bool IsNameCharacter(char c) {
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '.' ||
         c == '_' || c == '-';
}

bool IsPathCharacter(char c) {
  return absl::ascii_isgraph(static_cast<unsigned char>(c)) && c != '?' &&
         c != '#';
}

// Parses a text such as "15MiB" by a table of units. Returns nothing if the
// text has another form or the value overflows.
template <std::size_t kSize>
std::optional<std::int64_t> ParseWithUnit(
    std::string_view text,
    const std::array<Unit, kSize>& units) {
  const auto digits = std::find_if_not(text.begin(), text.end(), [](char c) {
    return absl::ascii_isdigit(static_cast<unsigned char>(c));
  });
  const auto count = static_cast<std::size_t>(digits - text.begin());
  const auto value = ParseNumberText<std::int64_t>(text.substr(0, count));
  if (!value)
    return std::nullopt;
  for (const Unit& unit : units) {
    if (unit.name != text.substr(count))
      continue;
    std::int64_t product = 0;
    if (__builtin_mul_overflow(*value, unit.factor, &product))
      return std::nullopt;
    return product;
  }
  return std::nullopt;
}

std::int64_t ToInteger(double value) {
  return static_cast<std::int64_t>(value);
}

bool InRange(const FieldRule& rule, double value) {
  return value >= rule.low && value <= rule.high;
}

Parsed ParseInteger(const FieldRule& rule, std::string_view text) {
  if (const auto value = ParseNumberText<std::int64_t>(text);
      value && InRange(rule, static_cast<double>(*value))) {
    return *value;
  }
  return Expected(Concat("an integer from ", ToInteger(rule.low), " to ",
                         ToInteger(rule.high)));
}

Parsed ParseBytes(const FieldRule& rule, std::string_view text) {
  if (const auto value = ParseWithUnit(text, kByteUnits);
      value && InRange(rule, static_cast<double>(*value))) {
    return *value;
  }
  return Expected(Concat("a size such as 4096, 64KiB or 8MiB, from ",
                         ToInteger(rule.low), " to ", ToInteger(rule.high),
                         " bytes"));
}

Parsed ParseNumber(const FieldRule& rule, std::string_view text) {
  // NaN compares false with both bounds.
  if (const auto value = ParseNumberText<double>(text);
      value && InRange(rule, *value)) {
    return *value;
  }
  return Expected(Concat("a number from ", rule.low, " to ", rule.high));
}

Parsed ParseDuration(const FieldRule& rule, std::string_view text) {
  if (const auto value = ParseWithUnit(text, kDurationUnits);
      value && InRange(rule, static_cast<double>(*value) / kMicrosPerSecond)) {
    return Duration(*value);
  }
  return Expected(Concat("a duration such as 30s or 500ms, from ", rule.low,
                         "s to ", rule.high, "s"));
}

// Parses exactly the form "2026-12-03T06:00:00Z".
std::optional<TimePoint> ParseTimeText(std::string_view text) {
  constexpr std::string_view kFormat = "0000-00-00T00:00:00Z";
  if (text.size() != kFormat.size())
    return std::nullopt;
  for (std::size_t i = 0; i < kFormat.size(); ++i) {
    const bool digit = absl::ascii_isdigit(static_cast<unsigned char>(text[i]));
    if (kFormat[i] == '0' ? !digit : text[i] != kFormat[i])
      return std::nullopt;
  }
  const auto number = [text](std::size_t at, std::size_t size) {
    return ParseNumberText<int>(text.substr(at, size)).value_or(-1);
  };
  const std::chrono::year_month_day date(
      std::chrono::year(number(0, 4)),
      std::chrono::month(static_cast<unsigned>(number(5, 2))),
      std::chrono::day(static_cast<unsigned>(number(8, 2))));
  const int hour = number(11, 2);
  const int minute = number(14, 2);
  const int second = number(17, 2);
  if (!date.ok() || hour > 23 || minute > 59 || second > 59)
    return std::nullopt;
  return TimePoint(std::chrono::sys_days(date)) + std::chrono::hours(hour) +
         std::chrono::minutes(minute) + std::chrono::seconds(second);
}

Parsed ParseTime(std::string_view text) {
  if (const auto value = ParseTimeText(text))
    return *value;
  return Expected("a time in UTC such as 2026-12-03T06:00:00Z");
}

Parsed ParsePriority(std::string_view text) {
  for (const Priority priority :
       {Priority::kInternal, Priority::kNormal, Priority::kBackground}) {
    if (NameOf(priority) == text)
      return priority;
  }
  return Expected("one of internal, normal, background");
}

Parsed ParseBool(std::string_view text) {
  if (text == "true" || text == "false")
    return text == "true";
  return Expected("true or false");
}

Parsed ParseMethod(std::string_view text) {
  if (std::find(kMethods.begin(), kMethods.end(), text) != kMethods.end())
    return std::string(text);
  return Expected("one of DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT");
}

Parsed ParsePathPrefix(std::string_view text) {
  if (!text.empty() && text.front() == '/' && text.size() <= kMaxPathSize &&
      std::all_of(text.begin(), text.end(), IsPathCharacter)) {
    return std::string(text);
  }
  return Expected("a path that starts with '/', without '?', '#' or blanks");
}

std::string DurationText(Duration value) {
  for (const auto& [name, factor] : kDurationUnits) {
    if (value.count() != 0 && value.count() % factor == 0)
      return Concat(value.count() / factor, name);
  }
  return "0s";
}

// Precondition: value is not negative.
template <class Number>
std::string Padded(Number value, std::size_t width) {
  const std::string digits = Concat(value);
  return std::string(width - std::min(width, digits.size()), '0') + digits;
}

std::string TimeText(TimePoint value) {
  const auto day = std::chrono::floor<std::chrono::days>(value);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss time(
      std::chrono::floor<std::chrono::seconds>(value - day));
  return Concat(
      Padded(int(date.year()), 4), "-", Padded(unsigned(date.month()), 2), "-",
      Padded(unsigned(date.day()), 2), "T", Padded(time.hours().count(), 2),
      ":", Padded(time.minutes().count(), 2), ":",
      Padded(time.seconds().count(), 2), "Z");
}

struct ToCanonicalText {
  std::string operator()(const std::string& value) const { return value; }
  std::string operator()(bool value) const { return value ? "true" : "false"; }
  std::string operator()(std::int64_t value) const {
    return std::to_string(value);
  }
  std::string operator()(double value) const { return Concat(value); }
  std::string operator()(Duration value) const { return DurationText(value); }
  std::string operator()(TimePoint value) const { return TimeText(value); }
  std::string operator()(Priority value) const {
    return std::string(NameOf(value));
  }
};

}  // namespace

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameSize &&
         absl::ascii_isalnum(static_cast<unsigned char>(text.front())) &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

tl::expected<Scalar, std::string> ParseScalar(const FieldRule& rule,
                                              std::string_view text) {
  switch (rule.type) {
    case ScalarType::kName:
      if (IsName(text))
        return std::string(text);
      return tl::make_unexpected(std::string(kNameExpectation));
    case ScalarType::kMethod:
      return ParseMethod(text);
    case ScalarType::kPathPrefix:
      return ParsePathPrefix(text);
    case ScalarType::kPriority:
      return ParsePriority(text);
    case ScalarType::kBool:
      return ParseBool(text);
    case ScalarType::kInteger:
      return ParseInteger(rule, text);
    case ScalarType::kBytes:
      return ParseBytes(rule, text);
    case ScalarType::kNumber:
      return ParseNumber(rule, text);
    case ScalarType::kDuration:
      return ParseDuration(rule, text);
    case ScalarType::kTime:
      return ParseTime(text);
  }
  return Expected("a known type");
}

std::string CanonicalText(const Scalar& value) {
  return std::visit(ToCanonicalText(), value);
}

}  // namespace teaselspread
