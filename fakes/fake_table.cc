#include "fakes/fake_table.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "anvilcroft/json.h"

namespace anvilcroft::fakes {
namespace {

using nlohmann::json;

constexpr std::size_t kLogSize = 10000;
constexpr std::size_t kRowsPerRead = 100;
constexpr std::size_t kMaxScanRows = 1000;
// The log omits the values of a transaction beyond this total size, because it is kept in memory.
constexpr std::size_t kMaxLoggedBytes = 4096;

bool UsesTable(const Transaction& transaction, const std::string& table) {
  const auto in_table = [&](const auto& row) { return row.table == table; };
  return std::any_of(transaction.Checks().begin(), transaction.Checks().end(), in_table) ||
         std::any_of(transaction.Writes().begin(), transaction.Writes().end(), in_table);
}

Result<Transaction> DecodeTransaction(const json& body) {
  constexpr std::size_t kMaxChecks = 10000;
  JsonFields fields(body, "");
  Transaction::Builder builder;
  const json empty = json::array();
  const auto list = [&](const char* key) -> const json& {
    return fields.Optional(key).is_null() ? empty : fields.Array(key, kMaxChecks);
  };
  for (const json& item : list("checks")) {
    JsonFields check(item, "checks");
    const std::string table = check.String("table");
    const std::string key = check.String("key");
    builder.CheckVersion(table, key,
                         static_cast<RowVersion>(check.Integer("version", 0, INT64_MAX)));
    if (const auto read = check.Finish(); !read) return tl::unexpected<Error>(read.error());
  }
  for (const json& item : list("puts")) {
    JsonFields put(item, "puts");
    const std::string table = put.String("table");
    const std::string key = put.String("key");
    if (put.Optional("value").is_null()) put.RecordError("value", "is missing");
    if (const auto read = put.Finish(); !read) return tl::unexpected<Error>(read.error());
    builder.Put(table, key, put.Optional("value"));
  }
  for (const json& item : list("deletes")) {
    JsonFields erase(item, "deletes");
    const std::string table = erase.String("table");
    const std::string key = erase.String("key");
    if (const auto read = erase.Finish(); !read) return tl::unexpected<Error>(read.error());
    builder.Delete(table, key);
  }
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  const Transaction transaction = builder.Build();
  if (transaction.Writes().empty()) {
    return Fail(ErrorCode::kInvalidArgument, "a transaction must write at least one row", "puts");
  }
  if (transaction.Writes().size() > Transaction::kMaxWrites) {
    return Fail(ErrorCode::kTooLarge, "a transaction may write at most 200 rows", "puts");
  }
  return transaction;
}

}  // namespace

FakeTable::FakeTable(const Builder& builder)
    : server(builder.runtime, builder.address),
      read_limit(builder.reads_per_second),
      write_limit(builder.writes_per_second) {
  this->server.Routes().Add(
      "POST", "/v1/txn",
      JsonRoute([this](Task& task, const json& body, const HttpRequest& request, HttpReply& reply) {
        this->HandleTransaction(task, body, request, reply);
      }));
  this->server.Routes().Add("GET", "/v1/row",
                            [this](Task& task, const HttpRequest& request, const PathParts&,
                                   HttpReply& reply) { this->HandleRow(task, request, reply); });
  this->server.Routes().Add("GET", "/v1/scan",
                            [this](Task& task, const HttpRequest& request, const PathParts&,
                                   HttpReply& reply) { this->HandleScan(task, request, reply); });
  this->server.SetLog([this](const HttpRequest& request) { return this->ReadLog(request); });
  this->server.SetFaultFilter([this](const HttpRequest& request) {
    const std::string& table = this->server.Faults().match_table;
    if (table.empty()) return true;
    if (request.Path() != "/v1/txn") return false;
    const auto body = ParseJson(request.Body());
    if (!body) return false;
    const auto transaction = DecodeTransaction(*body);
    return transaction && UsesTable(*transaction, table);
  });
}

const FakeTable::Entry* FakeTable::Lookup(const std::string& table, const std::string& key) const {
  const auto found = this->tables.find(table);
  if (found == this->tables.end()) return nullptr;
  const auto row = found->second.find(key);
  return row == found->second.end() ? nullptr : &row->second;
}

std::optional<Row> FakeTable::Find(const std::string& table, const std::string& key) const {
  const Entry* entry = this->Lookup(table, key);
  if (entry == nullptr) return std::nullopt;
  return Row{key, entry->value, entry->version};
}

std::vector<Row> FakeTable::RowsOf(const std::string& table) const {
  std::vector<Row> rows;
  const auto found = this->tables.find(table);
  if (found == this->tables.end()) return rows;
  for (const auto& [key, entry] : found->second) {
    rows.push_back(Row{key, entry.value, entry.version});
  }
  return rows;
}

Result<RowVersion> FakeTable::Apply(const Transaction& transaction) {
  std::string failed;
  for (std::size_t i = 0; i < transaction.Checks().size(); ++i) {
    const auto& check = transaction.Checks()[i];
    const Entry* entry = this->Lookup(check.table, check.key);
    if ((entry == nullptr ? 0 : entry->version) != check.version) {
      failed += (failed.empty() ? "" : ",") + std::to_string(i);
    }
  }
  if (!failed.empty()) return Fail(ErrorCode::kConflict, "a check failed", failed);
  ++this->last_version;
  for (const auto& write : transaction.Writes()) {
    if (write.value.is_null()) {
      this->tables[write.table].erase(write.key);
    } else {
      this->tables[write.table][write.key] = Entry{write.value, this->last_version};
    }
  }
  this->AppendToLog(transaction);
  return this->last_version;
}

void FakeTable::AppendToLog(const Transaction& transaction) {
  json writes = json::array();
  std::size_t bytes = 0;
  for (const auto& write : transaction.Writes()) {
    json row = {{"table", write.table}, {"key", write.key}, {"deleted", write.value.is_null()}};
    const std::size_t value_bytes = DumpJson(write.value).size();
    bytes += value_bytes;
    if (bytes <= kMaxLoggedBytes) row["value"] = write.value;
    writes.push_back(std::move(row));
  }
  this->log.push_back({{"version", this->last_version},
                       {"at_ms", this->server.ElapsedMillis()},
                       {"writes", std::move(writes)}});
  if (this->log.size() > kLogSize) this->log.pop_front();
}

bool FakeTable::DropResponse(const Transaction& transaction, HttpReply& reply) {
  FaultPlan& faults = this->server.Faults();
  if (!faults.match_table.empty() && !UsesTable(transaction, faults.match_table)) return false;
  if (!FaultPlan::ConsumeOne(faults.lose_answers)) return false;
  if (faults.delay_apply_ms == 0) {
    this->Apply(transaction);
  } else {
    this->server.Loop().Spawn([this, transaction, delay = faults.delay_apply_ms](Task& task) {
      SleepUntil(task, SteadyNow() + milliseconds(delay));
      this->Apply(transaction);
    });
  }
  reply.Abort();
  return true;
}

void FakeTable::HandleTransaction(Task& task, const json& body, const HttpRequest& request,
                                  HttpReply& reply) {
  const auto transaction = DecodeTransaction(body);
  if (!transaction) {
    reply.Send(task, ErrorResponse(transaction.error()));
    return;
  }
  if (!this->write_limit.TryAcquire(SteadyNow())) {
    ++this->counters.limited;
    this->Reply(task, reply, 429, {{"error", {{"code", "overloaded"}}}});
    return;
  }
  ++this->counters.writes;
  this->counters.bytes_in += request.Body().size();
  if (this->DropResponse(*transaction, reply)) return;
  const auto version = this->Apply(*transaction);
  if (version) {
    this->Reply(task, reply, 200, {{"version", *version}});
    return;
  }
  ++this->counters.conflicts;
  const auto failed = ParseJson("[" + version.error().part + "]");
  this->Reply(task, reply, 409, {{"failed", *failed}});
}

void FakeTable::HandleRow(Task& task, const HttpRequest& request, HttpReply& reply) {
  if (!this->read_limit.TryAcquire(SteadyNow())) {
    ++this->counters.limited;
    this->Reply(task, reply, 429, {{"error", {{"code", "overloaded"}}}});
    return;
  }
  ++this->counters.reads;
  const Entry* entry = this->Lookup(request.QueryValue("table"), request.QueryValue("key"));
  if (entry == nullptr) {
    this->Reply(task, reply, 404, {{"error", {{"code", "not_found"}}}});
  } else {
    this->Reply(task, reply, 200, {{"value", entry->value}, {"version", entry->version}});
  }
}

void FakeTable::HandleScan(Task& task, const HttpRequest& request, HttpReply& reply) {
  const std::string prefix = request.QueryValue("prefix");
  const std::string after = request.QueryValue("after");
  const std::string limit_text = request.QueryValue("limit");
  const std::size_t limit =
      limit_text.empty()
          ? kRowsPerRead
          : std::clamp<std::size_t>(std::strtoul(limit_text.c_str(), nullptr, 10), 1, kMaxScanRows);
  const Table& table = this->tables[request.QueryValue("table")];
  json rows = json::array();
  auto row = after < prefix ? table.lower_bound(prefix) : table.upper_bound(after);
  const auto in_range = [&] {
    return row != table.end() && row->first.compare(0, prefix.size(), prefix) == 0;
  };
  for (; in_range() && rows.size() < limit; ++row) {
    rows.push_back(
        {{"key", row->first}, {"value", row->second.value}, {"version", row->second.version}});
  }
  const bool more = in_range();
  const std::size_t cost =
      std::max<std::size_t>(1, (rows.size() + kRowsPerRead - 1) / kRowsPerRead);
  if (!this->read_limit.TryAcquire(SteadyNow(), static_cast<double>(cost))) {
    ++this->counters.limited;
    this->Reply(task, reply, 429, {{"error", {{"code", "overloaded"}}}});
    return;
  }
  this->counters.reads += cost;
  this->Reply(task, reply, 200, {{"rows", std::move(rows)}, {"more", more}});
}

void FakeTable::Reply(Task& task, HttpReply& reply, int status, const json& body) {
  std::string text = DumpJson(body);
  this->counters.bytes_out += text.size();
  reply.Send(task, JsonResponse(status, std::move(text)));
}

json FakeTable::ReadLog(const HttpRequest& request) const {
  const RowVersion since = std::strtoull(request.QueryValue("since").c_str(), nullptr, 10);
  const std::string table = request.QueryValue("table");
  json transactions = json::array();
  for (const json& entry : this->log) {
    if (entry["version"].get<RowVersion>() <= since) continue;
    const json& writes = entry["writes"];
    const bool wanted =
        table.empty() || std::any_of(writes.begin(), writes.end(),
                                     [&](const json& write) { return write["table"] == table; });
    if (wanted) transactions.push_back(entry);
  }
  return {{"transactions", std::move(transactions)}, {"reads", this->counters.reads},
          {"writes", this->counters.writes},         {"conflicts", this->counters.conflicts},
          {"limited", this->counters.limited},       {"bytes_in", this->counters.bytes_in},
          {"bytes_out", this->counters.bytes_out}};
}

FakeTable::Builder& FakeTable::Builder::SetAddress(std::string value) {
  this->address = std::move(value);
  return *this;
}

FakeTable::Builder& FakeTable::Builder::SetWritesPerSecond(double value) {
  this->writes_per_second = value;
  return *this;
}

FakeTable::Builder& FakeTable::Builder::SetReadsPerSecond(double value) {
  this->reads_per_second = value;
  return *this;
}

std::unique_ptr<FakeTable> FakeTable::Builder::Build() const {
  return std::unique_ptr<FakeTable>(new FakeTable(*this));
}

}  // namespace anvilcroft::fakes
