// How nodes find each other: each writes one record of itself into the store
// and reads those of the others. Whoever wrote later sees the other's record
// and opens a link to it, and a node that is called learns of its caller, so
// one read after the own write is enough for all to know all.
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

// After a failed call; with all nodes of a deployment starting at once the
// store's rate would be used up by repeats.
constexpr std::chrono::milliseconds kRetryAfter{500};
// The list is read again this often in case a node missed another's start
// while a link between them could not be made.
constexpr std::chrono::seconds kReadAgainAfter{60};
// With nobody in touch the list is read sooner.
constexpr std::chrono::seconds kAloneReadAfter{3};

std::string RecordOf(const Hello& self) {
  return self.data_center + " " + ToString(self.link);
}

// None for a record that is not one of ours or was removed.
std::optional<Hello> HelloOf(const StoredRecord& record) {
  const std::vector<std::string> parts = absl::StrSplit(record.value, ' ');
  if (parts.size() != 2)
    return std::nullopt;
  const auto address = ParseAddress(parts[1]);
  if (!address)
    return std::nullopt;
  return Hello{record.key, parts[0], *address};
}

void Later(EdgeNode& node,
           std::chrono::milliseconds wait,
           void (*task)(EdgeNode& node)) {
  node.roster_timer.expires_after(wait);
  node.roster_timer.async_wait([&node, task](boost::system::error_code error) {
    if (!error)
      task(node);
  });
}

void ReadRoster(EdgeNode& node);

bool Alone(const EdgeNode& node) {
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
          Later(node, kRetryAfter, ReadRoster);
          return;
        }
        for (const StoredRecord& record : page.records) {
          if (const auto hello = HelloOf(record))
            node.links.Add(*hello);
        }
        if (page.has_more && !page.records.empty()) {
          ReadPage(node, page.records.back().key);
          return;
        }
        const bool alone = Alone(node);
        Later(node, alone ? kAloneReadAfter : kReadAgainAfter, ReadRoster);
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
                                Later(node, kRetryAfter, Register);
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
