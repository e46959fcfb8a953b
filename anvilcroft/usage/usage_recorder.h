#ifndef ANVILCROFT_USAGE_USAGE_RECORDER_H_
#define ANVILCROFT_USAGE_USAGE_RECORDER_H_

// Counts the live requests of customers that targets began to run for this instance, and writes the
// counts to the metadata store (usage_ledger.h decides what is written when). While the store does
// not answer, the counts are kept.
//
//   auto entry = recorder.Open(customer, request_id);
//   entry.OnBegin(began_at, false);
//   entry.Close(outcome.began_at);

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "anvilcroft/metadata_store.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/usage/usage_ledger.h"
#include "anvilcroft/usage/usage_records.h"

namespace anvilcroft {

class UsageRecorder {
 public:
  static constexpr Duration kTick = milliseconds(100);
  // Shorter than the time within which counts are needed after an outage (ReportPlan).
  static constexpr Duration kCallTimeout = milliseconds(700);
  static constexpr Duration kRetryPause = milliseconds(200);

  // A request that is being served. If it is dropped before Close, it is not counted unless a
  // target has certainly begun to run it.
  class Entry {
   public:
    Entry(UsageRecorder& recorder, UsageLedger::Handle handle)
        : recorder(&recorder), handle(handle) {}
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;
    ~Entry() { this->Close(std::nullopt); }

    UsageLedger::Handle Handle() const { return this->handle; }
    void Close(std::optional<WallMillis> began_at);

   private:
    UsageRecorder* recorder;
    UsageLedger::Handle handle;
  };

  struct Config {
    std::string instance;
    Duration window = seconds(5);
    double store_writes_per_s = 800;
    std::function<std::size_t()> instances;  // number of live ones
    WallMillis started_at = 0;               // of this process
  };

  UsageRecorder(Runtime& runtime, MetadataStore& store, Metrics& metrics, Config config);

  void Start();

  std::unique_ptr<Entry> Open(const std::string& customer, const std::string& request);
  // See UsageLedger::OnBegin. Ignored once the request has ended.
  void OnBegin(UsageLedger::Handle handle, WallMillis began_at, bool certain);
  // Counts a request that has ended. nullopt: no target ran it.
  void Record(const std::string& customer, const std::string& request,
              std::optional<WallMillis> began_at);

  // Writes all counts as final. Returns once the store has them or at `deadline`. Requests that end
  // later are not counted.
  void Finish(Task& task, TimePoint deadline);

 private:
  void Run(Task& task);
  // Writes one row. Returns whether the store answered.
  bool Write(Task& task, const UsageLedger::DueRow& due);

  Runtime& runtime;
  MetadataStore& store;
  Metrics& metrics;
  Config config;
  UsageLedger ledger;
  double spread_share;  // see UsageLedger::NextWrite
  bool finishing = false;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_USAGE_USAGE_RECORDER_H_
