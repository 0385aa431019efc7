#include "teaselspread/log_client.h"

#include <criterion/criterion.h>

#include <set>
#include <string>
#include <thread>

#include "log/log_frame.h"
#include "process/harness.h"
#include "teaselspread/backoff.h"

namespace teaselspread {
namespace {

using namespace std::chrono_literals;

LogClientOptions OptionsFor(const Address& log) {
  LogClientOptions options;
  options.log = log;
  options.vm = "vm-1";
  options.data_center = "bole";
  options.timeout = 500ms;
  return options;
}

Test(log_client, records_come_back_in_order) {
  Program log("log_standin", {});
  LogClient client(OptionsFor(log.At()));
  cr_assert(client.Append("config", "one") == 1U);
  cr_assert(client.Append("config", std::string("t\0wo", 4)) == 2U);
  const ReadResult read = client.Read("config", 1, 10, 0ms);
  cr_assert(read.has_value());
  cr_assert(read->next == 3 && read->first_kept == 1);
  cr_assert(read->records == (std::vector<StoredRecord>{
                                 {1, "one"}, {2, std::string("t\0wo", 4)}}));
  cr_assert(client.Read("config", 1, 1, 0ms)->records.size() == 1);
  cr_assert(client.Read("config", 3, 10, 0ms)->records.empty());
  cr_assert(log.Stop() == 0);
}

// A long-polling read returns as soon as a record is appended: the log gets few
// calls, and a change must arrive within seconds.
Test(log_client, a_waiting_read_ends_with_the_next_append) {
  Program log("log_standin", {});
  LogClient client(OptionsFor(log.At()));
  std::thread appender([&] {
    std::this_thread::sleep_for(100ms);
    (void)client.Append("config", "news");
  });
  const auto start = std::chrono::steady_clock::now();
  const ReadResult read = client.Read("config", 1, 10, 10s);
  appender.join();
  cr_assert(read && read->records.size() == 1);
  cr_assert(std::chrono::steady_clock::now() - start < 5s);
}

// The log deletes old records. A reader that requests one gets the oldest
// offset that is left, as it has to catch up from a checkpoint.
Test(log_client, an_expired_offset_gives_the_first_kept_one) {
  Program log("log_standin", {"--retention_count=2"});
  LogClient client(OptionsFor(log.At()));
  for (int i = 0; i < 5; ++i)
    cr_assert(client.Append("config", "x").has_value());
  const ReadResult read = client.Read("config", 2, 10, 0ms);
  cr_assert(!read && read.error().error.kind == ErrorKind::kLogExpired);
  cr_assert(read.error().first_kept == 4);
}

struct LogFault {
  const char* name;
  const char* control;
  ErrorKind append_error;
  // Records stored in spite of the error.
  std::size_t stored_records;
};

// The log is down, slow, partitioned, over its rate limit, or its response is
// lost after the append took effect. Only an append that was certainly not
// stored may be reported as such; otherwise an operator would publish twice, or
// rely on a change that does not exist.
Test(log_client, append_errors_state_whether_the_record_was_stored) {
  using K = ErrorKind;
  const LogFault faults[] = {
      {"refuse", "{outage: refuse}", K::kLogUnavailable, 0},
      {"hang", "{outage: hang}", K::kAppendUnknown, 0},
      {"slow", "{slow_ms: 900}", K::kAppendUnknown, 1},
      {"cut", "{cut: [bole]}", K::kAppendUnknown, 0},
      {"rate", "{appends_per_second: 0.001}", K::kLogUnavailable, 0},
      {"lost answer", "{lost_answers: 1}", K::kAppendUnknown, 1},
      {"lost hang", "{lost_hangs: 1}", K::kAppendUnknown, 1},
  };
  for (const LogFault& fault : faults) {
    Program log("log_standin", {});
    const Address control = log.At("control");
    LogClient client(OptionsFor(log.At()));
    cr_assert(Control(control, fault.control), "%s", fault.name);
    const auto appended = client.Append("config", "x");
    cr_assert(!appended && appended.error().kind == fault.append_error,
              "%s: %s", fault.name,
              appended ? "" : NameOf(appended.error().kind).data());
    cr_assert(Control(control,
                      "{outage: none, slow_ms: 0, cut: [], "
                      "appends_per_second: 400}"));
    cr_assert(WaitUntil([&] {
                const ReadResult read = client.Read("config", 1, 10, 0ms);
                return read && read->records.size() == fault.stored_records;
              }),
              "%s", fault.name);
  }
}

// A corrupt or forged response must not become configuration.
Test(log_client, malformed_batches_are_refused) {
  const std::string record("\0\0\0\0\0\0\0\5\0\0\0\2ab", 14);
  cr_assert(DecodeRecords(record, 5)->size() == 1);
  const std::string malformed[] = {record.substr(0, 5), record.substr(0, 13),
                                   record + "x", record + record};
  for (const std::string& bytes : malformed)
    cr_assert(!DecodeRecords(bytes, 5).has_value());
  cr_assert(!DecodeRecords(record, 6).has_value());
}

// When a whole data centre loses the log at one moment, its nodes must not all
// reconnect at one moment.
Test(log_client, backoff_grows_to_its_cap_with_jitter) {
  std::set<Duration> delays;
  for (Rng::result_type seed = 0; seed < 50; ++seed) {
    Rng rng(seed);
    Backoff backoff;
    Duration delay(0);
    for (int i = 0; i < 100; ++i) {
      delay = NextDelay(backoff, rng);
      cr_assert(delay >= backoff.base && delay <= backoff.cap);
    }
    delays.insert(delay);
  }
  cr_assert(delays.size() > 45);
}

}  // namespace
}  // namespace teaselspread
