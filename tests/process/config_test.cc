#include <criterion/criterion.h>

#include <array>
#include <future>
#include <set>
#include <string>
#include <vector>

#include "process/fleet.h"
#include "teaselspread/wire.h"

namespace teaselspread {
namespace {

constexpr std::chrono::seconds kPatience{25};
constexpr int kConflictExit = 4;

// A configuration whose content differs by its queue limit.
std::string Base(int queue_limit) {
  return "deployment: test\ndata_centers: [bole, piassa, kazanchis]\n"
         "services:\n  registry-desk: {version: v1, queue_limit: " +
         std::to_string(queue_limit) +
         "}\nroutes:\n  case-index: {service: registry-desk, method: GET, "
         "path_prefix: /cases}\n";
}

void AddNodes(Fleet& fleet, const std::vector<std::string>& data_centers) {
  for (const std::string& data_center : data_centers)
    fleet.Add(data_center, "registry-desk", "v1");
}

// Publishes and returns the accepted version.
ConfigVersion Publish(Fleet& fleet, int queue_limit) {
  const CommandResult published =
      fleet.Publish(fleet.WriteConfig(Base(queue_limit)), {"--output=json"});
  cr_assert(published.exit_code == 0, "%s", published.output.c_str());
  const std::size_t at = published.output.find("{\"publish_id\"");
  return YAML::Load(published.output.substr(at))["offset"].as<ConfigVersion>();
}

void SetUp(Fleet& fleet, const std::vector<std::string>& data_centers) {
  AddNodes(fleet, data_centers);
  cr_assert(fleet.Start());
  const ConfigVersion first = Publish(fleet, 1);
  cr_assert(WaitUntil([&] { return fleet.AllAgree(first); }, kPatience));
}

// Six operators publish concurrently from the same state. If more than one were
// accepted on a parent, each operator would believe its files to be in force,
// and nodes could hold different ones.
Test(config, of_racing_operators_one_wins_per_parent) {
  Fleet fleet("test");
  SetUp(fleet, {"bole", "bole", "piassa", "piassa"});
  cr_assert(Control(fleet.LogControl(), "{slow_ms: 800}"));
  constexpr int kOperators = 6;
  std::vector<std::future<CommandResult>> runs;
  for (int i = 0; i < kOperators; ++i) {
    const std::string files = fleet.WriteConfig(Base(10 + i));
    runs.push_back(std::async(std::launch::async, [&fleet, files, i] {
      return fleet.Publish(
          files, {"--publish_id=op-" + std::to_string(i), "--output=json"});
    }));
  }
  std::set<std::string> winners;
  std::vector<YAML::Node> losers;
  ConfigVersion last = 0;
  for (auto& run : runs) {
    const CommandResult result = run.get();
    const YAML::Node outcome =
        YAML::Load(result.output.substr(result.output.find("{\"publish_id\"")));
    if (result.exit_code == 0) {
      winners.insert(outcome["publish_id"].as<std::string>());
      last = std::max(last, outcome["offset"].as<ConfigVersion>());
    } else {
      cr_assert(result.exit_code == kConflictExit, "%d %s", result.exit_code,
                result.output.c_str());
      losers.push_back(outcome);
    }
  }
  cr_assert(!winners.empty() && !losers.empty());
  for (const YAML::Node& loser : losers) {
    cr_assert(winners.count(loser["head_publish_id"].as<std::string>()) == 1);
    const auto message = loser["message"].as<std::string>();
    cr_assert(message.find(loser["head_publish_id"].as<std::string>()) !=
                  std::string::npos,
              "%s", message.c_str());
  }
  cr_assert(Control(fleet.LogControl(), "{slow_ms: 0}"));
  cr_assert(WaitUntil([&] { return fleet.AllAgree(last); }, kPatience));
}

// The log stores the append but its response is lost. Reported as failed, the
// operator would publish again and undo what came between; accepted twice, the
// version would rise twice.
Test(config, a_publish_with_a_lost_response_is_applied_once) {
  Fleet fleet("test");
  SetUp(fleet, {"bole", "piassa"});
  cr_assert(Control(fleet.LogControl(), "{lost_answers: 1}"));
  const std::string files = fleet.WriteConfig(Base(2));
  const CommandResult first =
      fleet.Publish(files, {"--publish_id=once", "--output=json"});
  cr_assert(first.exit_code == 0, "%s", first.output.c_str());
  const ConfigVersion version = YAML::Load(first.output.substr(
      first.output.find("{\"publish_id\"")))["offset"]
                                    .as<ConfigVersion>();
  cr_assert(WaitUntil([&] { return fleet.AllAgree(version); }, kPatience));
  const CommandResult again =
      fleet.Publish(files, {"--publish_id=once", "--output=json"});
  cr_assert(again.exit_code == 0, "%s", again.output.c_str());
  cr_assert(first.output.find(again.output) != std::string::npos, "%s\n%s",
            first.output.c_str(), again.output.c_str());
  const ConfigVersion next = Publish(fleet, 3);
  cr_assert(WaitUntil([&] { return fleet.AllAgree(next); }, kPatience));
}

// One data centre is cut off from the log, but not from the others. Its nodes
// must get the newest configuration as soon as the others.
Test(config, a_data_center_cut_from_the_log_converges_through_the_others) {
  Fleet fleet("test");
  SetUp(fleet, {"bole", "bole", "piassa", "piassa"});
  cr_assert(Control(fleet.LogControl(), "{cut: [bole]}"));
  const ConfigVersion during = Publish(fleet, 2);
  cr_assert(WaitUntil([&] { return fleet.AllAgree(during); }, kPatience));
  fleet.At(0).node->Signal(SIGKILL);
  cr_assert(fleet.At(0).node->WaitExit() >= 0);
  fleet.StartNode(fleet.At(0));
  cr_assert(WaitUntil([&] { return fleet.AllAgree(during); }, kPatience));
  cr_assert(Control(fleet.LogControl(), "{cut: []}"));
  const ConfigVersion after = Publish(fleet, 3);
  cr_assert(WaitUntil([&] { return fleet.AllAgree(after); }, kPatience));
}

// The log hangs for seconds, then responds slowly, while nodes restart. A new
// node must become ready from its peers alone, and no version may revert when
// the log recovers.
Test(config, nodes_restart_while_the_log_hangs_and_is_slow) {
  Fleet fleet("test");
  // A new node needs confirmation by two others while the log is unavailable.
  SetUp(fleet, {"bole", "bole", "bole", "piassa", "piassa", "piassa"});
  const ConfigVersion before = Publish(fleet, 2);
  cr_assert(WaitUntil([&] { return fleet.AllAgree(before); }, kPatience));
  for (const char* fault :
       {"{outage: hang}", "{outage: none, slow_ms: 1500}"}) {
    cr_assert(Control(fleet.LogControl(), fault));
    for (const std::size_t index : {std::size_t{0}, std::size_t{3}}) {
      fleet.At(index).node->Signal(SIGKILL);
      cr_assert(fleet.At(index).node->WaitExit() >= 0);
      fleet.StartNode(fleet.At(index));
    }
    cr_assert(WaitUntil([&] { return fleet.AllAgree(before); }, kPatience),
              "%s\n%s", fault, fleet.Describe().c_str());
  }
  cr_assert(Control(fleet.LogControl(), "{slow_ms: 0}"));
  const ConfigVersion after = Publish(fleet, 3);
  cr_assert(WaitUntil([&] { return fleet.AllAgree(after); }, kPatience));
}

// Records expire after the log's short retention. Without a checkpoint, a node
// that starts later, or all nodes after a power cut, would find no state.
Test(config, the_state_survives_expiry_of_its_records) {
  Fleet fleet("test", {"--retention_ms=6000"});
  fleet.SetLogSettings("  retention: 6s\n");
  SetUp(fleet, {"bole", "bole", "piassa"});
  const ConfigVersion version = Publish(fleet, 2);
  const auto expired = [&] {
    const HttpResponse page =
        CallOnce(fleet.LogAddress(), "GET",
                 "/streams/teaselspread-test?from=1&max=1&wait_ms=0");
    const auto first = FindHeader(page.headers, "X-First-Offset");
    return std::strtoull(std::string(first).c_str(), nullptr, 10) > version;
  };
  cr_assert(WaitUntil(expired, kPatience));
  AddNodes(fleet, {"kazanchis"});
  fleet.StartNode(fleet.At(3));
  cr_assert(WaitUntil([&] { return fleet.AllAgree(version); }, kPatience));
  for (std::size_t i = 0; i < fleet.size(); ++i)
    fleet.At(i).node->Signal(SIGKILL);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    cr_assert(fleet.At(i).node->WaitExit() >= 0);
    fleet.StartNode(fleet.At(i));
  }
  cr_assert(WaitUntil([&] { return fleet.AllAgree(version); }, kPatience));
  const ConfigVersion next = Publish(fleet, 3);
  cr_assert(WaitUntil([&] { return fleet.AllAgree(next); }, kPatience));
}

// During an upgrade a node of a newer release sends frames in a format that
// this one cannot parse. Misread, they would corrupt the state; dropped
// silently, the operator would look for the fault in the network.
Test(config, a_frame_of_a_newer_format_is_refused_and_counted) {
  Fleet fleet("test");
  SetUp(fleet, {"bole", "bole"});
  const std::string before = Fleet::DigestHeld(fleet.At(0));
  Gossip gossip;
  gossip.from.id = "bole-9";
  std::string frame = Encode(Message{gossip});
  constexpr std::size_t kFormatAt = 4;
  frame.at(kFormatAt) = static_cast<char>(kFrameFormat + 1);
  const int fd = ::socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(fleet.At(0).control.port);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  (void)::sendto(fd, frame.data(), frame.size(), 0,
                 reinterpret_cast<sockaddr*>(&to), sizeof to);
  ::close(fd);
  cr_assert(WaitUntil([&] {
    return Fleet::Metric(fleet.At(0),
                         "refused_frames_total{reason=\"frame-version\"}") >= 1;
  }));
  cr_assert(WaitUntil([&] {
    return fleet.At(0).node->Output().find(
               "frame of format 2, this node "
               "speaks format 1") != std::string::npos;
  }));
  cr_assert(Fleet::DigestHeld(fleet.At(0)) == before);
  cr_assert(fleet.AllHold(1));
}

}  // namespace
}  // namespace teaselspread
