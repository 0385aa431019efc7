// Classes of versions, sizes of services, and seeded answers for the trials of
// moves.
#ifndef TEASELSPREAD_BENCHMARK_MOVES_SAMPLES_H_
#define TEASELSPREAD_BENCHMARK_MOVES_SAMPLES_H_

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <cstdint>
#include <string_view>

#include "teaselspread/moves.h"

namespace teaselspread::trial {

enum class Class : std::uint8_t {
  // Bad versions.
  kFailsAtOnce,
  kFailsALittle,
  kSlow,
  kFailsLater,
  kUnderLoad,
  kOneRoute,
  kOneDataCenter,
  kCrashOnStart,
  kTwoMoves,
  kHangs,
  // Good versions.
  kPlain,
  kSharedFault,
  kColdStart,
  kSmaller,
  kCrashRequest,
  kLaggingHealth,
  kLittleTraffic,
  kPartlySeen,
  kCount,
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(Class::kCount)>
    kClassNames = {"fails-at-once",  "fails-5%",       "slow-3x",
                   "fails-later",    "under-load",     "one-route",
                   "one-dc",         "crash-start",    "two-moves",
                   "hangs",          "plain",          "shared-fault",
                   "cold-start",     "smaller",        "crash-request",
                   "lagging-health", "little-traffic", "partly-seen"};

inline bool IsBad(Class kind) {
  return kind < Class::kPlain;
}

// Who sets the shares.
enum class Policy : std::uint8_t { kJudged, kLinear, kSteps };

// The size of one service.
struct Site {
  std::string_view name;
  std::string_view service;
  int data_centers = 4;
  int targets = 9;
  int slots = 15;
};

inline constexpr std::array<Site, 4> kSites = {{
    {"addis", "registry-desk", 4, 9, 15},
    {"addis", "bundle-works", 4, 4, 15},
    {"khomas", "ledger-desk", 3, 7, 10},
    {"khomas", "tally-works", 3, 3, 10},
}};

struct Setup {
  Site site = kSites[0];
  Class kind = Class::kPlain;
  Policy policy = Policy::kJudged;
  std::uint64_t seed = 1;
  // Requests per second of the whole service.
  double rate = 100;
  MovesSettings settings;
};

struct Outcome {
  bool done_in_time = false;
  bool taken_back = false;
  VerdictReason reason = VerdictReason::kNone;
  // From the start until the last data centre knew the verdict; 0 if none.
  double ended_after = 0;
  // Requests that the new version got.
  double requests = 0;
  bool fault_shown = false;
  double requests_after_fault = 0;
  // From the first bad answer until no data centre gave requests any more.
  double zero_after = 0;
  // The good second move of kTwoMoves was taken back.
  bool neighbour_taken_back = false;
  // Two data centres ended at different verdicts.
  bool split = false;
};

inline constexpr Duration kTick = std::chrono::milliseconds(500);
inline constexpr double kTickSeconds = 0.5;
inline constexpr int kRoutes = 3;
inline constexpr std::array<double, kRoutes> kMix = {0.70, 0.25, 0.05};
inline constexpr std::array<std::string_view, kRoutes> kRouteNames = {
    "search", "fetch", "file"};
inline constexpr double kBaseFailures = 0.002;
inline constexpr double kMedianMicros = 8000;
inline constexpr double kSigma = 0.5;
inline const TimePoint kStart{std::chrono::seconds(1'000'000)};
inline constexpr Duration kLead = std::chrono::seconds(60);
inline constexpr Duration kTail = std::chrono::seconds(30);

// What the new or the old version does with a request.
struct Behaviour {
  double fail = kBaseFailures;
  double slow = 1;
  double shed = 0;
  bool hangs = false;
  bool suspect = false;
};

using Buckets = std::array<double, kLatencyBuckets>;

// Chance of each latency bucket, log-normal.
inline Buckets BucketChances(double factor) {
  Buckets chances{};
  double below = 0;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    const double bound = static_cast<double>(LatencyBound(i).count());
    const double z = std::log(bound / (kMedianMicros * factor)) / kSigma;
    const double up_to = 0.5 * std::erfc(-z / std::sqrt(2.0));
    chances.at(i) = up_to - below;
    below = up_to;
  }
  chances.back() += 1 - below;
  return chances;
}

// A normal deviate that is cheap: bits set in a random word.
inline double Deviate(Rng& rng) {
  return (std::popcount(rng()) - 32) / 4.0;
}

inline double Uniform(Rng& rng, double low = 0, double high = 1) {
  return std::uniform_real_distribution<double>(low, high)(rng);
}

inline std::uint32_t Around(double mean, double variance, Rng& rng) {
  const double value = mean + std::sqrt(variance) * Deviate(rng);
  return static_cast<std::uint32_t>(std::max(0.0, std::round(value)));
}

inline std::uint32_t Poisson(double mean, Rng& rng) {
  if (mean <= 0)
    return 0;
  if (mean > 30)
    return Around(mean, mean, rng);
  const double limit = std::exp(-mean);
  std::uint32_t count = 0;
  for (double product = Uniform(rng); product > limit; product *= Uniform(rng))
    ++count;
  return count;
}

inline std::uint32_t Binomial(std::uint32_t n, double chance, Rng& rng) {
  if (n == 0 || chance <= 0)
    return 0;
  if (n > 60) {
    const double mean = n * chance;
    if (mean < 10)
      return std::min(n, Poisson(mean, rng));
    return std::min(n, Around(mean, mean * (1 - chance), rng));
  }
  std::uint32_t count = 0;
  for (std::uint32_t i = 0; i < n; ++i)
    count += Uniform(rng) < chance ? 1 : 0;
  return count;
}

inline void AddLatencies(EvidenceCounters& cells,
                         std::uint32_t count,
                         const Buckets& chances,
                         Rng& rng) {
  if (count > 40) {
    for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
      const double mean = count * chances.at(i);
      if (mean > 0.01)
        cells.latency.at(i) +=
            mean < 10 ? Poisson(mean, rng) : Around(mean, mean, rng);
    }
    return;
  }
  for (std::uint32_t n = 0; n < count; ++n) {
    double left = Uniform(rng);
    std::size_t bucket = 0;
    while (bucket + 1 < kLatencyBuckets && left >= chances.at(bucket))
      left -= chances.at(bucket++);
    ++cells.latency.at(bucket);
  }
}

}  // namespace teaselspread::trial

#endif  // TEASELSPREAD_BENCHMARK_MOVES_SAMPLES_H_
