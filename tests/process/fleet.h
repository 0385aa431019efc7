// A small deployment of real processes: the log, and nodes with an upstream
// each, in several data centres on loopback. For tests and benchmarks only.
#ifndef TEASELSPREAD_TESTS_PROCESS_FLEET_H_
#define TEASELSPREAD_TESTS_PROCESS_FLEET_H_

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "process/harness.h"
#include "process/ports.h"

namespace teaselspread {

// One VM: a node and the upstream beside it.
struct FleetVm {
  std::string id;
  std::string data_center;
  std::string service;
  std::string version;
  std::vector<std::string> upstream_flags;
  Address http;
  Address control;
  // Where the upstream announces itself; a port of 0 is `http`.
  Address announce;
  std::unique_ptr<Program> node;
  std::unique_ptr<Program> upstream;
};

struct CommandResult {
  int exit_code = -1;
  std::string output;
};

inline std::string TextOf(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

inline Address FreeAddress() {
  return {"127.0.0.1", ClaimPort()};
}

class Fleet {
 public:
  Fleet(std::string name, std::vector<std::string> log_flags = {})
      : deployment(std::move(name)) {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
    this->folder = ::mkdtemp(pattern.data());
    log_flags.emplace_back("--port=0");
    this->log = std::make_unique<Program>("log_standin", log_flags);
    this->log_address = this->log->At();
    this->log_control = this->log->At("control");
  }

  ~Fleet() {
    this->vms.clear();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Adds a VM; nothing starts before Start().
  FleetVm& Add(const std::string& data_center,
               const std::string& service,
               const std::string& version,
               std::vector<std::string> upstream_flags = {}) {
    auto vm = std::make_unique<FleetVm>();
    vm->id = data_center + "-" + std::to_string(this->vms.size());
    vm->data_center = data_center;
    vm->service = service;
    vm->version = version;
    vm->upstream_flags = std::move(upstream_flags);
    vm->http = FreeAddress();
    vm->control = FreeAddress();
    this->vms.push_back(std::move(vm));
    return *this->vms.back();
  }

  // Starts every node and upstream and waits until the nodes listen.
  bool Start() {
    for (const auto& vm : this->vms)
      this->StartNode(*vm);
    for (const auto& vm : this->vms) {
      if (vm->node->PortAfter() == 0)
        return false;
      this->StartUpstream(*vm);
    }
    return true;
  }

  void StartNode(FleetVm& vm) {
    const std::string path = this->folder + "/" + vm.id + ".yaml";
    std::ofstream(path) << this->SettingsOf(vm);
    vm.node = std::make_unique<Program>(
        "teaselnode", std::vector<std::string>{"--settings=" + path});
  }

  void StartUpstream(FleetVm& vm) {
    std::vector<std::string> flags = {
        "--service=" + vm.service, "--version=" + vm.version,
        "--node=" + TextOf(vm.announce.port == 0 ? vm.http : vm.announce),
        "--renew_ms=300"};
    flags.insert(flags.end(), vm.upstream_flags.begin(),
                 vm.upstream_flags.end());
    vm.upstream = std::make_unique<Program>("upstream_standin", flags);
  }

  // Writes the files of one configuration and returns their folder.
  std::string WriteConfig(
      const std::string& base,
      const std::map<std::string, std::string>& overlays = {}) {
    std::string path =
        this->folder + "/config-" + std::to_string(++this->configs);
    std::filesystem::create_directory(path);
    std::ofstream(path + "/base.yaml") << base;
    for (const auto& [data_center, text] : overlays) {
      std::string file = path;
      file.append("/").append(data_center).append(".yaml");
      std::ofstream(file) << text;
    }
    return path;
  }

  // Runs teaselctl with the log and one node of each data centre.
  CommandResult Ctl(const std::string& command,
                    std::vector<std::string> flags = {}) {
    flags.push_back("--deployment=" + this->deployment);
    flags.push_back("--log=" + TextOf(this->log_address));
    flags.push_back("--nodes=" + this->OneOfEach());
    flags.push_back(command);
    Program ctl("teaselctl", flags);
    constexpr std::chrono::minutes kLongest{5};
    const int code = ctl.WaitExit(kLongest);
    return {code, ctl.Output()};
  }

  CommandResult Publish(const std::string& config,
                        std::vector<std::string> flags = {}) {
    flags.push_back("--config=" + config);
    return this->Ctl("publish", std::move(flags));
  }

  // The version that the node holds; 0 when it does not answer.
  static ConfigVersion Held(const FleetVm& vm) {
    const HttpResponse page = CallOnce(vm.http, "GET", "/status");
    if (page.status != 200)
      return 0;
    return YAML::Load(page.body)["version"].as<ConfigVersion>();
  }

  // Whether every running node holds `version` and lets requests in.
  bool AllHold(ConfigVersion version) {
    for (const auto& vm : this->vms) {
      if (vm->node->Exited())
        continue;
      if (Held(*vm) < version ||
          CallOnce(vm->http, "GET", "/health").status != 200)
        return false;
    }
    return true;
  }

  // Whether the node sees `count` ready upstreams of `service`.
  static bool SeesUpstreams(const FleetVm& vm,
                            const std::string& service,
                            std::size_t count) {
    const HttpResponse page = CallOnce(vm.http, "GET", "/status");
    if (page.status != 200)
      return false;
    std::size_t seen = 0;
    for (const YAML::Node& member : YAML::Load(page.body)["members"]) {
      if (member["service"].as<std::string>() == service &&
          member["upstream_state"].as<std::string>() == "ready" &&
          member["status"].as<std::string>() == "alive")
        ++seen;
    }
    return seen == count;
  }

  // Whether every node sees all the upstreams of its data centre that Add()
  // named.
  bool AllSeen() {
    std::map<std::pair<std::string, std::string>, std::size_t> expected;
    for (const auto& vm : this->vms)
      ++expected[{vm->data_center, vm->service}];
    for (const auto& vm : this->vms) {
      for (const auto& [where, count] : expected) {
        if (where.first == vm->data_center &&
            !SeesUpstreams(*vm, where.second, count))
          return false;
      }
    }
    return true;
  }

  // The digest of what the node holds; "" when it does not answer.
  static std::string DigestHeld(const FleetVm& vm) {
    const HttpResponse page = CallOnce(vm.http, "GET", "/status");
    if (page.status != 200)
      return "";
    return YAML::Load(page.body)["digest"].as<std::string>();
  }

  // What each node says of itself, for a test that fails.
  std::string Describe() {
    std::string text;
    for (const auto& vm : this->vms) {
      const std::string page = CallOnce(vm->http, "GET", "/status").body;
      text.append(vm->id).append(": ");
      text.append(page.substr(0, page.find('\n'))).append("\n");
    }
    return text;
  }

  // Whether all nodes hold `version` or more, and all the same.
  bool AllAgree(ConfigVersion version) {
    const std::string digest = DigestHeld(*this->vms.front());
    for (const auto& vm : this->vms) {
      if (DigestHeld(*vm) != digest)
        return false;
    }
    return this->AllHold(version);
  }

  // More lines of `log:` in the settings of nodes that start from now on, each
  // with two spaces before it.
  void SetLogSettings(std::string lines) {
    this->log_settings = std::move(lines);
  }

  // More lines of the settings of nodes that start from now on.
  void SetNodeSettings(std::string lines) {
    this->node_settings = std::move(lines);
  }

  FleetVm& At(std::size_t index) { return *this->vms.at(index); }
  [[nodiscard]] std::size_t size() const { return this->vms.size(); }
  [[nodiscard]] const Address& LogAddress() const { return this->log_address; }

  // Where the log's faults are switched, also during an outage.
  [[nodiscard]] const Address& LogControl() const { return this->log_control; }

  // The sum of one counter of a node's metrics page, such as
  // "refusals_total{reason=\"queue-full\"}".
  static double Metric(const FleetVm& vm, const std::string& name) {
    const std::string text = "\n" + CallOnce(vm.http, "GET", "/metrics").body;
    const std::size_t at = text.find("\nteaselspread_" + name + " ");
    if (at == std::string::npos)
      return 0;
    return std::strtod(text.c_str() + text.find(' ', at), nullptr);
  }

 private:
  [[nodiscard]] std::string SeedsOf(const std::string& data_center,
                                    const std::string& but_not) const {
    constexpr std::size_t kMostSeeds = 3;
    std::string seeds;
    std::size_t count = 0;
    for (const auto& vm : this->vms) {
      if (vm->data_center != data_center || vm->id == but_not ||
          count == kMostSeeds)
        continue;
      seeds.append(count++ == 0 ? "\"" : ", \"");
      seeds.append(TextOf(vm->control)).append("\"");
    }
    return "[" + seeds + "]";
  }

  [[nodiscard]] std::string SettingsOf(const FleetVm& vm) const {
    std::ostringstream text;
    text << "vm: " << vm.id << "\ndeployment: " << this->deployment
         << "\ndata_center: " << vm.data_center << "\nhttp: " << TextOf(vm.http)
         << "\ncontrol: " << TextOf(vm.control)
         << "\nupstream: 127.0.0.1:1\nlog:\n  address: "
         << TextOf(this->log_address) << "\n"
         << this->log_settings
         << "seeds: " << this->SeedsOf(vm.data_center, vm.id) << "\n";
    if (vm.announce.port != 0)
      text << "announce: " << TextOf(vm.announce) << "\n";
    std::map<std::string, std::string> remotes;
    for (const auto& other : this->vms) {
      if (other->data_center != vm.data_center)
        remotes[other->data_center] = this->SeedsOf(other->data_center, "");
    }
    if (!remotes.empty())
      text << "remote_seeds:\n";
    for (const auto& [data_center, seeds] : remotes)
      text << "  " << data_center << ": " << seeds << "\n";
    text << "logging:\n  level: info\n" << this->node_settings;
    return text.str();
  }

  [[nodiscard]] std::string OneOfEach() const {
    std::map<std::string, std::string> nodes;
    for (const auto& vm : this->vms)
      nodes.emplace(vm->data_center, TextOf(vm->http));
    std::string text;
    for (const auto& [data_center, node] : nodes)
      text.append(text.empty() ? "" : ",").append(node);
    return text;
  }

  std::string deployment;
  std::string folder;
  std::string log_settings;
  std::string node_settings;
  int configs = 0;
  std::unique_ptr<Program> log;
  Address log_address;
  Address log_control;
  std::vector<std::unique_ptr<FleetVm>> vms;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_TESTS_PROCESS_FLEET_H_
