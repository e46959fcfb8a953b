#include "anvilcroft/batch_store.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/batch_records.h"

namespace anvilcroft {
namespace {

// The store limits a transaction to 1 MB in base64 and to 100 rows.
constexpr std::size_t kMaxBatchBytes = 600 << 10;
constexpr std::size_t kMaxBatchRows = 90;
constexpr Duration kCallTimeout = milliseconds(650);  // several times the slowest response
constexpr Duration kRetryPause = milliseconds(60);
constexpr int kMaxRefusedSubmits = 2;

bool IsOutcomeUnknown(const Error& error) { return error.code == ErrorCode::kOutcomeUnknown; }

// Whether the same call may succeed if it is retried shortly.
bool IsTransient(const Error& error) {
  return error.code == ErrorCode::kStoreUnavailable || error.code == ErrorCode::kOverloaded ||
         error.code == ErrorCode::kBadResponse || IsOutcomeUnknown(error);
}

TimePoint CallDeadline(TimePoint now, TimePoint deadline) {
  return std::min(deadline, now + kCallTimeout);
}

}  // namespace

Result<bool> BatchStore::Submit(Task& task, const BatchJob& job, TimePoint deadline) {
  const auto parts = EncodeItems(job.items);
  if (!parts) return tl::unexpected<Error>(parts.error());
  const std::string& id = job.head.id;

  // Parts that do not fit into the transaction that writes the head are written before it. The job
  // does not exist until the head is written, and each attempt to submit the same job writes the
  // same parts.
  std::size_t first = 0;
  std::size_t left = 0;
  for (const std::string& part : *parts) left += part.size();
  bool outcome_unknown = false;
  while (left > kMaxBatchBytes || parts->size() - first > kMaxBatchRows) {
    RowBatch::Builder builder;
    std::size_t bytes = 0;
    std::size_t rows = 0;
    while (first < parts->size() && rows < kMaxBatchRows &&
           bytes + (*parts)[first].size() <= kMaxBatchBytes) {
      builder.Put(ItemRow(id, first), (*parts)[first]);
      bytes += (*parts)[first].size();
      ++rows;
      ++first;
    }
    left -= bytes;
    const RowBatch batch = builder.Build();
    while (true) {
      const TimePoint now = SteadyNow();
      const auto written = this->store.Commit(task, batch, CallDeadline(now, deadline));
      if (written) break;
      // The head is not written yet, so the job does not exist even if the parts were written.
      if (!IsTransient(written.error()) || SteadyNow() + kRetryPause >= deadline) {
        return tl::unexpected<Error>(written.error().WithRan(Ran::kNo));
      }
      SleepUntil(task, SteadyNow() + kRetryPause);
    }
  }
  RowBatch::Builder builder;
  builder.Expect(HeadRow(id), 0).Put(HeadRow(id), EncodeHead(job.head)).Put(OpenRow(id), "1");
  for (std::size_t part = first; part < parts->size(); ++part) {
    builder.Put(ItemRow(id, part), (*parts)[part]);
  }
  const RowBatch batch = builder.Build();
  for (int attempt = 1;; ++attempt) {
    const auto written = this->store.Commit(task, batch, CallDeadline(SteadyNow(), deadline));
    if (written) return written->committed;
    outcome_unknown |= IsOutcomeUnknown(written.error());
    // A store that refuses calls from this instance may accept them from another one, so the error
    // is returned early enough for the submitter to try there.
    const bool refused = !outcome_unknown && attempt >= kMaxRefusedSubmits;
    if (refused || !IsTransient(written.error()) || SteadyNow() + kRetryPause >= deadline) {
      Error error = written.error();
      if (outcome_unknown) error = error.WithRan(Ran::kUnknown);
      return tl::unexpected<Error>(std::move(error));
    }
    SleepUntil(task, SteadyNow() + kRetryPause);
  }
}

Result<std::optional<BatchHead>> BatchStore::ReadHead(Task& task, const std::string& job,
                                                      TimePoint deadline) {
  RowRange range;
  range.table = kBatchHeadTable;
  range.partition = job;
  range.max_rows = 1;
  const auto read = this->store.Read(task, range, deadline);
  if (!read) return tl::unexpected<Error>(read.error());
  if (read->rows.empty()) return std::optional<BatchHead>();
  auto head = DecodeHead(job, read->rows.front().value);
  if (!head) return tl::unexpected<Error>(head.error());
  return std::optional<BatchHead>(std::move(*head));
}

Result<void> BatchStore::ReadItems(Task& task, const std::string& job, ItemsRead& progress,
                                   TimePoint deadline) {
  RowRange range;
  range.table = kBatchItemTable;
  range.partition = job;
  range.max_rows = 12;  // about 700 KB of base64
  while (!progress.complete) {
    range.from = progress.next_key;
    const auto read = this->store.Read(task, range, CallDeadline(SteadyNow(), deadline));
    if (!read) return tl::unexpected<Error>(read.error());
    for (const StoredRow& row : read->rows) {
      auto part = DecodeItems(row.value);
      if (!part) return tl::unexpected<Error>(part.error());
      std::move(part->begin(), part->end(), std::back_inserter(progress.items));
      progress.next_key = row.id.key + '\x01';
    }
    progress.complete = !read->more || read->rows.empty();
  }
  return {};
}

Result<std::vector<ItemResult>> BatchStore::ReadResults(Task& task, const std::string& job,
                                                        int64_t from, int64_t max_results,
                                                        TimePoint deadline) {
  RowRange range;
  range.table = kBatchResultTable;
  range.partition = job;
  range.from = ResultRow(job, from).key;
  range.max_rows = std::min<int64_t>(max_results, 500);
  std::vector<ItemResult> results;
  ResultDecoder decoder;
  while (true) {
    const auto read = this->store.Read(task, range, CallDeadline(SteadyNow(), deadline));
    if (!read) return tl::unexpected<Error>(read.error());
    for (const StoredRow& row : read->rows) {
      auto result = decoder.Add(row.value);
      if (!result) return tl::unexpected<Error>(result.error());
      if (*result) results.push_back(std::move(**result));
    }
    // Reads on only if the rows of the first result did not fit into one response.
    if (!results.empty() || !read->more || read->rows.empty()) return results;
    range.from = read->rows.back().id.key + '\x01';
  }
}

Result<ResultListing> BatchStore::ReadListing(Task& task, const std::string& job,
                                              TimePoint deadline) {
  RowRange range;
  range.table = kBatchListingTable;
  range.partition = job;
  range.max_rows = 1;
  const auto read = this->store.Read(task, range, deadline);
  if (!read) return tl::unexpected<Error>(read.error());
  if (read->rows.empty()) return ResultListing();
  const StoredRow& row = read->rows.front();
  return ResultListing{ResultPosition(row.value), row.version, DecodeClaims(row.value)};
}

Result<ResultListing> BatchStore::Claim(Task& task, const std::string& job,
                                        const ResultListing& listing, const ListingClaims& claims,
                                        TimePoint deadline) {
  const RowBatch batch =
      RowBatch::Builder()
          .Expect(ListingRow(job), listing.version)
          .Put(ListingRow(job), EncodeListing(ResultRow(job, listing.count).key, claims))
          .Build();
  const auto written = this->store.Commit(task, batch, CallDeadline(SteadyNow(), deadline));
  if (!written) return tl::unexpected<Error>(written.error());
  if (!written->committed) {
    return Fail(ErrorCode::kConflict, "another owner has changed the listing of the job", job);
  }
  return ResultListing{listing.count, written->version, claims};
}

Result<ResultListing> BatchStore::AppendResults(Task& task, const std::string& job,
                                                const ResultListing& listing,
                                                const std::vector<ItemResult>& results,
                                                TimePoint deadline) {
  RowBatch::Builder builder;
  builder.Expect(ListingRow(job), listing.version);
  int64_t position = listing.count;
  std::size_t bytes = 0;
  std::size_t rows = 0;
  for (const ItemResult& result : results) {
    const std::vector<std::string> values = EncodeResult(result);
    std::size_t size = 0;
    for (const std::string& value : values) size += value.size();
    const bool fits = bytes + size <= kMaxBatchBytes && rows + values.size() <= kMaxBatchRows;
    if (position > listing.count && !fits) break;
    bytes += size;
    rows += values.size();
    for (std::size_t part = 0; part < values.size(); ++part) {
      builder.Put(ResultRow(job, position, part), values[part]);
    }
    ++position;
  }
  ListingClaims claims;  // an owner without a claim drops those of others
  if (listing.own_slice >= 0) {
    claims = listing.claims;
    claims.owners[listing.own_slice].listed += position - listing.count;
  }
  builder.Put(ListingRow(job), EncodeListing(ResultRow(job, position).key, claims));
  const auto written =
      this->store.Commit(task, builder.Build(), CallDeadline(SteadyNow(), deadline));
  if (!written) return tl::unexpected<Error>(written.error());
  if (!written->committed) {
    return Fail(ErrorCode::kConflict, "another owner has added results to the job", job);
  }
  return ResultListing{position, written->version, std::move(claims), listing.own_slice};
}

Result<void> BatchStore::SaveTexts(Task& task, const std::string& job,
                                   const std::vector<std::pair<std::string, ItemText>>& texts,
                                   TimePoint deadline) {
  RowBatch::Builder builder;
  std::size_t bytes = 0;
  std::size_t rows = 0;
  const auto write = [&]() -> Result<void> {
    const auto written =
        this->store.Commit(task, builder.Build(), CallDeadline(SteadyNow(), deadline));
    builder = RowBatch::Builder();
    bytes = rows = 0;
    if (!written) return tl::unexpected<Error>(written.error());
    return {};
  };
  for (const auto& [item, text] : texts) {
    const auto value = EncodeText(text);
    if (!value) continue;
    if (rows > 0 && (bytes + value->size() > kMaxBatchBytes || rows == kMaxBatchRows)) {
      if (auto written = write(); !written) return written;
    }
    bytes += value->size();
    ++rows;
    builder.Put(TextRow(job, item), *value);
  }
  return rows == 0 ? Result<void>() : write();
}

Result<std::map<std::string, ItemText>> BatchStore::ReadTexts(Task& task, const std::string& job,
                                                              TimePoint deadline) {
  std::map<std::string, ItemText> texts;
  RowRange range;
  range.table = kBatchTextTable;
  range.partition = job;
  while (true) {
    const auto read = this->store.Read(task, range, CallDeadline(SteadyNow(), deadline));
    if (!read) return tl::unexpected<Error>(read.error());
    for (const StoredRow& row : read->rows) {
      const auto text = DecodeText(row.value);
      if (!text) return tl::unexpected<Error>(text.error());
      texts[row.id.key] = *text;
    }
    if (!read->more || read->rows.empty()) return texts;
    range.from = read->rows.back().id.key + '\x01';
  }
}

Result<bool> BatchStore::End(Task& task, const std::string& job, TimePoint deadline,
                             const std::function<bool(const BatchHead&)>& may_end) {
  while (true) {
    RowRange range;
    range.table = kBatchHeadTable;
    range.partition = job;
    range.max_rows = 1;
    const auto read = this->store.Read(task, range, CallDeadline(SteadyNow(), deadline));
    Error error;
    if (read) {
      if (read->rows.empty()) return false;
      const StoredRow& row = read->rows.front();
      const auto head = DecodeHead(job, row.value);
      if (!head) return tl::unexpected<Error>(head.error());
      if (!may_end(*head)) return false;
      if (head->ended) return true;
      BatchHead ended = *head;
      ended.ended = true;
      const RowBatch batch = RowBatch::Builder()
                                 .Expect(row.id, row.version)
                                 .Put(row.id, EncodeHead(ended))
                                 .Remove(OpenRow(job))
                                 .Build();
      const auto written = this->store.Commit(task, batch, CallDeadline(SteadyNow(), deadline));
      if (written && written->committed) return true;
      if (written) continue;
      error = written.error();
    } else {
      error = read.error();
    }
    if (!IsTransient(error) || SteadyNow() + kRetryPause >= deadline) {
      return tl::unexpected<Error>(error.WithRan(Ran::kUnknown));
    }
    SleepUntil(task, SteadyNow() + kRetryPause);
  }
}

Result<std::vector<std::string>> BatchStore::ListOpenJobs(Task& task, TimePoint deadline) {
  constexpr std::size_t kPageSize = 1000;
  std::vector<std::string> jobs;
  while (true) {
    const std::string after = jobs.empty() ? "" : jobs.back();
    auto page = this->store.Partitions(task, kBatchOpenTable, after, deadline);
    if (!page) return tl::unexpected<Error>(page.error());
    std::move(page->begin(), page->end(), std::back_inserter(jobs));
    if (page->size() < kPageSize) return jobs;
  }
}

}  // namespace anvilcroft
