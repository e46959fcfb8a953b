#include "anvilcroft/sample_delivery.h"

#include <algorithm>
#include <set>
#include <utility>

#include "anvilcroft/conditional_update.h"
#include "anvilcroft/group_id.h"
#include "anvilcroft/json.h"
#include "anvilcroft/log.h"
#include "anvilcroft/row_key.h"
#include "anvilcroft/sample_record.h"
#include "anvilcroft/step_record.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "takes";
// Maximum number of `ready` rows considered at once; a scan of this size costs one read of the
// table service.
constexpr std::size_t kScanRows = 100;
// Time before the deadline that a wait for samples leaves for the transaction.
constexpr Duration kCommitReserve = seconds(1);

struct ReadySample {
  std::string key;
  RowVersion version = 0;
  ReadyRecord record;
  int64_t bytes = 0;  // the larger of the row's size and the output's size as JSON
};

nlohmann::json EncodeSpans(const ReadyRecord& record) { return record.Encode()["weight_versions"]; }

}  // namespace

struct SampleDelivery::Candidates {
  TrainerRecord trainer;
  RowVersion trainer_version = 0;
  StepRecord step;
  RowVersion step_version = 0;
  std::vector<ReadySample> fresh;
  std::vector<ReadySample> stale;
};

Result<SampleDelivery::Request> SampleDelivery::Request::Decode(const std::string& trainer,
                                                                const nlohmann::json& body) {
  JsonFields fields(body, "");
  Request request;
  request.trainer = trainer;
  request.take_id = fields.String("take_id", GroupId::kMaxNameBytes);
  request.step = fields.Integer("step", 0, INT64_MAX);
  request.weight_version = fields.Integer("weight_version", 0, INT64_MAX);
  const auto max = fields.IntegerOr("max", TakeRecord::kMaxSamples, 1, INT32_MAX);
  request.max = std::min(static_cast<std::size_t>(max), TakeRecord::kMaxSamples);
  fields.RejectUnknownFields();
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return request;
}

SampleDelivery::SampleDelivery(StoreAccess store, ObjectClient& objects,
                               std::function<bool(TimePoint)> holds_lease,
                               std::function<void(int)> notify_shard, Metrics& metrics)
    : store(std::move(store)),
      objects(objects),
      holds_lease(std::move(holds_lease)),
      notify_shard(std::move(notify_shard)),
      metrics(metrics) {}

Result<nlohmann::json> SampleDelivery::Run(Task& task, const Request& request, TimePoint deadline) {
  const auto record = this->Commit(task, request, deadline);
  if (!record) return tl::unexpected<Error>(record.error());
  return this->BuildResponse(task, *record, deadline);
}

Result<SampleDelivery::Candidates> SampleDelivery::ReadCandidates(Task& task,
                                                                  const Request& request,
                                                                  TimePoint deadline) {
  Candidates found;
  const auto trainer = this->store.read(task, "trainers", RowKey({request.trainer}), deadline);
  if (!trainer) return tl::unexpected<Error>(trainer.error());
  if (!*trainer) return Fail(ErrorCode::kNotFound, "no such trainer", "trainer");
  const auto trainer_record = TrainerRecord::Decode((*trainer)->value);
  if (!trainer_record) return Fail(ErrorCode::kInternal, "malformed trainers row", "trainer");
  found.trainer = *trainer_record;
  found.trainer_version = (*trainer)->version;
  if (found.trainer.weight_version != request.weight_version) {
    return Fail(
        ErrorCode::kConflict,
        "the trainer's recorded weight version is " + std::to_string(found.trainer.weight_version),
        "weight_version");
  }
  const std::string step_key = StepRecord::Key(request.trainer, request.step);
  const auto step = this->store.read(task, "steps", step_key, deadline);
  if (!step) return tl::unexpected<Error>(step.error());
  if (!*step) return Fail(ErrorCode::kNotFound, "no such step", "step");
  const auto step_record = StepRecord::Decode((*step)->value);
  if (!step_record) return Fail(ErrorCode::kInternal, "malformed steps row", "step");
  found.step = *step_record;
  found.step_version = (*step)->version;
  const auto rows = this->store.scan(task, "ready", step_key + "/", kScanRows, deadline);
  if (!rows) return tl::unexpected<Error>(rows.error());
  for (const Row& row : *rows) {
    auto record = ReadyRecord::Decode(row.value);
    if (!record) {
      LogError(kPart, "skipping a malformed ready row", {{"key", row.key}});
      continue;
    }
    const bool stale = record->MinVersion() < found.trainer.OldestAllowedVersion();
    const auto row_bytes = static_cast<int64_t>(DumpJson(row.value).size());
    ReadySample sample{row.key, row.version, std::move(*record), 0};
    sample.bytes = std::max(row_bytes, sample.record.output_bytes);
    (stale ? found.stale : found.fresh).push_back(std::move(sample));
  }
  // The samples with the oldest weights are delivered first: they are the next to exceed the bound.
  std::stable_sort(found.fresh.begin(), found.fresh.end(), [](const auto& a, const auto& b) {
    return a.record.MinVersion() < b.record.MinVersion();
  });
  return found;
}

void SampleDelivery::WaitForReady(Task& task, const Request& request, TimePoint until) {
  const std::string prefix = StepRecord::Key(request.trainer, request.step) + "/";
  while (SteadyNow() + kEmptyPoll < until) {
    SleepUntil(task, SteadyNow() + kEmptyPoll);
    const auto rows = this->store.scan(task, "ready", prefix, 1, until);
    if (!rows || !rows->empty()) return;
  }
}

Result<TakeRecord> SampleDelivery::Commit(Task& task, const Request& request, TimePoint deadline) {
  using Plan = UpdatePlan<TakeRecord>;
  const std::string take_key = RowKey({request.trainer, request.take_id});
  const TimePoint wait_until = std::min(SteadyNow() + kEmptyWait, deadline - kCommitReserve);
  return ApplyUpdate<TakeRecord>(
      task, this->store.commit, deadline, [&](Task& task) -> Result<Plan> {
        const auto earlier = this->store.read(task, "takes", take_key, deadline);
        if (!earlier) return tl::unexpected<Error>(earlier.error());
        if (*earlier) {
          auto record = TakeRecord::Decode((*earlier)->value);
          if (!record) return Fail(ErrorCode::kInternal, "malformed takes row", "take_id");
          return Plan::Settled(std::move(*record));
        }
        auto found = this->ReadCandidates(task, request, deadline);
        while (found) {
          if (!found->stale.empty()) {
            const auto marked = this->MarkForRegeneration(task, request, *found, deadline);
            if (!marked) return tl::unexpected<Error>(marked.error());
          } else if (found->fresh.empty() && found->step.Remaining() > 0 &&
                     SteadyNow() + kEmptyPoll < wait_until) {
            this->WaitForReady(task, request, wait_until);
          } else {
            break;
          }
          found = this->ReadCandidates(task, request, deadline);
        }
        if (!found) return tl::unexpected<Error>(found.error());

        TakeRecord record;
        record.take_id = request.take_id;
        record.step = request.step;
        Transaction::Builder builder;
        builder.CheckAbsent("takes", take_key)
            .CheckVersion("trainers", RowKey({request.trainer}), found->trainer_version);
        int64_t bytes = 0;
        for (ReadySample& sample : found->fresh) {
          bytes += sample.bytes;
          const bool full = bytes > TakeRecord::kMaxContentBytes && !record.samples.empty();
          if (full || record.samples.size() >= request.max) break;
          SampleRecord taken;
          taken.state = SampleRecord::State::kTaken;
          taken.attempt = sample.record.attempt;
          taken.take_id = request.take_id;
          builder.CheckVersion("ready", sample.key, sample.version)
              .Delete("ready", sample.key)
              .Put("samples", sample.key, taken.Encode());
          record.samples.emplace_back(sample.key, std::move(sample.record));
        }
        const std::string step_key = StepRecord::Key(request.trainer, request.step);
        StepRecord step = found->step;
        step.taken += static_cast<int64_t>(record.samples.size());
        record.remaining = step.Remaining();
        builder.CheckVersion("steps", step_key, found->step_version)
            .Put("steps", step_key, step.Encode())
            .Put("takes", take_key, record.Encode());
        if (!this->holds_lease(SteadyNow())) {
          return Fail(ErrorCode::kNoLease, "the instance holds no valid lease");
        }
        return Plan::Write(
            builder.Build(), [this, record, newest = request.weight_version](RowVersion) {
              for (const auto& [name, ready] : record.samples) {
                this->metrics.Increment("anvilcroft_samples_delivered_total", {});
                this->metrics.Observe("anvilcroft_sample_staleness_versions", {},
                                      static_cast<double>(newest - ready.MinVersion()));
              }
              return record;
            });
      });
}

Result<void> SampleDelivery::MarkForRegeneration(Task& task, const Request& request,
                                                 const Candidates& candidates, TimePoint deadline) {
  Transaction::Builder builder;
  builder.CheckVersion("trainers", RowKey({request.trainer}), candidates.trainer_version);
  std::set<GroupId> groups;
  std::size_t count = 0;
  for (const ReadySample& sample : candidates.stale) {
    int64_t index = 0;
    const auto id = GroupId::ParseSampleKey(sample.key, index);
    if (!id) return Fail(ErrorCode::kInternal, "malformed key of a ready row", sample.key);
    if (count >= kMaxRegeneratedSamples) break;
    ++count;
    SampleRecord record;
    record.state = SampleRecord::State::kRegenerate;
    record.attempt = sample.record.attempt;
    builder.CheckVersion("ready", sample.key, sample.version)
        .Delete("ready", sample.key)
        .Put("samples", sample.key, record.Encode());
    if (groups.insert(*id).second) builder.Put("groups", id->MarkerKey(), id->Encode());
  }
  if (!this->holds_lease(SteadyNow())) {
    return Fail(ErrorCode::kNoLease, "the instance holds no valid lease");
  }
  const auto version = this->store.commit(task, builder.Build(), deadline);
  if (!version) {
    // After a conflict the caller reads the rows again. The take itself has not run yet.
    if (version.error().code == ErrorCode::kConflict) return {};
    return tl::unexpected<Error>(version.error().WithRan(Ran::kNo));
  }
  this->metrics.Increment("anvilcroft_samples_set_back_total", {}, static_cast<double>(count));
  LogInfo(kPart, "marked stale samples for regeneration",
          {{"trainer", request.trainer}, {"samples", std::to_string(count)}});
  std::set<int> shards;
  for (const GroupId& id : groups) shards.insert(id.Shard());
  for (const int shard : shards) this->notify_shard(shard);
  return {};
}

Result<nlohmann::json> SampleDelivery::BuildResponse(Task& task, const TakeRecord& record,
                                                     TimePoint deadline) {
  nlohmann::json samples = nlohmann::json::array();
  for (const auto& [name, ready] : record.samples) {
    std::string output = ready.output;
    while (!ready.output_key.empty()) {
      auto content = this->objects.Get(task, ready.output_key, deadline);
      if (content) {
        output = std::move(*content);
        break;
      }
      // The take is recorded; the trainer gets its samples by repeating the request with the same
      // take_id.
      if (SteadyNow() + kEmptyPoll >= deadline) {
        return tl::unexpected<Error>(content.error().WithRan(Ran::kYes));
      }
      SleepUntil(task, SteadyNow() + kEmptyPoll);
    }
    samples.push_back({{"sample", name},
                       {"output", output},
                       {"weight_versions", EncodeSpans(ready)},
                       {"reward", ready.reward},
                       {"attempt", ready.attempt}});
  }
  return nlohmann::json{
      {"take_id", record.take_id}, {"samples", samples}, {"remaining", record.remaining}};
}

}  // namespace anvilcroft
