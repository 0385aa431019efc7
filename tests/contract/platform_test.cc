#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "platform/decode.h"
#include "platform/store.h"

namespace teaselspread::platform {
namespace {

constexpr const char* kConfig = R"({
  "version": "0000001c",
  "limits": {"maxHeaderBytes": 9000, "maxBodyBytes": 70000,
             "headerTimeoutMs": 2500, "idleTimeoutMs": 12000},
  "listeners": [
    {"hostname": "Desk.Example", "policy": [
      {"name": "r-view", "routeType": "safe", "priority": 2,
       "match": {"pathPrefix": "/view/"},
       "action": {"weightedBackends": [{"service": "desk", "weight": 90},
                                       {"service": "works", "weight": 10}],
                  "timeoutMs": 800, "maxAttempts": 2}},
      {"name": "r-lodge", "routeType": "unsafe", "priority": 1,
       "match": {"pathPrefix": "/view/lodge/"},
       "action": {"service": "desk", "timeoutMs": 1000, "maxAttempts": 1}},
      {"name": "r-load", "routeType": "upload", "priority": 0,
       "match": {"pathPrefix": "/load/"}, "action": {"service": "works"}},
      {"name": "r-bad", "match": 7, "action": "nothing"}]},
    {"policy": []}, 5],
  "clusters": [{"name": "desk", "healthPath": "/health", "maxConnections": 130,
                "warmupS": 3.5, "warmupPerS": 11.0},
               {"name": "works"}, {"name": 4}]})";

SnapshotPtr DecodeSnapshot(const std::string& text) {
  const auto order = DecodeOrder({"config", text});
  cr_assert(order.has_value());
  return std::get<SnapshotPtr>(*order);
}

Test(platform, a_configuration_is_decoded_whole) {
  const SnapshotPtr snapshot = DecodeSnapshot(kConfig);
  cr_assert(snapshot->version == 0x1c);
  cr_assert(snapshot->routes.size() == 3);
  const RouteConfig& lodge = snapshot->routes[0];
  cr_assert_str_eq(lodge.name.c_str(), "r-lodge");
  cr_assert_str_eq(lodge.host.c_str(), "desk.example");
  cr_assert_not(lodge.idempotent);
  cr_assert(lodge.deadline == std::chrono::milliseconds(1000));
  cr_assert(lodge.max_attempts == 1);
  const RouteConfig& view = snapshot->routes[1];
  cr_assert(view.idempotent);
  cr_assert(view.split.size() == 2 && view.split[1].weight == 10);
  cr_assert(view.priority == Priority::kBackground);
  cr_assert_not(snapshot->routes[2].idempotent);
  cr_assert(snapshot->limits.max_body_bytes == 70000);
  cr_assert(snapshot->limits.idle_timeout == std::chrono::seconds(12));
  const ServiceConfig& desk = snapshot->services.at("desk");
  cr_assert(desk.connections == 130);
  cr_assert(desk.warm_up == std::chrono::milliseconds(3500));
  cr_assert(desk.slow_start_per_second == 11);
  cr_assert(snapshot->services.at("works").slow_start_per_second == 0);
}

// Guards against a route that serves nothing, and against a node that counts on
// a meaningless number, because one field of a record is out of range.
Test(platform, fields_out_of_range_take_their_defaults) {
  const RouteConfig defaults;
  for (const char* number : {"1e300", "-1e300", "99999999999999999999", "-5",
                             "18446744073709551615", "9223372036854775807"}) {
    std::string text = R"({"version": "00000001",
      "limits": {"headerTimeoutMs": N, "idleTimeoutMs": N},
      "listeners": [{"hostname": "h", "policy": [
        {"name": "r", "match": {"pathPrefix": "/"}, "aimMs": N,
         "action": {"service": "desk", "timeoutMs": N, "maxAttempts": N,
                    "weightedBackends": [{"service": "desk", "weight": N}]}}]}],
      "clusters": [{"name": "desk", "maxConnections": N, "warmupS": N,
                    "warmupPerS": N}]})";
    for (std::size_t at = text.find('N'); at != std::string::npos;
         at = text.find('N', at))
      text.replace(at, 1, number);
    const SnapshotPtr snapshot = DecodeSnapshot(text);
    cr_assert(snapshot->routes.size() == 1, "%s", number);
    const RouteConfig& route = snapshot->routes[0];
    cr_expect(route.deadline == defaults.deadline, "%s", number);
    cr_expect(route.aim == defaults.aim, "%s", number);
    cr_expect_eq(route.max_attempts, defaults.max_attempts, "%s", number);
    cr_expect(route.split.empty(), "%s", number);
    const ServiceConfig& desk = snapshot->services.at("desk");
    cr_expect_eq(desk.connections, ServiceConfig{}.connections, "%s", number);
    cr_expect(desk.warm_up == ServiceConfig{}.warm_up, "%s", number);
    cr_expect_eq(desk.slow_start_per_second, 0, "%s", number);
    cr_expect(snapshot->limits.idle_timeout == LimitsConfig{}.idle_timeout,
              "%s", number);
  }
}

// Guards against an upstream whose slots are taken for another number, or below
// 0, after its heartbeat was acknowledged.
Test(platform, a_heartbeat_with_a_capacity_out_of_range_is_refused) {
  for (const char* capacity : {"2147483648", "4294967297", "0", "-1",
                               "99999999999999999999", "1e9", "2.5"}) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/instances/i-1/heartbeat";
    request.body =
        std::string(R"({"info":{"service":"s","version":"v","capacity":)") +
        capacity + R"(},"status":{"state":"ready","seq":1}})";
    const auto call = DecodeUpstreamCall(request);
    cr_assert_not(call.has_value(), "%s", capacity);
    cr_expect(call.error().kind == ErrorKind::kBadRequest, "%s", capacity);
  }
}

// Guards against a process that ends, or stops following the store, because of
// one odd entry of another writer.
Test(platform, deep_and_odd_bodies_are_errors) {
  constexpr std::size_t kDepth = 30'000;
  const std::string deep_list =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  std::string deep_object;
  for (std::size_t i = 0; i < kDepth; ++i)
    deep_object += R"({"a":)";
  deep_object += "1" + std::string(kDepth, '}');
  const std::string inside = R"({"version":"00000001","limits":)" + deep_list +
                             R"(,"listeners":)" + deep_object + "}";
  for (const std::string& body :
       {deep_list, deep_object, inside, std::string("null"), std::string("7"),
        std::string("\"\\ud800\""), std::string("[1e400]"),
        std::string("\xff\xfe"), std::string(1, '\0')}) {
    for (const char* key : {"config", "rollout/desk"})
      (void)DecodeOrder({key, body});
    cr_expect_not(DecodeReport({"rollout/desk", body}).has_value());
    HttpRequest request;
    request.method = "POST";
    request.body = body;
    request.target = "/instances/i-1/heartbeat";
    cr_expect_not(DecodeUpstreamCall(request).has_value());
    request.target = "/instances/i-1/leave";
    cr_expect(DecodeUpstreamCall(request).has_value());
    EdgeSettings settings;
    settings.agreed = body;
    ApplyAgreedBounds(settings);
    cr_expect(settings.stop_grace == EdgeSettings{}.stop_grace);
  }
}

// Guards against a span of the settings that no clock can hold.
Test(platform, agreed_bounds_out_of_range_are_limited) {
  for (const char* bound : {"graceS=1e300", "graceS=inf", "graceS=99999999"}) {
    EdgeSettings settings;
    settings.agreed = bound;
    ApplyAgreedBounds(settings);
    cr_expect(settings.stop_grace == std::chrono::hours(24), "%s", bound);
  }
  for (const char* bound : {"graceS=-1", "graceS=nan", "graceS=-1e300"}) {
    EdgeSettings settings;
    settings.agreed = bound;
    ApplyAgreedBounds(settings);
    cr_expect(settings.stop_grace == Duration{0}, "%s", bound);
  }
}

// Guards against accounts whose callers are refused because an omitted field or
// a field of another type made their item unreadable.
Test(platform, accounts_are_decoded) {
  const SnapshotPtr snapshot = DecodeSnapshot(R"({"version": "00000001",
    "listeners": [{"hostname": "h", "policy": [
      {"name": "r-open", "allowAnonymous": true,
       "match": {"pathPrefix": "/open/"}, "action": {"service": "desk"}},
      {"name": "r-text", "allowAnonymous": "true",
       "match": {"pathPrefix": "/text/"}, "action": {"service": "desk"}},
      {"name": "r-view",
       "match": {"pathPrefix": "/view/"}, "action": {"service": "desk"}}]}],
    "tenants": [
      {"name": "ada", "apiKeys": ["k-1", "k-2"], "priority": 0,
       "ratePerS": 12.5, "burst": 30},
      {"name": "bo", "apiKeys": ["k-3"], "priority": 9},
      {"name": "cy", "apiKeys": ["k-4"], "priority": "1",
       "ratePerS": -3, "burst": null}]})");
  cr_assert(snapshot->has_accounts);
  cr_assert_eq(snapshot->accounts.size(), 3U);
  const AccountConfig& ada = snapshot->accounts.at("ada");
  cr_assert(ada.name == "ada" && ada.priority == Priority::kInternal);
  cr_assert(ada.limit.per_second == 12.5 && ada.limit.burst == 30);
  const AccountConfig& bo = snapshot->accounts.at("bo");
  cr_assert(bo.priority == Priority::kBackground);
  cr_assert(bo.limit.per_second == 0 && bo.limit.burst == 0);
  const AccountConfig& cy = snapshot->accounts.at("cy");
  cr_assert_not(cy.priority.has_value());
  cr_assert(cy.limit.per_second == 0 && cy.limit.burst == 0);
  cr_assert(snapshot->account_by_key.at("k-2") == "ada");
  for (const RouteConfig& route : snapshot->routes)
    cr_assert_eq(route.allow_anonymous, route.name == "r-open");
}

// Guards against a faulty item that takes the accounts after it away, and
// against a key that moves to another account without a change of its own.
Test(platform, faulty_accounts_are_passed_over) {
  const SnapshotPtr snapshot = DecodeSnapshot(R"({"version": "00000001",
    "tenants": [5, {"apiKeys": ["k-1"]}, {"name": "none"},
      {"name": "", "apiKeys": ["k-1"]}, {"name": "empty", "apiKeys": ["", 4]},
      {"name": "a\r\nX-Forged: 1", "apiKeys": ["k-1"]},
      {"name": "ada", "apiKeys": ["k-2"], "priority": 1},
      {"name": "bo", "apiKeys": ["k-2", "k-3"]},
      {"name": "ada", "apiKeys": ["k-4"], "priority": 0}]})");
  cr_assert_eq(snapshot->accounts.size(), 2U);
  cr_assert_eq(snapshot->account_by_key.size(), 3U);
  cr_assert(snapshot->account_by_key.at("k-2") == "ada");
  cr_assert(snapshot->account_by_key.at("k-3") == "bo");
  cr_assert(snapshot->account_by_key.at("k-4") == "ada");
  cr_assert(snapshot->accounts.at("ada").priority == Priority::kNormal);
}

// An empty list means that no key is valid, and no list that none is needed. A
// list that cannot be read must not open every route.
Test(platform, an_empty_list_of_accounts_is_not_a_missing_one) {
  cr_assert_not(DecodeSnapshot(R"({"version": "00000001"})")->has_accounts);
  for (const char* list : {"[]", "null", "7", "{}", "\"ada\""}) {
    const SnapshotPtr snapshot = DecodeSnapshot(
        std::string(R"({"version": "00000001", "tenants": )") + list + "}");
    cr_assert(snapshot->has_accounts, "%s", list);
    cr_assert(snapshot->accounts.empty(), "%s", list);
  }
}

// Guards against records of other writers, or of a later release, that stop the
// process or change what is in force.
Test(platform, unreadable_records_are_not_applied) {
  for (const char* text : {"", "{", "[]", "7", "\xff\xfe", "{}",
                           R"({"version": 12})", R"({"version": "xyz"})"}) {
    const auto order = DecodeOrder({"config", text});
    cr_assert(!order || std::holds_alternative<std::monostate>(*order), "%s",
              text);
  }
  const auto other = DecodeOrder({"banner", "{\"version\":\"00000001\"}"});
  cr_assert(other && std::holds_alternative<std::monostate>(*other));
  for (const char* text :
       {"{", R"({"service":"desk"})", R"({"service":1,"to":"v2"})"})
    cr_assert_not(DecodeOrder({"rollout/desk", text}).has_value());
}

Test(platform, an_order_to_move_is_decoded) {
  const auto order = DecodeOrder(
      {"rollout/desk", R"({"service":"desk","to":"v2","durationS":12.5})"});
  const auto& move = std::get<MoveOrder>(*order);
  cr_assert_str_eq(move.service.c_str(), "desk");
  cr_assert_str_eq(move.to.c_str(), "v2");
  cr_assert(move.duration == std::chrono::milliseconds(12500));
}

// Read as no order, an evacuation or its end would never take effect.
Test(platform, an_evacuation_and_its_end_are_decoded) {
  for (const char* value : {"{}", "?", ""}) {
    const auto order = DecodeOrder({"evacuate/bole", value, 41});
    const auto& evacuation = std::get<EvacuationOrder>(*order);
    cr_assert_str_eq(evacuation.data_center.c_str(), "bole");
    cr_assert_eq(evacuation.active, !std::string(value).empty());
    cr_assert_eq(evacuation.revision, 41U);
  }
}

// The two ways to read a record must give it the same revision.
Test(platform, revisions_of_records_follow_from_their_offsets) {
  const StoredRecord record{"evacuate/bole", "{}"};
  const std::string page =
      std::string(16, '\0') + EncodeRecord(record) + EncodeRecord(record);
  HttpResponse response;
  response.status = 200;
  response.body = page;
  const RecordPage read = DecodeRead(response, 7);
  cr_assert_eq(read.records.at(1).revision, 9U);
  response.body =
      R"({"items":[{"key":"a","value":"b25l","offset":8}],"end":9})";
  cr_assert_eq(DecodeNewest(response).records.at(0).revision, 9U);
}

Test(platform, a_report_round_trips) {
  for (const MoveProgress progress :
       {MoveProgress::kRunning, MoveProgress::kDone,
        MoveProgress::kRolledBack}) {
    const MoveReport report{"desk", "v2", progress};
    const auto decoded = DecodeReport(EncodeReport(report));
    cr_assert(decoded && *decoded == report);
  }
  cr_assert_not(DecodeReport({"rollout/desk", "{"}).has_value());
  cr_assert_not(DecodeReport({"other", "{}"}).has_value());
}

HttpRequest MakePost(const std::string& path, const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = path;
  request.body = body;
  return request;
}

constexpr const char* kHeartbeat = R"({"address":"10.0.0.9:80","born":1234,
  "info":{"service":"desk","version":"v1","zone":"z","capacity":14},
  "status":{"state":"draining","seq":4,"warmupLeftMs":250}})";

Test(platform, a_heartbeat_is_decoded) {
  const auto call =
      DecodeUpstreamCall(MakePost("/instances/i-7/heartbeat", kHeartbeat));
  const auto& report = std::get<UpstreamHeartbeat>(*call);
  cr_assert_str_eq(report.instance.c_str(), "i-7");
  cr_assert_str_eq(report.service.c_str(), "desk");
  cr_assert(report.slots == 14 && report.sequence == 4);
  cr_assert(report.born_ms == 1234 && report.leaving);
  cr_assert(report.warm_up_remaining == std::chrono::milliseconds(250));
}

// Taken for warm, an upstream that does not say how long it is slow would get
// more than it bears.
Test(platform, a_heartbeat_may_not_say_how_long_it_is_slow) {
  const auto call = DecodeUpstreamCall(
      MakePost("/instances/i-7/heartbeat",
               R"({"info":{"service":"desk","version":"v1","capacity":14},
                   "status":{"state":"ready","seq":4}})"));
  cr_assert_not(
      std::get<UpstreamHeartbeat>(*call).warm_up_remaining.has_value());
}

Test(platform, a_leave_call_needs_no_body) {
  const auto without_body =
      DecodeUpstreamCall(MakePost("/instances/i-7/leave", ""));
  cr_assert(std::get<LeaveCall>(*without_body).born_ms == 0);
  const auto with_body =
      DecodeUpstreamCall(MakePost("/instances/i-7/leave", R"({"born":77})"));
  cr_assert(std::get<LeaveCall>(*with_body).born_ms == 77);
}

struct RefusedCall {
  std::string path;
  std::string body;
  ErrorKind kind;
};

Test(platform, malformed_upstream_calls_are_refused) {
  const std::vector<RefusedCall> calls = {
      {"/instances/i-7/dance", kHeartbeat, ErrorKind::kNoRoute},
      {"/instances//heartbeat", kHeartbeat, ErrorKind::kNoRoute},
      {"/instances/i-7/heartbeat/x", kHeartbeat, ErrorKind::kNoRoute},
      {"/instances/i-7/heartbeat", "", ErrorKind::kBadRequest},
      {"/instances/i-7/heartbeat", "\xff", ErrorKind::kBadRequest},
      {"/instances/i-7/heartbeat", "{}", ErrorKind::kBadRequest},
      {"/instances/i-7/heartbeat",
       R"({"info":{"service":"d","version":"v","capacity":0},
           "status":{"state":"ready","seq":1}})",
       ErrorKind::kBadRequest},
      {"/instances/i-7/heartbeat",
       R"({"info":{"service":"d","version":"v","capacity":"14"},
           "status":{"state":"ready","seq":1}})",
       ErrorKind::kBadRequest},
      {"/instances/i-7/heartbeat",
       R"({"info":{"service":"d","version":"v","capacity":14},
           "status":{"state":"dancing","seq":1}})",
       ErrorKind::kBadRequest},
  };
  for (const RefusedCall& refused : calls) {
    const auto call = DecodeUpstreamCall(MakePost(refused.path, refused.body));
    cr_assert(!call && call.error().kind == refused.kind, "%s",
              refused.body.c_str());
  }
}

HttpResponse Response(int status, std::string body = "") {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

std::string OffsetBytes(unsigned char last) {
  return std::string(7, '\0') + static_cast<char>(last);
}

Test(platform, store_errors_are_distinguished) {
  const std::vector<std::pair<int, StoreOutcome>> cases = {
      {429, StoreOutcome::kThrottled}, {503, StoreOutcome::kUnavailable},
      {410, StoreOutcome::kExpired},   {412, StoreOutcome::kConflict},
      {409, StoreOutcome::kConflict},  {500, StoreOutcome::kMalformed}};
  for (const auto& [status, outcome] : cases) {
    cr_assert(DecodeRead(Response(status), 0).outcome == outcome);
    cr_assert(DecodeNewest(Response(status)).outcome == outcome);
    cr_assert(DecodeAppend(Response(status)).outcome == outcome);
  }
}

Test(platform, records_are_read_in_order_and_counted) {
  const std::string records = EncodeRecord({"config", "one"}) +
                              EncodeRecord({"other", ""}) +
                              std::string("\0\0\0\1\7", 5);
  const RecordPage page =
      DecodeRead(Response(200, OffsetBytes(9) + OffsetBytes(0) + records), 6);
  cr_assert(page.outcome == StoreOutcome::kOk);
  cr_assert(page.next_offset == 9);
  cr_assert(page.records.size() == 2);
  cr_assert_str_eq(page.records[0].value.c_str(), "one");
  cr_assert(page.records[1].value.empty());
}

Test(platform, pages_that_cannot_be_read_are_malformed) {
  for (const std::string& body :
       {std::string("short"),
        OffsetBytes(1) + OffsetBytes(0) + std::string("\0\0\0\011ab", 6)})
    cr_assert(DecodeRead(Response(200, body), 0).outcome ==
              StoreOutcome::kMalformed);
  for (const char* body : {"", "{}", R"({"items":7,"end":1})"})
    cr_assert(DecodeNewest(Response(200, body)).outcome ==
              StoreOutcome::kMalformed);
  cr_assert(DecodeAppend(Response(200, "{}")).outcome ==
            StoreOutcome::kMalformed);
}

Test(platform, the_newest_records_are_decoded) {
  const RecordPage page = DecodeNewest(Response(
      200, R"({"items":[{"key":"a","value":"b25l","offset":3},{"key":4}],
               "hasMore":true,"end":12})"));
  cr_assert(page.outcome == StoreOutcome::kOk);
  cr_assert(page.next_offset == 12 && page.has_more);
  cr_assert(page.records.size() == 1);
  cr_assert_str_eq(page.records[0].value.c_str(), "one");
}

Test(platform, the_agreed_bounds_are_read) {
  EdgeSettings settings;
  settings.agreed =
      R"("graceS=4","retryBudgetRatio=0.3", budgetSlack=11,new=7,odd)";
  ApplyAgreedBounds(settings);
  cr_assert(settings.stop_grace == std::chrono::seconds(4));
  cr_assert(settings.retry_ratio == 0.3);
  cr_assert(settings.retry_slack == 11);
}

// The settings template renders the bounds as a JSON object. Taken for a list,
// none of them would be found and the defaults would stay.
Test(platform, agreed_bounds_in_an_object_are_read) {
  EdgeSettings settings;
  settings.agreed =
      R"({"graceS":4,"retryBudgetRatio":0.3,"budgetSlack":11,"coldOver":1.75,)"
      R"("coldSlack":6,"new":7,"odd":"x"})";
  ApplyAgreedBounds(settings);
  cr_assert(settings.stop_grace == std::chrono::seconds(4));
  cr_assert(settings.retry_ratio == 0.3);
  cr_assert(settings.retry_slack == 11);
  cr_assert(settings.slow_start_excess == 1.75);
  cr_assert(settings.slow_start_slack == 6);
}

}  // namespace
}  // namespace teaselspread::platform
