#include "anvilcroft/usage/usage_records.h"

#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <utility>

#include "anvilcroft/hash.h"
#include "anvilcroft/json.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

constexpr char kCursorKey[] = "first";
constexpr int64_t kMaxNumber = INT64_MAX / 4;
constexpr std::size_t kMaxCustomers = 100000;
// Bytes of names and counts in one row, which may hold 64 KiB.
constexpr std::size_t kMaxPartBytes = 48 << 10;
// More than a count and the punctuation of its entry take.
constexpr std::size_t kEntryBytes = 24;

std::optional<int64_t> ParseNumber(const std::string& text) {
  int64_t number = 0;
  if (text.empty() || !boost::conversion::try_lexical_convert(text, number)) return std::nullopt;
  if (number < 0 || number > kMaxNumber) return std::nullopt;
  return number;
}

json ToJson(const UsageCounts& counts) {
  json object = json::object();
  for (const auto& [customer, count] : counts) object[customer] = count;
  return object;
}

Result<void> AddCounts(const json& object, UsageCounts& counts) {
  if (object.size() > kMaxCustomers) return Fail(ErrorCode::kTooLarge, "too many customers");
  for (const auto& [customer, count] : object.items()) {
    if (!count.is_number_integer() || count.get<int64_t>() < 0) {
      return Fail(ErrorCode::kInvalidArgument, "a count is not a number", "counts");
    }
    counts[customer] += count.get<int64_t>();
  }
  return {};
}

}  // namespace

std::string UsagePartition(int64_t window, int shard) {
  return std::to_string(window) + "/" + std::to_string(shard);
}

std::optional<int64_t> WindowOfPartition(const std::string& partition) {
  return ParseNumber(partition.substr(0, partition.find('/')));
}

RowId CountRowId(int64_t window, const std::string& instance, WallMillis started_at) {
  const int shard = static_cast<int>(StableHash(instance) % kUsageShards);
  return {kUsageCountsTable, UsagePartition(window, shard),
          instance + "/" + std::to_string(started_at)};
}

std::string EncodeCountRow(const CountRow& row) {
  return DumpJson({{"counts", ToJson(row.counts)}, {"final", row.final}});
}

Result<CountRow> DecodeCountRow(const std::string& value) {
  const auto parsed = ParseJson(value);
  if (!parsed) return tl::unexpected<Error>(parsed.error());
  JsonFields fields(*parsed, "counts");
  CountRow row;
  row.final = fields.BoolOr("final", false);
  const json& counts = fields.Object("counts");
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  if (const auto added = AddCounts(counts, row.counts); !added) {
    return tl::unexpected<Error>(added.error());
  }
  return row;
}

Result<InstanceCounts> DecodeInstanceCounts(const StoredRow& row) {
  const std::size_t slash = row.id.key.rfind('/');
  const auto started =
      slash == std::string::npos ? std::nullopt : ParseNumber(row.id.key.substr(slash + 1));
  if (!started) return Fail(ErrorCode::kInvalidArgument, "malformed key", row.id.key);
  auto decoded = DecodeCountRow(row.value);
  if (!decoded) return tl::unexpected<Error>(decoded.error());
  return InstanceCounts{row.id.key.substr(0, slash), *started, std::move(*decoded)};
}

RowId ReportRowId(int64_t window, std::size_t part) {
  std::string key = std::to_string(window);
  if (part > 0) key += "/" + std::to_string(part);
  return {kUsageReportsTable, "", std::move(key)};
}

std::vector<std::string> EncodeReport(const FixedReport& report) {
  std::vector<UsageCounts> parts(1);
  std::size_t bytes = 0;
  for (const auto& [customer, count] : report.counts) {
    // A byte of a name takes up to six bytes in JSON.
    const std::size_t entry = 6 * customer.size() + kEntryBytes;
    if (bytes + entry > kMaxPartBytes && !parts.back().empty()) {
      parts.emplace_back();
      bytes = 0;
    }
    bytes += entry;
    parts.back()[customer] = count;
  }
  std::vector<std::string> values;
  for (const UsageCounts& part : parts) {
    json value = {{"counts", ToJson(part)}};
    if (values.empty()) {
      value["parts"] = parts.size();
      value["sent"] = report.sent;
      value["sent_at"] = report.sent_at;
    }
    values.push_back(DumpJson(value));
  }
  return values;
}

RowId CursorRowId() { return {kUsageReportsTable, "", kCursorKey}; }

std::string EncodeCursor(const UsageCursor& cursor) {
  return DumpJson({{"first", cursor.first}, {"began", cursor.began}});
}

Result<StoredReports> DecodeReports(const std::vector<StoredRow>& rows) {
  StoredReports stored;
  std::map<int64_t, std::size_t> parts_read;
  for (const StoredRow& row : rows) {
    const auto parsed = ParseJson(row.value);
    if (!parsed) return tl::unexpected<Error>(parsed.error());
    JsonFields fields(*parsed, row.id.key);
    if (row.id.key == kCursorKey) {
      UsageCursor cursor;
      cursor.first = fields.Integer("first", 0, kMaxNumber);
      cursor.began = fields.IntegerOr("began", 0, 0, kMaxNumber);
      cursor.version = row.version;
      if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
      stored.cursor = cursor;
      continue;
    }
    const std::size_t slash = row.id.key.find('/');
    const auto window = ParseNumber(row.id.key.substr(0, slash));
    if (!window) return Fail(ErrorCode::kInvalidArgument, "malformed key", row.id.key);
    FixedReport& report = stored.reports[*window];
    if (slash == std::string::npos) {
      report.sent = fields.BoolOr("sent", false);
      report.sent_at = fields.IntegerOr("sent_at", 0, 0, kMaxNumber);
      report.parts = static_cast<std::size_t>(fields.IntegerOr("parts", 1, 1, 100));
      report.version = row.version;
    }
    const json& counts = fields.Object("counts");
    if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
    if (const auto added = AddCounts(counts, report.counts); !added) {
      return tl::unexpected<Error>(added.error());
    }
    ++parts_read[*window];
  }
  for (const auto& [window, report] : stored.reports) {
    if (report.version == 0 || parts_read[window] != report.parts) {
      return Fail(ErrorCode::kInvalidArgument, "a part of a report is missing",
                  std::to_string(window));
    }
  }
  return stored;
}

}  // namespace anvilcroft
