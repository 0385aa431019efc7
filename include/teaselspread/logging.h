// Structured logging, one event per line: time, level, VM, data centre,
// service, event, and key=value fields.
#ifndef TEASELSPREAD_LOGGING_H_
#define TEASELSPREAD_LOGGING_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace teaselspread {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError, kCount };

// One field of a line. Numbers are never quoted; text is if it is empty or has
// blanks, quotes, '=', control or non-ASCII characters. A field without a name
// is left out of the line.
struct LogField {
  LogField(std::string_view name, std::string_view text)
      : key(name), value(text) {}
  LogField(std::string_view name, const char* text) : key(name), value(text) {}
  template <std::integral Number>
  LogField(std::string_view name, Number number)
      : key(name), value(std::to_string(number)) {}

  std::string_view key;
  std::string value;
};

// Origin of the log lines, written to each line of this process.
struct LogIdentity {
  std::string vm;
  std::string data_center;
};

// Sets up log4cxx to write lines of at least `level` to `file`, or to standard
// error where it is empty. Call once, before any thread starts.
void StartLogging(const LogIdentity& identity,
                  LogLevel level,
                  const std::string& file);

// Receives complete lines, without the line terminator.
using LogSink = std::function<void(std::string_view line)>;

// The same with a sink instead of a file. The sink is called on the threads
// that log; an empty one disables the sink.
void StartLogging(const LogIdentity& identity, LogLevel level, LogSink sink);

// Writes one line; without StartLogging() it does nothing. Thread safe.
void Log(LogLevel level,
         std::string_view service,
         std::string_view event,
         std::initializer_list<LogField> fields);

// The text of one line without its time and level. Thread safe.
[[nodiscard]] std::string FormatLogLine(const LogIdentity& identity,
                                        std::string_view service,
                                        std::string_view event,
                                        std::initializer_list<LogField> fields);

}  // namespace teaselspread

#endif  // TEASELSPREAD_LOGGING_H_
