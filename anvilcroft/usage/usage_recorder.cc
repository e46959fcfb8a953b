#include "anvilcroft/usage/usage_recorder.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/hash.h"
#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "usage";
constexpr uint64_t kSpreadSteps = 1000;

}  // namespace

void UsageRecorder::Entry::Close(std::optional<WallMillis> began_at) {
  if (this->handle == UsageLedger::kNotCounted) return;
  this->recorder->ledger.Close(std::exchange(this->handle, UsageLedger::kNotCounted), began_at,
                               WallNow());
}

UsageRecorder::UsageRecorder(Runtime& runtime, MetadataStore& store, Metrics& metrics,
                             Config settings)
    : runtime(runtime),
      store(store),
      metrics(metrics),
      config(std::move(settings)),
      ledger(UsageWindows(this->config.window), this->config.started_at),
      spread_share(static_cast<double>(StableHash(this->config.instance) % kSpreadSteps) /
                   kSpreadSteps) {}

void UsageRecorder::Start() {
  this->metrics.RegisterCounter("anvilcroft_usage_late_counts_total", {},
                                [this] { return static_cast<double>(this->ledger.Late()); });
  this->runtime.SpawnService("write usage counts", [this](Task& task) { this->Run(task); });
}

std::unique_ptr<UsageRecorder::Entry> UsageRecorder::Open(const std::string& customer,
                                                          const std::string& request) {
  return std::make_unique<Entry>(*this, this->ledger.Open(customer, request));
}

void UsageRecorder::OnBegin(UsageLedger::Handle handle, WallMillis began_at, bool certain) {
  this->ledger.OnBegin(handle, began_at, certain, WallNow());
}

void UsageRecorder::Record(const std::string& customer, const std::string& request,
                           std::optional<WallMillis> began_at) {
  this->Open(customer, request)->Close(began_at);
}

void UsageRecorder::Run(Task& task) {
  while (true) {
    const UsagePace pace = PaceOfUsageWrites(this->config.instances(),
                                             this->config.store_writes_per_s, this->config.window);
    const auto due = this->ledger.NextWrite(pace, this->spread_share, WallNow(), SteadyNow());
    if (!due) {
      const Duration pause = this->finishing ? milliseconds(10) : kTick;
      SleepUntil(task, SteadyNow() + pause);
    } else if (!this->Write(task, *due)) {
      SleepUntil(task, SteadyNow() + kRetryPause);
    }
  }
}

bool UsageRecorder::Write(Task& task, const UsageLedger::DueRow& due) {
  const RowId id = CountRowId(due.window, this->config.instance, this->config.started_at);
  // Only this process writes the row. The condition keeps an earlier write without an answer from
  // being applied after this one.
  const RowBatch batch =
      RowBatch::Builder().Expect(id, due.version).Put(id, EncodeCountRow(due.row)).Build();
  const auto result = this->store.Commit(task, batch, SteadyNow() + kCallTimeout);
  const char* outcome = !result ? "failed" : result->committed ? "written" : "conflict";
  this->metrics.Increment("anvilcroft_usage_counts_written_total", {{"outcome", outcome}});
  if (!result) {
    LogDebug(kPart, "could not write the counts of a window",
             {{"window", std::to_string(due.window)}, {"error", result.error().message}});
    return false;
  }
  if (result->committed) {
    this->ledger.OnWritten(due.window, due.row, result->version, SteadyNow());
  } else {
    this->ledger.OnVersion(due.window,
                           result->current.empty() ? 0 : result->current.front().version);
  }
  return true;
}

void UsageRecorder::Finish(Task& task, TimePoint deadline) {
  this->finishing = true;
  this->ledger.Finish(WallNow());
  while (!this->ledger.AllWritten(WallNow()) && SteadyNow() < deadline) {
    SleepUntil(task, SteadyNow() + milliseconds(10));
  }
  const bool written = this->ledger.AllWritten(WallNow());
  LogInfo(kPart, written ? "wrote the last counts" : "could not write the last counts",
          {{"instance", this->config.instance}});
}

}  // namespace anvilcroft
