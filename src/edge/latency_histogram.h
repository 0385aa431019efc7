// Histogram of latencies, with the buckets of the evidence of moves.
#ifndef TEASELSPREAD_SRC_EDGE_LATENCY_HISTOGRAM_H_
#define TEASELSPREAD_SRC_EDGE_LATENCY_HISTOGRAM_H_

#include <array>
#include <cstdint>

#include "teaselspread/evidence.h"
#include "teaselspread/types.h"

namespace teaselspread {

struct LatencyHistogram {
  std::array<std::uint64_t, kLatencyBuckets> counts{};
  std::uint64_t count = 0;
  Duration sum{};
};

// Not thread safe.
inline void RecordLatency(LatencyHistogram& histogram, Duration latency) {
  ++histogram.counts.at(LatencyBucketIndex(latency));
  ++histogram.count;
  histogram.sum += latency;
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_LATENCY_HISTOGRAM_H_
