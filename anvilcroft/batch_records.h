#ifndef ANVILCROFT_BATCH_RECORDS_H_
#define ANVILCROFT_BATCH_RECORDS_H_

// How batch jobs stand in the metadata store. All rows of a job share one partition, named by the
// job's id, so that each change is one transaction:
//
//   table           key          value
//   batch-head      head         BatchHead; written at submission and at the end of the job
//   batch-open      open         empty; present while the job is open
//   batch-items     0000...      a part of the items
//   batch-listing   count        number of results; the condition of each new result
//   batch-results   00000000...  one ItemResult; the key is its position
//   batch-texts     item         what has been generated of an unfinished item

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

// Largest value of one row, bytes: the store takes 64 KiB.
constexpr std::size_t kMaxRowBytes = 60 << 10;

RowId HeadRow(const std::string& job);
RowId OpenRow(const std::string& job);
RowId ListingRow(const std::string& job);
RowId ItemRow(const std::string& job, std::size_t part);
// One row holds one part of a result; most results have one part only.
RowId ResultRow(const std::string& job, int64_t position, std::size_t part = 0);

RowId TextRow(const std::string& job, const std::string& item);

// The position that a key of the table of results names.
int64_t ResultPosition(const std::string& key);

std::string EncodeHead(const BatchHead& head);
Result<BatchHead> DecodeHead(const std::string& job, const std::string& value);

// The items in parts of at most kMaxRowBytes each. Fails with kTooLarge if one item is larger.
Result<std::vector<std::string>> EncodeItems(const std::vector<BatchItem>& items);
Result<std::vector<BatchItem>> DecodeItems(const std::string& value);

// nullopt if the text does not fit into one row.
std::optional<std::string> EncodeText(const ItemText& text);
Result<ItemText> DecodeText(const std::string& value);

// The values of the rows of one result, each of at most kMaxRowBytes.
std::vector<std::string> EncodeResult(const ItemResult& result);

// Joins the rows of one result. Feed them in order; the last one completes it.
class ResultDecoder {
 public:
  // Returns the result that `value` completes, or nullopt if more rows follow.
  Result<std::optional<ItemResult>> Add(const std::string& value);

 private:
  std::string collected;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_BATCH_RECORDS_H_
