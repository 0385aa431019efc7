// One move on a virtual clock: a seeded generator of answers per version, route
// and data centre, with evidence, reports and verdicts that arrive late. Shared
// by the measurement and by the tests.
#ifndef TEASELSPREAD_BENCHMARK_MOVES_TRIAL_H_
#define TEASELSPREAD_BENCHMARK_MOVES_TRIAL_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "moves_samples.h"
#include "teaselspread/moves.h"

namespace teaselspread::trial {

// Truth and delayed views of one service in one data centre.
struct Place {
  // [new?][route]
  std::array<std::array<EvidenceCounters, kRoutes>, 2> cells;
  std::array<EvidenceCounters, 2> lives;
  // Copies of the last ticks, newest first, from which late views are taken.
  std::deque<std::array<std::array<EvidenceCounters, kRoutes>, 2>> past;
  // Sums of the new version's answers, for the baselines.
  std::deque<EvidenceCounters> window;
  // Failures by timeout that have not come to pass yet, by tick.
  std::deque<std::array<std::uint32_t, kRoutes>> hanging;
  int old_targets = 0;
  int new_targets = 0;
  double first_new = -1;
  // Crash on start: until when the new upstreams are up, or down.
  std::vector<std::pair<double, bool>> upstreams;
};

// One service with its move.
struct Mover {
  Class kind = Class::kPlain;
  MoveConfig config;
  std::vector<Place> places;
  double onset = 0;
  double fault_length = 60;
  std::size_t fault_place = 0;
  int fault_route = 1;
  Outcome outcome;
  double first_fault = -1;
  double last_given = -1;
  std::vector<double> known_at;
};

// A report or verdict on its way to one data centre.
struct Letter {
  double at = 0;
  std::size_t to = 0;
  MoveAction action;
};

class Trial {
 public:
  explicit Trial(const Setup& setup) : setup(setup), rng(setup.seed) {
    this->Prepare();
  }

  // Runs until half a minute after `by`. Not thread safe; one call only.
  Outcome Run() {
    const double end = this->Deadline() + Seconds(kTail);
    for (this->time = -Seconds(kLead); this->time < end;
         this->time += kTickSeconds) {
      if (this->Ended() && this->time > this->ended + 5)
        break;
      this->Generate();
      this->Deliver();
      this->Decide();
      if (this->trace)
        this->trace();
    }
    return this->Sum();
  }

  [[nodiscard]] TimePoint Now() const {
    return kStart + Duration(std::llround(this->time * 1e6));
  }

  MoveCapacity CapacityAt(std::size_t place) {
    MoveCapacity capacity;
    for (const Mover& mover : this->movers) {
      const Place& here = mover.places.at(place);
      int ready = UpTargets(here, true) * this->setup.site.slots;
      if (mover.kind == Class::kSmaller)
        ready = ready * 17 / 20;
      const bool window = this->time >= mover.onset &&
                          this->time < mover.onset + mover.fault_length;
      // A health endpoint that lags: says "not ready" for seconds on end.
      if (mover.kind == Class::kLaggingHealth && window &&
          static_cast<int>(this->time / 5) % 2 == 0)
        ready = 0;
      capacity.ready_slots[{mover.config.service, "v2"}] = ready;
      capacity.ready_slots[{mover.config.service, "v1"}] =
          here.old_targets * this->setup.site.slots;
    }
    for (std::size_t other = 0; other < this->nodes.size(); ++other) {
      if (other == place)
        continue;
      TimePoint& heard = this->heard[{place, other}];
      if (!this->IsCut(place, other))
        heard = this->Now();
      capacity.last_contact[this->nodes.at(other).data_center] = heard;
    }
    return capacity;
  }

  std::vector<MovesState> nodes;
  std::vector<Mover> movers;
  std::vector<EvidenceTable> tables;
  Snapshot snapshot;
  double time = 0;
  // Called after each tick.
  std::function<void()> trace;
  // A cut of one data centre from the others.
  double cut_from = 1e9;
  double cut_until = -1e9;
  std::size_t cut_place = 0;
  // The log takes nothing before this time.
  double log_down_until = -1e9;
  // Verdicts that the log took.
  std::vector<Verdict> log;

 private:
  static double Seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }

  [[nodiscard]] double Deadline() const {
    return Seconds(this->movers.front().config.by - kStart);
  }

  void Prepare() {
    const auto count = static_cast<std::size_t>(this->setup.site.data_centers);
    for (std::size_t i = 0; i < count; ++i) {
      MovesState node;
      node.node = "vm" + std::to_string(i);
      node.data_center = "dc" + std::to_string(i);
      node.settings = this->setup.settings;
      this->snapshot.data_centers.push_back(node.data_center);
      this->nodes.push_back(std::move(node));
    }
    this->tables.resize(count);
    const double length = Uniform(this->rng, 300, 900);
    this->AddMover(this->setup.kind, std::string(this->setup.site.service),
                   length);
    if (this->setup.kind == Class::kTwoMoves) {
      this->movers.front().kind = Class::kFailsAtOnce;
      this->AddMover(Class::kPlain, "neighbour", length);
    }
    this->Draw();
  }

  void AddMover(Class kind, const std::string& service, double length) {
    Mover mover;
    mover.kind = kind;
    MoveConfig& config = mover.config;
    config.id = "move-" + service;
    config.service = service;
    config.from = "v1";
    config.to = "v2";
    config.start = kStart;
    config.by = kStart + Duration(std::llround(length * 1e6));
    config.watch = std::chrono::seconds(30);
    const auto count = this->nodes.size();
    mover.places.resize(count);
    mover.known_at.assign(count, -1);
    for (int i = 0; i < this->setup.site.targets; ++i)
      ++mover.places.at(static_cast<std::size_t>(i) % count).old_targets;
    for (Place& place : mover.places) {
      place.new_targets = place.old_targets;
      if (kind == Class::kCrashOnStart)
        place.upstreams.resize(static_cast<std::size_t>(place.new_targets));
    }
    this->snapshot.moves[config.id] = config;
    ServiceConfig entry;
    entry.name = service;
    entry.version = "v1";
    this->snapshot.services[service] = entry;
    this->movers.push_back(std::move(mover));
  }

  void Draw() {
    const double length = this->Deadline();
    const double active = 0.6 * (length - 30);
    for (Mover& mover : this->movers) {
      mover.onset = Uniform(this->rng, 0.1, 0.9) * active;
      mover.fault_length = Uniform(this->rng, 20, 90);
      mover.fault_place = this->rng() % this->nodes.size();
      mover.fault_route = 1 + static_cast<int>(this->rng() % 2);
    }
    if (this->setup.kind == Class::kPartlySeen) {
      this->cut_from = Uniform(this->rng, 0, 0.4 * length);
      this->cut_until = this->cut_from + Uniform(this->rng, 30, 0.3 * length);
      this->cut_place = this->rng() % this->nodes.size();
    }
  }

  [[nodiscard]] bool IsCut(std::size_t a, std::size_t b) const {
    return a != b && this->time >= this->cut_from &&
           this->time < this->cut_until &&
           (a == this->cut_place || b == this->cut_place);
  }

  // The share that the new version has at one data centre now.
  double Share(const Mover& mover, std::size_t place) {
    if (this->setup.policy == Policy::kJudged)
      return ShareOf(this->nodes.at(place), this->snapshot,
                     mover.config.service, "v2");
    return this->BaselineShare(mover, place);
  }

  double BaselineShare(const Mover& mover, std::size_t place) {
    if (mover.known_at.at(place) >= 0)
      return mover.outcome.taken_back ? 0 : 1;
    if (this->time < 0)
      return 0;
    const double ramp = this->Deadline() - 30 - 15;
    const double part = this->time / ramp;
    if (this->setup.policy == Policy::kLinear)
      return std::min(1.0, part);
    constexpr std::array<double, 5> kSteps = {0.01, 0.05, 0.25, 0.5, 1};
    return kSteps.at(
        std::min<std::size_t>(4, static_cast<std::size_t>(part * 5)));
  }

  Behaviour BehaviourOf(const Mover& mover,
                        bool fresh,
                        std::size_t place,
                        int route,
                        double share) const {
    Behaviour b;
    const Place& here = mover.places.at(place);
    const bool later = this->time >= mover.onset;
    const bool window = later && this->time < mover.onset + mover.fault_length;
    if (mover.kind == Class::kSharedFault && window) {
      b.fail = 0.2;
      b.slow = 2.5;
    }
    if (!fresh)
      return b;
    const double age = here.first_new < 0 ? 0 : this->time - here.first_new;
    switch (mover.kind) {
      case Class::kFailsAtOnce:
        b.fail = 0.8;
        break;
      case Class::kFailsALittle:
        b.fail = 0.05;
        break;
      case Class::kSlow:
        b.slow = 3;
        break;
      case Class::kFailsLater:
        b.fail = later ? 0.3 : kBaseFailures;
        break;
      case Class::kUnderLoad:
        if (share >= 0.4) {
          b.fail = 0.15;
          b.slow = 2;
        }
        break;
      case Class::kOneRoute:
        b.fail = route == mover.fault_route ? 0.3 : kBaseFailures;
        break;
      case Class::kOneDataCenter:
        b.fail = place == mover.fault_place ? 0.3 : kBaseFailures;
        break;
      case Class::kCrashOnStart:
        b.fail = 0.5;
        b.suspect = true;
        break;
      case Class::kHangs:
        b.fail = 1;
        b.hangs = true;
        break;
      case Class::kColdStart:
        if (age < 5) {
          b.slow = 4;
          b.fail = 0.01;
        }
        break;
      case Class::kCrashRequest:
        if (window && this->time < mover.onset + 1) {
          b.fail = 0.3;
          b.suspect = true;
        }
        break;
      case Class::kSmaller:
        b.slow = share > 0.5 ? 1.15 : 1;
        break;
      case Class::kLaggingHealth:
        b.shed = window ? 0.1 : 0;
        break;
      default:
        break;
    }
    return b;
  }

  const Buckets& Chances(double factor) {
    auto [found, is_new] = this->chances.try_emplace(factor);
    if (is_new)
      found->second = BucketChances(factor);
    return found->second;
  }

  void Answer(Mover& mover,
              std::size_t place,
              bool fresh,
              double mean,
              int route,
              double share) {
    const std::uint32_t count = Poisson(mean, this->rng);
    if (count == 0)
      return;
    Place& here = mover.places.at(place);
    if (fresh && here.first_new < 0)
      here.first_new = this->time;
    const Behaviour b = this->BehaviourOf(mover, fresh, place, route, share);
    EvidenceCounters& cells =
        here.cells.at(fresh ? 1 : 0).at(static_cast<std::size_t>(route));
    const std::uint32_t shed = Binomial(count, b.shed, this->rng);
    const std::uint32_t failed = Binomial(count - shed, b.fail, this->rng);
    const std::uint32_t good = count - shed - failed;
    cells.shed += shed;
    cells.runs += good;
    if (b.suspect)
      cells.crash_suspects += failed;
    else if (b.hangs)
      here.hanging.back().at(static_cast<std::size_t>(route)) += failed;
    else {
      cells.runs += failed;
      cells.failures += failed;
    }
    this->CountGood(mover, here, cells, good, b, fresh);
    if (fresh)
      this->NoteGiven(mover, count, failed, b);
  }

  void CountGood(const Mover& mover,
                 const Place& here,
                 EvidenceCounters& cells,
                 std::uint32_t good,
                 const Behaviour& b,
                 bool fresh) {
    // The gatekeeper excuses the slowness of a cold upstream, within bounds.
    const bool cold = fresh && mover.kind == Class::kColdStart &&
                      this->time - here.first_new < 5;
    std::uint32_t excused = 0;
    if (cold) {
      const auto bound =
          kMaxColdResponses * static_cast<std::uint32_t>(here.new_targets);
      excused = std::min(good, bound - std::min(bound, cells.cold));
      cells.cold += excused;
    }
    AddLatencies(cells, good - excused, this->Chances(b.slow), this->rng);
  }

  void NoteGiven(Mover& mover,
                 std::uint32_t count,
                 std::uint32_t failed,
                 const Behaviour& b) const {
    const bool bad = IsBad(mover.kind);
    const bool shows = bad && (b.slow > 1 || (failed > 0 && b.fail > 0.01));
    mover.outcome.requests += count;
    if (mover.first_fault >= 0)
      mover.outcome.requests_after_fault += count;
    else if (shows)
      mover.first_fault = this->time;
    mover.last_given = this->time;
  }

  [[nodiscard]] double RateAt(std::size_t place) const {
    const Place& here = this->movers.front().places.at(place);
    return this->setup.rate * here.old_targets / this->setup.site.targets;
  }

  void Generate() {
    for (Mover& mover : this->movers) {
      for (std::size_t place = 0; place < this->nodes.size(); ++place)
        this->GenerateAt(mover, place);
    }
  }

  void GenerateAt(Mover& mover, std::size_t place) {
    Place& here = mover.places.at(place);
    this->RunUpstreams(mover, here);
    here.hanging.emplace_back();
    if (here.hanging.size() > 4) {
      this->FailHanging(here);
    }
    double share = this->Share(mover, place);
    if (this->UpTargets(here, true) == 0)
      share = 0;
    const double rate = this->RateAt(place) * kTickSeconds;
    for (int route = 0; route < kRoutes; ++route) {
      const double mean = rate * kMix.at(static_cast<std::size_t>(route));
      this->Answer(mover, place, true, mean * share, route, share);
      this->Answer(mover, place, false, mean * (1 - share), route, share);
    }
    here.past.push_front(here.cells);
    if (here.past.size() > 24)
      here.past.pop_back();
  }

  static void FailHanging(Place& here) {
    for (std::size_t route = 0; route < kRoutes; ++route) {
      here.cells.at(1).at(route).runs += here.hanging.front().at(route);
      here.cells.at(1).at(route).failures += here.hanging.front().at(route);
    }
    here.hanging.pop_front();
  }

  void RunUpstreams(const Mover& mover, Place& here) {
    if (mover.kind == Class::kCrashRequest &&
        std::abs(this->time - mover.onset) < kTickSeconds / 2)
      here.lives.at(1).early_exits += 1;
    for (auto& [until, up] : here.upstreams) {
      if (this->time < until)
        continue;
      up = !up;
      until = this->time + (up ? Uniform(this->rng, 1, 6) : 5);
      if (up)
        ++here.lives.at(1).starts;
      else
        ++here.lives.at(1).early_exits;
    }
  }

  static int UpTargets(const Place& here, bool fresh) {
    if (!fresh)
      return here.old_targets;
    if (here.upstreams.empty())
      return here.new_targets;
    return static_cast<int>(
        std::count_if(here.upstreams.begin(), here.upstreams.end(),
                      [](const auto& upstream) { return upstream.second; }));
  }

  // Rows reach the judge of a data centre late, each by its own delay.
  void Deliver() {
    const bool remote = this->setup.rate < 60;
    for (std::size_t at = 0; at < this->nodes.size(); ++at) {
      for (std::size_t from = 0; from < this->nodes.size(); ++from) {
        if (from == at || (remote && !this->IsCut(at, from)))
          this->DeliverRows(at, from);
      }
    }
    // Reading a letter may post others.
    std::vector<Letter> due;
    std::erase_if(this->letters, [this, &due](Letter& letter) {
      if (letter.at > this->time)
        return false;
      due.push_back(letter);
      return true;
    });
    for (const Letter& letter : due)
      this->Read(letter);
  }

  void DeliverRows(std::size_t at, std::size_t from) {
    for (const Mover& mover : this->movers) {
      const Place& place = mover.places.at(from);
      for (const bool fresh : {false, true}) {
        const std::size_t most =
            this->setup.kind == Class::kPartlySeen ? 16 : 3;
        std::size_t lag = 1 + this->rng() % most + (at == from ? 0 : 3);
        if (lag >= place.past.size())
          continue;
        const auto& cells = place.past.at(lag).at(fresh ? 1 : 0);
        this->MergeRows(at, from, mover, fresh, cells, place);
      }
    }
  }

  void MergeRows(std::size_t at,
                 std::size_t from,
                 const Mover& mover,
                 bool fresh,
                 const std::array<EvidenceCounters, kRoutes>& cells,
                 const Place& place) {
    EvidenceRow row;
    row.key.move = mover.config.id;
    row.key.node = this->nodes.at(from).node;
    row.key.data_center = this->nodes.at(from).data_center;
    row.key.version = fresh ? "v2" : "v1";
    for (std::size_t route = 0; route < kRoutes; ++route) {
      row.key.route = kRouteNames.at(route);
      row.counters = cells.at(route);
      if (row.counters.runs + row.counters.shed + row.counters.crash_suspects >
          0)
        MergeRow(this->tables.at(at), row);
    }
    if (place.lives.at(1).early_exits > 0 && fresh) {
      row.key.route.clear();
      row.counters = place.lives.at(1);
      MergeRow(this->tables.at(at), row);
    }
  }

  void Read(const Letter& letter) {
    MovesState& node = this->nodes.at(letter.to);
    if (letter.action.kind == MoveActionKind::kSpreadReport) {
      MergeReport(node, letter.action.report);
      return;
    }
    if (MergeVerdict(node, letter.action.verdict))
      this->Post(letter.to, letter.action);
  }

  void Post(std::size_t from, const MoveAction& action) {
    for (std::size_t to = 0; to < this->nodes.size(); ++to) {
      if (to == from || this->IsCut(from, to))
        continue;
      const double delay = Uniform(this->rng, 0.1, 2);
      this->letters.push_back({this->time + delay, to, action});
    }
  }

  // Nodes step once a second.
  void Decide() {
    if (this->tick++ % 2 != 0)
      return;
    for (std::size_t place = 0; place < this->nodes.size(); ++place) {
      if (this->setup.policy == Policy::kJudged)
        this->Step(place);
      else
        this->StepBaseline(place);
    }
    if (this->Ended() && this->ended < -1e8)
      this->ended = this->time;
  }

  void Step(std::size_t place) {
    MovesState& node = this->nodes.at(place);
    const MoveCapacity capacity = this->CapacityAt(place);
    for (const MoveAction& action :
         StepMoves(node, this->snapshot, this->tables.at(place), capacity,
                   this->Now())) {
      if (action.kind == MoveActionKind::kAppendVerdict)
        this->Append(node, action.verdict);
      else
        this->Post(place, action);
    }
    for (Mover& mover : this->movers) {
      const auto verdict = node.verdicts.find(mover.config.id);
      if (verdict != node.verdicts.end() && mover.known_at.at(place) < 0) {
        mover.known_at.at(place) = this->time;
        mover.outcome.reason = verdict->second.reason;
      }
    }
  }

  void Append(MovesState& node, const Verdict& verdict) {
    if (this->time < this->log_down_until)
      return;
    this->log.push_back(verdict);
    OnLoggedVerdict(node, verdict, this->Now());
  }

  // The error threshold of both baselines: more than 3% failures among the new
  // version's answers of the last minute, of at least fifty.
  void StepBaseline(std::size_t place) {
    for (Mover& mover : this->movers) {
      const bool known = mover.known_at.at(place) >= 0;
      if (!known && this->ManyFailures(mover.places.at(place))) {
        mover.outcome.taken_back = true;
        mover.outcome.reason = VerdictReason::kFailures;
        for (std::size_t other = 0; other < this->nodes.size(); ++other) {
          if (mover.known_at.at(other) < 0)
            mover.known_at.at(other) = this->time + (other == place ? 0 : 1);
        }
      } else if (!known && this->time >= this->Deadline() - 10) {
        mover.known_at.at(place) = this->time;
      }
    }
  }

  static bool ManyFailures(Place& here) {
    constexpr std::size_t kWindow = 60;
    const std::size_t lag = std::min<std::size_t>(2, here.past.size() - 1);
    EvidenceCounters now;
    for (const EvidenceCounters& cells : here.past.at(lag).at(1))
      AddCounters(now, cells);
    here.window.push_front(now);
    if (here.window.size() > kWindow)
      here.window.pop_back();
    const EvidenceCounters& before = here.window.back();
    const double runs = static_cast<double>(now.runs - before.runs);
    const double failed = static_cast<double>(now.failures - before.failures);
    return runs >= 50 && failed > 0.03 * runs;
  }

  [[nodiscard]] bool Ended() const {
    return std::all_of(
        this->movers.begin(), this->movers.end(), [](const Mover& mover) {
          return std::all_of(mover.known_at.begin(), mover.known_at.end(),
                             [](double at) { return at >= 0; });
        });
  }

  Outcome Sum() {
    for (Mover& mover : this->movers)
      this->SumOf(mover);
    Outcome outcome = this->movers.front().outcome;
    if (this->movers.size() > 1)
      outcome.neighbour_taken_back = this->movers.back().outcome.taken_back;
    return outcome;
  }

  void SumOf(Mover& mover) {
    Outcome& outcome = mover.outcome;
    const auto& known = mover.known_at;
    const bool all = std::all_of(known.begin(), known.end(),
                                 [](double at) { return at >= 0; });
    const double last = *std::max_element(known.begin(), known.end());
    if (this->setup.policy == Policy::kJudged) {
      int back = 0;
      for (const MovesState& node : this->nodes) {
        const auto verdict = node.verdicts.find(mover.config.id);
        back += verdict != node.verdicts.end() &&
                        verdict->second.stage == MoveStage::kRolledBack
                    ? 1
                    : 0;
      }
      outcome.taken_back = back > 0;
      outcome.split = back > 0 && back < static_cast<int>(this->nodes.size());
    }
    outcome.ended_after = all ? last : 0;
    outcome.done_in_time =
        all && !outcome.taken_back && last <= this->Deadline();
    outcome.fault_shown = mover.first_fault >= 0;
    if (outcome.fault_shown)
      outcome.zero_after = mover.last_given - mover.first_fault + kTickSeconds;
  }

  Setup setup;
  Rng rng;
  std::map<double, Buckets> chances;
  std::vector<Letter> letters;
  std::uint64_t tick = 0;
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> heard;
  double ended = -1e9;
};

}  // namespace teaselspread::trial

#endif  // TEASELSPREAD_BENCHMARK_MOVES_TRIAL_H_
