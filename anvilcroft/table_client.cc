#include "anvilcroft/table_client.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/json.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

constexpr std::size_t kScanPageRows = 100;

json Encode(const Transaction& transaction) {
  json checks = json::array();
  for (const auto& check : transaction.Checks()) {
    checks.push_back({{"table", check.table}, {"key", check.key}, {"version", check.version}});
  }
  json puts = json::array();
  json deletes = json::array();
  for (const auto& write : transaction.Writes()) {
    if (write.value.is_null()) {
      deletes.push_back({{"table", write.table}, {"key", write.key}});
    } else {
      puts.push_back({{"table", write.table}, {"key", write.key}, {"value", write.value}});
    }
  }
  return {{"checks", checks}, {"puts", puts}, {"deletes", deletes}};
}

// The indexes of the failed checks in the body of a conflict, such as "0,3".
std::string JoinIndexes(const json& body) {
  std::string joined;
  const auto failed = body.find("failed");
  if (failed == body.end() || !failed->is_array()) return joined;
  for (const json& index : *failed) {
    joined += (joined.empty() ? "" : ",") + index.dump();
  }
  return joined;
}

tl::unexpected<Error> UnavailableError(const std::string& message, Ran ran) {
  return Fail(ErrorCode::kStoreUnavailable, "table service: " + message, "", ran);
}

CallOptions OptionsUntil(TimePoint deadline) {
  const TimePoint limit = SteadyNow() + TableClient::kAttemptTimeout;
  return CallOptions(std::min(deadline, limit), TableClient::kAttemptTimeout);
}

// Decodes a row. `key` is its key; if it is empty, the key is read from `body`.
Result<Row> DecodeRow(const json& body, const std::string& key) {
  JsonFields fields(body, "row");
  Row row;
  row.key = key.empty() ? fields.String("key") : key;
  row.value = fields.Optional("value");
  row.version = static_cast<RowVersion>(fields.Integer("version", 1, INT64_MAX));
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return row;
}

}  // namespace

TableClient::TableClient(HttpClient& http, Endpoint endpoint)
    : http(http), endpoint(std::move(endpoint)) {}

Result<RowVersion> TableClient::Commit(Task& task, const Transaction& transaction,
                                       TimePoint deadline) {
  ANVILCROFT_CHECK(!transaction.Writes().empty());
  ++this->writes;
  const auto request = HttpRequest::Builder()
                           .SetMethod("POST")
                           .SetTarget("/v1/txn")
                           .SetJson(DumpJson(Encode(transaction)))
                           .Build();
  const auto response = this->http.Call(task, this->endpoint, request, OptionsUntil(deadline));
  if (!response) return UnavailableError(response.error().message, response.error().ran);
  if (response->Status() == 429) return UnavailableError("write limit exceeded", Ran::kNo);
  const auto body = ParseJson(response->Body());
  if (!body || !body->is_object()) return UnavailableError("malformed response", Ran::kUnknown);
  if (response->Status() == 409) {
    return Fail(ErrorCode::kConflict, "a row has changed", JoinIndexes(*body));
  }
  if (response->Status() != 200) {
    return UnavailableError("status " + std::to_string(response->Status()), Ran::kUnknown);
  }
  JsonFields fields(*body, "");
  const auto version = static_cast<RowVersion>(fields.Integer("version", 1, INT64_MAX));
  if (!fields.Ok()) return UnavailableError("malformed response", Ran::kUnknown);
  return version;
}

Result<json> TableClient::Get(Task& task, const std::string& target, TimePoint deadline) {
  ++this->reads;
  const auto request = HttpRequest::Builder().SetTarget(target).Build();
  const auto response =
      this->http.Call(task, this->endpoint, request, OptionsUntil(deadline).WithResend());
  if (!response) return UnavailableError(response.error().message, Ran::kNo);
  if (response->Status() == 404) return json();
  if (response->Status() != 200) {
    return UnavailableError("status " + std::to_string(response->Status()), Ran::kNo);
  }
  auto body = ParseJson(response->Body());
  if (!body || !body->is_object()) return UnavailableError("malformed response", Ran::kNo);
  return body;
}

Result<std::optional<Row>> TableClient::Read(Task& task, const std::string& table,
                                             const std::string& key, TimePoint deadline) {
  const auto body = this->Get(
      task, "/v1/row?table=" + PercentEncode(table) + "&key=" + PercentEncode(key), deadline);
  if (!body) return tl::unexpected<Error>(body.error());
  if (body->is_null()) return std::optional<Row>();
  auto row = DecodeRow(*body, key);
  if (!row) return UnavailableError(row.error().message, Ran::kNo);
  return std::optional<Row>(std::move(*row));
}

Result<std::vector<Row>> TableClient::Scan(Task& task, const std::string& table,
                                           const std::string& prefix, std::size_t max_rows,
                                           TimePoint deadline) {
  std::vector<Row> rows;
  std::string after;
  while (rows.size() < max_rows) {
    const std::size_t limit = std::min(kScanPageRows, max_rows - rows.size());
    const auto body =
        this->Get(task,
                  "/v1/scan?table=" + PercentEncode(table) + "&prefix=" + PercentEncode(prefix) +
                      "&after=" + PercentEncode(after) + "&limit=" + std::to_string(limit),
                  deadline);
    if (!body) return tl::unexpected<Error>(body.error());
    JsonFields fields(*body, "scan");
    for (const json& item : fields.Array("rows", kScanPageRows)) {
      auto row = DecodeRow(item, "");
      if (!row) return UnavailableError(row.error().message, Ran::kNo);
      after = row->key;
      rows.push_back(std::move(*row));
    }
    const bool more = fields.BoolOr("more", false);
    if (!fields.Ok()) return UnavailableError(fields.Finish().error().message, Ran::kNo);
    if (!more) break;
  }
  return rows;
}

}  // namespace anvilcroft
