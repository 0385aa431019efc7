// Client accounts with real nodes: who is served, and what upstreams and the
// output of the nodes show of the caller.
#include "process/edge_fleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

constexpr const char* kAccounts =
    R"([{"name":"ada","apiKeys":["secret-ada"],"priority":1},)"
    R"({"name":"bo","apiKeys":["secret-bo","secret-ada"],"priority":0},)"
    R"({"name":"none","apiKeys":[]}])";

std::string NextRequestId() {
  static std::atomic<int> next{0};
  return "q-" + std::to_string(++next);
}

// The configuration `version` with these accounts, in which requests to /open/
// need no key.
std::string ConfigWithAccounts(const std::string& version,
                               const std::string& accounts = kAccounts) {
  std::string config = ConfigText(version, "/open/");
  const std::string open_route = R"("name":"r-extra",)";
  config.replace(config.find(open_route), open_route.size(),
                 open_route + R"("allowAnonymous":true,)");
  return R"({"tenants":)" + accounts + "," + config.substr(1);
}

// Publishes the configuration `version`; true once it is in force everywhere.
bool Publish(EdgeFleet& fleet,
             std::size_t version,
             const std::string& accounts = kAccounts) {
  fleet.store.Put(
      "keyed.op", "config",
      ConfigWithAccounts("0000000" + std::to_string(version), accounts));
  return WaitUntil([&] {
    return std::all_of(fleet.vms.begin(), fleet.vms.end(), [&](const auto& vm) {
      return vm->Metric("teaselspread_config_version") == version;
    });
  });
}

HttpResponse Send(const EdgeVm& vm,
                  const std::string& path,
                  const std::string& id,
                  const HttpHeaders& more = {}) {
  HttpHeaders headers = {{"X-Request-Id", id}, {"X-Deadline-Ms", "2000"}};
  headers.insert(headers.end(), more.begin(), more.end());
  return CallOnce(vm.Outbound(), "GET", path, "", headers);
}

HttpHeaders WithKey(const std::string& key) {
  return {{"Authorization", "Bearer " + key}};
}

// The runs of `id` at all upstreams.
std::vector<standin::MeshRun> RunsOf(const EdgeFleet& fleet,
                                     const std::string& id) {
  std::vector<standin::MeshRun> runs;
  for (const auto& vm : fleet.vms) {
    for (const standin::MeshRun& run : vm->upstream.Runs()) {
      if (run.id == id)
        runs.push_back(run);
    }
  }
  return runs;
}

bool IsUnauthorized(const HttpResponse& response) {
  return response.status == 401 &&
         FindHeader(response.headers, "WWW-Authenticate") == "Bearer" &&
         FindHeader(response.headers, "X-Reason") == "unauthorized" &&
         FindHeader(response.headers, "X-Execution") == "not-run";
}

// Guards against requests of strangers that are run, and against callers of
// anonymous routes that are refused.
Test(client_accounts, requests_without_a_valid_key_are_refused) {
  EdgeFleet fleet;
  cr_assert(fleet.WaitUntilReady());
  cr_assert(Publish(fleet, 2));
  for (const auto& vm : fleet.vms) {
    const std::string no_key = NextRequestId();
    const std::string unknown = NextRequestId();
    const std::string unknown_on_open = NextRequestId();
    cr_assert(IsUnauthorized(Send(*vm, "/view/1", no_key)));
    cr_assert(IsUnauthorized(Send(*vm, "/view/1", unknown, WithKey("ada"))));
    cr_assert(
        IsUnauthorized(Send(*vm, "/open/1", unknown_on_open, WithKey("ada"))));
    for (const std::string& id : {no_key, unknown, unknown_on_open})
      cr_assert(RunsOf(fleet, id).empty(), "%s", id.c_str());
    cr_assert_eq(
        Send(*vm, "/view/1", NextRequestId(), WithKey("secret-ada")).status,
        200);
    cr_assert_eq(Send(*vm, "/open/1", NextRequestId()).status, 200);
    cr_assert_eq(Send(*vm, "/nowhere/1", NextRequestId()).status, 404);
  }
}

// Guards against a caller that passes for another account, also over a link to
// another node and on a route that needs no key, and against upstreams that see
// the keys of their callers.
Test(client_accounts, upstreams_see_the_account_and_not_the_key) {
  EdgeFleet fleet;
  cr_assert(fleet.WaitUntilReady());
  cr_assert(Publish(fleet, 2));
  const HttpHeaders forged = {{"x-tenant", "bo"}, {"X-Tenant", "cy"}};
  for (const auto& vm : fleet.vms) {
    for (const char* path : {"/view/1", "/load/1", "/open/1"}) {
      HttpHeaders headers = forged;
      headers.push_back({"authorization", "bearer secret-ada"});
      const std::string id = NextRequestId();
      cr_assert_eq(Send(*vm, path, id, headers).status, 200);
      const auto runs = RunsOf(fleet, id);
      cr_assert_eq(runs.size(), 1U);
      cr_assert(runs[0].account == "ada");
      cr_assert(runs[0].authorization.empty());
      const auto& names = runs[0].header_names;
      cr_assert_eq(std::count(names.begin(), names.end(), "x-tenant"), 0);
      cr_assert_eq(std::count(names.begin(), names.end(), "X-Tenant"), 1);
    }
    const std::string id = NextRequestId();
    cr_assert_eq(Send(*vm, "/open/1", id, forged).status, 200);
    const auto runs = RunsOf(fleet, id);
    cr_assert(runs.size() == 1 && runs[0].account.empty());
  }
}

// Guards against a removed key that is accepted once its removal is in force.
Test(client_accounts, a_removed_key_is_refused_and_a_new_one_accepted) {
  EdgeFleet fleet;
  cr_assert(fleet.WaitUntilReady());
  cr_assert(Publish(fleet, 2));
  for (const auto& vm : fleet.vms) {
    cr_assert_eq(
        Send(*vm, "/view/1", NextRequestId(), WithKey("secret-ada")).status,
        200);
    cr_assert(IsUnauthorized(
        Send(*vm, "/view/1", NextRequestId(), WithKey("secret-new"))));
  }
  cr_assert(Publish(fleet, 3, R"([{"name":"ada","apiKeys":["secret-new"]}])"));
  for (const auto& vm : fleet.vms) {
    cr_assert(IsUnauthorized(
        Send(*vm, "/view/1", NextRequestId(), WithKey("secret-ada"))));
    cr_assert_eq(
        Send(*vm, "/view/1", NextRequestId(), WithKey("secret-new")).status,
        200);
  }
  cr_assert(Publish(fleet, 4, "[]"));
  cr_assert(IsUnauthorized(
      Send(fleet.At(0), "/view/1", NextRequestId(), WithKey("secret-new"))));
}

// A request with a key that runs until the end of its scope or a little longer.
class RunningRequest {
 public:
  RunningRequest(EdgeFleet& fleet,
                 EdgeVm& entry,
                 const std::string& path,
                 const std::string& id,
                 const HttpHeaders& headers) {
    for (const auto& each : fleet.vms)
      each->upstream.SetWork(Ms(1800));
    this->caller = std::thread([this, &entry, path, id, headers] {
      this->status = Send(entry, path, id, headers).status;
    });
    WaitUntil([&] {
      for (const auto& each : fleet.vms) {
        if (each->upstream.CountRuns(id) > 0)
          this->vm = each.get();
      }
      return this->vm != nullptr;
    });
    for (const auto& each : fleet.vms)
      each->upstream.SetWork(Ms(5));
  }
  ~RunningRequest() { this->Join(); }
  RunningRequest(const RunningRequest&) = delete;
  RunningRequest& operator=(const RunningRequest&) = delete;

  // Waits for the response and returns its status.
  int Join() {
    if (this->caller.joinable())
      this->caller.join();
    return this->status;
  }

  // Where it runs; null if it was not started.
  EdgeVm* vm = nullptr;

 private:
  std::atomic<int> status{0};
  std::thread caller;
};

// Guards against a request that ends, or whose account is lost, because its key
// was removed while it ran.
Test(client_accounts, a_running_request_keeps_its_account) {
  EdgeFleet fleet;
  cr_assert(fleet.WaitUntilReady());
  cr_assert(Publish(fleet, 2));
  RunningRequest running(fleet, fleet.At(0), "/view/1", "q",
                         WithKey("secret-ada"));
  cr_assert_not_null(running.vm);
  cr_assert(Publish(fleet, 3, "[]"));
  cr_assert(IsUnauthorized(
      Send(fleet.At(0), "/view/1", NextRequestId(), WithKey("secret-ada"))));
  cr_assert_eq(running.Join(), 200);
  const std::string logs = fleet.WaitForLogs("q ");
  const std::size_t line = logs.find("id=q ");
  cr_assert_neq(line, std::string::npos);
  cr_assert(logs.substr(line, logs.find('\n', line) - line)
                .find("account=ada config=2") != std::string::npos);
}

// Upstreams have no key for the calls that they make. Guards against requests
// that fail because one of these is refused, at whichever depth, and against
// calls of an unknown request that get 401, after which nobody would repeat
// them.
Test(client_accounts, nested_calls_need_no_key) {
  EdgeFleet fleet;
  cr_assert(fleet.WaitUntilReady());
  cr_assert(Publish(fleet, 2));
  RunningRequest parent(fleet, fleet.At(0), "/view/1", "q",
                        WithKey("secret-ada"));
  cr_assert_not_null(parent.vm);
  RunningRequest call(fleet, *parent.vm, "/load/1", "q.call", {});
  cr_assert_not_null(call.vm);
  cr_assert_eq(Send(*call.vm, "/view/1", "q.call.1").status, 200);
  const HttpResponse unknown = Send(*call.vm, "/view/1", "other.call");
  cr_assert_eq(unknown.status, 503);
  cr_assert(FindHeader(unknown.headers, "X-Execution") == "not-run");
  cr_assert_not(FindHeader(unknown.headers, "Retry-After").empty());
  cr_assert(RunsOf(fleet, "other.call").empty());
  cr_assert_eq(call.Join(), 200);
  cr_assert_eq(parent.Join(), 200);
  cr_assert(RunsOf(fleet, "q").at(0).account == "ada");
  cr_assert(RunsOf(fleet, "q.call").at(0).account.empty());
}

// Guards against a node that serves callers without a key, or tells callers
// with one that it is invalid, before it has the configuration again; and
// against a nested call that gets 401 because the node has forgotten its
// parent.
Test(client_accounts, a_restarted_node_knows_the_accounts_again) {
  EdgeFleet fleet;
  cr_assert(fleet.WaitUntilReady());
  cr_assert(Publish(fleet, 2));
  const RunningRequest parent(fleet, fleet.At(0), "/view/1", "q",
                              WithKey("secret-ada"));
  cr_assert_not_null(parent.vm);
  EdgeVm& vm = *parent.vm;
  vm.Restart();
  cr_assert(WaitUntil([&] {
    const int with_key =
        Send(vm, "/view/1", NextRequestId(), WithKey("secret-ada")).status;
    cr_assert_neq(with_key, 401);
    const int without_key = Send(vm, "/view/1", NextRequestId()).status;
    cr_assert(without_key == 0 || without_key == 401 || without_key == 503,
              "%d", without_key);
    const int nested = Send(vm, "/view/1", "q.call").status;
    cr_assert(nested == 0 || nested == 503, "%d", nested);
    return with_key == 200 && without_key == 401 && nested == 503;
  }));
}

// One slot, and requests of an account of priority 1 wait for it. Guards
// against a more urgent account whose request is queued behind them.
Test(client_accounts, the_priority_of_the_account_goes_first) {
  standin::StoreService& store = *new standin::StoreService;
  store.Put("keyed.op", "config", ConfigWithAccounts("00000001"));
  standin::MeshUpstreamOptions options{"i-a1", "works"};
  options.slots = 1;
  options.work = Ms(150);
  EdgeVm vm("a-1", "a", options, store.Port());
  cr_assert(WaitUntil(
      [&] { return Send(vm, "/open/1", NextRequestId()).status == 200; }));
  std::vector<std::thread> callers;
  std::atomic<int> served{0};
  const auto call = [&](const std::string& id, const std::string& key) {
    callers.emplace_back([&, id, key] {
      served += Send(vm, "/load/1", id, WithKey(key)).status == 200 ? 1 : 0;
    });
  };
  const auto wait_for = [&](std::size_t waiting) {
    return WaitUntil(
        [&] { return vm.Metric("teaselspread_gate_waiting") == waiting; });
  };
  call("running", "secret-ada");
  cr_assert(WaitUntil([&] { return vm.upstream.CountRuns("running") == 1; }));
  call("normal-1", "secret-ada");
  cr_assert(wait_for(1));
  call("normal-2", "secret-ada");
  cr_assert(wait_for(2));
  call("urgent", "secret-bo");
  for (std::thread& caller : callers)
    caller.join();
  cr_assert_eq(served, 4);
  std::vector<std::string> order;
  for (const standin::MeshRun& run : vm.upstream.Runs())
    order.push_back(run.id);
  const auto at = [&](const std::string& id) {
    return std::find(order.begin(), order.end(), id);
  };
  cr_assert(at("urgent") < at("normal-1"));
  cr_assert(at("urgent") < at("normal-2"));
}

// Deployments without accounts may use both headers for something else. Guards
// against a feature that changes requests or log lines where nobody enabled it.
Test(client_accounts, without_accounts_requests_are_unchanged) {
  EdgeFleet fleet;
  cr_assert(fleet.WaitUntilReady());
  const HttpHeaders headers = {{"Authorization", "Basic eDp5"},
                               {"X-Tenant", "cy"},
                               {"Accept", "text/plain"}};
  for (const auto& vm : fleet.vms) {
    for (const std::string& id : {NextRequestId(), vm->name + ".unknown"}) {
      cr_assert_eq(Send(*vm, "/load/1", id, headers).status, 200);
      const auto runs = RunsOf(fleet, id);
      cr_assert_geq(runs.size(), 1U);
      cr_assert(runs.back().account == "cy");
      cr_assert(runs.back().authorization == "Basic eDp5");
      std::string names;
      for (const std::string& name : runs.back().header_names)
        names += name + " ";
      cr_assert_str_eq(names.c_str(),
                       "X-Request-Id Authorization X-Tenant Accept Host "
                       "X-Caller-Service X-Deadline-Ms X-Expected-Instance ");
    }
  }
  const std::string id = NextRequestId();
  cr_assert_eq(Send(fleet.At(0), "/nowhere/1", id).status, 404);
  const std::string logs = fleet.WaitForLogs(id);
  cr_assert(logs.find("account=") == std::string::npos);
  cr_assert(logs.find("cause=") == std::string::npos);
}

// Whoever reads logs and metrics must not be able to act as an account. The
// name of the account and the cause of a refusal are there instead.
Test(client_accounts, no_key_appears_in_the_output) {
  EdgeFleet fleet;
  cr_assert(fleet.WaitUntilReady());
  cr_assert(Publish(fleet, 2));
  std::string responses;
  const auto send = [&](const EdgeVm& vm, const std::string& path,
                        const std::string& id, const HttpHeaders& headers) {
    const HttpResponse response = Send(vm, path, id, headers);
    responses += response.body;
    for (const HttpHeader& header : response.headers)
      responses += header.value + " ";
  };
  const std::string served = NextRequestId();
  const std::string refused = NextRequestId();
  const std::string without_key = NextRequestId();
  send(fleet.At(0), "/load/1", served, WithKey("secret-ada"));
  send(fleet.At(0), "/nowhere/1", NextRequestId(), WithKey("secret-ada"));
  send(fleet.At(0), "/view/1", "", WithKey("secret-ada"));
  send(fleet.At(0), "/view/1", NextRequestId(),
       {{"Authorization", "secret-x"}});
  send(fleet.At(0), "/view/1", without_key, {});
  send(fleet.At(0), "/view/1", refused, WithKey("secret-unknown"));
  const std::string logs = fleet.WaitForLogs(refused);
  const auto line_of = [&](const std::string& id) {
    const std::size_t at = logs.find("id=" + id + " ");
    cr_assert_neq(at, std::string::npos);
    return logs.substr(at, logs.find('\n', at) - at);
  };
  cr_assert(line_of(served).find("account=ada") != std::string::npos);
  cr_assert(line_of(refused).find("reason=unauthorized") != std::string::npos);
  cr_assert(line_of(refused).find("cause=\"unknown API key\"") !=
            std::string::npos);
  cr_assert(line_of(without_key).find("cause=\"no API key\"") !=
            std::string::npos);
  cr_assert(logs.find("event=key-of-two-accounts") != std::string::npos);
  cr_assert(logs.find("event=account-passed-over") != std::string::npos);
  std::string output = logs + responses;
  for (const auto& vm : fleet.vms)
    output += vm->Metrics();
  cr_assert(output.find(R"(refused_total{reason="unauthorized"} 3)") !=
            std::string::npos);
  cr_assert(output.find("secret") == std::string::npos);
}

}  // namespace
}  // namespace teaselspread
