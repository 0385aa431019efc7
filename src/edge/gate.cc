#include "edge/gate.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <xxhash.h>

#include "base/clock.h"
#include "teaselspread/logging.h"
#include "teaselspread/wire.h"

namespace teaselspread {
namespace {

// The upstream gives its own answer at the deadline that it was told; this is
// how much later the connection is closed instead of waiting on.
constexpr Duration kDeadlineSlack = std::chrono::milliseconds(60);
// Idle connections to the upstream are used again within this time. Upstreams
// close them after some seconds, and a request that crosses the close may or
// may not have run.
constexpr Duration kReuseWithin = std::chrono::seconds(8);
constexpr Duration kReuseWithinOnce = std::chrono::seconds(4);
// Least Retry-After of a refusal; callers wait a third of what they have left
// at most, so half a second would mean "never" to many.
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(80);
constexpr std::uint32_t kWarmUpStepMs = 500;
// Connections of a crashed upstream break together, and the next one to it is
// refused within this time.
constexpr Duration kCrashSeenWithin = std::chrono::milliseconds(1000);
// A connection that broke makes the node look whether the upstream is still
// there, this often at most: each look costs the upstream a connection.
constexpr Duration kCheckEvery = std::chrono::milliseconds(250);
// Crashes after which a request is refused. A crash blames all that ran at the
// upstream; those that are innocent run clean elsewhere and are cleared, so
// three in a row without a clean run point at the request itself.
constexpr std::uint32_t kMostCrashes = 3;
// Rows told to other nodes at most.
constexpr std::size_t kMostSuspectNotes = 64;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kHttpMisdirected = 421;
constexpr int kHttpBadRequest = 400;
constexpr std::int64_t kMicrosPerMilli = 1000;

std::uint32_t MillisOf(Duration span) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(span.count(), 0) /
                                    kMicrosPerMilli);
}

ErrorKind RefusalOf(LeaseState state) {
  return state == LeaseState::kLeaving ? ErrorKind::kLeaving
                                       : ErrorKind::kNotReady;
}

Priority PriorityOf(std::uint8_t rank) {
  constexpr std::uint8_t kLowest =
      static_cast<std::uint8_t>(Priority::kBackground);
  return static_cast<Priority>(std::min(rank, kLowest));
}

// What makes a request the same one when its caller sends it again.
Fingerprint FingerprintOfRun(const HttpRequest& request,
                             std::string_view caller_header) {
  const std::string_view caller = FindHeader(request.headers, caller_header);
  const std::uint64_t seed = XXH3_64bits(caller.data(), caller.size());
  const std::uint64_t body =
      XXH3_64bits_withSeed(request.body.data(), request.body.size(), seed);
  return FingerprintOf(request.method, request.target, body);
}

ResultFrame RefusedFrame(std::uint64_t call, const Refusal& refusal) {
  ResultFrame result;
  result.call_id = call;
  result.error = refusal.kind;
  result.execution = Execution::kNotRun;
  result.retry_after_ms = MillisOf(refusal.retry_after);
  return result;
}

}  // namespace

Gate::Gate(boost::asio::io_context& io,
           const EdgeHeaderNames& header_names,
           const LeaseSettings& lease_settings)
    : pool(io),
      loop(io),
      names(header_names),
      expiry(io),
      rng(std::random_device{}()) {
  this->lease.settings = lease_settings;
  this->keeper.settings.retry_after = kLeastRetryAfter;
  this->keeper.ready = false;
  this->suspects.settings.most_crashes = kMostCrashes;
}

void Gate::Run(std::uint64_t id, RunFrame frame, ResultHandler done) {
  const TimePoint now = SteadyNow();
  GateRun run;
  run.arrived = now;
  run.deadline = now + std::chrono::milliseconds(frame.deadline_ms);
  run.done = std::move(done);
  Arrival arrival;
  arrival.id = id;
  arrival.route = frame.route;
  arrival.priority = PriorityOf(frame.priority);
  arrival.deadline = run.deadline;
  arrival.aim = now + std::chrono::milliseconds(frame.aim_ms);
  arrival.body_bytes = frame.request.body.size();
  run.frame = std::move(frame);
  run.fingerprint =
      FingerprintOfRun(run.frame.request, this->names.caller_service);
  const bool crashes = teaselspread::StateOf(this->suspects, run.fingerprint,
                                             now) == SuspectState::kRefused;
  const bool wrong_instance =
      !run.frame.instance.empty() && this->lease.current &&
      run.frame.instance != this->lease.current->instance;
  const LeaseState state = StateOf(this->lease, now);
  this->runs.emplace(id, std::move(run));
  if (wrong_instance || state != LeaseState::kReady) {
    const ErrorKind kind =
        wrong_instance ? ErrorKind::kNotReady : RefusalOf(state);
    this->Refuse(id, {id, kind, kLeastRetryAfter});
    return;
  }
  if (crashes) {
    this->keeper.refusals.Add(ErrorKind::kCrashSuspect);
    this->Refuse(id, {id, ErrorKind::kCrashSuspect, kLeastRetryAfter});
    return;
  }
  const Arrived arrived = Arrive(this->keeper, arrival, now, this->rng);
  if (arrived.evicted)
    this->Refuse(arrived.evicted->id, *arrived.evicted);
  if (arrived.refusal) {
    this->Refuse(id, *arrived.refusal);
    return;
  }
  if (arrived.admission == Admission::kRun)
    this->Start(id);
  else
    this->ScheduleExpiry();
}

void Gate::Start(std::uint64_t id) {
  const auto found = this->runs.find(id);
  const TimePoint now = SteadyNow();
  if (found == this->runs.end()) {
    // Its caller left between the decision and now; the slot is free again.
    this->Apply(teaselspread::Finish(this->keeper, id, Duration{0}, false, now,
                                     this->rng));
    return;
  }
  GateRun& run = found->second;
  run.started = now;
  HttpRequest& request = run.frame.request;
  const Duration left = run.deadline - now;
  SetHeader(request.headers, this->names.deadline,
            std::to_string(std::max<std::uint32_t>(MillisOf(left), 1)));
  SetHeader(request.headers, this->names.expected_instance,
            this->lease.current->instance);
  const std::string request_id(FindHeader(request.headers, kHeaderRequestId));
  const Duration reuse = run.frame.idempotent ? kReuseWithin : kReuseWithinOnce;
  this->running_ids.insert_or_assign(request_id, run.frame.route);
  run.timer = std::make_unique<boost::asio::steady_timer>(this->loop);
  run.timer->expires_after(left + kDeadlineSlack);
  run.timer->async_wait([this, id](boost::system::error_code error) {
    if (!error)
      this->OnDeadline(id);
  });
  run.call = this->pool.Call(request, request_id, reuse,
                             [this, id](CallResult result) {
                               this->OnCallEnd(id, std::move(result));
                             });
}

void Gate::OnCallEnd(std::uint64_t id, CallResult result) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end())
    return;
  GateRun& run = found->second;
  run.call = nullptr;
  const TimePoint now = SteadyNow();
  ResultFrame frame;
  frame.call_id = id;
  frame.has_response = result.has_response;
  frame.error = result.error;
  frame.execution = result.execution;
  frame.upstream_time_us =
      static_cast<std::uint32_t>((now - run.started).count());
  bool counts = false;
  if (result.has_response) {
    const int status = result.response.status;
    const bool says_not_run =
        !FindHeader(result.response.headers, this->names.not_run).empty();
    const bool wrong_process = status == kHttpMisdirected;
    // A success that the upstream did not sign cannot be told from one that
    // something on the way has made up.
    const bool unsigned_success =
        status >= kFirstSuccess && status < kFirstRedirect &&
        FindHeader(result.response.headers, this->names.signature).empty();
    frame.response = std::move(result.response);
    if (wrong_process) {
      this->LoseUpstream("another-process-answered");
    } else {
      OnUpstreamAnswer(this->lease, now);
    }
    if (wrong_process || (says_not_run && status != kHttpBadRequest)) {
      frame.has_response = false;
      frame.error = ErrorKind::kUpstreamShed;
      frame.execution = Execution::kNotRun;
      frame.retry_after_ms = MillisOf(kLeastRetryAfter);
      frame.response = {};
    } else if (unsigned_success) {
      frame.has_response = false;
      frame.error = ErrorKind::kWrongAnswer;
      frame.execution = Execution::kUnknown;
      frame.response = {};
    } else {
      counts = true;
      this->NoteClean(run);
    }
  } else if (result.error == ErrorKind::kConnectFailed) {
    this->LoseUpstream("no-connection");
  } else {
    this->NoteBroken(run);
  }
  this->Finish(id, counts, frame);
}

void Gate::OnDeadline(std::uint64_t id) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end() || found->second.call == nullptr)
    return;
  this->pool.Cancel(std::exchange(found->second.call, nullptr));
  ResultFrame frame;
  frame.call_id = id;
  frame.error = ErrorKind::kTimeout;
  frame.execution = Execution::kUnknown;
  frame.upstream_time_us =
      static_cast<std::uint32_t>((SteadyNow() - found->second.started).count());
  this->Finish(id, true, frame);
}

void Gate::Finish(std::uint64_t id, bool counts, const ResultFrame& result) {
  const auto found = this->runs.find(id);
  const TimePoint now = SteadyNow();
  const Duration took = now - found->second.started;
  const ResultHandler done = std::move(found->second.done);
  const HttpHeaders& headers = found->second.frame.request.headers;
  this->running_ids.erase(std::string(FindHeader(headers, kHeaderRequestId)));
  this->runs.erase(found);
  const GateActions actions =
      teaselspread::Finish(this->keeper, id, took, counts, now, this->rng);
  if (done)
    done(result);
  this->Apply(actions);
}

void Gate::Refuse(std::uint64_t id, const Refusal& refusal) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end())
    return;
  const ResultHandler done = std::move(found->second.done);
  this->runs.erase(found);
  if (done)
    done(RefusedFrame(id, refusal));
}

void Gate::Apply(const GateActions& actions) {
  for (const std::uint64_t id : actions.run)
    this->Start(id);
  for (const Refusal& refusal : actions.refused)
    this->Refuse(refusal.id, refusal);
  this->ScheduleExpiry();
}

void Gate::Cancel(std::uint64_t id) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end())
    return;
  GateRun& run = found->second;
  if (run.started == TimePoint{}) {
    Withdraw(this->keeper, id);
    this->runs.erase(found);
    return;
  }
  run.done = nullptr;
  if (run.call == nullptr)
    return;
  // A connection that is still being made carries nothing yet; when it opens
  // late, the request would run for nobody.
  if (!run.frame.idempotent && LoopClient::MayHaveSent(run.call))
    return;
  this->pool.Cancel(std::exchange(run.call, nullptr));
  this->Finish(id, false, {});
}

void Gate::Probe(const std::string& health_path, const std::string& service) {
  if (this->lease.current || this->probing || health_path.empty())
    return;
  this->probing = true;
  HttpRequest request;
  request.target = health_path;
  this->pool.Call(request, "", kReuseWithin,
                  [this, service](const CallResult& result) {
                    this->probing = false;
                    if (result.has_response && !this->lease.current)
                      this->TakeProbe(service, result.response);
                  });
}

// Version and start of the process stay unknown until its heartbeat, which
// replaces this report whatever its number.
void Gate::TakeProbe(const std::string& service, const HttpResponse& response) {
  constexpr int kOk = 200;
  constexpr std::size_t kLoadParts = 3;
  const std::string_view instance =
      FindHeader(response.headers, this->names.instance);
  const std::vector<std::string> load = absl::StrSplit(
      std::string(FindHeader(response.headers, this->names.load)), ',');
  int slots = 0;
  const bool knows_slots =
      load.size() == kLoadParts && absl::SimpleAtoi(load.back(), &slots);
  Log(LogLevel::kInfo, "gate", "upstream-probed",
      {{"status", response.status},
       {"instance", instance},
       {"slots", knows_slots ? slots : 0}});
  if (response.status != kOk || instance.empty() || !knows_slots || slots < 1)
    return;
  UpstreamReport report;
  report.instance = std::string(instance);
  report.service = service;
  report.slots = slots;
  (void)this->Report(report);
}

ReportVerdict Gate::Report(const UpstreamReport& report) {
  const ReportVerdict verdict = TakeReport(this->lease, report, SteadyNow());
  this->ApplyLease();
  this->on_change();
  return verdict;
}

bool Gate::LeaveUpstream(const LeaveCall& call) {
  const bool known =
      TakeLeave(this->lease, call.instance, call.born_ms, SteadyNow());
  this->ApplyLease();
  this->on_change();
  return known;
}

void Gate::LeaveNode() {
  this->node_leaving = true;
  this->Apply(Leave(this->keeper, SteadyNow(), this->rng));
  this->on_change();
}

void Gate::LoseUpstream(const char* why) {
  this->NoteCrash();
  OnUpstreamUnreachable(this->lease);
  Log(LogLevel::kWarning, "gate", "upstream-unreachable",
      {{"why", why},
       {"instance", this->lease.current ? this->lease.current->instance : ""}});
  this->ApplyLease();
}

void Gate::NoteBroken(const GateRun& run) {
  const TimePoint now = SteadyNow();
  std::erase_if(this->broken, [now](const auto& each) {
    return now - each.first > kCrashSeenWithin;
  });
  this->broken.emplace_back(now, run.fingerprint);
  this->CheckAlive();
}

// With little traffic nobody would try to connect, and the crash would go
// unnoticed until the next request runs into it.
void Gate::CheckAlive() {
  const TimePoint now = SteadyNow();
  if (now - this->checked_at < kCheckEvery)
    return;
  this->checked_at = now;
  this->pool.CheckListening([this](bool listening) {
    if (!listening)
      this->LoseUpstream("not-listening");
  });
}

// The upstream is gone right after connections broke: it has crashed, and one
// of the requests that it ran may be why. Its caller sends it again, and each
// upstream that runs it would crash in turn.
void Gate::NoteCrash() {
  const TimePoint now = SteadyNow();
  std::vector<Fingerprint> blamed;
  for (const auto& [when, fingerprint] : this->broken) {
    if (now - when <= kCrashSeenWithin)
      blamed.push_back(fingerprint);
  }
  this->broken.clear();
  if (blamed.empty())
    return;
  const auto rows = OnCrash(this->suspects, blamed, now);
  Log(LogLevel::kWarning, "gate", "upstream-crashed",
      {{"instance", this->lease.current ? this->lease.current->instance : ""},
       {"requests_blamed", rows.size()}});
  this->on_change();
}

void Gate::NoteClean(const GateRun& run) {
  if (this->suspects.rows.empty())
    return;
  (void)OnCleanRun(this->suspects, run.fingerprint, SteadyNow());
}

std::vector<SuspectNote> Gate::SuspectNotes() const {
  std::vector<SuspectNote> notes;
  const TimePoint now = SteadyNow();
  for (const auto& [fingerprint, rows] : this->suspects.rows) {
    for (const SuspectRow& row : rows) {
      if (row.expires <= now || notes.size() >= kMostSuspectNotes)
        continue;
      const auto left =
          std::chrono::duration_cast<std::chrono::minutes>(row.expires - now);
      notes.push_back({row.fingerprint, row.origin, row.crashes, row.cleared,
                       static_cast<std::uint32_t>(left.count())});
    }
  }
  return notes;
}

void Gate::TakeSuspectNotes(const std::vector<SuspectNote>& notes) {
  const TimePoint now = SteadyNow();
  std::vector<SuspectRow> rows;
  rows.reserve(notes.size());
  for (const SuspectNote& note : notes) {
    rows.push_back({note.fingerprint, note.origin, note.crashes, note.cleared,
                    now + std::chrono::minutes(note.remaining_minutes)});
  }
  (void)MergeSuspects(this->suspects, rows, now);
}

void Gate::RefreshTimes() {
  RefreshTold(this->told_times, this->keeper.service_times);
  std::vector<RouteTime> all;
  if (this->told_mean_ms > 0)
    all.push_back({"", this->told_mean_ms});
  RefreshTold(all, {{"", this->keeper.all_routes}});
  this->told_mean_ms = all.front().mean_ms;
}

void Gate::Tick() {
  if (this->keeper.all_routes.mean_us > 0)
    this->RefreshTimes();
  ExpireSuspects(this->suspects, SteadyNow());
  this->ApplyLease();
  this->pool.Prune(kReuseWithin);
}

// Everything that the lease says is in force when this returns: whoever was
// told that the upstream leaves may rely on it.
void Gate::ApplyLease() {
  const TimePoint now = SteadyNow();
  const LeaseState state = StateOf(this->lease, now);
  const bool ready = state == LeaseState::kReady;
  const int slots = this->lease.current ? this->lease.current->slots : 1;
  const std::string version =
      this->lease.current ? this->lease.current->version : "";
  if (state == this->applied && slots == this->keeper.settings.slots &&
      version == this->applied_version)
    return;
  Log(LogLevel::kInfo, "gate", "upstream-state",
      {{"from", NameOf(this->applied)},
       {"to", NameOf(state)},
       {"slots", slots},
       {"instance", this->lease.current ? this->lease.current->instance : ""},
       {"version", version},
       {"sequence", this->lease.current ? this->lease.current->sequence : 0},
       {"age_ms", MillisOf(now - this->lease.renewed)}});
  this->applied = state;
  this->applied_version = version;
  this->Apply(SetUpstream(this->keeper, slots, ready, now, this->rng));
  this->on_change();
}

// A request that waits is refused as soon as it cannot make its deadline any
// more, not when the deadline has passed: its caller can still use the time.
void Gate::ScheduleExpiry() {
  const auto next = NextExpiry(this->keeper);
  if (!next || *next == this->expiry_at)
    return;
  this->expiry_at = *next;
  this->expiry.expires_after(*next - SteadyNow() +
                             std::chrono::milliseconds(1));
  this->expiry.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    this->expiry_at = TimePoint{};
    this->Apply(Expire(this->keeper, SteadyNow(), this->rng));
  });
}

std::string_view Gate::CallingRoute(std::string_view request_id) const {
  const std::size_t dot = request_id.find('.');
  if (dot == std::string_view::npos)
    return {};
  const auto found = this->running_ids.find(request_id.substr(0, dot));
  return found == this->running_ids.end() ? std::string_view{} : found->second;
}

GateStatus Gate::Status() const {
  GateStatus status;
  const TimePoint now = SteadyNow();
  if (this->lease.current) {
    status.instance = this->lease.current->instance;
    status.service = this->lease.current->service;
    status.version = this->lease.current->version;
    status.slots = static_cast<std::uint32_t>(this->lease.current->slots);
    // In steps: each change is told to every node.
    status.warm_up_ms =
        MillisOf(this->lease.warm_at - now) / kWarmUpStepMs * kWarmUpStepMs;
  }
  status.state = StateOf(this->lease, now);
  if (this->node_leaving && status.state == LeaseState::kReady)
    status.state = LeaseState::kLeaving;
  status.running = static_cast<std::uint32_t>(this->keeper.running);
  status.waiting = static_cast<std::uint32_t>(this->keeper.queue.size());
  status.queued_ms = MillisOf(QueuedTime(this->keeper));
  status.route_times = this->told_times;
  status.mean_ms = this->told_mean_ms;
  return status;
}

}  // namespace teaselspread
