// The main job from end to end, as real processes on loopback: both deployments
// of the brief, a publish, a request answered by each service, a move that is
// done and one that is taken back, and the account. Ends by itself.
//
//   build/demo
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "process/fleet.h"

namespace teaselspread {
namespace {

using namespace std::chrono_literals;

constexpr auto kStartLimit = 30s;
constexpr auto kMoveLimit = 150s;
constexpr auto kMoveTime = 70s;
constexpr auto kGap = 8ms;

// One deployment of the brief and what is moved in it.
struct Story {
  std::string name;
  std::vector<std::string> data_centers;
  std::string moved_service;
  std::string other_service;
  std::string moved_path;
  std::string other_path;
  // Faults of the new version.
  std::string new_version_switches;
  std::string expected_end;
};

const std::vector<Story>& Stories() {
  static const std::vector<Story> stories = {
      {"addis",
       {"bole", "piassa", "kazanchis", "arat-kilo"},
       "registry-desk",
       "bundle-works",
       "/cases/7",
       "/bundles/7",
       "{}",
       "done"},
      {"khomas",
       {"khomas-a", "khomas-b", "khomas-c"},
       "ledger-desk",
       "tally-works",
       "/dashboards/7",
       "/reports/7",
       "{fail_ratio: 0.3}",
       "taken-back"},
  };
  return stories;
}

std::string UtcText(std::chrono::system_clock::time_point time) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// The example's base file with one move that begins now.
std::string BaseWithMove(const Story& story) {
  YAML::Node base = YAML::Load(ReadFile(std::string(SOURCE_DIR) + "/examples/" +
                                        story.name + "/base.yaml"));
  const auto now = std::chrono::system_clock::now();
  YAML::Node move;
  move["service"] = story.moved_service;
  move["from"] = "v1";
  move["to"] = "v2";
  move["start"] = UtcText(now);
  move["by"] = UtcText(now + kMoveTime);
  move["watch"] = "10s";
  // A service takes one move at a time.
  YAML::Node moves;
  for (const auto& entry : base["moves"]) {
    if (entry.second["service"].as<std::string>() != story.moved_service)
      moves[entry.first] = entry.second;
  }
  moves["demo-move"] = move;
  base["moves"] = moves;
  return YAML::Dump(base);
}

void AddVms(Fleet& fleet, const Story& story) {
  for (const std::string& data_center : story.data_centers) {
    fleet.Add(data_center, story.moved_service, "v1");
    fleet.Add(data_center, story.moved_service, "v2",
              {"--switches=" + story.new_version_switches});
    fleet.Add(data_center, story.other_service, "v1");
  }
}

void Say(const Story& story, const std::string& text) {
  std::cout << "[" << story.name << "] " << text << std::endl;
}

// Calls every node in turn until told to stop; each answer is counted.
void SendTraffic(Fleet& fleet,
                 const Story& story,
                 const std::atomic<bool>& stop,
                 std::atomic<int>& good,
                 std::atomic<int>& bad) {
  HttpClientPool pool(4);
  for (std::size_t i = 0; !stop; ++i) {
    HttpRequest request;
    request.target = story.moved_path;
    CallOptions options;
    options.timeout = 5s;
    const auto answer =
        pool.Send(fleet.At(i % fleet.size()).http, request, options);
    ++(answer && answer->status == 200 ? good : bad);
    std::this_thread::sleep_for(kGap);
  }
}

bool Answered(Fleet& fleet, const Story& story, const std::string& path) {
  const HttpResponse answer = CallOnce(fleet.At(0).http, "GET", path);
  Say(story, "GET " + path + " -> " + std::to_string(answer.status) + " by " +
                 std::string(FindHeader(answer.headers, "X-Service")) + " " +
                 std::string(FindHeader(answer.headers, "X-Version")));
  return answer.status == 200;
}

std::string StateOfMove(Fleet& fleet) {
  const HttpResponse page = CallOnce(fleet.At(0).http, "GET", "/moves");
  if (page.status != 200)
    return "";
  for (const YAML::Node& move : YAML::Load(page.body)) {
    if (move["move"].as<std::string>() == "demo-move")
      return move["state"].as<std::string>();
  }
  return "";
}

bool Prepare(Fleet& fleet, const Story& story) {
  AddVms(fleet, story);
  if (!fleet.Start())
    return false;
  std::map<std::string, std::string> overlays;
  for (const std::string& data_center : story.data_centers)
    overlays[data_center] = ReadFile(std::string(SOURCE_DIR) + "/examples/" +
                                     story.name + "/" + data_center + ".yaml");
  const CommandResult published =
      fleet.Publish(fleet.WriteConfig(BaseWithMove(story), overlays));
  Say(story, published.output);
  if (published.exit_code != 0)
    return false;
  const CommandResult watched =
      fleet.Ctl("watch", {"--until=1", "--timeout_s=30"});
  Say(story, "proxies that hold it: " + watched.output);
  return WaitUntil([&] { return fleet.AllHold(1) && fleet.AllSeen(); },
                   kStartLimit);
}

bool RunMove(Fleet& fleet, const Story& story) {
  std::atomic<bool> stop{false};
  std::atomic<int> good{0};
  std::atomic<int> bad{0};
  std::thread traffic([&] { SendTraffic(fleet, story, stop, good, bad); });
  std::string state;
  WaitUntil(
      [&] {
        std::this_thread::sleep_for(200ms);
        state = StateOfMove(fleet);
        return state == "done" || state == "taken-back";
      },
      kMoveLimit);
  stop = true;
  traffic.join();
  Say(story, std::to_string(good) + " requests answered, " +
                 std::to_string(bad) + " not; the account:");
  std::cout << fleet.Ctl("moves").output << std::endl;
  return state == story.expected_end;
}

bool Tell(const Story& story) {
  Fleet fleet(story.name);
  if (!Prepare(fleet, story))
    return false;
  if (!Answered(fleet, story, story.moved_path) ||
      !Answered(fleet, story, story.other_path))
    return false;
  const bool as_expected = RunMove(fleet, story);
  std::cout << fleet.Ctl("status").output << std::endl;
  return as_expected;
}

}  // namespace
}  // namespace teaselspread

int main() {
  bool good = true;
  std::vector<std::thread> threads;
  std::atomic<int> failures{0};
  for (const auto& story : teaselspread::Stories()) {
    threads.emplace_back([&story, &failures] {
      if (!teaselspread::Tell(story))
        ++failures;
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  good = failures == 0;
  std::cout << (good ? "the main job ran as expected"
                     : "the main job did NOT run as expected")
            << std::endl;
  return good ? 0 : 1;
}
