// Appends a publish to the log and reads its verdict.
#include <chrono>
#include <cstdint>
#include <ostream>
#include <random>
#include <sstream>
#include <thread>

#include "base/text.h"
#include "commands/commands.h"
#include "commands/log_reader.h"
#include "node/log_service.h"
#include "teaselspread/settings.h"

namespace teaselspread {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kReadBatchSize = 1024;
constexpr std::chrono::milliseconds kRetryDelay{200};

std::string GeneratePublishId() {
  std::random_device device;
  std::ostringstream id;
  constexpr int kParts = 4;
  for (int part = 0; part < kParts; ++part)
    id << std::hex << device();
  return id.str();
}

std::string RecordFor(const CommandOptions& options,
                      const FoldState& fold,
                      const Document& document,
                      const std::string& publish_id) {
  if (options.new_beginning)
    return EncodeRecord(MakeOrigin(fold, document, publish_id));
  return EncodeRecord(MakeChange(fold, document, publish_id));
}

// Refuses to publish on a fold that began in the middle of the log or missed
// records and has read no checkpoint since: its head may be outdated.
Result<void> CheckFoldIsCurrent(const CommandOptions& options,
                                const FoldState& fold) {
  const bool empty = fold.position == 0;
  if (empty || fold.is_current || options.new_beginning)
    return {};
  return Fail(ErrorKind::kLogExpired,
              "the log has lost every checkpoint; --new_beginning starts anew "
              "from these files");
}

ExitCode ReportOutcome(const PublishOutcome& outcome,
                       const CommandOptions& options,
                       const CommandStreams& streams) {
  streams.out << FormatOutcome(outcome, options.output);
  return ExitCodeOf(outcome.reason);
}

// Appends until the log holds an outcome. An append may have taken effect
// whatever its response was, so only the folded log decides.
Result<PublishOutcome> AppendAndAwaitOutcome(const CommandOptions& options,
                                             LogReader& reader,
                                             const std::string& record,
                                             const std::string& publish_id,
                                             const CommandStreams& streams) {
  const auto deadline = Clock::now() + options.timeout;
  Error last_error{ErrorKind::kLogUnavailable, "the log did not answer"};
  bool may_be_stored = false;
  while (Clock::now() < deadline) {
    const auto appended = reader.client->Append(reader.stream, record);
    if (!appended) {
      last_error = appended.error();
      may_be_stored |= last_error.kind == ErrorKind::kAppendUnknown;
      streams.err << "teaselctl: " << last_error.message << "; trying again\n";
    }
    const auto read = ReadToEnd(reader);
    if (!read)
      last_error = read.error();
    if (const auto* outcome = FindOutcome(reader.fold, publish_id))
      return *outcome;
    std::this_thread::sleep_for(kRetryDelay);
  }
  if (may_be_stored)
    return Fail(
        ErrorKind::kAppendUnknown,
        Concat("the outcome is unknown; run it again with --publish_id=",
               publish_id));
  return tl::make_unexpected(last_error);
}

}  // namespace

Result<LogReader> OpenLog(const CommandOptions& options) {
  if (options.deployment.empty())
    return Fail(ErrorKind::kUsage, "--deployment=NAME is needed");
  const auto address = ParseAddress(options.log);
  if (!address)
    return Fail(ErrorKind::kUsage, "--log=HOST:PORT is needed");
  LogClientOptions client;
  client.log = *address;
  client.vm = "teaselctl";
  LogReader reader;
  reader.client = std::make_unique<LogClient>(client);
  reader.stream = StreamOf(options.deployment);
  return reader;
}

Result<void> ReadToEnd(LogReader& reader) {
  while (true) {
    const LogOffset from = reader.fold.position + 1;
    const ReadResult batch =
        reader.client->Read(reader.stream, from, kReadBatchSize, Duration{});
    if (!batch) {
      const LogReadError& failed = batch.error();
      if (failed.error.kind != ErrorKind::kLogExpired ||
          failed.first_kept <= from)
        return tl::make_unexpected(failed.error);
      SkipTo(reader.fold, failed.first_kept);
      continue;
    }
    for (const StoredRecord& record : batch->records)
      Fold(reader.fold, record.offset, record.bytes);
    if (batch->records.empty() || reader.fold.position + 1 >= batch->next)
      return {};
  }
}

Result<LogReader> ReadWholeLog(const CommandOptions& options) {
  auto reader = OpenLog(options);
  if (!reader)
    return reader;
  if (const auto read = ReadToEnd(*reader); !read)
    return tl::make_unexpected(read.error());
  return reader;
}

ExitCode History(const CommandOptions& options, const CommandStreams& streams) {
  auto reader = ReadWholeLog(options);
  if (!reader)
    return Report(reader.error(), streams);
  streams.out << FormatTable(OutcomeTable(reader->fold), options.output);
  return ExitCode::kOk;
}

ExitCode Publish(const CommandOptions& options, const CommandStreams& streams) {
  const auto document = ReadSources(options.config);
  if (!document)
    return Report(document.error(), streams);
  auto reader = ReadWholeLog(options);
  if (!reader)
    return Report(reader.error(), streams);
  const std::string publish_id =
      options.publish_id.empty() ? GeneratePublishId() : options.publish_id;
  if (const auto* known = FindOutcome(reader->fold, publish_id))
    return ReportOutcome(*known, options, streams);
  if (const auto checked = CheckFoldIsCurrent(options, reader->fold); !checked)
    return Report(checked.error(), streams);
  if (options.expected_head != 0) {
    if (const auto checked =
            CheckExpectedHead(reader->fold, options.expected_head);
        !checked)
      return Report(checked.error(), streams);
  }
  const std::string record =
      RecordFor(options, reader->fold, *document, publish_id);
  streams.err << "publishing on version " << reader->fold.head
              << ", publish_id " << publish_id << "\n";
  const auto outcome =
      AppendAndAwaitOutcome(options, *reader, record, publish_id, streams);
  if (!outcome)
    return Report(outcome.error(), streams);
  return ReportOutcome(*outcome, options, streams);
}

}  // namespace teaselspread
