// Commands that query nodes.
#include <algorithm>
#include <array>
#include <chrono>
#include <ostream>
#include <thread>

#include <yaml-cpp/yaml.h>

#include "base/text.h"
#include "commands/commands.h"
#include "teaselspread/http_client.h"
#include "teaselspread/settings.h"

namespace teaselspread {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kConnections = 4;
constexpr Duration kCallTimeout = std::chrono::seconds(3);
constexpr std::chrono::milliseconds kPollInterval{200};
constexpr std::chrono::seconds kProgressInterval{2};
constexpr int kOkStatus = 200;

Result<std::string> Fetch(const std::string& node, const std::string& target) {
  const auto address = ParseAddress(node);
  if (!address)
    return Fail(ErrorKind::kUsage, "--nodes=HOST:PORT,... is needed");
  HttpClientPool pool(kConnections);
  HttpRequest request;
  request.target = target;
  CallOptions call;
  call.timeout = kCallTimeout;
  auto response = pool.Send(*address, request, call);
  if (!response)
    return Fail(ErrorKind::kPeerUnreachable,
                Concat(node, ": ", response.error().message));
  if (response->status != kOkStatus)
    return Fail(
        ErrorKind::kPeerUnreachable,
        Concat(node, ": status ", response->status, " ", response->body));
  return std::move(response->body);
}

// What one node reports about its data centre.
struct DataCenterStatus {
  std::string data_center;
  ConfigVersion version = 0;
  // The highest version that is known to the node.
  ConfigVersion highest_version = 0;
  Table members;
};

Result<DataCenterStatus> ParseStatus(const std::string& body) {
  DataCenterStatus status;
  status.members.columns = {
      "vm",      "data_center",      "status",        "version",
      "service", "upstream_version", "upstream_state"};
  try {
    const YAML::Node page = YAML::Load(body);
    status.data_center = page["data_center"].as<std::string>();
    status.version = page["version"].as<ConfigVersion>();
    status.highest_version =
        std::max(status.version, page["highest_heard"].as<ConfigVersion>());
    for (const YAML::Node& member : page["members"]) {
      std::vector<std::string> row;
      for (const std::string& column : status.members.columns)
        row.push_back(member[column].as<std::string>());
      status.members.rows.push_back(std::move(row));
    }
  } catch (const YAML::Exception& error) {
    return Fail(ErrorKind::kPeerUnreachable,
                Concat("the status page makes no sense: ", error.what()));
  }
  return status;
}

Result<void> CheckNodes(const CommandOptions& options) {
  if (options.nodes.empty())
    return Fail(ErrorKind::kUsage, "--nodes=HOST:PORT,... is needed");
  return {};
}

ExitCode PrintResponse(const CommandOptions& options,
                       const std::string& target,
                       const CommandStreams& streams) {
  if (const auto checked = CheckNodes(options); !checked)
    return Report(checked.error(), streams);
  const auto body = Fetch(options.nodes.front(), target);
  if (!body)
    return Report(body.error(), streams);
  streams.out << *body;
  return ExitCode::kOk;
}

struct Progress {
  std::size_t reached = 0;
  std::size_t total = 0;
  std::string missing;
};

// Indexes into the columns of ParseStatus.
constexpr std::size_t kStatusColumn = 2;
constexpr std::size_t kVersionColumn = 3;

ConfigVersion VersionIn(const std::vector<std::string>& row) {
  return ParseNumberText<ConfigVersion>(row.at(kVersionColumn)).value_or(0);
}

// Adds a column that marks rows behind the newest known version, so that an
// operator finds them in a list of hundreds.
void AddConfigColumn(Table& table, ConfigVersion newest) {
  for (const auto& row : table.rows)
    newest = std::max(newest, VersionIn(row));
  table.columns.emplace_back("config");
  for (auto& row : table.rows) {
    const bool alive = row.at(kStatusColumn) == "alive";
    const bool behind = VersionIn(row) < newest;
    row.emplace_back(!alive ? "-" : behind ? "behind" : "newest");
  }
}

// How many live members of all queried data centres hold `options.version`.
// A node without a valid response counts as one member that doesn't.
Progress CountHolders(const CommandOptions& options) {
  Progress progress;
  for (const std::string& node : options.nodes) {
    const auto body = Fetch(node, "/status");
    const auto status =
        body ? ParseStatus(*body)
             : Result<DataCenterStatus>(tl::make_unexpected(body.error()));
    if (!status) {
      ++progress.total;
      progress.missing = node;
      continue;
    }
    for (const auto& row : status->members.rows) {
      if (row.at(kStatusColumn) != "alive")
        continue;
      ++progress.total;
      if (VersionIn(row) >= options.version)
        ++progress.reached;
      else
        progress.missing = row.front();
    }
  }
  return progress;
}

// How many moves have ended.
Progress CountEnded(const CommandOptions& options) {
  Progress progress;
  const auto body = Fetch(options.nodes.front(), "/moves");
  if (!body)
    return {0, 1, options.nodes.front()};
  try {
    for (const YAML::Node& move : YAML::Load(*body)) {
      ++progress.total;
      const auto state = move["state"].as<std::string>();
      if (state == "done" || state == "taken-back")
        ++progress.reached;
      else
        progress.missing = move["move"].as<std::string>();
    }
  } catch (const YAML::Exception&) {
    return {0, 1, options.nodes.front()};
  }
  return progress;
}

// The result of a successful watch.
std::string ProgressText(const Progress& progress, OutputFormat format) {
  if (format == OutputFormat::kJson)
    return Concat("{\"reached\": ", progress.reached,
                  ", \"of\": ", progress.total, "}\n");
  return Concat(progress.reached, " of ", progress.total, "\n");
}

}  // namespace

ExitCode Status(const CommandOptions& options, const CommandStreams& streams) {
  if (const auto checked = CheckNodes(options); !checked)
    return Report(checked.error(), streams);
  Table table;
  ConfigVersion newest = 0;
  for (const std::string& node : options.nodes) {
    const auto body = Fetch(node, "/status");
    if (!body)
      return Report(body.error(), streams);
    auto status = ParseStatus(*body);
    if (!status)
      return Report(status.error(), streams);
    newest = std::max(newest, status->highest_version);
    table.columns = status->members.columns;
    for (auto& row : status->members.rows)
      table.rows.push_back(std::move(row));
  }
  std::sort(table.rows.begin(), table.rows.end());
  table.rows.erase(std::unique(table.rows.begin(), table.rows.end()),
                   table.rows.end());
  AddConfigColumn(table, newest);
  streams.out << FormatTable(table, options.output);
  return ExitCode::kOk;
}

ExitCode Moves(const CommandOptions& options, const CommandStreams& streams) {
  const bool json = options.output == OutputFormat::kJson;
  return PrintResponse(options, json ? "/moves" : "/moves?format=text",
                       streams);
}

ExitCode Explain(const CommandOptions& options, const CommandStreams& streams) {
  return PrintResponse(
      options,
      Concat("/explain?method=", options.method, "&path=", options.path),
      streams);
}

ExitCode Watch(const CommandOptions& options, const CommandStreams& streams) {
  if (const auto checked = CheckNodes(options); !checked)
    return Report(checked.error(), streams);
  const auto deadline = Clock::now() + options.timeout;
  auto next_progress = Clock::now();
  while (true) {
    const Progress progress =
        options.version > 0 ? CountHolders(options) : CountEnded(options);
    if (progress.reached == progress.total) {
      streams.out << ProgressText(progress, options.output);
      return ExitCode::kOk;
    }
    if (Clock::now() >= deadline) {
      streams.err << "teaselctl: " << progress.reached << " of "
                  << progress.total << " in the time given; waiting for "
                  << progress.missing << "\n";
      return ExitCode::kTimeout;
    }
    if (Clock::now() >= next_progress) {
      next_progress = Clock::now() + kProgressInterval;
      streams.err << progress.reached << " of " << progress.total
                  << ", waiting for " << progress.missing << "\n";
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace teaselspread
