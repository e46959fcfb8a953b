#ifndef FAKES_FAKE_TABLE_H_
#define FAKES_FAKE_TABLE_H_

// An in-memory fake of the platform's transactional table service (docs/design.md, section 5.4).
//
//   auto table = FakeTable::Builder(runtime).Build();
//   Result<std::string> address = table->Start();
//
// GET /control/log?since=V&table=T returns the counters and the committed transactions that write
// to table T (default: any) with a version above V, limited to the last 10,000 transactions. If the
// fault delay_apply_ms delays a transaction, its checks run when it is applied, after its
// connection was aborted.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "anvilcroft/row.h"
#include "anvilcroft/transaction.h"
#include "fakes/fake_server.h"
#include "fakes/rate_limit.h"

namespace anvilcroft::fakes {

class FakeTable {
 public:
  class Builder;

  struct Counters {
    uint64_t reads = 0;      // reads served; a scan counts as one per 100 rows
    uint64_t writes = 0;     // transactions served, including those with failed checks
    uint64_t conflicts = 0;  // transactions with failed checks
    uint64_t limited = 0;    // requests rejected with 429 by the rate limits
    uint64_t bytes_in = 0;   // of request bodies
    uint64_t bytes_out = 0;  // of response bodies
  };

  Result<std::string> Start() { return this->server.Start(); }
  FakeServer& Server() { return this->server; }

  const Counters& Counts() const { return this->counters; }
  // Returns the current row, without an HTTP request.
  std::optional<Row> Find(const std::string& table, const std::string& key) const;
  // Returns all rows of a table in key order, without an HTTP request.
  std::vector<Row> RowsOf(const std::string& table) const;
  // Applies a transaction without an HTTP request and returns its version. Fails with kConflict if
  // checks fail; `part` lists their indexes, as in "0,3".
  Result<RowVersion> Apply(const Transaction& transaction);

 private:
  struct Entry {
    nlohmann::json value;
    RowVersion version = 0;
  };
  using Table = std::map<std::string, Entry>;

  explicit FakeTable(const Builder& builder);

  void HandleTransaction(Task& task, const nlohmann::json& body, const HttpRequest& request,
                         HttpReply& reply);
  void HandleRow(Task& task, const HttpRequest& request, HttpReply& reply);
  void HandleScan(Task& task, const HttpRequest& request, HttpReply& reply);
  // If lose_answers is set and concerns the transaction, applies the transaction (possibly later),
  // aborts the connection and returns true.
  bool DropResponse(const Transaction& transaction, HttpReply& reply);
  void AppendToLog(const Transaction& transaction);
  nlohmann::json ReadLog(const HttpRequest& request) const;
  void Reply(Task& task, HttpReply& reply, int status, const nlohmann::json& body);
  const Entry* Lookup(const std::string& table, const std::string& key) const;

  FakeServer server;
  RateLimit read_limit;
  RateLimit write_limit;
  std::map<std::string, Table> tables;
  RowVersion last_version = 0;
  std::deque<nlohmann::json> log;
  Counters counters;
};

class FakeTable::Builder {
 public:
  explicit Builder(Runtime& runtime) : runtime(runtime) {}

  Builder& SetAddress(std::string value);
  // Rate limits; 0 disables a limit. Defaults: 400 writes and 2,000 reads per second.
  Builder& SetWritesPerSecond(double value);
  Builder& SetReadsPerSecond(double value);

  std::unique_ptr<FakeTable> Build() const;

 private:
  friend class FakeTable;

  Runtime& runtime;
  std::string address = "127.0.0.1:0";
  double writes_per_second = 400;
  double reads_per_second = 2000;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_FAKE_TABLE_H_
