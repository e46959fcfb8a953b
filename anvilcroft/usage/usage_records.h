#ifndef ANVILCROFT_USAGE_USAGE_RECORDS_H_
#define ANVILCROFT_USAGE_USAGE_RECORDS_H_

// The rows of usage reports in the metadata store: where they are and what they contain.
//
//   usage-counts   WINDOW/SHARD  INSTANCE/START   the counts of one process in one window
//   usage-reports  ""            WINDOW[/PART]    what is reported for a window; never changes,
//                                                 except for the mark that it was sent
//   usage-reports  ""            first            the oldest window that has not been removed

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "anvilcroft/error.h"
#include "anvilcroft/stored_row.h"
#include "anvilcroft/usage/usage_ledger.h"

namespace anvilcroft {

constexpr char kUsageCountsTable[] = "usage-counts";
constexpr char kUsageReportsTable[] = "usage-reports";
constexpr int kUsageShards = 4;

// The partition of one shard of a window's counts.
std::string UsagePartition(int64_t window, int shard);
// The window of such a partition, or nullopt.
std::optional<int64_t> WindowOfPartition(const std::string& partition);

RowId CountRowId(int64_t window, const std::string& instance, WallMillis started_at);
std::string EncodeCountRow(const CountRow& row);
Result<CountRow> DecodeCountRow(const std::string& value);

// One process's counts, as read from the store.
struct InstanceCounts {
  std::string instance;
  WallMillis started_at = 0;  // of the process
  CountRow row;
};
// Fails if the row's key or value is malformed.
Result<InstanceCounts> DecodeInstanceCounts(const StoredRow& row);

// What is reported for a window.
struct FixedReport {
  UsageCounts counts;
  bool sent = false;
  WallMillis sent_at = 0;
  int64_t version = 0;  // of the first row
  std::size_t parts = 1;

  friend bool operator==(const FixedReport& a, const FixedReport& b) {
    return a.counts == b.counts && a.sent == b.sent && a.sent_at == b.sent_at &&
           a.version == b.version && a.parts == b.parts;
  }
  friend bool operator!=(const FixedReport& a, const FixedReport& b) { return !(a == b); }
};

// The id of one part of a report; part 0 carries the mark that it was sent.
RowId ReportRowId(int64_t window, std::size_t part = 0);
// Rows hold 64 KiB, which thousands of customers exceed, so the counts are split into parts.
std::vector<std::string> EncodeReport(const FixedReport& report);

// The oldest window that has not been removed, and the first one that was reported at all.
struct UsageCursor {
  int64_t first = 0;
  int64_t began = 0;
  int64_t version = 0;  // of the row
};
RowId CursorRowId();
std::string EncodeCursor(const UsageCursor& cursor);

// The table of reports as read from the store.
struct StoredReports {
  std::optional<UsageCursor> cursor;
  std::map<int64_t, FixedReport> reports;
};
// Fails if a row is malformed or a part is missing: nothing may be reported then, because it could
// differ from an earlier report.
Result<StoredReports> DecodeReports(const std::vector<StoredRow>& rows);

}  // namespace anvilcroft

#endif  // ANVILCROFT_USAGE_USAGE_RECORDS_H_
