#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "process/fleet.h"

namespace teaselspread {
namespace {

constexpr std::chrono::seconds kPatience{20};

struct Case {
  std::vector<std::string> arguments;
  int exit_code;
  // Must be part of the output.
  std::string expected_output;
};

// A script must distinguish a mistyped flag from a failed publish; with the
// same exit code for both it would retry forever.
Test(teaselctl, bad_arguments_end_with_the_code_for_usage) {
  const std::vector<Case> rows = {
      {{}, 2, "exactly one command"},
      {{"bogus"}, 2, "bogus"},
      {{"status", "watch"}, 2, "exactly one command"},
      {{"--nope=1", "status"}, 2, "no flag --nope"},
      {{"--nope", "status"}, 2, "no flag --nope"},
      {{"--nooutput", "status"}, 2, "no flag --nooutput"},
      {{"--timeout_s=abc", "status"}, 2, "abc"},
      {{"--timeout_s=-1", "status"}, 2, "-1"},
      {{"status", "--timeout_s"}, 2, "--timeout_s"},
      {{"--output=xml", "status"}, 2, "--output"},
      {{"status"}, 2, "--nodes"},
      {{"--nodes=bad", "status"}, 2, "--nodes"},
      {{"watch"}, 2, "--nodes"},
      {{"moves"}, 2, "--nodes"},
      {{"explain"}, 2, "--nodes"},
      {{"validate"}, 2, "--config"},
      {{"render"}, 2, "--config"},
      {{"publish"}, 2, "--config"},
      {{"--config=/nonexistent", "validate"}, 2, "/nonexistent"},
      {{"--nodes=127.0.0.1:1", "status"}, 5, "127.0.0.1:1"},
      {{"--new_beginning", "--version"}, 0, "teaselctl"},
  };
  for (const Case& row : rows) {
    Program ctl("teaselctl", row.arguments);
    const int code = ctl.WaitExit();
    const std::string words =
        row.arguments.empty() ? "" : row.arguments.front();
    cr_expect(code == row.exit_code, "%s: %d", words.c_str(), code);
    cr_expect(ctl.Output().find(row.expected_output) != std::string::npos,
              "%s: %s", words.c_str(), ctl.Output().c_str());
  }
}

// The help must list every command and every exit code, as a new operator may
// have no other source.
Test(teaselctl, help_lists_commands_and_exit_codes) {
  Program ctl("teaselctl", {"--help"});
  (void)ctl.WaitExit();
  for (const char* part :
       {"validate", "render", "diff", "publish", "status", "moves", "watch",
        "explain", "4 conflict", "--until"})
    cr_expect(ctl.Output().find(part) != std::string::npos, "%s", part);
}

// One proxy is stopped while the others apply the new version. In a list of
// hundreds the operator finds it only by its mark.
Test(teaselctl, status_marks_nodes_behind_and_watch_waits_for_them) {
  Fleet fleet("test");
  for (int i = 0; i < 3; ++i)
    fleet.Add("bole", "registry-desk", "v1");
  cr_assert(fleet.Start());
  const std::string base =
      "deployment: test\ndata_centers: [bole]\nservices:\n"
      "  registry-desk: {version: v1}\n";
  cr_assert(fleet.Publish(fleet.WriteConfig(base)).exit_code == 0);
  cr_assert(WaitUntil([&] { return fleet.AllHold(1); }, kPatience));
  // The versions of the other nodes arrive with their next messages.
  cr_assert(WaitUntil([&] {
    return fleet.Ctl("status").output.find("behind") == std::string::npos;
  }));
  fleet.At(2).node->Signal(SIGSTOP);
  const CommandResult published =
      fleet.Publish(fleet.WriteConfig(
          base + "routes:\n  r: {service: registry-desk, method: GET, "
                 "path_prefix: /r}\n"));
  cr_assert(published.exit_code == 0, "%s", published.output.c_str());
  cr_assert(published.output.find("publishing on version 1") !=
            std::string::npos);
  const auto shows_behind = [&] {
    return fleet.Ctl("status", {"--output=json"}).output.find("\"behind\"") !=
           std::string::npos;
  };
  cr_assert(WaitUntil(shows_behind, kPatience));
  fleet.At(2).node->Signal(SIGCONT);
  const CommandResult watched =
      fleet.Ctl("watch", {"--until=2", "--output=json"});
  cr_assert(watched.exit_code == 0, "%s", watched.output.c_str());
  cr_assert(watched.output.find("{\"reached\": ") != std::string::npos, "%s",
            watched.output.c_str());
  cr_assert(fleet.AllHold(2) || WaitUntil([&] { return fleet.AllHold(2); }));
}

}  // namespace
}  // namespace teaselspread
