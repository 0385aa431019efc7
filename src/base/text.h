// Putting text together from parts.
//
// Debian's Abseil is built with a string_view of its own, so that absl::StrCat
// and its kin take no std::string_view.
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

// All parts, texts or numbers, in one string. Numbers take their shortest form
// that reads back the same. Thread safe.
template <class... Parts>
[[nodiscard]] std::string Concat(const Parts&... parts) {
  std::string text;
  (AppendPart(text, parts), ...);
  return text;
}

// The number that the whole of `text` stands for. Thread safe.
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
