// The node beside one upstream: gatekeeper of that upstream and entry for
// callers. Reads the settings, starts logging and runs the library's node.
#include <iostream>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include "teaselspread/logging.h"
#include "teaselspread/node.h"
#include "teaselspread/settings.h"

ABSL_FLAG(std::string, settings, "", "YAML file with this node's settings");

namespace {

constexpr int kFailureExitCode = 2;

std::string VersionText() {
  return "teaselnode " TEASELSPREAD_VERSION "\n";
}

}  // namespace

int main(int argc, char** argv) {
  absl::FlagsUsageConfig usage;
  usage.version_string = VersionText;
  absl::SetFlagsUsageConfig(usage);
  absl::SetProgramUsageMessage("teaselnode --settings=FILE");
  absl::ParseCommandLine(argc, argv);
  const std::string path = absl::GetFlag(FLAGS_settings);
  const auto settings = teaselspread::LoadNodeSettings(path);
  if (!settings) {
    std::cerr << settings.error().message << "\n";
    return kFailureExitCode;
  }
  teaselspread::StartLogging({settings->vm, settings->data_center},
                             settings->logging.level, settings->logging.file);
  if (const auto ran = teaselspread::RunNode(*settings); !ran) {
    std::cerr << ran.error().message << "\n";
    return kFailureExitCode;
  }
  return 0;
}
