// Four machines with their targets and the platform's store, as the scripts
// under review/ start them. The stand-ins run in the script's own process.
#ifndef TEASELSPREAD_REVIEW_FLEET_H_
#define TEASELSPREAD_REVIEW_FLEET_H_

#include <filesystem>
#include <memory>
#include <system_error>

#include "review/stage.h"
#include "standins/mesh_upstream.h"
#include "standins/store_service.h"

namespace review {

constexpr int kDeadlineMs = 4000;

// Bounds of the sheet of atlbs-mesh-grown.
constexpr char kBounds[] =
    "livenessMs=3000,drainMs=2500,graceS=6,lostMs=200,configMs=2500,"
    "retryBudgetRatio=0.2,budgetWindowS=10,budgetSlack=174";

// A configuration with a route of each kind.
constexpr char kConfig[] =
    R"({"version":"00000001","limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
    R"("listeners":[{"hostname":"mesh.example","policy":[)"
    R"({"name":"r-index","routeType":"safe","aimMs":1000,"priority":2,)"
    R"("match":{"pathPrefix":"/index/"},"action":{"service":"desk",)"
    R"("timeoutMs":2500,"maxAttempts":2}},)"
    R"({"name":"r-lodge","routeType":"unsafe","aimMs":1200,"priority":1,)"
    R"("match":{"pathPrefix":"/lodge/"},"action":{"service":"desk",)"
    R"("timeoutMs":3000,"maxAttempts":2}},)"
    R"({"name":"r-upload","routeType":"upload","aimMs":1500,"priority":1,)"
    R"("match":{"pathPrefix":"/upload/"},"action":{"service":"works",)"
    R"("timeoutMs":4000,"maxAttempts":2}}]}],)"
    R"("clusters":[{"name":"desk","healthPath":"/health"},)"
    R"({"name":"works","healthPath":"/health"}]})";

struct Fleet {
  explicit Fleet(const std::string& path) : record(path) {}
  ~Fleet() {
    this->nodes.clear();
    std::error_code ignored;  // what is left does no harm
    std::filesystem::remove_all(this->folder, ignored);
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  Record record;
  std::string folder = TemporaryFolder();
  // Never freed: their threads end with the process.
  standin::StoreService& store = *new standin::StoreService;
  std::vector<standin::MeshUpstream*> targets;
  std::vector<std::unique_ptr<Node>> nodes;
};

inline void AddMachine(Fleet& fleet, const Machine& machine, Millis work) {
  constexpr int kSlots = 18;
  standin::MeshUpstreamOptions options;
  options.instance = "i-" + machine.name;
  options.service = machine.service;
  options.slots = kSlots;
  options.work = work;
  options.heartbeat = Millis(1500);
  auto& target = *new standin::MeshUpstream(options);
  fleet.targets.push_back(&target);
  fleet.nodes.push_back(std::make_unique<Node>(
      machine, fleet.folder, fleet.store.Port(), target.Port(), kBounds));
  fleet.nodes.back()->Start();
  target.BeatTo(fleet.nodes.back()->admin);
}

// What the targets have run.
inline void RecordRuns(Fleet& fleet) {
  for (standin::MeshUpstream* target : fleet.targets) {
    for (const standin::MeshRun& run : target->Runs()) {
      if (run.id != "settle")
        fleet.record.LineAt(run.arrived, "target: ran " + run.id);
    }
  }
}

inline bool Serves(const Node& node) {
  constexpr Millis kPatience{2000};
  const Answer read =
      Ask(node.outbound, {"GET", "/index/x", "settle", kDeadlineMs}, kPatience);
  const Answer upload =
      Ask(node.outbound, {"POST", "/upload/x", "settle", kDeadlineMs},
          kPatience, "x");
  return node.Ready() && read.status == 200 && upload.status == 200;
}

// False if the nodes do not serve in time.
inline bool StartFour(Fleet& fleet, Millis work) {
  constexpr Millis kPatience{20000};
  constexpr int kLineMbit = 11;
  fleet.store.Put("keyed.op", "config", kConfig);
  AddMachine(fleet, {"bole-1", "bole", "desk", kLineMbit}, work);
  AddMachine(fleet, {"bole-2", "bole", "works", kLineMbit}, work);
  AddMachine(fleet, {"piassa-1", "piassa", "desk", kLineMbit}, work);
  AddMachine(fleet, {"piassa-2", "piassa", "works", kLineMbit}, work);
  return WaitUntil(
      [&fleet] {
        return std::all_of(fleet.nodes.begin(), fleet.nodes.end(),
                           [](const auto& node) { return Serves(*node); });
      },
      kPatience);
}

}  // namespace review

#endif  // TEASELSPREAD_REVIEW_FLEET_H_
