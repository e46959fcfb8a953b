#include "anvilcroft/platform_view.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "anvilcroft/log.h"
#include "platform/operator_rows.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "platform";
constexpr Duration kCallTimeout = milliseconds(700);

}  // namespace

PlatformView::PlatformView(Runtime& runtime, MetadataStore& store, TargetPool& pool,
                           std::function<void()> on_change)
    : runtime(runtime), store(store), pool(pool), on_change(std::move(on_change)) {}

void PlatformView::Start() {
  this->runtime.SpawnService("follow the operator's table",
                             [this](Task& task) { this->FollowOperatorTable(task); });
  this->runtime.SpawnService("follow the table of targets",
                             [this](Task& task) { this->FollowTargetTable(task); });
}

Result<RangeResult> PlatformView::ReadAll(Task& task, const std::string& table) {
  RowRange range;
  range.table = table;
  auto all = this->store.Read(task, range, SteadyNow() + kCallTimeout);
  while (all && all->more && !all->rows.empty()) {
    range.from = all->rows.back().id.key + '\x01';
    auto page = this->store.Read(task, range, SteadyNow() + kCallTimeout);
    if (!page) return page;
    std::move(page->rows.begin(), page->rows.end(), std::back_inserter(all->rows));
    all->more = page->more;  // keeps the first page's version: the feed repeats later changes
  }
  return all;
}

void PlatformView::FollowOperatorTable(Task& task) {
  int64_t version = 0;
  bool following = false;
  while (true) {
    const TimePoint asked = SteadyNow();
    if (!following) {
      const auto all = this->ReadAll(task, platform::kOperatorTable);
      if (!all) {
        SleepUntil(task, SteadyNow() + kRetryPause);
        continue;
      }
      for (const StoredRow& row : all->rows) this->ApplyOperatorRow(row);
      version = all->version;
      following = true;
    } else {
      const auto feed = this->store.Feed(task, platform::kOperatorTable, version, kFeedWait);
      if (!feed) {
        SleepUntil(task, SteadyNow() + kRetryPause);
        continue;
      }
      if (feed->history_lost) {
        LogWarning(kPart, "the operator's table has lost its history; reading the whole table");
        following = false;
        continue;
      }
      for (const StoredRow& row : feed->rows) this->ApplyOperatorRow(row);
      version = std::max(version, feed->version);
    }
    this->routes_confirmed_at = asked;
  }
}

void PlatformView::ApplyOperatorRow(const StoredRow& row) {
  if (platform::IsConfigurationRow(row)) {
    auto table = platform::DecodeConfiguration(row.value);
    if (!table) {
      LogError(kPart, "cannot decode the configuration; keeping the current one",
               {{"part", table.error().part}, {"error", table.error().message}});
      return;
    }
    if (this->routes && table->Version() <= this->routes->Version()) return;
    LogInfo(kPart, "the configuration changed",
            {{"before", this->routes ? std::to_string(this->routes->Version()) : "none"},
             {"version", std::to_string(table->Version())},
             {"routes", std::to_string(table->Routes().size())}});
    this->routes = std::make_shared<const RouteTable>(std::move(*table));
    this->on_change();
    return;
  }
  const auto requested = platform::DecodeRequestedVersion(row);
  if (!requested) return;
  int64_t& known = this->requested_versions[requested->model];
  if (requested->version <= known) return;
  LogInfo(kPart, "a trainer requested a weight version",
          {{"model", requested->model},
           {"before", std::to_string(known)},
           {"version", std::to_string(requested->version)}});
  known = requested->version;
  this->on_change();
}

Duration PlatformView::RemovalGrace(TimePoint now) const {
  const TimePoint failed = this->store.LastFailure();
  if (failed == TimePoint()) return Duration::zero();
  // Entries reappear within a time from the end of an outage, not from their removal. An entry that
  // was removed some time after the failure is that of a target that leaves.
  return std::max(Duration::zero(), failed + kReappearGrace - now);
}

void PlatformView::ApplyTargetRow(const StoredRow& row, TimePoint now) {
  if (!row.id.partition.empty()) return;
  if (row.removed) {
    const Duration grace = this->RemovalGrace(now);
    if (this->pool.Find(row.id.key) != nullptr) {
      LogInfo(kPart, "the entry of a target was removed",
              {{"target", row.id.key}, {"kept_ms", std::to_string(ToMillis(grace))}});
    }
    this->pool.Remove(row.id.key, now, grace);
    return;
  }
  const auto entry = platform::DecodeTargetEntry(row.id.key, row.value);
  if (!entry) {
    LogWarning(kPart, "the entry of a target is malformed; removing the target",
               {{"target", row.id.key}, {"part", entry.error().part}});
    this->pool.Remove(row.id.key, now, Duration::zero());
    return;
  }
  const PoolTarget* known = this->pool.Find(row.id.key);
  if (known == nullptr || !known->entry.IsSameStart(*entry) ||
      known->entry.draining != entry->draining) {
    LogInfo(kPart, "the entry of a target changed",
            {{"target", entry->id},
             {"service", entry->service},
             {"software", entry->software},
             {"state", entry->draining ? "draining" : "ready"},
             {"started", std::to_string(entry->started_at)}});
  }
  this->pool.Apply(*entry, now);
}

void PlatformView::FollowTargetTable(Task& task) {
  int64_t version = 0;
  bool following = false;
  while (true) {
    if (!following) {
      const auto all = this->ReadAll(task, platform::kTargetTable);
      const TimePoint now = SteadyNow();
      if (!all) {
        this->pool.Expire(now);
        SleepUntil(task, now + kRetryPause);
        continue;
      }
      std::vector<TargetEntry> entries;
      for (const StoredRow& row : all->rows) {
        auto entry = platform::DecodeTargetEntry(row.id.key, row.value);
        if (entry) entries.push_back(std::move(*entry));
      }
      this->pool.Replace(entries, now, this->RemovalGrace(now));
      version = all->version;
      following = true;
      this->on_change();
      continue;
    }
    const auto feed = this->store.Feed(task, platform::kTargetTable, version, kFeedWait);
    const TimePoint now = SteadyNow();
    if (!feed) {
      SleepUntil(task, now + kRetryPause);
      continue;
    }
    this->pool.Expire(now);
    if (feed->history_lost) {
      LogWarning(kPart, "the table of targets has lost its history; reading the whole table");
      following = false;
      continue;
    }
    for (const StoredRow& row : feed->rows) this->ApplyTargetRow(row, now);
    version = std::max(version, feed->version);
    if (!feed->rows.empty()) this->on_change();
  }
}

}  // namespace anvilcroft
