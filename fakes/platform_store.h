#ifndef FAKES_PLATFORM_STORE_H_
#define FAKES_PLATFORM_STORE_H_

// A fake of the platform's metadata store: transactions, range reads, partitions and change feeds,
// with its faults (lost and late responses, silence, refused connections, dropped history).

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/event.h"
#include "anvilcroft/stored_row.h"
#include "fakes/fake_server.h"

namespace anvilcroft::fakes {

class PlatformStore {
 public:
  explicit PlatformStore(Runtime& runtime, const std::string& address = "127.0.0.1:0");

  // Starts to listen and returns the bound address as "ip:port".
  Result<std::string> Start() { return this->server.Start(); }

  // Starts another listener, at which the entries of targets name other addresses: `addresses` maps
  // that of a target to the one that is read there. Returns its address.
  Result<std::string> AddView(std::map<std::string, std::string> addresses);

  // The modes of FaultPlan (refuse, silent, slow, down) apply. lose_answers is the number of
  // transactions that are applied and not answered, and delay_apply_ms the delay after which these
  // are applied.
  FakeServer& Server() { return this->server; }

  // Writes a row as another client of the store would. Returns the new version.
  int64_t Put(const std::string& table, const std::string& key, const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  // Discards the history of changes. Feeds from an earlier version are answered with 410 from then
  // on.
  void DropHistory();
  // While feeds are silent they are not answered, neither with changes nor with 410.
  void SetFeedsSilent(bool silent);

  // Holds reads of `table` within `partition` until ReleaseReads().
  void HoldReads(const std::string& table, const std::string& partition);
  void ReleaseReads();
  // Number of reads that have been held so far, including those whose client has given up.
  int HeldReads() const { return this->held_reads; }
  // Number of calls that listed the partitions of `table`.
  int PartitionLists(const std::string& table) const;

  // Returns the value of a row, or "" if it does not exist.
  std::string Value(const RowId& id) const;
  // The rows, except those of `excluded_table`, whose key or value contains `text`.
  std::vector<RowId> RowsWith(const std::string& text, const std::string& excluded_table) const;
  std::size_t CountRows(const std::string& table) const;
  int64_t Transactions() const { return this->transactions; }

 private:
  using Addresses = std::map<std::string, std::string>;

  struct Row {
    std::string value;
    int64_t version = 0;
  };
  struct Change {
    int64_t version = 0;
    RowId id;
    bool removed = false;
  };

  // Handles the calls at `listener`. `view` replaces addresses of targets.
  void AddRoutes(FakeServer& listener, const Addresses& view);
  void HandleTransaction(Task& task, const nlohmann::json& body, HttpReply& reply);
  void HandleRead(Task& task, const HttpRequest& request, const Addresses& view, HttpReply& reply);
  void HandleFeed(Task& task, const HttpRequest& request, const Addresses& view, HttpReply& reply);
  // Applies a transaction if the versions of all expected rows match, and returns whether they did.
  // Adds the current state of the expected rows to `answer`.
  bool Apply(const nlohmann::json& body, nlohmann::json& answer);
  nlohmann::json ToWire(const RowId& id, const Addresses& view) const;
  // Adds the current version and time of the store.
  void AddVersionAndTime(nlohmann::json& answer) const;
  // Adds a change with the current version to the history.
  void AppendChange(const RowId& id, bool removed);

  struct View {
    View(Addresses addresses, Runtime& runtime)
        : addresses(std::move(addresses)), listener(runtime, "127.0.0.1:0") {}

    Addresses addresses;
    FakeServer listener;
  };

  FakeServer server;
  const Addresses no_replacements;
  std::list<View> views;
  std::map<RowId, Row> rows;
  std::deque<Change> history;
  int64_t version = 0;
  int64_t oldest_feed_version = 0;  // feeds from lower versions are answered with 410
  int64_t transactions = 0;
  bool feeds_silent = false;
  std::optional<RowId> held_range;  // table and partition whose reads are held
  int held_reads = 0;
  std::map<std::string, int> partition_lists;  // by table
  Event changed;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_PLATFORM_STORE_H_
