#include "anvilcroft/usage/usage_reporter.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "usage";
constexpr std::size_t kMaxRemovals = 90;  // entries of one call; the store takes 100

const char* OutcomeName(platform::DutyOutcome outcome) {
  switch (outcome) {
    case platform::DutyOutcome::kAccepted:
      return "accepted";
    case platform::DutyOutcome::kConflict:
      return "fenced";
    case platform::DutyOutcome::kLimited:
      return "limited";
    case platform::DutyOutcome::kFailed:
      return "not_sent_or_refused";
    case platform::DutyOutcome::kUnknown:
      break;
  }
  return "no_answer";
}

}  // namespace

UsageReporter::UsageReporter(Runtime& runtime, MetadataStore& store, platform::CloudClient& cloud,
                             Metrics& metrics, Config settings)
    : runtime(runtime),
      store(store),
      cloud(cloud),
      metrics(metrics),
      config(std::move(settings)),
      plan(UsageWindows(this->config.window), this->config.due,
           ReportInterval(this->config.calls_per_s, this->config.window), this->config.started_at,
           this->config.keep_sent) {}

void UsageReporter::Start() {
  this->runtime.SpawnService("report usage", [this](Task& task) { this->Run(task); });
}

void UsageReporter::Run(Task& task) {
  this->loaded_for = 0;
  while (true) {
    const HeldLease lease = this->config.lease();
    if (!lease.ValidAt(BootNow()) || lease.fencing == this->refused_fencing) {
      this->loaded_for = 0;
      SleepUntil(task, SteadyNow() + kTick);
      continue;
    }
    bool ok = true;
    if (this->loaded_for != lease.fencing) {
      ok = this->Load(task);
      if (ok) this->loaded_for = lease.fencing;
    } else {
      const ReportAction action =
          this->plan.Next(this->MaySend(lease.fencing), WallNow(), SteadyNow());
      switch (action.step) {
        case ReportStep::kWait:
          SleepUntil(task, SteadyNow() + kTick);
          break;
        case ReportStep::kBegin:
          ok = this->Begin(task);
          break;
        case ReportStep::kFix:
          ok = this->Fix(task, action.window);
          break;
        case ReportStep::kSend:
          this->Send(task, action.window, lease);
          break;
        case ReportStep::kMark:
          ok = this->Mark(task, action.window);
          break;
        case ReportStep::kRemove:
          ok = this->Remove(task, action.window);
          break;
      }
    }
    if (ok) continue;
    this->loaded_for = 0;
    SleepUntil(task, SteadyNow() + kRetryPause);
  }
}

bool UsageReporter::MaySend(int64_t fencing) const {
  const HeldLease lease = this->config.lease();
  return lease.fencing == fencing && lease.MayOrderAt(BootNow());
}

bool UsageReporter::Noted(bool answered) {
  if (answered) {
    this->plan.OnStoreAnswer(SteadyNow());
  } else {
    this->plan.OnStoreFailure();
  }
  return answered;
}

Result<CommitResult> UsageReporter::Commit(Task& task, const RowBatch& batch) {
  auto result = this->store.Commit(task, batch, SteadyNow() + kCallTimeout);
  this->Noted(result.has_value());
  return result;
}

Result<std::vector<StoredRow>> UsageReporter::ReadAll(Task& task, const std::string& table,
                                                      const std::string& partition) {
  std::vector<StoredRow> rows;
  RowRange range;
  range.table = table;
  range.partition = partition;
  while (true) {
    auto page = this->store.Read(task, range, SteadyNow() + kCallTimeout);
    if (!this->Noted(page.has_value())) return tl::unexpected<Error>(page.error());
    rows.insert(rows.end(), page->rows.begin(), page->rows.end());
    if (!page->more || page->rows.empty()) return rows;
    range.from = page->rows.back().id.key + '\0';
  }
}

bool UsageReporter::Load(Task& task) {
  const auto rows = this->ReadAll(task, kUsageReportsTable, "");
  if (!rows) return false;
  auto stored = DecodeReports(*rows);
  if (!stored) {
    LogWarning(kPart, "cannot decode the stored reports; reporting nothing",
               {{"row", stored.error().part}, {"error", stored.error().message}});
    return false;
  }
  this->plan.Load(std::move(*stored));
  return true;
}

bool UsageReporter::Begin(Task& task) {
  std::vector<int64_t> windows;
  std::string after;
  while (true) {
    const auto partitions =
        this->store.Partitions(task, kUsageCountsTable, after, SteadyNow() + kCallTimeout);
    if (!this->Noted(partitions.has_value())) return false;
    if (partitions->empty()) break;
    for (const std::string& partition : *partitions) {
      if (const auto window = WindowOfPartition(partition)) windows.push_back(*window);
    }
    after = partitions->back();
  }
  UsageCursor cursor;
  cursor.first = cursor.began = this->plan.FirstWindow(windows);
  const RowBatch batch =
      RowBatch::Builder().Expect(CursorRowId(), 0).Put(CursorRowId(), EncodeCursor(cursor)).Build();
  const auto result = this->Commit(task, batch);
  if (!result || !result->committed) return false;
  cursor.version = result->version;
  this->plan.OnBegun(cursor);
  LogInfo(kPart, "reports begin", {{"window", std::to_string(cursor.first)}});
  return true;
}

bool UsageReporter::Fix(Task& task, int64_t window) {
  // Taken before the rows are read, so that an instance that leaves meanwhile is waited for.
  const auto live = this->config.live();
  std::vector<InstanceCounts> rows;
  for (int shard = 0; shard < kUsageShards; ++shard) {
    const auto read = this->ReadAll(task, kUsageCountsTable, UsagePartition(window, shard));
    if (!read) return false;
    for (const StoredRow& row : *read) {
      auto decoded = DecodeInstanceCounts(row);
      if (decoded) {
        rows.push_back(std::move(*decoded));
      } else {
        LogWarning(kPart, "ignored a malformed row of counts",
                   {{"row", row.id.key}, {"error", decoded.error().message}});
      }
    }
  }
  this->plan.OnRead(SteadyNow());
  if (!this->plan.MayFix(window, rows, live, WallNow(), SteadyNow())) return true;
  FixedReport report;
  report.counts = ReportPlan::Sum(rows);
  const auto values = EncodeReport(report);
  report.parts = values.size();
  RowBatch::Builder batch;
  // The cursor changes when a window is removed, so a holder that was suspended until then cannot
  // fix the window a second time.
  batch.Expect(CursorRowId(), this->plan.Stored().cursor->version).Expect(ReportRowId(window), 0);
  for (std::size_t part = 0; part < values.size(); ++part) {
    batch.Put(ReportRowId(window, part), values[part]);
  }
  const auto result = this->Commit(task, batch.Build());
  if (!result || !result->committed) return false;
  report.version = result->version;
  this->plan.OnFixed(window, std::move(report));
  return true;
}

void UsageReporter::Send(Task& task, int64_t window, const HeldLease& lease) {
  const UsageCounts counts = this->plan.Stored().reports.at(window).counts;
  const auto outcome =
      this->cloud.ReportUsage(task, {this->config.instance, lease.fencing}, {window, counts},
                              [this, fencing = lease.fencing] { return this->MaySend(fencing); });
  const bool accepted = outcome == platform::DutyOutcome::kAccepted;
  const WallMillis now = WallNow();
  this->plan.OnResult(window, accepted ? ReportResult::kAccepted : ReportResult::kNotAccepted, now,
                      SteadyNow());
  if (outcome == platform::DutyOutcome::kConflict) this->refused_fencing = lease.fencing;
  const bool late = this->plan.Late(window, now);
  const int calls = this->plan.Calls(window);
  this->metrics.Increment("anvilcroft_usage_report_calls_total",
                          {{"outcome", OutcomeName(outcome)}});
  if (calls > 1) this->metrics.Increment("anvilcroft_usage_reports_repeated_total", {});
  if (accepted) {
    this->metrics.Increment("anvilcroft_usage_windows_reported_total", {});
    if (late) this->metrics.Increment("anvilcroft_usage_windows_late_total", {});
  }
  int64_t requests = 0;
  for (const auto& [customer, count] : counts) requests += count;
  LogInfo(
      kPart, accepted ? "reported a window" : "a report was not accepted",
      {{"window", std::to_string(window)},
       {"customers", std::to_string(counts.size())},
       {"requests", std::to_string(requests)},
       {"fencing", std::to_string(lease.fencing)},
       {"calls", std::to_string(calls)},
       {"outcome", OutcomeName(outcome)},
       {"late", late ? "true" : "false"},
       {"after_end_ms", std::to_string(now - UsageWindows(this->config.window).EndOf(window))}});
}

bool UsageReporter::Mark(Task& task, int64_t window) {
  FixedReport report = this->plan.Stored().reports.at(window);
  report.sent = true;
  report.sent_at = this->plan.AcceptedAt(window).value_or(WallNow());
  const RowBatch batch = RowBatch::Builder()
                             .Expect(ReportRowId(window), report.version)
                             .Put(ReportRowId(window), EncodeReport(report).front())
                             .Build();
  const auto result = this->Commit(task, batch);
  if (!result || !result->committed) return false;
  report.version = result->version;
  this->plan.OnMarked(window, std::move(report));
  return true;
}

bool UsageReporter::RemoveCounts(Task& task, int64_t window) {
  for (int shard = 0; shard < kUsageShards; ++shard) {
    const auto rows = this->ReadAll(task, kUsageCountsTable, UsagePartition(window, shard));
    if (!rows) return false;
    for (std::size_t from = 0; from < rows->size(); from += kMaxRemovals) {
      RowBatch::Builder batch;
      const std::size_t to = std::min(rows->size(), from + kMaxRemovals);
      for (std::size_t i = from; i < to; ++i) batch.Remove((*rows)[i].id);
      if (!this->Commit(task, batch.Build())) return false;
    }
  }
  return true;
}

bool UsageReporter::Remove(Task& task, int64_t window) {
  const FixedReport report = this->plan.Stored().reports.at(window);
  UsageCursor cursor = *this->plan.Stored().cursor;
  // The counts of the window in which the first instance started are not reported.
  if (window == cursor.began && !this->RemoveCounts(task, window - 1)) return false;
  if (!this->RemoveCounts(task, window)) return false;
  cursor.first = window + 1;
  RowBatch::Builder batch;
  batch.Expect(CursorRowId(), cursor.version)
      .Expect(ReportRowId(window), report.version)
      .Put(CursorRowId(), EncodeCursor(cursor));
  for (std::size_t part = 0; part < report.parts; ++part) {
    batch.Remove(ReportRowId(window, part));
  }
  const auto result = this->Commit(task, batch.Build());
  if (!result || !result->committed) return false;
  cursor.version = result->version;
  this->plan.OnRemoved(window, cursor);
  return true;
}

}  // namespace anvilcroft
