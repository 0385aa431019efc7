#include <exception>
#include <sstream>

#include "base/text.h"
#include "config/archive.h"
#include "config/frame.h"
#include "teaselspread/config_log.h"

namespace teaselspread {
namespace {

enum class RecordKind : std::uint8_t { kChange, kCheckpoint, kOrigin, kOpaque };
enum class ContentKind : std::uint8_t { kDelta, kFull };

void SaveDigest(OutputArchive& archive, const Digest& digest) {
  archive(digest.high, digest.low);
}

void LoadDigest(InputArchive& archive, Digest& digest) {
  archive(digest.high, digest.low);
}

void SaveDelta(OutputArchive& archive, const Delta& delta) {
  SaveLeaves(archive, delta.set);
  archive(static_cast<std::uint32_t>(delta.removed.size()));
  std::string_view previous;
  for (const std::string& path : delta.removed) {
    SavePath(archive, path, previous);
    previous = path;
  }
}

void LoadDelta(InputArchive& archive, Delta& delta) {
  LoadLeaves(archive, delta.set);
  std::uint32_t count = 0;
  archive(count);
  std::string previous;
  for (std::uint32_t i = 0; i < count; ++i) {
    std::string path;
    LoadPath(archive, path, previous);
    previous = path;
    delta.removed.push_back(std::move(path));
  }
}

void SaveOutcome(OutputArchive& archive, const PublishOutcome& outcome) {
  SaveText(archive, outcome.publish_id);
  archive(outcome.offset, static_cast<std::uint8_t>(outcome.reason),
          outcome.head);
  SaveText(archive, outcome.head_publish_id);
  SaveText(archive, outcome.message);
}

void LoadOutcome(InputArchive& archive, PublishOutcome& outcome) {
  std::uint8_t reason = 0;
  LoadText(archive, outcome.publish_id);
  archive(outcome.offset, reason, outcome.head);
  if (reason >= static_cast<std::uint8_t>(FoldReason::kCount))
    throw cereal::Exception("no such fold reason");
  outcome.reason = static_cast<FoldReason>(reason);
  LoadText(archive, outcome.head_publish_id);
  LoadText(archive, outcome.message);
}

void SaveOutcomes(OutputArchive& archive,
                  const std::vector<PublishOutcome>& outcomes) {
  archive(static_cast<std::uint32_t>(outcomes.size()));
  for (const PublishOutcome& outcome : outcomes)
    SaveOutcome(archive, outcome);
}

void LoadOutcomes(InputArchive& archive,
                  std::vector<PublishOutcome>& outcomes) {
  std::uint32_t count = 0;
  archive(count);
  for (std::uint32_t i = 0; i < count; ++i)
    LoadOutcome(archive, outcomes.emplace_back());
}

struct BodyWriter {
  OutputArchive& archive;

  RecordKind operator()(const ChangeRecord& record) const {
    SaveText(this->archive, record.publish_id);
    this->archive(record.parent);
    SaveDigest(this->archive, record.digest);
    if (const auto* delta = std::get_if<Delta>(&record.content)) {
      this->archive(static_cast<std::uint8_t>(ContentKind::kDelta));
      SaveDelta(this->archive, *delta);
    } else {
      this->archive(static_cast<std::uint8_t>(ContentKind::kFull));
      SaveLeaves(this->archive, std::get<Document>(record.content).leaves);
    }
    return RecordKind::kChange;
  }

  RecordKind operator()(const CheckpointRecord& record) const {
    this->archive(record.version);
    SaveText(this->archive, record.publish_id);
    SaveDigest(this->archive, record.digest);
    this->archive(record.through,
                  static_cast<std::int64_t>(
                      record.written_at.time_since_epoch().count()));
    SaveLeaves(this->archive, record.document.leaves);
    SaveOutcomes(this->archive, record.outcomes);
    this->archive(record.outcomes_since);
    return RecordKind::kCheckpoint;
  }

  RecordKind operator()(const OriginRecord& record) const {
    SaveText(this->archive, record.publish_id);
    this->archive(record.through);
    SaveDigest(this->archive, record.digest);
    SaveLeaves(this->archive, record.document.leaves);
    SaveOutcomes(this->archive, record.outcomes);
    return RecordKind::kOrigin;
  }

  RecordKind operator()(const OpaqueRecord& record) const {
    SaveText(this->archive, record.kind);
    SaveText(this->archive, record.bytes);
    return RecordKind::kOpaque;
  }
};

ChangeRecord LoadChange(InputArchive& archive) {
  ChangeRecord record;
  LoadText(archive, record.publish_id);
  archive(record.parent);
  LoadDigest(archive, record.digest);
  std::uint8_t content = 0;
  archive(content);
  if (content == static_cast<std::uint8_t>(ContentKind::kDelta)) {
    LoadDelta(archive, record.content.emplace<Delta>());
  } else if (content == static_cast<std::uint8_t>(ContentKind::kFull)) {
    LoadLeaves(archive, record.content.emplace<Document>().leaves);
  } else {
    throw cereal::Exception("no such content");
  }
  return record;
}

CheckpointRecord LoadCheckpoint(InputArchive& archive) {
  CheckpointRecord record;
  archive(record.version);
  LoadText(archive, record.publish_id);
  LoadDigest(archive, record.digest);
  std::int64_t written_at = 0;
  archive(record.through, written_at);
  record.written_at = TimePoint(Duration(written_at));
  LoadLeaves(archive, record.document.leaves);
  LoadOutcomes(archive, record.outcomes);
  archive(record.outcomes_since);
  return record;
}

OriginRecord LoadOrigin(InputArchive& archive) {
  OriginRecord record;
  LoadText(archive, record.publish_id);
  archive(record.through);
  LoadDigest(archive, record.digest);
  LoadLeaves(archive, record.document.leaves);
  LoadOutcomes(archive, record.outcomes);
  return record;
}

OpaqueRecord LoadOpaque(InputArchive& archive) {
  OpaqueRecord record;
  LoadText(archive, record.kind);
  LoadText(archive, record.bytes);
  return record;
}

// Throws cereal::Exception if the bytes are not a body of this kind.
LogRecord LoadBody(RecordKind kind, InputArchive& archive) {
  switch (kind) {
    case RecordKind::kChange:
      return LoadChange(archive);
    case RecordKind::kCheckpoint:
      return LoadCheckpoint(archive);
    case RecordKind::kOrigin:
      return LoadOrigin(archive);
    case RecordKind::kOpaque:
      return LoadOpaque(archive);
  }
  throw cereal::Exception("no such kind");
}

}  // namespace

std::string EncodeRecord(const LogRecord& record) {
  std::ostringstream stream;
  RecordKind kind = RecordKind::kOpaque;
  {
    OutputArchive archive(stream);
    kind = std::visit(BodyWriter{archive}, record);
  }
  const std::string body = std::move(stream).str();
  return EncodeFrame({kRecordFormat, static_cast<std::uint8_t>(kind), body});
}

Result<LogRecord> DecodeRecord(std::string_view bytes) {
  const auto frame = DecodeFrame(bytes);
  if (!frame)
    return tl::make_unexpected(frame.error());
  if (frame->format != kRecordFormat) {
    return Fail(ErrorKind::kFrameVersion,
                Concat("the record has format ", unsigned{frame->format},
                       ", this release reads ", unsigned{kRecordFormat}));
  }
  try {
    std::istringstream stream{std::string(frame->body)};
    InputArchive archive(stream);
    return LoadBody(static_cast<RecordKind>(frame->kind), archive);
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kFrameMalformed, error.what());
  }
}

}  // namespace teaselspread
