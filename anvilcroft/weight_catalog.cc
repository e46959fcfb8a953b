#include "anvilcroft/weight_catalog.h"

#include <utility>

#include "anvilcroft/conditional_update.h"
#include "anvilcroft/log.h"
#include "anvilcroft/row_key.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "weights";
constexpr char kTable[] = "weights";

// The value of the head row with its weights version incremented. The versions of an absent row are
// 0.
nlohmann::json HeadWithNextWeightsVersion(const std::optional<Row>& head) {
  nlohmann::json value = head && head->value.is_object() ? head->value : nlohmann::json::object();
  for (const char* field : {"config_version", "roster_version", "weights_version"}) {
    if (!value.contains(field) || !value[field].is_number_integer()) value[field] = 0;
  }
  value["weights_version"] = value["weights_version"].get<int64_t>() + 1;
  return value;
}

}  // namespace

WeightCatalog::WeightCatalog(Runtime& runtime, StoreAccess store, std::function<void()> changed)
    : runtime(runtime), store(std::move(store)), changed(std::move(changed)) {}

void WeightCatalog::Start() {
  this->runtime.Spawn([this](Task& task) {
    const std::shared_ptr<Event> event = this->refresh_event;  // outlives the waits of this task
    while (true) {
      this->refresh_due = false;
      this->Refresh(task);
      const TimePoint next = SteadyNow() + kRefreshInterval;
      while (!this->refresh_due && event->WaitUntil(task, next)) {
      }
    }
  });
}

Result<WeightRecord> WeightCatalog::Publish(Task& task, const WeightRecord& record,
                                            TimePoint deadline) {
  using Plan = UpdatePlan<WeightRecord>;
  const std::string key = RowKey({record.service});
  auto published = ApplyUpdate<WeightRecord>(
      task, this->store.commit_small, deadline, [&](Task& task) -> Result<Plan> {
        const auto head = this->store.read(task, "head", "head", deadline);
        if (!head) return tl::unexpected<Error>(head.error());
        const auto row = this->store.read(task, kTable, key, deadline);
        if (!row) return tl::unexpected<Error>(row.error());
        if (*row) {
          auto recorded = WeightRecord::Decode((*row)->value);
          if (!recorded)
            return Fail(ErrorCode::kInternal, "the row of the weights table is malformed", key);
          if (recorded->version == record.version) return Plan::Settled(std::move(*recorded));
          if (recorded->version > record.version) {
            return Fail(ErrorCode::kStaleVersion,
                        "version " + std::to_string(recorded->version) + " is already recorded",
                        "version");
          }
        }
        return Plan::Write(Transaction::Builder()
                               .CheckVersion("head", "head", *head ? (*head)->version : 0)
                               .CheckVersion(kTable, key, *row ? (*row)->version : 0)
                               .Put("head", "head", HeadWithNextWeightsVersion(*head))
                               .Put(kTable, key, record.Encode())
                               .Build(),
                           [&](RowVersion) { return record; });
      });
  if (published) {
    LogInfo(kPart, "published weights",
            {{"service", record.service}, {"version", std::to_string(record.version)}});
    this->RecordIfNewer(*published);
  }
  return published;
}

int64_t WeightCatalog::NewestVersion(const std::string& service) const {
  const auto found = this->newest.find(service);
  return found == this->newest.end() ? 0 : found->second.version;
}

std::optional<WeightRecord> WeightCatalog::Find(const std::string& service) const {
  const auto found = this->newest.find(service);
  if (found == this->newest.end()) return std::nullopt;
  return found->second;
}

void WeightCatalog::OnWeightsChange() {
  this->refresh_due = true;
  this->refresh_event->NotifyAll();
}

void WeightCatalog::Refresh(Task& task) {
  const auto rows =
      this->store.scan(task, kTable, "", kMaxServices, SteadyNow() + TableClient::kAttemptTimeout);
  if (!rows) {
    LogWarning(kPart, "cannot read the weights table; keeping the cached versions",
               {{"error", rows.error().message}});
    return;
  }
  for (const Row& row : *rows) {
    const auto record = WeightRecord::Decode(row.value);
    if (record) {
      this->RecordIfNewer(*record);
    } else {
      LogError(kPart, "ignoring a malformed row of the weights table", {{"key", row.key}});
    }
  }
}

void WeightCatalog::RecordIfNewer(const WeightRecord& record) {
  WeightRecord& cached = this->newest[record.service];
  if (record.version <= cached.version) return;
  cached = record;
  this->changed();
}

}  // namespace anvilcroft
