#ifndef FAKES_PLATFORM_STORE_H_
#define FAKES_PLATFORM_STORE_H_

// A stand-in of the platform's metadata store: transactions, ranges, partitions and change feeds,
// with its faults (lost and late answers, silence, refusal of some callers, dropped history).

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "anvilcroft/event.h"
#include "anvilcroft/stored_row.h"
#include "fakes/fake_server.h"

namespace anvilcroft::fakes {

class PlatformStore {
 public:
  explicit PlatformStore(Runtime& runtime, const std::string& address = "127.0.0.1:0");

  // Binds, starts and returns "ip:port".
  Result<std::string> Start() { return this->server.Start(); }

  // Modes (refusal, silence, slowness) of FaultPlan apply; lose_answers counts transactions that
  // are applied and not answered, delay_apply_ms how much later they are applied.
  FakeServer& Server() { return this->server; }

  // Writes a row as another writer would.
  int64_t Put(const std::string& table, const std::string& key, const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  // Feeds from before this moment are answered with 410 from now on.
  void DropHistory();

  // The value of a row, or "" without one.
  std::string Value(const RowId& id) const;
  std::size_t CountRows(const std::string& table) const;
  int64_t Transactions() const { return this->transactions; }

 private:
  struct Row {
    std::string value;
    int64_t version = 0;
  };
  struct Change {
    int64_t version = 0;
    RowId id;
    bool removed = false;
  };

  void HandleTransaction(Task& task, const nlohmann::json& body, HttpReply& reply);
  void HandleRead(Task& task, const HttpRequest& request, HttpReply& reply);
  void HandleFeed(Task& task, const HttpRequest& request, HttpReply& reply);
  bool Apply(const nlohmann::json& body, nlohmann::json& answer);
  nlohmann::json ToWire(const RowId& id) const;
  void Stamp(nlohmann::json& answer) const;
  void Note(const RowId& id, bool removed);

  FakeServer server;
  std::map<RowId, Row> rows;
  std::deque<Change> history;
  int64_t version = 0;
  int64_t oldest = 0;  // feeds from versions below are gone
  int64_t transactions = 0;
  Event changed;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_PLATFORM_STORE_H_
