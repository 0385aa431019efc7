#include "node/config_service.h"

#include <utility>

#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

constexpr Duration kCheckpointCheck = std::chrono::seconds(1);

// Takes one update into `config` without rendering it.
Result<void> Advance(ConfigInForce& config, const ConfigUpdate& update) {
  const auto record = DecodeRecord(update.body);
  if (!record)
    return tl::make_unexpected(record.error());
  const auto* change = std::get_if<ChangeRecord>(&*record);
  if (change == nullptr)
    return Fail(ErrorKind::kFrameMalformed, "update is no change record");
  if (update.version <= config.version)
    return Fail(ErrorKind::kStaleVersion, "update is not above what is held");
  if (const auto* delta = std::get_if<Delta>(&change->content)) {
    // A delta on top of anything but its parent would mix two configurations.
    if (update.parent != config.version)
      return Fail(ErrorKind::kMissingParent, "delta on another parent");
    config.document = ApplyDelta(std::move(config.document), *delta);
  } else {
    config.document = std::get<Document>(change->content);
  }
  config.version = update.version;
  config.publish_id = change->publish_id;
  config.digest = change->digest;
  return {};
}

ConfigUpdate UpdateFor(const FoldState& fold, const VersionStep& step) {
  ConfigUpdate update;
  update.version = step.to;
  update.digest = fold.digest.low;
  ChangeRecord change{fold.head_publish_id, step.from, fold.digest, {}};
  if (step.from == 0) {
    update.full = true;
    change.content = fold.document;
  } else {
    update.parent = step.from;
    change.content = step.delta;
  }
  update.body = EncodeRecord(change);
  return update;
}

void LogRefusal(const FoldState& fold, FoldReason reason) {
  if (fold.outcomes.empty())
    return;
  const PublishOutcome& outcome = fold.outcomes.back();
  Log(LogLevel::kWarning, kConfigService, "publish-refused",
      {{"reason", NameOf(reason)},
       {"publish_id", outcome.publish_id},
       {"offset", outcome.offset},
       {"message", outcome.message}});
}

bool IsRefusal(FoldReason reason) {
  return reason == FoldReason::kConflict || reason == FoldReason::kInvalid ||
         reason == FoldReason::kDigestMismatch;
}

void FoldBatch(Kernel& kernel, ConfigService& service, const LogBatch& batch) {
  FoldState& fold = service.fold;
  if (batch.first_kept > fold.position + 1) {
    SkipTo(fold, batch.first_kept);
    kernel.Post(kClaimsService, ReadingFrom{batch.first_kept});
  }
  service.reached_end = batch.reached_end;
  LogFindings findings{{}, batch.read_started, batch.reached_end};
  for (const auto& [offset, bytes] : batch.records) {
    FoldResult result = Fold(fold, offset, bytes);
    if (IsRefusal(result.reason))
      LogRefusal(fold, result.reason);
    if (result.step)
      findings.updates.push_back(UpdateFor(fold, *result.step));
    if (!result.opaque)
      continue;
    const OpaqueRecordFound found{offset, std::move(*result.opaque)};
    kernel.Post(kMovesService, found);
    kernel.Post(kClaimsService, found);
  }
  kernel.Post(kClaimsService,
              LogFolded{fold.position, batch.read_started, batch.reached_end});
  kernel.Post(kSpreadService, std::move(findings));
}

void PutInForce(Kernel& kernel,
                ConfigService& service,
                const ApplyUpdates& message) {
  auto next = ApplyTo(service.in_force, message.updates, service.data_center);
  if (!next) {
    Log(LogLevel::kError, kConfigService, "update-rejected",
        {{"reason", NameOf(next.error().kind)},
         {"message", next.error().message}});
    kernel.Post(kSpreadService, UpdatesRejected{next.error()});
    return;
  }
  service.in_force = std::move(*next);
  service.max_header_bytes = service.in_force.snapshot->limits.max_header_bytes;
  Log(LogLevel::kInfo, kConfigService, "in-force",
      {{"version", service.in_force.version},
       {"publish_id", service.in_force.publish_id}});
  const SnapshotInForce in_force{service.in_force.snapshot};
  kernel.Post(kRequestsService, in_force);
  kernel.Post(kMovesService, in_force);
  kernel.Post(kSpreadService, UpdatesApplied{FullUpdateOf(service.in_force)});
}

// A node that becomes a reader goes on from what its peers gave it: the log
// may no longer keep the records before that.
void BeginReading(Kernel& kernel, ConfigService& service) {
  if (service.in_force.version > service.fold.position) {
    FoldState fresh =
        StateFromPeer(service.in_force.version, service.in_force.publish_id,
                      service.in_force.document);
    fresh.counters = service.fold.counters;
    service.fold = std::move(fresh);
  }
  const LogOffset first = service.fold.position + 1;
  kernel.Post(kClaimsService, ReadingFrom{first});
  kernel.Post(kLogService, ReadLog{first});
}

void ChangeRole(Kernel& kernel,
                ConfigService& service,
                const RoleChanged& role) {
  if (role.reader == service.reader)
    return;
  service.reader = role.reader;
  Log(LogLevel::kInfo, kConfigService,
      role.reader ? "reader-began" : "reader-ended", {});
  if (role.reader)
    BeginReading(kernel, service);
  else
    kernel.Post(kLogService, StopReading{});
}

void CheckCheckpoint(Kernel& kernel, ConfigService& service) {
  kernel.PostAt(kernel.Now() + kCheckpointCheck, kConfigService, Tick{});
  if (!service.reader || !service.fold.is_current)
    return;
  service.checkpoint_timer.is_behind = !service.reached_end;
  if (!CheckpointDue(service.checkpoint_rule, service.fold,
                     service.checkpoint_timer, kernel.Now(), service.rng))
    return;
  kernel.Post(
      kLogService,
      AppendToLog{EncodeRecord(MakeCheckpoint(service.fold, kernel.Now()))});
}

}  // namespace

Result<ConfigInForce> ApplyTo(const ConfigInForce& current,
                              const std::vector<ConfigUpdate>& updates,
                              const std::string& data_center) {
  ConfigInForce next = current;
  for (const ConfigUpdate& update : updates) {
    if (const auto step = Advance(next, update); !step)
      return tl::make_unexpected(step.error());
  }
  if (DigestOf(next.document) != next.digest)
    return Fail(ErrorKind::kDigestMismatch, "digest of the update differs");
  auto snapshot = Render(next.document, data_center, next.version);
  if (!snapshot)
    return tl::make_unexpected(snapshot.error());
  next.snapshot = std::move(*snapshot);
  return next;
}

ConfigUpdate FullUpdateOf(const ConfigInForce& config) {
  ConfigUpdate update;
  update.version = config.version;
  update.digest = config.digest.low;
  update.full = true;
  update.body = EncodeRecord(
      ChangeRecord{config.publish_id, 0, config.digest, config.document});
  return update;
}

void StartConfigService(Kernel& kernel, ConfigService& service) {
  kernel.Register<ApplyUpdates>(kConfigService,
                                [&](const ApplyUpdates& message) {
                                  PutInForce(kernel, service, message);
                                });
  kernel.Register<LogBatch>(kConfigService, [&](const LogBatch& batch) {
    FoldBatch(kernel, service, batch);
  });
  kernel.Register<RoleChanged>(kConfigService, [&](const RoleChanged& role) {
    ChangeRole(kernel, service, role);
  });
  kernel.Register<Tick>(kConfigService,
                        [&](const Tick&) { CheckCheckpoint(kernel, service); });
  kernel.Post(kConfigService, Tick{});
}

}  // namespace teaselspread
