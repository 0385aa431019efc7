// Node discovery: each node writes a record of itself into the store and reads
// those of the others. Of two nodes the one that wrote later sees the other's
// record and opens a link, which introduces it to the other. So one read after
// its own write is enough for every pair of nodes to know each other.
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include <absl/strings/str_split.h>

#include "base/clock.h"
#include "edge/edge_node.h"
#include "teaselspread/backoff.h"
#include "teaselspread/logging.h"
#include "teaselspread/settings.h"

namespace teaselspread {
namespace {

// Delay after a failed call, so that the retries of a deployment whose nodes
// all start at once do not use up the store's rate limit.
constexpr std::chrono::milliseconds kRetryDelay{500};
// The records are read again at this interval, in case a link could not be
// established when another node started.
constexpr std::chrono::seconds kReadInterval{60};
// Shorter interval while no link to another node is connected.
constexpr std::chrono::seconds kIsolatedReadInterval{3};

std::string RecordOf(const Hello& self) {
  return self.data_center + " " + ToString(self.link);
}

// None for a record that has been removed or has another format.
std::optional<Hello> HelloOf(const StoredRecord& record) {
  const std::vector<std::string> parts = absl::StrSplit(record.value, ' ');
  if (parts.size() != 2)
    return std::nullopt;
  const auto address = ParseAddress(parts[1]);
  if (!address)
    return std::nullopt;
  return Hello{record.key, parts[0], *address};
}

void ScheduleTask(EdgeNode& node,
                  std::chrono::milliseconds wait,
                  void (*task)(EdgeNode& node)) {
  node.roster_timer.expires_after(wait);
  node.roster_timer.async_wait([&node, task](boost::system::error_code error) {
    if (!error)
      task(node);
  });
}

void ReadRoster(EdgeNode& node);

bool IsIsolated(const EdgeNode& node) {
  for (const auto& [name, peer] : node.links.Peers()) {
    if (peer.connected)
      return false;
  }
  return true;
}

void ReadPage(EdgeNode& node, const std::string& after) {
  node.adapter.store.read_newest(
      RecordStream::kNodes, after, [&node](const RecordPage& page) {
        if (page.outcome != StoreOutcome::kOk) {
          Log(LogLevel::kWarning, "roster", "read-failed",
              {{"outcome", NameOf(page.outcome)}});
          ScheduleTask(node, kRetryDelay, ReadRoster);
          return;
        }
        for (const StoredRecord& record : page.records) {
          if (const auto hello = HelloOf(record)) {
            AddNode(node, *hello);
          }
        }
        if (page.has_more && !page.records.empty()) {
          ReadPage(node, page.records.back().key);
          return;
        }
        node.quota.OnRosterRead();
        const bool isolated = IsIsolated(node);
        ScheduleTask(node, isolated ? kIsolatedReadInterval : kReadInterval,
                     ReadRoster);
      });
}

void ReadRoster(EdgeNode& node) {
  ReadPage(node, "");
}

void Register(EdgeNode& node) {
  const StoredRecord record{node.settings.vm, RecordOf(node.links.self)};
  node.adapter.store.append(RecordStream::kNodes, record, std::nullopt,
                            [&node](const AppendResult& result) {
                              if (result.outcome != StoreOutcome::kOk) {
                                Log(LogLevel::kWarning, "roster",
                                    "register-failed",
                                    {{"outcome", NameOf(result.outcome)}});
                                ScheduleTask(node, kRetryDelay, Register);
                                return;
                              }
                              Log(LogLevel::kInfo, "roster", "registered",
                                  {{"link", ToString(node.links.self.link)}});
                              ReadRoster(node);
                            });
}

}  // namespace

void StartRoster(EdgeNode& node) {
  Register(node);
}

}  // namespace teaselspread
