#ifndef ANVILCROFT_METADATA_STORE_H_
#define ANVILCROFT_METADATA_STORE_H_

// Interface of the platform's metadata store: conditional transactions, reads of a range of rows
// and a feed of changes. platform/store_client.h implements it.
//
// Errors of every call:
//   kStoreUnavailable  the store refused the call or could not be reached: nothing was done
//   kOverloaded        the store limits the rate of calls: nothing was done
//   kOutcomeUnknown    no answer arrived: a write may have been applied, or may still be
//                      applied for some seconds while its conditions hold
//   kBadResponse       the response could not be decoded

#include <cstdint>
#include <string>
#include <vector>

#include "anvilcroft/error.h"
#include "anvilcroft/row_batch.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/store_clock.h"
#include "anvilcroft/stored_row.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

struct CommitResult {
  bool committed = false;  // false: a condition did not hold, and nothing was written
  int64_t version = 0;     // the store's newest version
  // Reading of the store's clock when it answered, which may be long before the answer is read.
  StoreMillis store_time = 0;
  std::vector<StoredRow> current;  // if a condition did not hold: the rows that have conditions
};

struct RowRange {
  std::string table;
  std::string partition;
  std::string from;        // first key; empty: the first row
  std::string to;          // first key beyond the range; empty: no end
  int64_t max_rows = 500;  // the store returns at most 500
};

struct RangeResult {
  std::vector<StoredRow> rows;  // in ascending order of keys
  bool more = false;            // the range holds more rows than were returned
  int64_t version = 0;
  StoreMillis store_time = 0;  // as in CommitResult
};

struct FeedResult {
  std::vector<StoredRow> rows;  // in order of change
  // The changes since the requested version are not available: the store no longer has them, or its
  // response could not be read. The whole table has to be read again.
  bool history_lost = false;
  int64_t version = 0;         // `after` of the next call
  StoreMillis store_time = 0;  // as in CommitResult
};

class MetadataStore {
 public:
  virtual ~MetadataStore() = default;

  // Applies the whole `batch` if all its conditions hold, otherwise nothing.
  virtual Result<CommitResult> Commit(Task& task, const RowBatch& batch, TimePoint deadline) = 0;
  // Returns the first rows of `range`.
  virtual Result<RangeResult> Read(Task& task, const RowRange& range, TimePoint deadline) = 0;
  // Returns partitions of `table` after `after` in ascending order, at most 1,000.
  virtual Result<std::vector<std::string>> Partitions(Task& task, const std::string& table,
                                                      const std::string& after,
                                                      TimePoint deadline) = 0;
  // Returns changes of `table` after version `after`. Waits up to `wait` if there are none yet.
  virtual Result<FeedResult> Feed(Task& task, const std::string& table, int64_t after,
                                  Duration wait) = 0;

  // The store's clock at `now`, from its answers so far.
  virtual StoreTimeRange StoreTime(BootTime now) const = 0;
  // Time of the last answer that was not a refusal; TimePoint() before the first one.
  virtual TimePoint LastAnswer() const = 0;
  // Time of the last failed call; TimePoint() if none has failed.
  virtual TimePoint LastFailure() const = 0;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_METADATA_STORE_H_
