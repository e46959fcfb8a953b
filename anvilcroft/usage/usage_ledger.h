#ifndef ANVILCROFT_USAGE_USAGE_LEDGER_H_
#define ANVILCROFT_USAGE_USAGE_LEDGER_H_

// The live requests that began on this instance, counted by window and customer, and the decision
// when their rows are written. Pure.
//
// Load: about 60 requests in a window of 5 s over all instances, so every lost or doubled count is
// an error of more than 5% for its customer. Streams last longer than a report may wait, so they
// are counted at their first event and not at their end. Targets refuse within a round trip, so a
// request without an answer for kLikelyAfter has most likely begun.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/usage/usage_window.h"

namespace anvilcroft {

// The content of one instance's row for one window.
struct CountRow {
  UsageCounts counts;
  bool final = false;  // nothing will be added

  friend bool operator==(const CountRow& a, const CountRow& b) {
    return a.counts == b.counts && a.final == b.final;
  }
  friend bool operator!=(const CountRow& a, const CountRow& b) { return !(a == b); }
};

class UsageLedger {
 public:
  using Handle = uint64_t;
  static constexpr Handle kNotCounted = 0;

  // A request that was sent this long ago and not refused counts before its outcome is known.
  static constexpr int64_t kLikelyAfterMs = 1000;
  // First events that were generated at the end of a window have arrived this long after it.
  static constexpr int64_t kSettleMs = 100;
  // A changed count is written after this time, with the changes that follow it.
  static constexpr Duration kWriteDelay = milliseconds(200);
  // Rows are not written or kept longer after the end of their window if the store has confirmed
  // them, because the reporter removes them.
  static constexpr int64_t kKeepMs = 60000;
  // Without an answer of the store, counts are kept for this long.
  static constexpr int64_t kMaxKeepMs = 30 * 60000;
  // An empty row that could not be written for this long is left out. It only tells the reporter
  // not to wait.
  static constexpr int64_t kSkipEmptyMs = 15000;
  // How long the id of a counted attempt is remembered.
  static constexpr int64_t kRememberIdMs = 120000;

  UsageLedger(UsageWindows windows, WallMillis started_at);

  // Adds a request. Returns kNotCounted without a customer.
  Handle Open(const std::string& customer, const std::string& id);
  // A target has begun to run the request at `began_at`, or most likely so unless `certain`.
  // Replaces an earlier time that was not certain.
  void OnBegin(Handle handle, WallMillis began_at, bool certain, WallMillis now);
  // The request has ended; nullopt: no target ran it.
  void Close(Handle handle, std::optional<WallMillis> began_at, WallMillis now);

  // What the row of `window` should contain at `now`.
  CountRow RowAt(int64_t window, WallMillis now) const;

  struct DueRow {
    int64_t window = 0;
    CountRow row;
    int64_t version = 0;  // of the row in the store; 0: not written yet
  };
  // The row to write now, oldest window first. `spread_share` in [0, 1] places this instance within
  // the spread of final rows. Also drops windows that need no further write.
  std::optional<DueRow> NextWrite(const UsagePace& pace, double spread_share, WallMillis wall_now,
                                  TimePoint now);
  // The store has `row` as `version`.
  void OnWritten(int64_t window, const CountRow& row, int64_t version, TimePoint now);
  // The row has `version`, and its content is not known.
  void OnVersion(int64_t window, int64_t version);

  // Makes all rows final, including that of the current window. No request is counted afterwards.
  void Finish(WallMillis now);
  // Whether the store has all rows that this ledger has to write.
  bool AllWritten(WallMillis now) const;

  // Counted requests whose window had been dropped.
  int64_t Late() const { return this->late; }

 private:
  struct OpenRequest {
    std::string customer;
    std::string id;
    std::optional<WallMillis> began_at;  // not certain yet
    bool settled = false;
  };
  struct WindowState {
    UsageCounts counts;  // of settled requests
    std::optional<CountRow> written;
    int64_t version = 0;
    std::optional<TimePoint> written_at;
    std::optional<TimePoint> changed_at;  // since when the row differs from `written`
  };

  // Counts a request, unless the same attempt has been counted.
  void Settle(OpenRequest& request, WallMillis began_at, WallMillis now);
  bool Counted(const OpenRequest& request) const;
  bool NeedsWrite(int64_t window, const WindowState& state, const CountRow& row,
                  WallMillis now) const;
  void AddWindowsUntil(WallMillis now);

  UsageWindows windows;
  std::map<int64_t, WindowState> states;
  int64_t next_window;  // the first window without a state
  std::map<Handle, OpenRequest> open;
  Handle next_handle = 1;
  std::map<std::pair<std::string, std::string>, WallMillis> counted;  // customer and id: when
  std::map<WallMillis, std::vector<std::pair<std::string, std::string>>> counted_by_time;
  std::optional<WallMillis> finished_at;
  int64_t late = 0;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_USAGE_USAGE_LEDGER_H_
