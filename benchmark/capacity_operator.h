// The operators' command line: reading and checking the files.
#ifndef TEASELSPREAD_BENCHMARK_CAPACITY_OPERATOR_H_
#define TEASELSPREAD_BENCHMARK_CAPACITY_OPERATOR_H_

#include <cstdlib>
#include <string>
#include <vector>

#include "capacity_config.h"
#include "capacity_fit.h"
#include "teaselspread/config.h"

namespace teaselspread::capacity {

inline ConfigSources SourcesOf(int services, int data_centers) {
  std::string text = "deployment: letter\ndata_centers: [";
  for (int i = 0; i < data_centers; ++i)
    text += (i == 0 ? "" : ", ") + DataCenterName(i);
  text += "]\nservices:\n";
  for (int i = 0; i < services; ++i)
    text += "  registry-desk-" + std::to_string(i) +
            ": {version: v1, queue_limit: 64, connections: 130, "
            "warm_up: 5s}\n";
  text += "routes:\n";
  for (int i = 0; i < services; ++i) {
    const std::string number = std::to_string(i);
    text += "  case-index-" + number;
    text += ": {service: registry-desk-" + number;
    text += ", method: GET, path_prefix: /cases/" + number;
    text += ", deadline: 2s, priority: normal, idempotent: true}\n";
  }
  ConfigSources sources{{"base.yaml", text}, {}};
  std::string overlay = "services:\n";
  for (int i = 0; i < services; i += 20)
    overlay += "  registry-desk-" + std::to_string(i) + ": {queue_limit: 32}\n";
  for (int i = 0; i < data_centers; ++i)
    sources.overlays[DataCenterName(i)] = {DataCenterName(i), overlay};
  return sources;
}

inline void MeasureOperator(Rows& rows) {
  constexpr int kRounds = 5;
  std::vector<Sample> load;
  for (const int services : {100, 250, 500, 1000, 2000}) {
    const ConfigSources sources = SourcesOf(services, int(kDataCenters));
    load.push_back({double(services), MedianMicros(kRounds, [&] {
                      if (!LoadSources(sources))
                        std::abort();
                    })});
  }
  const Line time =
      Report("operator: load and check the files, 24 data centres", "service",
             "us", load);
  rows.push_back({"operator", "load and check the files", "ms",
                  time.At(kServices) / 1e3, 5000,
                  SlopeText(time, "service (us)"), KindAt(time, kServices)});
}

}  // namespace teaselspread::capacity

#endif  // TEASELSPREAD_BENCHMARK_CAPACITY_OPERATOR_H_
