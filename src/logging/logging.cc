#include "teaselspread/logging.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <memory>
#include <utility>

#include <absl/time/clock.h>
#include <absl/time/time.h>

namespace teaselspread {
namespace {

constexpr const char* kPattern = "%d{ISO8601} level=%p %m%n";

struct LoggingState {
  LogIdentity identity;
  log4cxx::LoggerPtr logger;
  // Used instead of `logger`, which blocks while its output is not read.
  LogSink sink;
  LogLevel sink_level = LogLevel::kInfo;
};

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(LogLevel::kCount)>
    kLevelNames = {"DEBUG", "INFO", "WARN", "ERROR"};

std::string FormatTimestamp() {
  const absl::Time now = absl::Now();
  return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", now, absl::UTCTimeZone());
}

LoggingState& State() {
  static LoggingState state;
  return state;
}

log4cxx::LevelPtr ToLog4cxxLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kWarning:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
    case LogLevel::kInfo:
    case LogLevel::kCount:
      break;
  }
  return log4cxx::Level::getInfo();
}

bool NeedsQuotes(std::string_view text) {
  return text.empty() || std::any_of(text.begin(), text.end(), [](char c) {
           const auto byte = static_cast<unsigned char>(c);
           return std::isgraph(byte) == 0 || c == '"' || c == '=';
         });
}

// External values may have line breaks, which could forge log lines; control
// characters are therefore replaced.
void AppendQuoted(std::string& line, std::string_view text) {
  line += '"';
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\')
      line += '\\';
    line += std::iscntrl(byte) != 0 ? '?' : c;
  }
  line += '"';
}

void AppendField(std::string& line,
                 std::string_view key,
                 std::string_view value) {
  if (!line.empty())
    line += ' ';
  line += key;
  line += '=';
  if (NeedsQuotes(value))
    AppendQuoted(line, value);
  else
    line += value;
}

}  // namespace

void StartLogging(const LogIdentity& identity,
                  LogLevel level,
                  const std::string& file) {
  auto layout = std::make_shared<log4cxx::PatternLayout>(kPattern);
  log4cxx::AppenderPtr appender;
  if (file.empty()) {
    appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
  } else {
    appender = std::make_shared<log4cxx::FileAppender>(layout, file, true);
  }
  LoggingState& state = State();
  state.identity = identity;
  state.logger = log4cxx::Logger::getLogger("teaselspread");
  state.logger->addAppender(appender);
  state.logger->setLevel(ToLog4cxxLevel(level));
}

void StartLogging(const LogIdentity& identity, LogLevel level, LogSink sink) {
  LoggingState& state = State();
  state.identity = identity;
  state.sink = std::move(sink);
  state.sink_level = level;
}

void Log(LogLevel level,
         std::string_view service,
         std::string_view event,
         std::initializer_list<LogField> fields) {
  const LoggingState& state = State();
  if (state.sink) {
    if (level < state.sink_level)
      return;
    std::string line = FormatTimestamp();
    line += " level=";
    line += kLevelNames.at(static_cast<std::size_t>(level));
    line += ' ';
    line += FormatLogLine(state.identity, service, event, fields);
    state.sink(line);
    return;
  }
  const log4cxx::LevelPtr log4cxx_level = ToLog4cxxLevel(level);
  if (!state.logger || !state.logger->isEnabledFor(log4cxx_level))
    return;
  state.logger->log(log4cxx_level,
                    FormatLogLine(state.identity, service, event, fields));
}

std::string FormatLogLine(const LogIdentity& identity,
                          std::string_view service,
                          std::string_view event,
                          std::initializer_list<LogField> fields) {
  std::string line;
  AppendField(line, "vm", identity.vm);
  AppendField(line, "data_center", identity.data_center);
  AppendField(line, "service", service);
  AppendField(line, "event", event);
  for (const LogField& field : fields) {
    if (!field.key.empty())
      AppendField(line, field.key, field.value);
  }
  return line;
}

}  // namespace teaselspread
