// A node as holder of the configuration, and as reader of the log.
#ifndef TEASELSPREAD_BENCHMARK_CAPACITY_CONFIG_H_
#define TEASELSPREAD_BENCHMARK_CAPACITY_CONFIG_H_

#include <memory>
#include <string>
#include <vector>

#include "capacity_fit.h"
#include "node/config_service.h"
#include "teaselspread/config.h"
#include "teaselspread/config_log.h"

namespace teaselspread::capacity {

inline std::string DataCenterName(int index) {
  return "dc-" + std::to_string(100 + index);
}

inline Document MakeDocument(int services, int data_centers) {
  Document document;
  auto& leaves = document.leaves;
  leaves["base/deployment"] = "letter";
  std::string names;
  for (int i = 0; i < data_centers; ++i)
    names += (i == 0 ? "" : ",") + DataCenterName(i);
  leaves["base/data_centers"] = names;
  for (int i = 0; i < services; ++i) {
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
    // One overlay entry for twenty services in each data centre.
    if (i % 20 == 0) {
      for (int j = 0; j < data_centers; ++j)
        leaves["overlay/" + DataCenterName(j) + "/services/" + service +
               "/queue_limit"] = "32";
    }
  }
  return document;
}

// Something that changes one leaf back and forth, as a chain of publishes.
struct Chain {
  FoldState fold;
  Document other;

  explicit Chain(const Document& document) : other(document) {
    Fold(this->fold, 1, EncodeRecord(MakeChange(this->fold, document, "one")));
    this->other.leaves["base/services/registry-desk-7/queue_limit"] = "65";
  }
  [[nodiscard]] std::string NextRecord() {
    const auto id = std::to_string(this->fold.position);
    std::string record = EncodeRecord(MakeChange(this->fold, this->other, id));
    this->other = this->fold.document;
    return record;
  }
};

inline double FoldMicros(int services, int data_centers, int rounds) {
  Chain chain(MakeDocument(services, data_centers));
  std::vector<double> times;
  for (int i = 0; i < rounds; ++i) {
    const std::string record = chain.NextRecord();
    const double begin = ThreadMicros();
    const FoldResult result = Fold(chain.fold, chain.fold.position + 1, record);
    times.push_back(ThreadMicros() - begin);
    if (result.reason != FoldReason::kAccepted)
      std::abort();
  }
  return Summarize(times).p50;
}

inline ConfigUpdate FirstUpdate(const Chain& chain) {
  ConfigUpdate update;
  update.version = chain.fold.head;
  update.full = true;
  update.body = EncodeRecord(
      ChangeRecord{"one", 0, chain.fold.digest, chain.fold.document});
  return update;
}

// Puts one change in force as the daemon does, and encodes the whole for
// others.
inline double ApplyMicros(const Chain& chain, int rounds) {
  const std::string data_center = DataCenterName(0);
  const auto first = ApplyTo({}, {FirstUpdate(chain)}, data_center);
  if (!first)
    std::abort();
  ConfigUpdate change;
  change.version = first->version + 1;
  change.parent = first->version;
  change.body = EncodeRecord(MakeChange(chain.fold, chain.other, "two"));
  return MedianMicros(rounds, [&] {
    const auto next = ApplyTo(*first, {change}, data_center);
    if (!next)
      std::abort();
    static_cast<void>(FullUpdateOf(*next));
  });
}

inline void MeasureHolding(Rows& rows) {
  constexpr int kRounds = 9;
  std::vector<Sample> apply;
  std::vector<Sample> held;
  std::vector<Sample> body;
  for (const int services : {100, 250, 500, 1000, 2000}) {
    const Chain chain(MakeDocument(services, int(kDataCenters)));
    apply.push_back({double(services), ApplyMicros(chain, kRounds)});
    body.push_back({double(services), double(FirstUpdate(chain).body.size())});
    const double before = BytesInUse();
    const auto config = ApplyTo({}, {FirstUpdate(chain)}, DataCenterName(0));
    const ConfigUpdate full = FullUpdateOf(*config);
    held.push_back({double(services), BytesInUse() - before});
  }
  const Line time = Report("node: apply one change", "service", "us", apply);
  const Line memory =
      Report("node: configuration in force", "service", "bytes", held);
  const Line size = Report("log: whole document", "service", "bytes", body);
  rows.push_back({"entry", "processor time of 0.46 changes/s", "% of a core",
                  time.At(kServices) * kChangesPerSecond / 1e4, kCpuBound,
                  SlopeText(time, "service (us)"), KindAt(time, kServices)});
  rows.push_back({"entry", "one change put in force", "ms",
                  time.At(kServices) / 1e3, 5000,
                  SlopeText(time, "service (us)"), KindAt(time, kServices)});
  rows.push_back({"entry", "memory of the configuration", "MB",
                  memory.At(kServices) / 1e6, kMemoryBound,
                  SlopeText(memory, "service (B)"), KindAt(memory, kServices)});
  const double checkpoint = size.At(kServices);
  const CheckpointRule rule;
  rows.push_back({"log", "bytes of a checkpoint", "B", checkpoint, 0,
                  SlopeText(size, "service (B)"), KindAt(size, kServices)});
  rows.push_back({"log", "checkpoints a day", "",
                  kChangesPerSecond * 86400 / double(rule.max_changes), 0,
                  "one for 64 changes", "worked out"});
  rows.push_back({"reader", "bytes of checkpoints read", "B/s",
                  checkpoint * kChangesPerSecond / double(rule.max_changes),
                  kBytesBound, "one for 64 changes", "worked out"});
}

inline void MeasureFolding(Rows& rows) {
  constexpr int kRounds = 7;
  std::vector<Sample> by_services;
  for (const int services : {100, 250, 500, 1000, 2000})
    by_services.push_back(
        {double(services), FoldMicros(services, int(kDataCenters), kRounds)});
  std::vector<Sample> by_data_centers;
  for (const int count : {4, 8, 12, 18, 24})
    by_data_centers.push_back(
        {double(count), FoldMicros(int(kServices), count, kRounds)});
  const Line services = Report("reader: fold a change, 24 data centres",
                               "service", "us", by_services);
  const Line places = Report("reader: fold a change, 2000 services",
                             "data centre", "us", by_data_centers);
  rows.push_back({"reader", "processor time of 0.46 folds/s", "% of a core",
                  places.At(kDataCenters) * kChangesPerSecond / 1e4, kCpuBound,
                  SlopeText(places, "data centre (us)"),
                  KindAt(places, kDataCenters)});
  rows.push_back({"reader", "the same by the services", "% of a core",
                  services.At(kServices) * kChangesPerSecond / 1e4, kCpuBound,
                  SlopeText(services, "service (us)"),
                  KindAt(services, kServices)});
  std::vector<Sample> memory;
  for (const int count : {100, 250, 500, 1000, 2000}) {
    const Document document = MakeDocument(count, int(kDataCenters));
    const double before = BytesInUse();
    const auto chain = std::make_unique<Chain>(document);
    // `other` is the benchmark's own.
    memory.push_back({double(count), (BytesInUse() - before) / 2});
  }
  const Line bytes = Report("reader: fold state", "service", "bytes", memory);
  rows.push_back({"reader", "memory of the fold", "MB",
                  bytes.At(kServices) / 1e6, kMemoryBound,
                  SlopeText(bytes, "service (B)"), KindAt(bytes, kServices)});
}

}  // namespace teaselspread::capacity

#endif  // TEASELSPREAD_BENCHMARK_CAPACITY_CONFIG_H_
