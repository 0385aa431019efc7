// A fixture of several nodes with their upstreams and a store, all on loopback.
// Tests only.
#ifndef TEASELSPREAD_TESTS_PROCESS_EDGE_FLEET_H_
#define TEASELSPREAD_TESTS_PROCESS_EDGE_FLEET_H_

#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "process/harness.h"
#include "process/ports.h"
#include "standins/mesh_upstream.h"
#include "standins/store_service.h"

namespace teaselspread {

struct EdgePorts {
  std::uint16_t outbound = ClaimPort();
  std::uint16_t readiness = ClaimPort();
  std::uint16_t admin = ClaimPort();
  std::uint16_t metrics = ClaimPort();
  std::uint16_t link = ClaimPort();
};

// Settings of a node that most tests leave at their defaults.
struct EdgeVmOptions {
  std::string agreed = "graceS=6";
  int line_mbit = 0;
  // 0 for what the kernel reports.
  std::size_t memory_mb = 0;
  std::size_t max_fds = 0;
  // Where the node finds its upstream; 0 for the stand-in, which sends the
  // heartbeats in any case.
  std::uint16_t upstream_port = 0;
};

// One VM: an upstream and the node beside it, which can be restarted.
class EdgeVm {
 public:
  EdgeVm(const std::string& vm_name,
         const std::string& data_center,
         const standin::MeshUpstreamOptions& options,
         std::uint16_t store_port,
         const EdgeVmOptions& node_options = {})
      : name(vm_name),
        service(options.service),
        upstream(*new standin::MeshUpstream(options)),
        settings_path("/tmp/edge-" + std::to_string(::getpid()) + "-" + name) {
    this->WriteSettings(data_center, store_port, node_options);
    this->Start();
    this->upstream.BeatTo(this->ports.admin);
  }

  void Start() {
    this->node = std::make_unique<Program>(
        "teaseledge",
        std::vector<std::string>{"--settings=" + this->settings_path});
  }

  // Kills the node with SIGKILL and starts it again.
  void Restart() {
    this->node->Signal(SIGKILL);
    (void)this->node->WaitExit();
    this->Start();
  }

  // Kills the node and starts one of another name at its addresses.
  void ReplaceNode(const std::string& new_name) {
    std::ifstream old_file(this->settings_path);
    const std::string old((std::istreambuf_iterator<char>(old_file)), {});
    std::ofstream(this->settings_path)
        << "vm: " << new_name << old.substr(old.find('\n'));
    this->name = new_name;
    this->Restart();
  }

  // The upstream sends no heartbeat any more and announces that it leaves; true
  // when that was acknowledged.
  bool AnnounceLeave() {
    this->upstream.BeSilent();
    // A heartbeat that is under way arrives before the leave.
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    return this->upstream.Leave(this->ports.admin);
  }

  [[nodiscard]] Address Outbound() const {
    return {"127.0.0.1", this->ports.outbound};
  }

  [[nodiscard]] bool Ready() const {
    return CallOnce({"127.0.0.1", this->ports.readiness}, "GET", "/ready")
               .status == 200;
  }

  [[nodiscard]] std::string Metrics() const {
    return CallOnce({"127.0.0.1", this->ports.metrics}, "GET", "/metrics").body;
  }

  // The value of `name`, including any labels, on the metrics page; 0 if
  // absent.
  [[nodiscard]] std::size_t Metric(const std::string& name) const {
    const std::string page = "\n" + this->Metrics();
    const std::size_t at = page.find("\n" + name + " ");
    if (at == std::string::npos)
      return 0;
    return std::strtoul(page.c_str() + at + name.size() + 2, nullptr, 10);
  }

  std::string name;
  std::string service;
  EdgePorts ports;
  // Never freed: the threads of its connections end with the process.
  standin::MeshUpstream& upstream;
  std::string settings_path;
  std::unique_ptr<Program> node;

 private:
  void WriteSettings(const std::string& data_center,
                     std::uint16_t store_port,
                     const EdgeVmOptions& node_options) const {
    const auto at = [](std::uint16_t port) {
      return "127.0.0.1:" + std::to_string(port) + "\n";
    };
    const std::uint16_t upstream_port = node_options.upstream_port != 0
                                            ? node_options.upstream_port
                                            : this->upstream.Port();
    std::ofstream file(this->settings_path);
    file << "vm: " << this->name << "\ndata_center: " << data_center
         << "\nservice: " << this->service
         << "\noutbound: " << at(this->ports.outbound)
         << "readiness: " << at(this->ports.readiness)
         << "admin: " << at(this->ports.admin)
         << "metrics: " << at(this->ports.metrics)
         << "link: " << at(this->ports.link)
         << "upstream: " << at(upstream_port) << "store: " << at(store_port)
         << "heartbeat: 1500ms\n"
         << "agreed: " << node_options.agreed
         << "\nline_mbit: " << node_options.line_mbit
         << "\nmemory_mb: " << node_options.memory_mb
         << "\nmax_fds: " << node_options.max_fds << "\n";
  }
};

// The configuration `version` with a route of each type. `extra` is the path
// prefix of an additional route, or "" for none.
inline std::string ConfigText(const std::string& version,
                              const std::string& extra = "") {
  const auto route = [](const std::string& name, const std::string& type,
                        const std::string& path, const std::string& to) {
    return R"({"name":")" + name + R"(","routeType":")" + type +
           R"(","priority":1,"match":{"pathPrefix":")" + path +
           R"("},"action":{"service":")" + to +
           R"(","timeoutMs":2000,"maxAttempts":3}})";
  };
  std::string routes = route("r-view", "safe", "/view/", "desk") + "," +
                       route("r-lodge", "unsafe", "/lodge/", "desk") + "," +
                       route("r-load", "upload", "/load/", "works");
  if (!extra.empty())
    routes += "," + route("r-extra", "safe", extra, "works");
  return R"({"version":")" + version +
         R"(","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
         R"("listeners":[{"hostname":"127.0.0.1","policy":[)" +
         routes +
         R"(]}],"clusters":[{"name":"desk","healthPath":"/health"},)"
         R"({"name":"works","healthPath":"/health"}]})";
}

inline HttpResponse SendRequest(const EdgeVm& vm,
                                const std::string& method,
                                const std::string& path,
                                const std::string& id,
                                const std::string& body = "") {
  return CallOnce(vm.Outbound(), method, path, body,
                  {{"X-Request-Id", id}, {"X-Deadline-Ms", "2000"}});
}

// Two upstreams of "desk" and one of "works", in two data centres.
struct EdgeFleet {
  // Never freed, like the upstreams.
  standin::StoreService& store = *new standin::StoreService;
  std::vector<std::unique_ptr<EdgeVm>> vms;

  explicit EdgeFleet(const std::string& config = ConfigText("00000001"),
                     const EdgeVmOptions& node_options = {}) {
    this->store.Put("keyed.op", "config", config);
    this->Add("a-1", "a", {"i-a1", "desk"}, node_options);
    this->Add("a-2", "a", {"i-a2", "works"}, node_options);
    this->Add("b-1", "b", {"i-b1", "desk"}, node_options);
  }

  EdgeVm& Add(const std::string& name,
              const std::string& data_center,
              const standin::MeshUpstreamOptions& options,
              const EdgeVmOptions& node_options = {}) {
    this->vms.push_back(std::make_unique<EdgeVm>(
        name, data_center, options, this->store.Port(), node_options));
    return *this->vms.back();
  }

  [[nodiscard]] EdgeVm& At(std::size_t index) { return *this->vms.at(index); }

  // Waits until every node serves both services, knows its own upstream and has
  // opened its links. On a time-out prints the logs and returns false. Served
  // requests alone prove too little: a node also serves through the others.
  bool WaitUntilReady() {
    if (this->PollUntilReady())
      return true;
    std::fprintf(stderr, "%s\n", this->Logs().c_str());
    return false;
  }

  // The output of all nodes. Log lines are written some time after the event,
  // so it waits for those of request `id`.
  [[nodiscard]] std::string WaitForLogs(const std::string& id) const {
    WaitUntil(
        [&] { return this->Logs().find("id=" + id) != std::string::npos; },
        std::chrono::seconds(2));
    // Lines of the other nodes may be delayed as long.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    return this->Logs();
  }

  [[nodiscard]] std::string Logs() const {
    std::string logs;
    for (const auto& vm : this->vms)
      logs += vm->node->Output();
    return logs;
  }

 private:
  bool PollUntilReady() {
    return WaitUntil([this] {
      for (const auto& vm : this->vms) {
        if (!vm->Ready() || vm->Metric("teaselspread_gate_slots") == 0 ||
            vm->Metric(R"(teaselspread_links_total{event="opened"})") + 1 <
                this->vms.size() ||
            SendRequest(*vm, "GET", "/view/x", "settle").status != 200 ||
            SendRequest(*vm, "POST", "/load/x", "settle", "body").status != 200)
          return false;
      }
      return true;
    });
  }
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_TESTS_PROCESS_EDGE_FLEET_H_
