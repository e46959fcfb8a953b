#ifndef ANVILCROFT_USAGE_REPORT_PLAN_H_
#define ANVILCROFT_USAGE_REPORT_PLAN_H_

// Decides what the holder of the owner lease does next about usage reports: fix the content of a
// window, send a report, mark it as sent, or remove old rows. Pure.
//
// Load: a window ends every 5 s and is due 10 s later, while the holder may be replaced, the store
// unavailable for seconds, and the cloud API slow, refusing, or silent after it has executed a
// call. Two reports of one window with different counts are never allowed, so a content is fixed in
// the store first. The windows are fixed oldest first, so that a successor finds the first one that
// is missing.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "anvilcroft/usage/usage_records.h"

namespace anvilcroft {

enum class ReportStep {
  kWait,
  kBegin,   // no window has been reported: determine the first one
  kFix,     // read the counts of `window` and fix them if MayFix
  kSend,    // report `window`
  kMark,    // mark `window` as sent
  kRemove,  // remove the rows of `window`
};

struct ReportAction {
  ReportStep step = ReportStep::kWait;
  int64_t window = 0;

  friend bool operator==(const ReportAction& a, const ReportAction& b) {
    return a.step == b.step && a.window == b.window;
  }
  friend bool operator!=(const ReportAction& a, const ReportAction& b) { return !(a == b); }
};

enum class ReportResult {
  kAccepted,
  kNotAccepted,  // refused, not sent, or without an answer: the same report is sent again
};

class ReportPlan {
 public:
  // Time between reads of the counts of a window that can't be fixed yet.
  static constexpr Duration kReadInterval = milliseconds(300);
  // Counts are read this long after the end of a window at the earliest, when the first final rows
  // may have been written.
  static constexpr int64_t kFirstReadMs = 200;
  // After an outage of the store, instances have written their counts within this time.
  static constexpr Duration kOutageGrace = milliseconds(1500);
  // The first window is determined this long after the window in which the holder started, when the
  // other instances that started then have written their rows.
  static constexpr int64_t kBeginDelayMs = 2000;
  // By default, rows are removed this long after the report was sent.
  static constexpr Duration kKeepSent = seconds(60);
  // Pause after a call that was not accepted: doubles up to the longest one.
  static constexpr Duration kFirstBackoff = seconds(1);
  static constexpr Duration kMaxBackoff = seconds(4);

  // `due`: time after the end of a window by which it is reported. Instances that have not written
  // their final counts are waited for until half of it has passed.
  ReportPlan(UsageWindows windows, Duration due, Duration call_interval, WallMillis started_at,
             Duration keep_sent = kKeepSent);

  // Replaces what is known of the store. Reports that were accepted stay known as such.
  void Load(StoredReports stored);
  void OnStoreAnswer(TimePoint now);
  void OnStoreFailure();

  // What to do next. `may_send`: whether this instance may call the cloud API.
  ReportAction Next(bool may_send, WallMillis wall_now, TimePoint now) const;

  // Whether the content of `window` can be fixed: no process that served in it has counts to add,
  // or the wait is over. `rows` are all rows of the window, `live` the instances known to run.
  bool MayFix(int64_t window, const std::vector<InstanceCounts>& rows,
              const std::vector<std::string>& live, WallMillis wall_now, TimePoint now) const;
  // The counts of all rows together.
  static UsageCounts Sum(const std::vector<InstanceCounts>& rows);
  // The first window to report, from the windows of all rows of counts: the first instance started
  // in the oldest one.
  int64_t FirstWindow(const std::vector<int64_t>& windows_with_rows) const;

  void OnRead(TimePoint now) { this->next_read_at = now + kReadInterval; }
  void OnBegun(UsageCursor cursor) { this->stored.cursor = cursor; }
  void OnFixed(int64_t window, FixedReport report);
  void OnResult(int64_t window, ReportResult result, WallMillis wall_now, TimePoint now);
  void OnMarked(int64_t window, FixedReport report);
  void OnRemoved(int64_t window, UsageCursor cursor);

  const StoredReports& Stored() const { return this->stored; }
  // When `window` was accepted, if it was by a call of this process.
  std::optional<WallMillis> AcceptedAt(int64_t window) const;
  // Number of calls for `window` so far.
  int Calls(int64_t window) const;
  // Whether the report of `window` is late at `wall_now`.
  bool Late(int64_t window, WallMillis wall_now) const {
    return wall_now > this->windows.EndOf(window) + this->due_ms;
  }

 private:
  // The oldest window from the cursor on without a fixed content.
  int64_t FirstUnfixed() const;

  UsageWindows windows;
  int64_t due_ms;
  Duration call_interval;
  WallMillis started_at;
  int64_t keep_sent_ms;
  StoredReports stored;
  std::map<int64_t, WallMillis> accepted;  // by a call of this process
  std::map<int64_t, int> calls;
  TimePoint next_read_at;
  TimePoint next_call_at;
  Duration backoff = Duration::zero();  // zero: the last call was accepted
  bool store_failed = false;
  std::optional<TimePoint> store_back_at;  // end of the last outage
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_USAGE_REPORT_PLAN_H_
