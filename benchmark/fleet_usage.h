// What the processes of a fleet have used, and changes published to it.
#ifndef TEASELSPREAD_BENCHMARK_FLEET_USAGE_H_
#define TEASELSPREAD_BENCHMARK_FLEET_USAGE_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <sstream>
#include <string>
#include <utility>

#include "commands/log_reader.h"
#include "process/fleet.h"
#include "process/process_usage.h"
#include "teaselspread/config.h"

namespace teaselspread {

// What one process has used since it started.
struct Usage {
  double cpu_seconds = 0;
  double resident_mb = 0;
};

inline Usage UsageOf(pid_t pid) {
  constexpr double kBytesPerMb = 1e6;
  return {ProcessorSeconds(pid),
          static_cast<double>(ResidentBytes(pid)) / kBytesPerMb};
}

// Sums over all nodes.
struct Totals {
  double cpu_seconds = 0;
  double resident_mb = 0;
  double most_mb = 0;
  double bytes = 0;
  double log_reads = 0;
  double log_appends = 0;
  std::map<std::string, double> by_kind;
};

// The metrics "NAME{kind="KIND"} COUNT" of a page, added up by kind.
inline void AddByKind(const std::string& page,
                      std::map<std::string, double>& sums) {
  const std::string mark = "teaselspread_control_bytes_total{kind=\"";
  std::istringstream lines(page);
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind(mark, 0) != 0)
      continue;
    const std::size_t end = line.find('"', mark.size());
    sums[line.substr(mark.size(), end - mark.size())] +=
        std::strtod(line.c_str() + line.rfind(' '), nullptr);
  }
}

// The sum over all callers of one counter of the log, "reads" or "appends".
inline double LogCount(const Fleet& fleet, const std::string& metric) {
  const YAML::Node page =
      YAML::Load(CallOnce(fleet.LogControl(), "GET", "/metrics").body);
  return page[metric]["total"].as<double>();
}

inline Totals TotalsOf(Fleet& fleet) {
  Totals totals;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const Usage usage = UsageOf(fleet.At(i).node->Pid());
    totals.cpu_seconds += usage.cpu_seconds;
    totals.resident_mb += usage.resident_mb;
    totals.most_mb = std::max(totals.most_mb, usage.resident_mb);
    AddByKind(CallOnce(fleet.At(i).http, "GET", "/metrics").body,
              totals.by_kind);
  }
  for (const auto& [kind, bytes] : totals.by_kind)
    totals.bytes += bytes;
  totals.log_reads = LogCount(fleet, "reads");
  totals.log_appends = LogCount(fleet, "appends");
  return totals;
}

inline std::string BaseText(int data_centers, int services, int step) {
  std::ostringstream text;
  text << "deployment: bench\ndata_centers: [";
  for (int i = 0; i < data_centers; ++i)
    text << (i == 0 ? "" : ", ") << "dc-" << i;
  text << "]\nservices:\n";
  for (int i = 0; i < services; ++i)
    text << "  service-" << i
         << ": {version: v1, queue_limit: " << (i == 0 ? 10 + step : 64)
         << "}\n";
  text << "routes:\n";
  for (int i = 0; i < services; ++i)
    text << "  route-" << i << ": {service: service-" << i
         << ", method: GET, path_prefix: /service-" << i << "}\n";
  return text.str();
}

// Publishes by the library, so that the time of the append is known exactly.
class Publisher {
 public:
  Publisher(const Fleet& fleet, int data_centers, int services)
      : data_centers(data_centers), services(services) {
    CommandOptions options;
    options.deployment = "bench";
    options.log = TextOf(fleet.LogAddress());
    this->reader = std::move(*OpenLog(options));
  }

  // The accepted version and when its append began.
  std::pair<ConfigVersion, std::chrono::system_clock::time_point> Publish() {
    ++this->step;
    ConfigSources sources;
    sources.base = {"base.yaml",
                    BaseText(this->data_centers, this->services, this->step)};
    const auto document = LoadSources(sources);
    (void)ReadToEnd(this->reader);
    const std::string id = "bench-" + std::to_string(this->step);
    const std::string record =
        EncodeRecord(MakeChange(this->reader.fold, *document, id));
    const auto began = std::chrono::system_clock::now();
    const auto offset =
        this->reader.client->Append(this->reader.stream, record);
    return {offset.value_or(0), began};
  }

 private:
  int data_centers;
  int services;
  int step = 0;
  LogReader reader;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_BENCHMARK_FLEET_USAGE_H_
