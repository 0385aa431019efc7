// Measures moves on a virtual clock against two baselines, class by class.
#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "moves_trial.h"

ABSL_FLAG(int, seeds, 1000, "Trials of each class at each deployment");
ABSL_FLAG(int, threads, 4, "Threads");
ABSL_FLAG(double, least_rate, 0.2, "Least requests/s of the service");
ABSL_FLAG(double, most_rate, 2000, "Most requests/s of the service");
ABSL_FLAG(double,
          hold,
          teaselspread::JudgeSettings().hold_score,
          "Judge: hold");
ABSL_FLAG(double,
          suspect,
          teaselspread::JudgeSettings().suspect_score,
          "Judge: suspect");
ABSL_FLAG(double,
          shared_weight,
          teaselspread::JudgeSettings().shared_weight,
          "Judge: shared_weight");
ABSL_FLAG(int, stratum_answers, 30, "Judge: stratum_answers");
ABSL_FLAG(std::string, only, "", "Only classes whose name holds this");
ABSL_FLAG(bool, baselines, true, "Measure the baselines as well");
ABSL_FLAG(bool, failures, false, "Print the seeds that went wrong");

namespace teaselspread::trial {
namespace {

struct Run {
  Setup setup;
  Outcome outcome;
};

// The rate is drawn evenly in its logarithm. The services of a deployment take
// turns.
Setup SetupOf(std::string_view deployment,
              Class kind,
              Policy policy,
              std::uint64_t seed) {
  Setup setup;
  setup.kind = kind;
  setup.policy = policy;
  setup.seed = seed;
  const std::size_t first = deployment == "addis" ? 0 : 2;
  setup.site = kSites.at(first + seed % 2);
  Rng rng(seed * 7919 + 13);
  const double least = std::log(absl::GetFlag(FLAGS_least_rate));
  double most = std::log(absl::GetFlag(FLAGS_most_rate));
  if (kind == Class::kLittleTraffic)
    most = std::min(most, 0.0);
  setup.rate = std::exp(Uniform(rng, std::min(least, most), most));
  setup.settings.judge.hold_score = absl::GetFlag(FLAGS_hold);
  setup.settings.judge.suspect_score = absl::GetFlag(FLAGS_suspect);
  setup.settings.judge.shared_weight = absl::GetFlag(FLAGS_shared_weight);
  setup.settings.judge.stratum_responses =
      static_cast<std::uint64_t>(absl::GetFlag(FLAGS_stratum_answers));
  return setup;
}

std::vector<Run> RunAll(std::string_view deployment,
                        Class kind,
                        Policy policy) {
  std::vector<Run> runs(static_cast<std::size_t>(absl::GetFlag(FLAGS_seeds)));
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(absl::GetFlag(FLAGS_threads)));
  for (int i = 0; i < absl::GetFlag(FLAGS_threads); ++i) {
    threads.emplace_back([&] {
      for (std::size_t n = next++; n < runs.size(); n = next++) {
        runs[n].setup = SetupOf(deployment, kind, policy, n + 1);
        runs[n].outcome = Trial(runs[n].setup).Run();
      }
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  return runs;
}

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  const double last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::llround(quantile * last))];
}

const char* PolicyName(Policy policy) {
  constexpr std::array<const char*, 3> kNames = {"judged", "linear", "steps"};
  return kNames.at(static_cast<std::size_t>(policy));
}

void PrintLine(std::string_view deployment,
               Class kind,
               Policy policy,
               const std::string& band,
               const std::vector<const Run*>& runs) {
  if (runs.empty())
    return;
  double done = 0;
  double back = 0;
  double neighbour = 0;
  std::vector<double> requests;
  std::vector<double> after;
  std::vector<double> zero;
  for (const Run* run : runs) {
    const Outcome& o = run->outcome;
    done += o.done_in_time ? 1 : 0;
    back += o.taken_back ? 1 : 0;
    neighbour += o.neighbour_taken_back ? 1 : 0;
    requests.push_back(o.requests);
    if (o.fault_shown) {
      after.push_back(o.requests_after_fault);
      zero.push_back(o.zero_after);
    }
  }
  const auto n = static_cast<double>(runs.size());
  std::printf(
      "%-6s %-14s %-6s %-9s %5zu  done %6.2f%%  back %6.2f%%  "
      "req %7.0f %8.0f  after %7.0f %8.0f  zero %6.1f %6.1f s",
      std::string(deployment).c_str(),
      std::string(kClassNames.at(static_cast<std::size_t>(kind))).c_str(),
      PolicyName(policy), band.c_str(), runs.size(), 100 * done / n,
      100 * back / n, Quantile(requests, 0.5), Quantile(requests, 0.99),
      Quantile(after, 0.5), Quantile(after, 0.99), Quantile(zero, 0.5),
      Quantile(zero, 0.99));
  if (kind == Class::kTwoMoves)
    std::printf("  neighbour back %.2f%%", 100 * neighbour / n);
  std::printf("\n");
}

void PrintSeeds(const std::vector<Run>& runs, Class kind) {
  for (const Run& run : runs) {
    const Outcome& o = run.outcome;
    const bool wrong = IsBad(kind) ? !o.taken_back : !o.done_in_time;
    if (wrong || o.split)
      std::printf("    seed %llu rate %.2f %s ended %.0f by %s%s\n",
                  static_cast<unsigned long long>(run.setup.seed),
                  run.setup.rate, o.taken_back ? "taken back" : "not back",
                  o.ended_after, std::string(NameOf(o.reason)).c_str(),
                  o.split ? " SPLIT" : "");
  }
}

void Measure(std::string_view deployment, Class kind, Policy policy) {
  const std::vector<Run> runs = RunAll(deployment, kind, policy);
  constexpr std::array<double, 5> kBands = {0, 2, 20, 200, 1e9};
  constexpr std::array<const char*, 4> kBandNames = {"0.2-2", "2-20", "20-200",
                                                     "200-2000"};
  std::vector<const Run*> all;
  all.reserve(runs.size());
  for (const Run& run : runs)
    all.push_back(&run);
  PrintLine(deployment, kind, policy, "all", all);
  for (std::size_t band = 0; band < kBandNames.size(); ++band) {
    std::vector<const Run*> some;
    for (const Run* run : all) {
      if (run->setup.rate >= kBands.at(band) &&
          run->setup.rate < kBands.at(band + 1))
        some.push_back(run);
    }
    PrintLine(deployment, kind, policy, kBandNames.at(band), some);
  }
  if (absl::GetFlag(FLAGS_failures) && policy == Policy::kJudged)
    PrintSeeds(runs, kind);
  std::fflush(stdout);
}

}  // namespace
}  // namespace teaselspread::trial

int main(int argc, char** argv) {
  using namespace teaselspread::trial;
  absl::ParseCommandLine(argc, argv);
  std::printf(
      "req, after: requests that the new version got in all and after its "
      "first bad answer, median and p99; zero: seconds from the first bad "
      "answer to the last request, median and p99\n");
  for (const std::string_view deployment : {"addis", "khomas"}) {
    for (std::size_t i = 0; i < kClassNames.size(); ++i) {
      if (kClassNames.at(i).find(absl::GetFlag(FLAGS_only)) ==
          std::string_view::npos)
        continue;
      const auto kind = static_cast<Class>(i);
      Measure(deployment, kind, Policy::kJudged);
      if (!absl::GetFlag(FLAGS_baselines))
        continue;
      Measure(deployment, kind, Policy::kLinear);
      Measure(deployment, kind, Policy::kSteps);
    }
  }
  return 0;
}
