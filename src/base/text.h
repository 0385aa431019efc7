// Concatenates text and parses numbers.
//
// Debian's Abseil is built with a string_view type of its own, so absl::StrCat
// and similar functions don't accept std::string_view.
#ifndef TEASELSPREAD_BASE_TEXT_H_
#define TEASELSPREAD_BASE_TEXT_H_

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <type_traits>

namespace teaselspread {

inline void AppendPart(std::string& text, std::string_view part) {
  text += part;
}

template <class Number>
requires std::is_arithmetic_v<Number>
void AppendPart(std::string& text, Number number) {
  char buffer[32];
  const auto [end, error] =
      std::to_chars(buffer, buffer + sizeof(buffer), number);
  text.append(buffer, end);
}

// Concatenates texts and numbers. Numbers are formatted in the shortest form
// that parses back to the same value. Thread safe.
template <class... Parts>
[[nodiscard]] std::string Concat(const Parts&... parts) {
  std::string text;
  (AppendPart(text, parts), ...);
  return text;
}

// Parses all of `text` as a number, nullopt if it is none. Thread safe.
template <class Number>
[[nodiscard]] std::optional<Number> ParseNumberText(std::string_view text) {
  Number value{};
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || rest != end)
    return std::nullopt;
  return value;
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_BASE_TEXT_H_
