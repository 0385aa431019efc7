#include "node/crash_watch.h"

#include <thread>
#include <utility>
#include <vector>

#include <absl/strings/escaping.h>
#include <xxhash.h>
#include <cereal/types/vector.hpp>

#include "base/text.h"
#include "node/bytes.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

constexpr Duration kProbeTimeout = std::chrono::milliseconds(200);
constexpr int kProbes = 4;
constexpr std::chrono::milliseconds kProbePause{20};

// Whether the upstream takes no connection any more. While a process ends, its
// listening socket may outlive the connection that broke by some milliseconds
// and then resets what it accepted; so anything but an answer is asked again.
bool IsGone(Requests& service, const Address& upstream) {
  HttpRequest probe;
  probe.target = "/health";
  CallOptions options;
  options.connect_timeout = kProbeTimeout;
  options.timeout = kProbeTimeout;
  options.reuse_within = Duration{0};
  for (int attempt = 0; attempt < kProbes; ++attempt) {
    const auto answer = service.clients->Send(upstream, probe, options);
    if (answer)
      return false;
    if (answer.error().kind == ErrorKind::kConnectFailed)
      return true;
    std::this_thread::sleep_for(kProbePause);
  }
  return false;
}

}  // namespace

bool BrokeOff(ErrorKind kind) {
  return kind == ErrorKind::kUpstreamFailed || kind == ErrorKind::kTruncated ||
         kind == ErrorKind::kConnectFailed;
}

Fingerprint RequestFingerprint(const Call& call) {
  return FingerprintOf(
      call.request.method, call.request.target,
      XXH3_64bits(call.request.body.data(), call.request.body.size()));
}

// A connection that broke may be one connection's fault. Only an upstream that
// takes no new one either has crashed, and then whatever ran there is suspect.
void CheckCrash(Requests& service, const Address& upstream) {
  if (!IsGone(service, upstream))
    return;
  const std::scoped_lock lock(service.gate);
  if (service.upstream.crashed || service.upstream.address != upstream)
    return;
  std::vector<Fingerprint> in_flight;
  for (const auto& [id, run] : service.running)
    in_flight.push_back(run.fingerprint);
  Log(LogLevel::kWarning, kRequestsService, "upstream-crashed",
      {{"in_flight", in_flight.size()}});
  for (const SuspectRow& row :
       OnCrash(service.suspects, in_flight, SystemNow()))
    service.rumours.push_back(RumourOf(row));
  LoseUpstream(service, SystemNow());
  service.flush();
}

void ClearSuspect(Requests& service, Fingerprint fingerprint) {
  const std::scoped_lock lock(service.gate);
  for (const SuspectRow& row :
       OnCleanRun(service.suspects, fingerprint, SystemNow()))
    service.rumours.push_back(RumourOf(row));
}

OpaqueRumour RumourOf(const SuspectRow& row) {
  // Crashes and clearances only grow: their sum orders two copies of a row.
  return {Topic::kCrashSuspect, Concat(row.fingerprint, "/", row.origin),
          std::uint64_t{row.crashes} + row.cleared, ToBytes(row), row.expires};
}

std::string SuspectsText(Requests& service, Fingerprint fingerprint) {
  const std::scoped_lock lock(service.gate);
  const auto& requests = service.suspects.requests;
  const auto found = requests.find(fingerprint);
  if (found == requests.end())
    return "";
  return absl::BytesToHexString(ToBytes(found->second.rows));
}

void TakeSuspectsText(Requests& service,
                      Fingerprint fingerprint,
                      std::string_view text) {
  if (text.empty())
    return;
  const auto rows = FromBytes<std::vector<SuspectRow>>(
      absl::HexStringToBytes(std::string(text)));
  if (!rows)
    return;
  const std::scoped_lock lock(service.gate);
  for (const SuspectRow& row : *rows) {
    if (row.fingerprint == fingerprint)
      MergeSuspects(service.suspects, std::span(&row, 1), SystemNow());
  }
}

void TakeSuspects(Requests& service, const OpaqueRumour& rumour) {
  const auto row = FromBytes<SuspectRow>(rumour.body);
  if (!row)
    return;
  const std::scoped_lock lock(service.gate);
  MergeSuspects(service.suspects, std::span(&*row, 1), SystemNow());
}

}  // namespace teaselspread
