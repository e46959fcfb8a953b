#ifndef FAKES_FAKE_TABLE_H_
#define FAKES_FAKE_TABLE_H_

// The platform's transactional table service (docs/design.md, section 5.4), in memory.
//
//   auto table = FakeTable::Builder(runtime).Build();
//   Result<std::string> address = table->Start();
//
// GET /control/log?since=V&table=T gives the committed transactions with a version above V, at
// most the last 10,000, and counters. A transaction that a fault delays is checked when it applies,
// which is after its connection was aborted.

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
    uint64_t reads = 0;   // reads served; a scan counts one for each 100 rows
    uint64_t writes = 0;  // transactions served, with those whose checks failed
    uint64_t conflicts = 0;
    uint64_t limited = 0;    // requests answered with 429
    uint64_t bytes_in = 0;   // request bodies
    uint64_t bytes_out = 0;  // response bodies
  };

  Result<std::string> Start() { return this->server.Start(); }
  FakeServer& Server() { return this->server; }

  const Counters& Counts() const { return this->counters; }
  // The row as it stands, without a request.
  std::optional<Row> Find(const std::string& table, const std::string& key) const;
  // All rows of a table in key order, without a request.
  std::vector<Row> RowsOf(const std::string& table) const;
  // Applies a transaction without a request; the indexes of failed checks, if any, in `part`.
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
  // Loses the answer if a fault asks for it. Returns whether it did.
  bool LoseAnswer(const Transaction& transaction, HttpReply& reply);
  void Record(const Transaction& transaction);
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
  // Limits per second; 0 means none. Defaults: 400 and 2,000.
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
