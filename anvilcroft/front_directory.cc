#include "anvilcroft/front_directory.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/hash.h"
#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "directory";
constexpr char kTable[] = "fronts";
constexpr Duration kCallTimeout = milliseconds(800);
// Age at which the row of an instance that no longer renews it is removed.
constexpr int64_t kRemoveAfterMs = 60000;

// Sort key of the order of takeover: larger machines first.
std::pair<double, uint64_t> RankKey(const FrontRecord& front) {
  return {-front.cpu_share, StableHash("owner" + front.instance)};
}

}  // namespace

std::vector<FrontRecord> FilterLiveFronts(const std::vector<FrontRecord>& rows,
                                          StoreMillis store_time, int64_t lifetime_ms) {
  std::vector<FrontRecord> live;
  for (const FrontRecord& row : rows) {
    if (!row.leaving && store_time - row.renewed_at < lifetime_ms) live.push_back(row);
  }
  return live;
}

std::vector<std::string> AddressesFor(const std::vector<FrontRecord>& fronts,
                                      const std::string& zone, std::size_t max_count) {
  std::vector<std::pair<std::pair<int, uint64_t>, const FrontRecord*>> ordered;
  for (const FrontRecord& front : fronts) {
    ordered.push_back({{front.zone == zone ? 0 : 1, StableHash(zone + front.instance)}, &front});
  }
  std::sort(ordered.begin(), ordered.end());
  std::vector<std::string> addresses;
  for (const auto& [order, front] : ordered) {
    if (addresses.size() >= max_count) break;
    addresses.push_back(front->address);
  }
  return addresses;
}

Duration RenewalPeriod(std::size_t fronts) {
  constexpr Duration kShortest = milliseconds(600);
  constexpr Duration kPerFront = milliseconds(10);
  return std::max<Duration>(kShortest, static_cast<int64_t>(fronts) * kPerFront);
}

FrontDirectory::FrontDirectory(Runtime& runtime, MetadataStore& store, FrontRecord self)
    : runtime(runtime), store(store), self(std::move(self)) {}

void FrontDirectory::Start() {
  this->runtime.Spawn([this](Task& task) {
    while (!this->self.leaving) {
      const TimePoint started = SteadyNow();
      this->RenewRow(task);
      SleepUntil(task, started + RenewalPeriod(this->live.size()));
    }
  });
  this->runtime.Spawn([this](Task& task) {
    while (true) {
      const TimePoint started = SteadyNow();
      this->ReadRows(task);
      SleepUntil(task, started + RenewalPeriod(this->live.size()));
    }
  });
}

bool FrontDirectory::WriteRow(Task& task, TimePoint deadline) {
  this->self.renewed_at = this->store.StoreTime(BootNow());
  const RowBatch batch =
      RowBatch::Builder().Put({kTable, "", this->self.instance}, EncodeFront(this->self)).Build();
  return this->store.Commit(task, batch, deadline).has_value();
}

void FrontDirectory::RenewRow(Task& task) {
  // A write needs the store's time, which is unknown until the store has answered a call.
  if (this->store.StoreTime(BootNow()) == 0) this->ReadRows(task);
  if (this->store.StoreTime(BootNow()) == 0 || this->self.leaving) return;
  this->WriteRow(task, SteadyNow() + kCallTimeout);
}

void FrontDirectory::AnnounceLeaving(Task& task, TimePoint deadline) {
  this->self.leaving = true;
  while (SteadyNow() < deadline) {
    if (this->WriteRow(task, std::min(deadline, SteadyNow() + kCallTimeout))) return;
    SleepUntil(task, SteadyNow() + milliseconds(100));
  }
  LogWarning(kPart, "could not write to the metadata store that this instance is leaving");
}

void FrontDirectory::ReadRows(Task& task) {
  std::vector<FrontRecord> rows;
  RowRange range;
  range.table = kTable;
  StoreMillis store_time = 0;
  while (true) {
    const auto read = this->store.Read(task, range, SteadyNow() + kCallTimeout);
    if (!read) return;
    store_time = read->store_time;
    for (const StoredRow& row : read->rows) {
      auto record = DecodeFront(row.value);
      if (!record) {
        LogWarning(kPart, "ignored a malformed row of an instance", {{"key", row.id.key}});
        continue;
      }
      rows.push_back(std::move(*record));
    }
    if (!read->more || read->rows.empty()) break;
    range.from = read->rows.back().id.key + '\x01';
  }
  const TimePoint now = SteadyNow();
  if (this->read_at != TimePoint() && now - this->read_at > kMinOutage) {
    this->grace_until = now + kRenewalGrace;
  }
  this->read_at = now;
  const double lifetime_ms = kRowLifetimePeriods * ToMillis(RenewalPeriod(rows.size()));
  std::vector<FrontRecord> alive =
      FilterLiveFronts(rows, store_time, static_cast<int64_t>(lifetime_ms));
  if (now < this->grace_until) {
    for (const FrontRecord& before : this->live) {
      const bool same = std::any_of(alive.begin(), alive.end(), [&](const FrontRecord& front) {
        return front.instance == before.instance;
      });
      const bool leaving = std::any_of(rows.begin(), rows.end(), [&](const FrontRecord& row) {
        return row.instance == before.instance && row.leaving;
      });
      if (!same && !leaving) alive.push_back(before);
    }
  }
  if (alive.size() != this->live.size()) {
    LogInfo(kPart, "the number of live instances changed",
            {{"before", std::to_string(this->live.size())}, {"now", std::to_string(alive.size())}});
  }
  this->live = std::move(alive);
  // Only the first instance in the order of takeover removes rows that are no longer renewed.
  if (this->TakeoverRank() != 0) return;
  for (const FrontRecord& row : rows) {
    if (store_time - row.renewed_at < kRemoveAfterMs) continue;
    this->store.Commit(task, RowBatch::Builder().Remove({kTable, "", row.instance}).Build(),
                       SteadyNow() + kCallTimeout);
  }
}

int FrontDirectory::TakeoverRank() const {
  int before = 0;
  for (const FrontRecord& front : this->live) {
    if (front.instance != this->self.instance && RankKey(front) < RankKey(this->self)) ++before;
  }
  return before;
}

std::string FrontDirectory::InternalAddress(const std::string& instance) const {
  for (const FrontRecord& front : this->live) {
    if (front.instance == instance) return front.internal_address;
  }
  return "";
}

std::vector<std::string> FrontDirectory::TakeoverCandidates(std::size_t max_count) const {
  std::vector<std::pair<std::pair<double, uint64_t>, std::string>> ordered;
  for (const FrontRecord& front : this->live) {
    if (front.instance == this->self.instance || front.internal_address.empty()) continue;
    ordered.emplace_back(RankKey(front), front.internal_address);
  }
  std::sort(ordered.begin(), ordered.end());
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < std::min(max_count, ordered.size()); ++i) {
    addresses.push_back(std::move(ordered[i].second));
  }
  return addresses;
}

}  // namespace anvilcroft
