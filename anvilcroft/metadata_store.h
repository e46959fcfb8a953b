#ifndef ANVILCROFT_METADATA_STORE_H_
#define ANVILCROFT_METADATA_STORE_H_

// The platform's metadata store as the product uses it: conditional transactions, reads of a range
// and a feed of changes. platform/store_client.h implements it.
//
// Errors of every call:
//   kStoreUnavailable  the store refused the call or could not be reached: nothing was done
//   kOverloaded        the store limits the rate of calls: nothing was done
//   kOutcomeUnknown    no answer came: a write may have been applied, or may still be for seconds
//                      while its conditions hold
//   kBadResponse       the answer could not be read

#include <cstdint>
#include <string>
#include <vector>

#include "anvilcroft/error.h"
#include "anvilcroft/row_batch.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/stored_row.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

// Milliseconds on the store's monotonic clock.
using StoreMillis = int64_t;

struct CommitResult {
  bool committed = false;  // false: a condition did not hold, and nothing was written
  int64_t version = 0;     // the store's newest version
  StoreMillis store_time = 0;
  std::vector<StoredRow> current;  // after a failed condition: the rows of the conditions
};

struct RowRange {
  std::string table;
  std::string partition;
  std::string from;        // first key; empty: the first row
  std::string to;          // first key beyond the range; empty: no end
  int64_t max_rows = 500;  // at most 500 are returned
};

struct RangeResult {
  std::vector<StoredRow> rows;  // in ascending order of keys
  bool more = false;
  int64_t version = 0;
  StoreMillis store_time = 0;
};

struct FeedResult {
  std::vector<StoredRow> rows;  // in order of change
  // The history from the requested version on is gone: the table has to be read again.
  bool history_lost = false;
  int64_t version = 0;  // where the next call continues
  StoreMillis store_time = 0;
};

class MetadataStore {
 public:
  virtual ~MetadataStore() = default;

  virtual Result<CommitResult> Commit(Task& task, const RowBatch& batch, TimePoint deadline) = 0;
  virtual Result<RangeResult> Read(Task& task, const RowRange& range, TimePoint deadline) = 0;
  // Partitions of `table` after `after` in ascending order, at most 1,000.
  virtual Result<std::vector<std::string>> Partitions(Task& task, const std::string& table,
                                                      const std::string& after,
                                                      TimePoint deadline) = 0;
  // Changes of `table` after version `after`; waits up to `wait` for the first.
  virtual Result<FeedResult> Feed(Task& task, const std::string& table, int64_t after,
                                  Duration wait) = 0;

  // The store's clock at `now`, extrapolated from its last answer; 0 before the first one. Measured
  // with the clock that counts suspensions, so that it never falls behind the store's.
  virtual StoreMillis StoreTime(BootTime now) const = 0;
  // When the last answer other than a refusal came; TimePoint() before the first one.
  virtual TimePoint LastAnswer() const = 0;
  // When a call last failed; TimePoint() if none did.
  virtual TimePoint LastFailure() const = 0;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_METADATA_STORE_H_
