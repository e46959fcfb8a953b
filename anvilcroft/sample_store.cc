#include "anvilcroft/sample_store.h"

#include <set>
#include <utility>

#include "anvilcroft/conditional_update.h"
#include "anvilcroft/json.h"
#include "anvilcroft/log.h"
#include "anvilcroft/row_key.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "samples";
// Maximum size of the values in one transaction that writes groups. The table service accepts
// 1 MiB.
constexpr std::size_t kMaxBatchBytes = 512 << 10;
// Transactions with values up to this size may be committed together with others. A combined
// transaction of Transaction::kMaxWrites writes then stays below the 1 MiB that the table service
// accepts.
constexpr std::size_t kMaxSmallBytes = 4 << 10;

// Outcome of an update that returns no value.
struct Nothing {};

tl::unexpected<Error> Malformed(const std::string& table, const std::string& key) {
  return Fail(ErrorCode::kInternal, "malformed row of table " + table, key);
}

}  // namespace

SampleStore::SampleStore(StoreAccess store) : store(std::move(store)) {}

Result<std::optional<TrainerRecord>> SampleStore::ReadTrainer(Task& task,
                                                              const std::string& trainer,
                                                              TimePoint deadline) {
  const auto row = this->store.read(task, "trainers", RowKey({trainer}), deadline);
  if (!row) return tl::unexpected<Error>(row.error());
  if (!*row) return std::optional<TrainerRecord>();
  auto record = TrainerRecord::Decode((*row)->value);
  if (!record) return Malformed("trainers", (*row)->key);
  return std::optional<TrainerRecord>(std::move(*record));
}

Result<void> SampleStore::PutTrainer(Task& task, const TrainerRecord& record, TimePoint deadline) {
  using Plan = UpdatePlan<Nothing>;
  const std::string key = RowKey({record.trainer});
  const auto put = ApplyUpdate<Nothing>(
      task, this->store.commit_small, deadline, [&](Task& task) -> Result<Plan> {
        const auto row = this->store.read(task, "trainers", key, deadline);
        if (!row) return tl::unexpected<Error>(row.error());
        if (*row) {
          const auto recorded = TrainerRecord::Decode((*row)->value);
          if (!recorded) return Malformed("trainers", key);
          if (*recorded == record) return Plan::Settled(Nothing());
          if (recorded->weight_version > record.weight_version) {
            return Fail(
                ErrorCode::kStaleVersion,
                "version " + std::to_string(recorded->weight_version) + " is already recorded",
                "weight_version");
          }
        }
        return Plan::Write(Transaction::Builder()
                               .CheckVersion("trainers", key, *row ? (*row)->version : 0)
                               .Put("trainers", key, record.Encode())
                               .Build(),
                           [](RowVersion) { return Nothing(); });
      });
  if (!put) return tl::unexpected<Error>(put.error());
  return {};
}

Result<void> SampleStore::SubmitStep(Task& task, const StepRequest& step, TimePoint deadline) {
  const auto record = this->PutStep(task, step, deadline);
  if (!record) return tl::unexpected<Error>(record.error());
  const auto groups = this->PutGroups(task, step, deadline);
  // The step's row was written, so a failure to write the groups must not report "not run".
  if (!groups) return tl::unexpected<Error>(groups.error().WithRan(Ran::kUnknown));
  return {};
}

Result<StepRecord> SampleStore::PutStep(Task& task, const StepRequest& step, TimePoint deadline) {
  using Plan = UpdatePlan<StepRecord>;
  const std::string key = StepRecord::Key(step.trainer, step.step);
  const StepRecord wanted{step.Fingerprint(), step.Samples(), 0};
  return ApplyUpdate<StepRecord>(
      task, this->store.commit_small, deadline, [&](Task& task) -> Result<Plan> {
        const auto row = this->store.read(task, "steps", key, deadline);
        if (!row) return tl::unexpected<Error>(row.error());
        if (*row) {
          auto recorded = StepRecord::Decode((*row)->value);
          if (!recorded) return Malformed("steps", key);
          if (recorded->fingerprint == wanted.fingerprint) {
            return Plan::Settled(std::move(*recorded));
          }
          return Fail(ErrorCode::kConflict, "the step was already submitted with different groups",
                      "step");
        }
        return Plan::Write(Transaction::Builder()
                               .CheckAbsent("steps", key)
                               .Put("steps", key, wanted.Encode())
                               .Build(),
                           [&](RowVersion) { return wanted; });
      });
}

Result<void> SampleStore::PutGroups(Task& task, const StepRequest& step, TimePoint deadline) {
  using Plan = UpdatePlan<Nothing>;
  const std::string prefix = StepRecord::Key(step.trainer, step.step) + "/";
  bool complete = false;
  while (!complete) {
    // Each iteration writes as many of the missing groups as fit into one transaction.
    const auto put =
        ApplyUpdate<Nothing>(task, this->store.commit, deadline, [&](Task& task) -> Result<Plan> {
          const auto rows =
              this->store.scan(task, "steps", prefix, StepRequest::kMaxGroups, deadline);
          if (!rows) return tl::unexpected<Error>(rows.error());
          std::set<std::string> written;
          for (const Row& row : *rows) written.insert(row.key);
          Transaction::Builder builder;
          std::size_t writes = 0;
          std::size_t bytes = 0;
          for (const GroupRecord& group : step.groups) {
            const std::string key = group.id.DefinitionKey();
            if (written.count(key) != 0) continue;
            const nlohmann::json value = group.Encode();
            const std::size_t size = DumpJson(value).size() + 1024;
            if (writes + 2 > Transaction::kMaxWrites) break;
            if (writes > 0 && bytes + size > kMaxBatchBytes) break;
            builder.CheckAbsent("steps", key).Put("steps", key, value);
            builder.Put("groups", group.id.MarkerKey(), group.id.Encode());
            writes += 2;
            bytes += size;
          }
          complete = writes == 0;
          if (complete) return Plan::Settled(Nothing());
          return Plan::Write(builder.Build(), [](RowVersion) { return Nothing(); });
        });
    if (!put) return tl::unexpected<Error>(put.error());
  }
  return {};
}

Result<std::vector<SampleStore::Marker>> SampleStore::ScanShard(Task& task, int shard,
                                                                TimePoint deadline) {
  const auto rows =
      this->store.scan(task, "groups", GroupId::ShardPrefix(shard), kMaxMarkers, deadline);
  if (!rows) return tl::unexpected<Error>(rows.error());
  std::vector<Marker> markers;
  for (const Row& row : *rows) {
    auto id = GroupId::Decode(row.value);
    if (id) {
      markers.push_back(Marker{std::move(*id), row.version});
    } else {
      LogError(kPart, "skipping a malformed groups row", {{"key", row.key}});
    }
  }
  return markers;
}

Result<GroupRecord> SampleStore::ReadGroup(Task& task, const GroupId& id, TimePoint deadline) {
  const std::string key = id.DefinitionKey();
  const auto row = this->store.read(task, "steps", key, deadline);
  if (!row) return tl::unexpected<Error>(row.error());
  if (!*row) return Fail(ErrorCode::kNotFound, "no such group", key);
  auto record = GroupRecord::Decode((*row)->value);
  if (!record || record->id != id) return Malformed("steps", key);
  return record;
}

Result<std::vector<SampleStore::MissingSample>> SampleStore::ScanMissing(Task& task,
                                                                         const GroupRecord& group,
                                                                         TimePoint deadline) {
  const auto rows = this->store.scan(task, "samples", group.id.SamplePrefix(),
                                     GroupRecord::kMaxSamples, deadline);
  if (!rows) return tl::unexpected<Error>(rows.error());
  std::map<std::string, const Row*> by_key;
  for (const Row& row : *rows) by_key[row.key] = &row;
  std::vector<MissingSample> missing;
  for (int64_t index = 0; index < group.samples; ++index) {
    const auto found = by_key.find(group.id.SampleKey(index));
    if (found == by_key.end()) {
      missing.push_back(MissingSample{index, 0, 0});
      continue;
    }
    const auto record = SampleRecord::Decode(found->second->value);
    if (!record) return Malformed("samples", found->first);
    if (record->state != SampleRecord::State::kRegenerate) continue;
    missing.push_back(MissingSample{index, found->second->version, record->attempt});
  }
  return missing;
}

Result<SampleStore::Completion> SampleStore::Complete(Task& task, const GroupId& id,
                                                      const MissingSample& missing,
                                                      const ReadyRecord& ready,
                                                      TimePoint deadline) {
  using Plan = UpdatePlan<Completion>;
  const std::string key = id.SampleKey(missing.index);
  ReadyRecord numbered = ready;
  numbered.attempt = missing.attempts + 1;
  const nlohmann::json value = numbered.Encode();
  SampleRecord sample;
  sample.attempt = numbered.attempt;
  const auto transaction = Transaction::Builder()
                               .CheckVersion("samples", key, missing.version)
                               .Put("samples", key, sample.Encode())
                               .Put("ready", key, value)
                               .Build();
  const bool small = DumpJson(value).size() <= kMaxSmallBytes;
  bool first = true;
  return ApplyUpdate<Completion>(
      task, small ? this->store.commit_small : this->store.commit, deadline,
      [&](Task& task) -> Result<Plan> {
        // The scan returned the version, so the row is read only if the first attempt failed.
        if (!std::exchange(first, false)) {
          const auto row = this->store.read(task, "samples", key, deadline);
          if (!row) return tl::unexpected<Error>(row.error());
          if ((*row ? (*row)->version : 0) != missing.version) {
            // An attempt whose response was lost has been applied, or another run completed the
            // sample first.
            return Plan::Settled(Completion::kSuperseded);
          }
        }
        return Plan::Write(transaction, [](RowVersion) { return Completion::kCompleted; });
      });
}

bool SampleStore::RemoveMarker(Task& task, const Marker& marker, TimePoint deadline) {
  const std::string key = marker.id.MarkerKey();
  const auto transaction = Transaction::Builder()
                               .CheckVersion("groups", key, marker.version)
                               .Delete("groups", key)
                               .Build();
  return this->store.commit_small(task, transaction, deadline).has_value();
}

}  // namespace anvilcroft
