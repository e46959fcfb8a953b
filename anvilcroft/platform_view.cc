#include "anvilcroft/platform_view.h"

#include <algorithm>
#include <optional>
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
                           std::function<void()> on_change, std::function<Duration()> feed_pause)
    : runtime(runtime),
      store(store),
      pool(pool),
      on_change(std::move(on_change)),
      feed_pause(std::move(feed_pause)) {}

void PlatformView::Start() {
  this->runtime.SpawnService("follow the operator's table",
                             [this](Task& task) { this->FollowOperatorTable(task); });
  this->runtime.SpawnService("follow the table of targets",
                             [this](Task& task) { this->FollowTargetTable(task); });
}

Result<int64_t> PlatformView::ReadAll(Task& task, const std::string& table,
                                      const std::function<void(const StoredRow&)>& apply) {
  RowRange range;
  range.table = table;
  std::optional<int64_t> version;
  while (true) {
    const auto page = this->store.Read(task, range, SteadyNow() + kCallTimeout);
    if (!page) return tl::unexpected<Error>(page.error());
    for (const StoredRow& row : page->rows) apply(row);
    // The feed repeats the changes since the first page was read.
    if (!version) version = page->version;
    if (!page->more || page->rows.empty()) return *version;
    range.from = page->rows.back().id.key + '\x01';
  }
}

void PlatformView::FollowOperatorTable(Task& task) {
  int64_t version = 0;
  bool following = false;
  while (true) {
    const TimePoint asked = SteadyNow();
    if (!following) {
      const auto read = this->ReadAll(task, platform::kOperatorTable, [this](const StoredRow& row) {
        this->ApplyOperatorRow(row);
      });
      if (!read) {
        SleepUntil(task, SteadyNow() + kRetryPause);
        continue;
      }
      version = *read;
      following = true;
    } else {
      const auto feed = this->store.Feed(task, platform::kOperatorTable, version, kFeedWait);
      if (!feed) {
        SleepUntil(task, SteadyNow() + kRetryPause);
        continue;
      }
      if (feed->history_lost) {
        LogWarning(
            kPart,
            "the changes of the operator's table are not available; reading the whole table");
        following = false;
        continue;
      }
      for (const StoredRow& row : feed->rows) this->ApplyOperatorRow(row);
      version = std::max(version, feed->version);
    }
    this->routes_confirmed_at = asked;
    this->routes_answered_at = SteadyNow();
  }
}

bool PlatformView::ApplyConfiguration(const std::string& row) {
  auto table = platform::DecodeConfiguration(row);
  if (!table) {
    LogError(kPart, "cannot decode the configuration; keeping the current one",
             {{"part", table.error().part}, {"error", table.error().message}});
    return false;
  }
  if (this->routes && table->Version() <= this->routes->Version()) return false;
  LogInfo(kPart, "the configuration changed",
          {{"before", this->routes ? std::to_string(this->routes->Version()) : "none"},
           {"version", std::to_string(table->Version())},
           {"routes", std::to_string(table->Routes().size())},
           {"customers", std::to_string(table->Customers().Size())}});
  this->routes = std::make_shared<const RouteTable>(std::move(*table));
  this->routes_row = row;
  this->on_change();
  return true;
}

void PlatformView::ApplyOperatorRow(const StoredRow& row) {
  if (platform::IsConfigurationRow(row)) {
    this->ApplyConfiguration(row.value);
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
      std::vector<TargetEntry> entries;
      std::size_t malformed = 0;
      const auto read = this->ReadAll(task, platform::kTargetTable, [&](const StoredRow& row) {
        auto entry = platform::DecodeTargetEntry(row.id.key, row.value);
        if (entry) {
          entries.push_back(std::move(*entry));
        } else {
          ++malformed;
        }
      });
      const TimePoint now = SteadyNow();
      if (!read) {
        this->pool.Expire(now);
        SleepUntil(task, now + std::max(kRetryPause, this->feed_pause()));
        continue;
      }
      if (malformed > 0) {
        LogWarning(kPart, "left out malformed entries of targets",
                   {{"count", std::to_string(malformed)}});
      }
      this->pool.Replace(entries, now, this->RemovalGrace(now));
      version = *read;
      following = true;
      this->on_change();
      continue;
    }
    const TimePoint called = SteadyNow();
    const auto feed = this->store.Feed(task, platform::kTargetTable, version, kFeedWait);
    const TimePoint now = SteadyNow();
    if (!feed) {
      SleepUntil(task, now + std::max(kRetryPause, this->feed_pause()));
      continue;
    }
    this->pool.Expire(now);
    if (feed->history_lost) {
      LogWarning(kPart,
                 "the changes of the table of targets are not available; reading the whole table");
      following = false;
      continue;
    }
    for (const StoredRow& row : feed->rows) this->ApplyTargetRow(row, now);
    version = std::max(version, feed->version);
    if (!feed->rows.empty()) this->on_change();
    SleepUntil(task, called + this->feed_pause());
  }
}

}  // namespace anvilcroft
