#ifndef ANVILCROFT_BATCH_RECORDS_H_
#define ANVILCROFT_BATCH_RECORDS_H_

// Encoding of batch jobs as rows of the metadata store. All rows of a job share one partition,
// named by the job's id, so that each change is one transaction:
//
//   table           key          value
//   batch-head      head         BatchHead; written at submission and at the end of the job
//   batch-open      open         empty; present while the job is open
//   batch-items     0000...      some of the items; see EncodeItems
//   batch-listing   count        number of results; each append of results is conditional on it
//   batch-results   00000000...  an ItemResult, or part of one; see ResultRow
//   batch-texts     item         text generated so far for an unfinished item

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "anvilcroft/batch_job.h"
#include "anvilcroft/error.h"
#include "anvilcroft/item_text.h"
#include "anvilcroft/row_batch.h"

namespace anvilcroft {

constexpr char kBatchHeadTable[] = "batch-head";
constexpr char kBatchOpenTable[] = "batch-open";
constexpr char kBatchItemTable[] = "batch-items";
constexpr char kBatchListingTable[] = "batch-listing";
constexpr char kBatchResultTable[] = "batch-results";
constexpr char kBatchTextTable[] = "batch-texts";

// Maximum size of a row's value in bytes. The store accepts up to 64 KiB.
constexpr std::size_t kMaxRowBytes = 60 << 10;

RowId HeadRow(const std::string& job);
RowId OpenRow(const std::string& job);
RowId ListingRow(const std::string& job);
RowId ItemRow(const std::string& job, std::size_t part);
// The row for part `part` of the result at `position`. Most results have only one part.
RowId ResultRow(const std::string& job, int64_t position, std::size_t part = 0);

RowId TextRow(const std::string& job, const std::string& item);

// The position in a key of the results table; -1 if the key does not start with a number.
int64_t ResultPosition(const std::string& key);

std::string EncodeHead(const BatchHead& head);
Result<BatchHead> DecodeHead(const std::string& job, const std::string& value);

// Encodes the items as row values of at most kMaxRowBytes each. Fails with kTooLarge if a single
// item is larger.
Result<std::vector<std::string>> EncodeItems(const std::vector<BatchItem>& items);
Result<std::vector<BatchItem>> DecodeItems(const std::string& value);

// Returns nullopt if the text does not fit into one row.
std::optional<std::string> EncodeText(const ItemText& text);
Result<ItemText> DecodeText(const std::string& value);

// Encodes a result as the values of its rows, each of at most kMaxRowBytes.
std::vector<std::string> EncodeResult(const ItemResult& result);

// Decodes results from their rows, which must be added in order of their keys.
class ResultDecoder {
 public:
  // Returns the result if `value` is its last row, nullopt if more rows follow.
  Result<std::optional<ItemResult>> Add(const std::string& value);

 private:
  std::string collected;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_BATCH_RECORDS_H_
