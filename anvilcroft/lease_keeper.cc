#include "anvilcroft/lease_keeper.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "lease";
constexpr Duration kCallTimeout = milliseconds(500);  // a slow store answers in 300 ms
constexpr int kCandidates = 3;                        // instances that watch the row closely

// The row that a failed condition found, if `self` still holds it under `term`: an earlier write
// was applied although its answer was lost.
struct OwnRow {
  OwnerRecord record;
  int64_t version = 0;
};
std::optional<OwnRow> StillOwn(const CommitResult& failed, const std::string& self, int64_t term) {
  if (failed.current.empty()) return std::nullopt;
  const StoredRow& row = failed.current.front();
  const auto record = DecodeOwner(row.value);
  if (!record || record->holder != self || record->term != term) return std::nullopt;
  return OwnRow{*record, row.version};
}

}  // namespace

LeaseKeeper::LeaseKeeper(Runtime& runtime, MetadataStore& store, LeaseSettings settings,
                         std::function<int()> rank, std::function<void()> on_change)
    : runtime(runtime),
      store(store),
      settings(std::move(settings)),
      rank(std::move(rank)),
      on_change(std::move(on_change)) {}

void LeaseKeeper::Start() {
  this->runtime.Spawn([this](Task& task) { this->Run(task); });
}

void LeaseKeeper::Run(Task& task) {
  while (!this->released) {
    const TimePoint started = SteadyNow();
    Duration pause = this->settings.renew_every;
    if (this->held.fencing != 0) {
      this->Renew(task);
    } else {
      this->Watch(task);
      const int before = this->rank();
      const Duration takeover = this->settings.takeover_after + before * milliseconds(150);
      if (this->view.read && !this->released && before < kCandidates &&
          MayTake(this->view, this->settings.self, BootNow(), takeover)) {
        this->Take(task);
      }
      if (this->held.fencing == 0) {
        pause = before < kCandidates ? this->settings.watch_every : this->settings.idle_watch_every;
      }
    }
    SleepUntil(task, started + pause);
  }
}

void LeaseKeeper::Watch(Task& task) {
  RowRange range;
  range.table = this->Row().table;
  range.from = this->settings.key;
  range.max_rows = 1;
  const auto read = this->store.Read(task, range, SteadyNow() + kCallTimeout);
  if (!read) {
    // Without reads the silence of the holder cannot be told from that of the store.
    this->view.read = false;
    return;
  }
  OwnerRecord record;
  int64_t version = 0;
  if (!read->rows.empty() && read->rows.front().id.key == this->settings.key) {
    const auto decoded = DecodeOwner(read->rows.front().value);
    if (decoded) record = *decoded;
    version = read->rows.front().version;
  }
  this->view = Observe(this->view, record, version, BootNow());
}

Result<CommitResult> LeaseKeeper::Write(Task& task, const OwnerRecord& record, TimePoint deadline) {
  const RowBatch batch = RowBatch::Builder()
                             .Expect(this->Row(), this->view.version)
                             .Put(this->Row(), EncodeOwner(record))
                             .Build();
  return this->store.Commit(task, batch, deadline);
}

void LeaseKeeper::Take(Task& task) {
  const OwnerRecord former = this->view.record;
  const BootTime former_sign = this->view.changed_at;
  OwnerRecord record;
  record.holder = this->settings.self;
  record.term = former.term + 1;
  const BootTime sent = BootNow();
  const auto written = this->Write(task, record, SteadyNow() + kCallTimeout);
  if (!written || !written->committed) {
    this->view.read = false;
    return;
  }
  this->view = Observe(this->view, record, written->version, BootNow());
  this->held.fencing = written->version;
  this->held.valid_until = sent + this->settings.lease - kSafetyMargin;
  const bool no_other_holder = former.holder.empty() || former.holder == this->settings.self;
  this->held.orders_from = no_other_holder ? sent : former_sign + this->settings.lease;
  LogInfo(kPart, "took the lease",
          {{"key", this->settings.key},
           {"former", former.holder},
           {"term", std::to_string(record.term)},
           {"fencing", std::to_string(this->held.fencing)}});
  this->on_change();
}

void LeaseKeeper::Renew(Task& task) {
  OwnerRecord record = this->view.record;
  ++record.renewals;
  const BootTime sent = BootNow();
  const auto written = this->Write(task, record, SteadyNow() + kCallTimeout);
  if (this->released) return;
  if (written && written->committed) {
    this->view = Observe(this->view, record, written->version, BootNow());
    this->held.valid_until = sent + this->settings.lease - kSafetyMargin;
    if (std::exchange(this->lapsed, false)) {
      LogInfo(kPart, "renewed the lease after it ran out", {{"key", this->settings.key}});
      this->on_change();
    }
    return;
  }
  if (written) {
    if (const auto own = StillOwn(*written, this->settings.self, this->view.record.term)) {
      this->view = Observe(this->view, own->record, own->version, BootNow());
      return;
    }
    this->view.read = false;
    this->Drop("another instance holds it");
    return;
  }
  this->HandleUnanswered(task);
}

// Without an answer of the store the lease runs out, but the row may still be ours: whoever takes
// it makes the next renewal fail. The state that the lease covers is kept until then, or until
// another instance knows of a later holder.
void LeaseKeeper::HandleUnanswered(Task& task) {
  if (!this->held.ValidAt(BootNow()) && !std::exchange(this->lapsed, true)) {
    LogWarning(kPart, "the lease ran out; trying to renew it", {{"key", this->settings.key}});
  }
  if (BootNow() - this->view.changed_at < this->settings.takeover_after) return;
  const auto later = this->ask_peers(task, this->view.record.term);
  if (!later || this->released) return;
  LogInfo(kPart, "an instance reports a later holder",
          {{"key", this->settings.key},
           {"holder", later->holder},
           {"term", std::to_string(later->term)}});
  this->view.read = false;
  this->Drop("another instance holds it");
}

void LeaseKeeper::Drop(const char* reason) {
  LogWarning(kPart, "lost the lease",
             {{"key", this->settings.key},
              {"reason", reason},
              {"fencing", std::to_string(this->held.fencing)}});
  this->held = HeldLease();
  this->lapsed = false;
  this->on_change();
}

void LeaseKeeper::Release(Task& task, TimePoint deadline) {
  this->released = true;
  if (this->held.fencing == 0) return;
  this->held = HeldLease();
  this->on_change();
  OwnerRecord record = this->view.record;
  record.holder.clear();
  // A renewal that is under way may change the row's version meanwhile.
  while (SteadyNow() < deadline) {
    const auto written = this->Write(task, record, std::min(deadline, SteadyNow() + kCallTimeout));
    if (written && written->committed) break;
    if (written) {
      const auto own = StillOwn(*written, this->settings.self, this->view.record.term);
      if (!own) break;
      this->view.version = own->version;
      continue;
    }
    SleepUntil(task, SteadyNow() + milliseconds(50));
  }
  LogInfo(kPart, "released the lease", {{"key", this->settings.key}});
}

}  // namespace anvilcroft
