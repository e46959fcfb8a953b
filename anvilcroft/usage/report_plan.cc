#include "anvilcroft/usage/report_plan.h"

#include <algorithm>
#include <utility>

namespace anvilcroft {

ReportPlan::ReportPlan(UsageWindows windows, Duration due, Duration call_interval,
                       WallMillis started_at, Duration keep_sent)
    : windows(windows),
      due_ms(ToMillis(due)),
      call_interval(call_interval),
      started_at(started_at),
      keep_sent_ms(ToMillis(keep_sent)) {}

void ReportPlan::Load(StoredReports value) { this->stored = std::move(value); }

void ReportPlan::OnStoreAnswer(TimePoint now) {
  if (this->store_failed) this->store_back_at = now;
  this->store_failed = false;
}

void ReportPlan::OnStoreFailure() { this->store_failed = true; }

int64_t ReportPlan::FirstUnfixed() const {
  int64_t window = this->stored.cursor->first;
  for (auto it = this->stored.reports.find(window);
       it != this->stored.reports.end() && it->first == window; ++it) {
    ++window;
  }
  return window;
}

ReportAction ReportPlan::Next(bool may_send, WallMillis wall_now, TimePoint now) const {
  if (!this->stored.cursor) {
    const int64_t window = this->windows.WindowAt(this->started_at);
    const bool begin = wall_now >= this->windows.EndOf(window) + kBeginDelayMs;
    return {begin ? ReportStep::kBegin : ReportStep::kWait, 0};
  }
  std::optional<int64_t> unsent;
  for (const auto& [window, report] : this->stored.reports) {
    if (report.sent) continue;
    if (this->accepted.count(window) != 0) return {ReportStep::kMark, window};
    if (!unsent) unsent = window;
  }
  if (unsent && may_send && now >= this->next_call_at) return {ReportStep::kSend, *unsent};
  const int64_t unfixed = this->FirstUnfixed();
  if (wall_now >= this->windows.EndOf(unfixed) + kFirstReadMs && now >= this->next_read_at) {
    return {ReportStep::kFix, unfixed};
  }
  const auto oldest = this->stored.reports.find(this->stored.cursor->first);
  if (oldest != this->stored.reports.end() && oldest->second.sent &&
      wall_now >= oldest->second.sent_at + this->keep_sent_ms) {
    return {ReportStep::kRemove, oldest->first};
  }
  return {ReportStep::kWait, 0};
}

bool ReportPlan::MayFix(int64_t window, const std::vector<InstanceCounts>& rows,
                        const std::vector<std::string>& live, WallMillis wall_now,
                        TimePoint now) const {
  const bool settled = !this->store_back_at || now - *this->store_back_at >= kOutageGrace;
  if (settled && wall_now >= this->windows.EndOf(window) + this->due_ms / 2) return true;
  // The latest process of each instance. An earlier one has ended and adds nothing.
  std::map<std::string, const InstanceCounts*> latest;
  for (const InstanceCounts& row : rows) {
    const InstanceCounts*& found = latest[row.instance];
    if (found == nullptr || found->started_at < row.started_at) found = &row;
  }
  // An instance that is not live may still be stopping, and write its last counts.
  const bool all_final = std::all_of(latest.begin(), latest.end(),
                                     [](const auto& entry) { return entry.second->row.final; });
  return all_final && std::all_of(live.begin(), live.end(), [&](const std::string& instance) {
           return latest.count(instance) != 0;
         });
}

UsageCounts ReportPlan::Sum(const std::vector<InstanceCounts>& rows) {
  UsageCounts sum;
  for (const InstanceCounts& entry : rows) {
    for (const auto& [customer, count] : entry.row.counts) sum[customer] += count;
  }
  return sum;
}

int64_t ReportPlan::FirstWindow(const std::vector<int64_t>& windows_with_rows) const {
  int64_t first = this->windows.FirstWholeFrom(this->started_at);
  for (const int64_t window : windows_with_rows) first = std::min(first, window + 1);
  return first;
}

void ReportPlan::OnFixed(int64_t window, FixedReport report) {
  this->stored.reports[window] = std::move(report);
  this->next_read_at = TimePoint();
}

void ReportPlan::OnResult(int64_t window, ReportResult result, WallMillis wall_now, TimePoint now) {
  ++this->calls[window];
  if (result == ReportResult::kAccepted) {
    this->accepted[window] = wall_now;
    this->backoff = Duration::zero();
    this->next_call_at = now + this->call_interval;
    return;
  }
  this->backoff = this->backoff == Duration::zero()
                      ? Duration(kFirstBackoff)
                      : std::min<Duration>(2 * this->backoff, kMaxBackoff);
  this->next_call_at = now + std::max(this->backoff, this->call_interval);
}

void ReportPlan::OnMarked(int64_t window, FixedReport report) {
  this->stored.reports[window] = std::move(report);
}

void ReportPlan::OnRemoved(int64_t window, UsageCursor cursor) {
  this->stored.reports.erase(window);
  this->accepted.erase(window);
  this->calls.erase(window);
  this->stored.cursor = cursor;
}

std::optional<WallMillis> ReportPlan::AcceptedAt(int64_t window) const {
  const auto found = this->accepted.find(window);
  return found == this->accepted.end() ? std::nullopt : std::optional<WallMillis>(found->second);
}

int ReportPlan::Calls(int64_t window) const {
  const auto found = this->calls.find(window);
  return found == this->calls.end() ? 0 : found->second;
}

}  // namespace anvilcroft
