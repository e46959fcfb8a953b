#include "anvilcroft/usage/usage_ledger.h"

#include <algorithm>
#include <iterator>

namespace anvilcroft {
namespace {

// A process that was suspended for longer has no counts for the windows in between.
constexpr int64_t kMaxWindowsAdded = 1000;

}  // namespace

UsageLedger::UsageLedger(UsageWindows windows, WallMillis started_at)
    : windows(windows), next_window(windows.WindowAt(started_at)) {}

UsageLedger::Handle UsageLedger::Open(const std::string& customer, const std::string& id) {
  if (customer.empty() || this->finished_at) return kNotCounted;
  const Handle handle = this->next_handle++;
  this->open[handle] = OpenRequest{customer, id, std::nullopt, false};
  return handle;
}

bool UsageLedger::Counted(const OpenRequest& request) const {
  return !request.id.empty() && this->counted.count({request.customer, request.id}) != 0;
}

void UsageLedger::Settle(OpenRequest& request, WallMillis began_at, WallMillis now) {
  request.settled = true;
  if (this->Counted(request)) return;
  if (!request.id.empty()) {
    this->counted[{request.customer, request.id}] = now;
    this->counted_by_time[now].emplace_back(request.customer, request.id);
  }
  const int64_t window = this->windows.WindowAt(began_at);
  this->AddWindowsUntil(now);
  if (this->windows.EndOf(window) + kKeepMs < now) {
    ++this->late;
    return;
  }
  ++this->states[window].counts[request.customer];
}

void UsageLedger::OnBegin(Handle handle, WallMillis began_at, bool certain, WallMillis now) {
  const auto found = this->open.find(handle);
  if (found == this->open.end() || found->second.settled) return;
  if (certain) {
    this->Settle(found->second, began_at, now);
  } else {
    found->second.began_at = began_at;
  }
}

void UsageLedger::Close(Handle handle, std::optional<WallMillis> began_at, WallMillis now) {
  const auto found = this->open.find(handle);
  if (found == this->open.end()) return;
  if (!found->second.settled && began_at) this->Settle(found->second, *began_at, now);
  this->open.erase(found);
  while (!this->counted_by_time.empty() &&
         this->counted_by_time.begin()->first + kRememberIdMs < now) {
    for (const auto& key : this->counted_by_time.begin()->second) this->counted.erase(key);
    this->counted_by_time.erase(this->counted_by_time.begin());
  }
}

CountRow UsageLedger::RowAt(int64_t window, WallMillis now) const {
  CountRow row;
  const auto state = this->states.find(window);
  if (state != this->states.end()) row.counts = state->second.counts;
  row.final = now >= this->windows.EndOf(window) + kSettleMs;
  for (const auto& [handle, request] : this->open) {
    if (request.settled || !request.began_at || this->Counted(request)) continue;
    if (this->windows.WindowAt(*request.began_at) != window) continue;
    row.final = false;
    if (this->finished_at || *request.began_at + kLikelyAfterMs <= now) {
      ++row.counts[request.customer];
    }
  }
  if (this->finished_at) row.final = true;
  return row;
}

void UsageLedger::AddWindowsUntil(WallMillis now) {
  const int64_t current = this->windows.WindowAt(now);
  this->next_window = std::max(this->next_window, current - kMaxWindowsAdded);
  while (this->next_window <= current && !this->finished_at) {
    this->states.emplace(this->next_window++, WindowState());
  }
}

bool UsageLedger::NeedsWrite(int64_t window, const WindowState& state, const CountRow& row,
                             WallMillis now) const {
  if (state.written == row) return false;
  if (row.counts.empty() && !state.written) {
    return row.final && now < this->windows.EndOf(window) + kSkipEmptyMs;
  }
  return true;
}

std::optional<UsageLedger::DueRow> UsageLedger::NextWrite(const UsagePace& pace,
                                                          double spread_share, WallMillis wall_now,
                                                          TimePoint now) {
  this->AddWindowsUntil(wall_now);
  for (auto it = this->states.begin(); it != this->states.end();) {
    const int64_t window = it->first;
    WindowState& state = it->second;
    const CountRow row = this->RowAt(window, wall_now);
    const int64_t age = wall_now - this->windows.EndOf(window);
    if (!this->NeedsWrite(window, state, row, wall_now)) {
      state.changed_at.reset();
      it = row.final && age > kKeepMs ? this->states.erase(it) : std::next(it);
      continue;
    }
    if (age > kMaxKeepMs) {
      for (const auto& [customer, count] : row.counts) this->late += count;
      it = this->states.erase(it);
      continue;
    }
    ++it;
    if (!state.changed_at) state.changed_at = now;
    const Duration wait = this->finished_at ? Duration::zero()
                          : row.final
                              ? std::chrono::duration_cast<Duration>(pace.spread * spread_share)
                              : kWriteDelay;
    const bool paced = row.final || !state.written_at || now - *state.written_at >= pace.interval;
    if (now - *state.changed_at < wait || !paced) continue;
    return DueRow{window, row, state.version};
  }
  return std::nullopt;
}

void UsageLedger::OnWritten(int64_t window, const CountRow& row, int64_t version, TimePoint now) {
  const auto found = this->states.find(window);
  if (found == this->states.end()) return;
  found->second.written = row;
  found->second.version = version;
  found->second.written_at = now;
  found->second.changed_at.reset();
}

void UsageLedger::OnVersion(int64_t window, int64_t version) {
  const auto found = this->states.find(window);
  if (found != this->states.end()) found->second.version = version;
}

void UsageLedger::Finish(WallMillis now) {
  this->AddWindowsUntil(now);
  this->finished_at = now;
}

bool UsageLedger::AllWritten(WallMillis now) const {
  return std::none_of(this->states.begin(), this->states.end(), [&](const auto& entry) {
    return this->NeedsWrite(entry.first, entry.second, this->RowAt(entry.first, now), now);
  });
}

}  // namespace anvilcroft
