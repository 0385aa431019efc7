// Cost of the configuration core with 2,000 services and 2,000 routes, about
// 20,000 leaves, over the data centres of Addis Ababa.
//
//   cmake --build build --target config_bench && build/config_bench
//
// Prints the median and the worst of `--rounds` runs in milliseconds, bytes of
// records, and the resident memory of the process.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "teaselspread/config_log.h"
#include "teaselspread/operator.h"

ABSL_FLAG(int, services, 2000, "services, with one route each");
ABSL_FLAG(int, rounds, 15, "runs of each measurement");

namespace teaselspread {
namespace {

using Clock = std::chrono::steady_clock;

std::string BaseText(int services) {
  std::string text =
      "deployment: addis\ndata_centers: [bole, piassa, kazanchis, arat-kilo]\n"
      "services:\n";
  for (int i = 0; i < services; ++i) {
    const std::string name = "registry-desk-" + std::to_string(i);
    text += "  " + name +
            ": {version: v1, queue_limit: 64, connections: 130, warm_up: 5s}\n";
  }
  text += "routes:\n";
  for (int i = 0; i < services; ++i) {
    const std::string number = std::to_string(i);
    text.append("  case-index-").append(number);
    text.append(": {service: registry-desk-").append(number);
    text.append(", method: GET, path_prefix: /cases/").append(number);
    text.append(", deadline: 2s, priority: normal, idempotent: true}\n");
  }
  return text;
}

std::string OverlayText(int services) {
  std::string text = "services:\n";
  for (int i = 0; i < services; i += 20)
    text += "  registry-desk-" + std::to_string(i) + ": {queue_limit: 32}\n";
  return text;
}

void Measure(const char* name, const std::function<void()>& run) {
  std::vector<double> times;
  for (int i = 0; i < absl::GetFlag(FLAGS_rounds); ++i) {
    const Clock::time_point start = Clock::now();
    run();
    const std::chrono::duration<double, std::milli> time = Clock::now() - start;
    times.push_back(time.count());
  }
  std::sort(times.begin(), times.end());
  std::printf("%-34s median %8.2f ms   worst %8.2f ms\n", name,
              times[times.size() / 2], times.back());
}

// Resident memory in MiB, as the kernel counts it.
double ResidentMib() {
  std::ifstream status("/proc/self/statm");
  double total = 0;
  double resident = 0;
  status >> total >> resident;
  constexpr double kPagesPerMib = 256;
  return resident / kPagesPerMib;
}

ConfigSources Sources() {
  const int services = absl::GetFlag(FLAGS_services);
  ConfigSources sources{{"base.yaml", BaseText(services)}, {}};
  for (const char* name : {"bole", "piassa", "kazanchis", "arat-kilo"})
    sources.overlays[name] = {name, OverlayText(services)};
  return sources;
}

void MeasureDocument(const Document& document, const Document& changed) {
  Measure("render one data centre",
          [&] { (void)Render(document, "bole", 1).has_value(); });
  Measure("validate four data centres",
          [&] { (void)ValidateAll(document).has_value(); });
  Measure("digest", [&] { (void)DigestOf(document); });
  Measure("make a delta of one leaf",
          [&] { (void)MakeDelta(document, changed); });
}

void MeasureFold(const FoldState& state, const Document& changed) {
  const std::string full =
      EncodeRecord(ChangeRecord{"one", 0, state.digest, state.document});
  const std::string delta = EncodeRecord(MakeChange(state, changed, "two"));
  const std::string checkpoint =
      EncodeRecord(MakeCheckpoint(state, TimePoint()));
  Measure("encode a checkpoint",
          [&] { (void)EncodeRecord(MakeCheckpoint(state, TimePoint())); });
  Measure("fold a full change", [&] {
    FoldState fresh;
    Fold(fresh, 1, full);
  });
  FoldState copy = state;
  Measure("fold a change of one leaf", [&] {
    const bool back = copy.document == changed;
    const Document& to = back ? state.document : changed;
    const auto id = std::to_string(copy.position);
    Fold(copy, copy.position + 1, EncodeRecord(MakeChange(copy, to, id)));
  });
  Measure("start from a checkpoint", [&] {
    FoldState fresh;
    Fold(fresh, 2, checkpoint);
  });
  const std::string opaque =
      EncodeRecord(OpaqueRecord{"verdict", std::string(200, 'x')});
  Measure("fold 100,000 opaque records", [&] {
    FoldState fresh;
    for (LogOffset offset = 1; offset <= 100'000; ++offset)
      Fold(fresh, offset, opaque);
  });
  std::printf("record bytes: full %zu, delta %zu, checkpoint %zu\n",
              full.size(), delta.size(), checkpoint.size());
}

// What LoadSources makes of Sources(), without the memory that YAML takes:
// nodes never read YAML.
Document BenchDocument() {
  Document document;
  auto& leaves = document.leaves;
  leaves["base/deployment"] = "addis";
  leaves["base/data_centers"] = "arat-kilo,bole,kazanchis,piassa";
  for (int i = 0; i < absl::GetFlag(FLAGS_services); ++i) {
    const std::string number = std::to_string(i);
    const std::string service = "registry-desk-" + number;
    const std::string at = "base/services/" + service;
    leaves[at + "/version"] = "v1";
    leaves[at + "/queue_limit"] = "64";
    leaves[at + "/connections"] = "130";
    leaves[at + "/warm_up"] = "5s";
    const std::string route = "base/routes/case-index-" + number;
    leaves[route + "/service"] = service;
    leaves[route + "/method"] = "GET";
    leaves[route + "/path_prefix"] = "/cases/" + number;
    leaves[route + "/deadline"] = "2s";
    leaves[route + "/priority"] = "normal";
    leaves[route + "/idempotent"] = "true";
    if (i % 20 != 0)
      continue;
    for (const char* name : {"bole", "piassa", "kazanchis", "arat-kilo"}) {
      leaves[std::string("overlay/") + name + "/services/" + service +
             "/queue_limit"] = "32";
    }
  }
  return document;
}

int Run() {
  std::printf("resident at the start: %.1f MiB\n", ResidentMib());
  FoldState state;
  const std::string first =
      EncodeRecord(MakeChange(state, BenchDocument(), "one"));
  Fold(state, 1, first);
  const auto snapshot = Render(state.document, "bole", state.head);
  if (!snapshot) {
    std::fprintf(stderr, "%s\n", snapshot.error().message.c_str());
    return 1;
  }
  std::printf("leaves: %zu\n", state.document.leaves.size());
  std::printf("resident with fold and snapshot: %.1f MiB\n", ResidentMib());
  Document changed = state.document;
  changed.leaves["base/services/registry-desk-7/queue_limit"] = "65";
  MeasureDocument(state.document, changed);
  MeasureFold(state, changed);
  std::printf("resident after the folds: %.1f MiB\n", ResidentMib());
  Measure("load the YAML sources", [&state] {
    if (const auto loaded = LoadSources(Sources());
        !loaded || *loaded != state.document) {
      std::printf("the sources give another document\n");
    }
  });
  std::printf("resident with YAML, as in teaselctl: %.1f MiB\n", ResidentMib());
  return 0;
}

}  // namespace
}  // namespace teaselspread

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return teaselspread::Run();
}
