// The command line tool of the operators.
#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include "teaselspread/commands.h"

ABSL_FLAG(std::string, config, "", "folder with base.yaml and the overlays");
ABSL_FLAG(std::string, deployment, "", "name of the deployment");
ABSL_FLAG(std::string, data_center, "", "data centre, for render");
ABSL_FLAG(std::string, log, "", "HOST:PORT of the platform's log");
ABSL_FLAG(std::vector<std::string>,
          nodes,
          {},
          "HOST:PORT of nodes, one of each data centre of interest");
ABSL_FLAG(std::string,
          publish_id,
          "",
          "id of the publish, to repeat it safely");
ABSL_FLAG(bool, new_beginning, false, "publish though the log lost its past");
ABSL_FLAG(std::uint64_t,
          onto,
          0,
          "version that the files were made for; publish is refused if another "
          "one has been accepted since");
ABSL_FLAG(std::string, output, "text", "text or json");
ABSL_FLAG(std::uint32_t, timeout_s, 30, "longest wait in seconds");
ABSL_FLAG(std::uint64_t, until, 0, "version that watch waits for");
ABSL_FLAG(std::string, method, "GET", "method, for explain");
ABSL_FLAG(std::string, path, "", "path, for explain");

namespace {

using teaselspread::CommandOptions;
using teaselspread::ExitCode;
using teaselspread::OutputFormat;

std::string VersionText() {
  return "teaselctl " TEASELSPREAD_VERSION "\n";
}

std::string HelpText() {
  std::string text = "teaselctl [flags] COMMAND\n\nCommands:\n";
  for (const auto& command : teaselspread::Commands()) {
    text += "  " + std::string(command.name) + ": " +
            std::string(command.description) + "\n";
  }
  text += "\nExit codes:\n";
  for (const auto& row : teaselspread::ExitCodes()) {
    text += "  " + std::to_string(static_cast<int>(row.code)) + " " +
            std::string(row.name) + ": " + std::string(row.description) + "\n";
  }
  return text;
}

CommandOptions OptionsFromFlags() {
  CommandOptions options;
  options.config = absl::GetFlag(FLAGS_config);
  options.deployment = absl::GetFlag(FLAGS_deployment);
  options.data_center = absl::GetFlag(FLAGS_data_center);
  options.log = absl::GetFlag(FLAGS_log);
  options.nodes = absl::GetFlag(FLAGS_nodes);
  options.publish_id = absl::GetFlag(FLAGS_publish_id);
  options.new_beginning = absl::GetFlag(FLAGS_new_beginning);
  options.expected_head = absl::GetFlag(FLAGS_onto);
  options.timeout = std::chrono::seconds(absl::GetFlag(FLAGS_timeout_s));
  options.version = absl::GetFlag(FLAGS_until);
  options.method = absl::GetFlag(FLAGS_method);
  options.path = absl::GetFlag(FLAGS_path);
  return options;
}

int ReportUsageError(const std::string& message) {
  std::cerr << "teaselctl: " << message << "; see --help\n";
  return static_cast<int>(ExitCode::kUsage);
}

}  // namespace

namespace {

// The help and version flags of the parser, which it handles itself.
bool IsHelpFlag(const std::string& name) {
  return name.rfind("help", 0) == 0 || name == "version";
}

// Describes the first invalid flag; "" if all are valid. The parser would exit
// with 1 on an invalid flag, which scripts take for kFailed, not for kUsage.
std::string FlagError(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    std::string_view argument = argv[i];
    if (argument == "--")
      return "";
    if (argument.size() < 2 || argument.front() != '-')
      continue;
    argument.remove_prefix(argument.substr(0, 2) == "--" ? 2 : 1);
    const std::size_t equals = argument.find('=');
    const std::string name(argument.substr(0, equals));
    if (IsHelpFlag(name))
      continue;
    absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
    const bool negated = flag == nullptr && name.rfind("no", 0) == 0;
    if (negated)
      flag = absl::FindCommandLineFlag(name.substr(2));
    if (flag == nullptr || (negated && !flag->IsOfType<bool>()))
      return "no flag --" + name;
    const bool has_value = equals != std::string_view::npos;
    if (flag->IsOfType<bool>() && !has_value)
      continue;
    if (negated || (!has_value && i + 1 == argc))
      return "bad value of --" + name;
    const std::string value(has_value ? argument.substr(equals + 1)
                                      : argv[++i]);
    // ParseCommandLine sets the flag again, to the same value.
    if (std::string error; !flag->ParseFrom(value, &error))
      return error;
  }
  return "";
}

}  // namespace

int main(int argc, char** argv) {
  absl::FlagsUsageConfig usage;
  usage.version_string = VersionText;
  absl::SetFlagsUsageConfig(usage);
  absl::SetProgramUsageMessage(HelpText());
  if (const std::string flag_error = FlagError(argc, argv); !flag_error.empty())
    return ReportUsageError(flag_error);
  const std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
  constexpr std::size_t kArgumentCount = 2;
  if (arguments.size() != kArgumentCount)
    return ReportUsageError("exactly one command is needed");
  CommandOptions options = OptionsFromFlags();
  const std::string output = absl::GetFlag(FLAGS_output);
  if (output != "text" && output != "json")
    return ReportUsageError("--output must be text or json");
  options.output = output == "json" ? OutputFormat::kJson : OutputFormat::kText;
  return static_cast<int>(
      teaselspread::RunCommand(arguments.at(1), options, std::cout, std::cerr));
}
