#include <algorithm>

#include "base/text.h"
#include "teaselspread/operator.h"

namespace teaselspread {
namespace {

constexpr std::string_view kReplacementCharacter = "\xef\xbf\xbd";
constexpr std::string_view kColumnGap = "  ";

std::size_t SizeFromLeadByte(unsigned char lead) {
  if (lead < 0x80)
    return 1;
  if (lead >= 0xc2 && lead < 0xe0)
    return 2;
  if (lead >= 0xe0 && lead < 0xf0)
    return 3;
  return lead >= 0xf0 && lead < 0xf5 ? 4 : 0;
}

// Overlong forms, surrogates and code points above U+10FFFF are recognized by
// the second byte.
bool IsValidSecondByte(unsigned char lead, unsigned char second) {
  const unsigned low = lead == 0xe0 ? 0xa0 : lead == 0xf0 ? 0x90 : 0x80;
  const unsigned high = lead == 0xed ? 0x9f : lead == 0xf4 ? 0x8f : 0xbf;
  return second >= low && second <= high;
}

// Bytes of the UTF-8 character at the start of `text`, 0 if it is invalid.
// Precondition: text is not empty.
std::size_t CharacterSize(std::string_view text) {
  const auto byte = [text](std::size_t at) {
    return static_cast<unsigned char>(text[at]);
  };
  const std::size_t size = SizeFromLeadByte(byte(0));
  if (size > text.size())
    return 0;
  if (size > 1 && !IsValidSecondByte(byte(0), byte(1)))
    return 0;
  for (std::size_t at = 2; at < size; ++at) {
    if ((byte(at) & 0xc0) != 0x80)
      return 0;
  }
  return size;
}

// The escape sequence of a character that needs one in JSON.
std::string EscapeJson(char c) {
  switch (c) {
    case '"':
      return "\\\"";
    case '\\':
      return "\\\\";
    case '\n':
      return "\\n";
    case '\t':
      return "\\t";
    default:
      break;
  }
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  std::string text = "\\u00";
  text += kHexDigits[(c >> 4) & 0xf];
  text += kHexDigits[c & 0xf];
  return text;
}

bool NeedsEscape(char c) {
  return static_cast<unsigned char>(c) < 0x20 || c == '"' || c == '\\' ||
         c == 0x7f;
}

std::vector<std::size_t> ColumnWidths(const Table& table) {
  std::vector<std::size_t> widths;
  for (const std::string& column : table.columns)
    widths.push_back(column.size());
  for (const std::vector<std::string>& row : table.rows) {
    for (std::size_t i = 0; i < widths.size(); ++i)
      widths[i] = std::max(widths[i], row.at(i).size());
  }
  return widths;
}

void AppendLine(std::string& text,
                const std::vector<std::string>& cells,
                const std::vector<std::size_t>& widths) {
  for (std::size_t i = 0; i + 1 < cells.size(); ++i) {
    text += cells[i];
    text.append(widths[i] - cells[i].size(), ' ');
    text += kColumnGap;
  }
  if (!cells.empty())
    text += cells.back();
  text += '\n';
}

std::string FormatTextTable(const Table& table) {
  const std::vector<std::size_t> widths = ColumnWidths(table);
  std::string text;
  AppendLine(text, table.columns, widths);
  for (const std::vector<std::string>& row : table.rows)
    AppendLine(text, row, widths);
  return text;
}

std::string FormatJsonTable(const Table& table) {
  std::string text = "[";
  std::string_view separator = "\n  ";
  for (const std::vector<std::string>& row : table.rows) {
    text += Concat(separator, "{");
    for (std::size_t i = 0; i < table.columns.size(); ++i) {
      text += Concat(i == 0 ? "" : ", ", JsonText(table.columns[i]), ": ",
                     JsonText(row.at(i)));
    }
    text += "}";
    separator = ",\n  ";
  }
  return text + (table.rows.empty() ? "]\n" : "\n]\n");
}

}  // namespace

std::string JsonText(std::string_view text) {
  std::string json = "\"";
  while (!text.empty()) {
    const std::size_t size = CharacterSize(text);
    if (size == 0)
      json += kReplacementCharacter;
    else if (NeedsEscape(text.front()))
      json += EscapeJson(text.front());
    else
      json += text.substr(0, size);
    text.remove_prefix(std::max<std::size_t>(size, 1));
  }
  return json + "\"";
}

std::string FormatTable(const Table& table, OutputFormat format) {
  return format == OutputFormat::kJson ? FormatJsonTable(table)
                                       : FormatTextTable(table);
}

}  // namespace teaselspread
