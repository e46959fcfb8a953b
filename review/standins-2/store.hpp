#ifndef REVIEW_STANDINS_2_STORE_HPP_
#define REVIEW_STANDINS_2_STORE_HPP_

// A stand-in of the platform's metadata store as PROTOCOL.md describes it: rows, transactions,
// range reads and change feeds. Each instance has a listener of its own, so that the store can turn
// single instances away.

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "anvilcroft/event.h"
#include "anvilcroft/http_server.h"
#include "anvilcroft/stored_row.h"

namespace anvilcroft::review {

class Store {
 public:
  // How one listener treats calls.
  struct Access {
    bool busy = false;     // 503: nothing was done
    Duration delay{0};     // before a call is looked at
    int lose_answers = 0;  // the next transactions are done and not answered: reset
    std::string lose_key;  // only those that write a row with this key; empty: any
  };

  explicit Store(Runtime& runtime) : runtime(runtime) {}

  // Starts a listener. Returns its address; its behaviour is at `access`, which stays valid.
  std::string Listen(Access*& access);

  int64_t Put(const std::string& table, const std::string& key, const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  // Feeds from an earlier version are answered with 410 from now on.
  void DropHistory();
  std::string Value(const std::string& table, const std::string& key) const;

  // Bytes of the values in one partition of a table.
  std::size_t BytesOf(const std::string& table, const std::string& partition) const;

  // Longest time that a read of rows took here, from its first byte to the last one of the answer,
  // and how many there were. For the record.
  Duration longest_read{0};
  int reads = 0;

  // Called after each transaction that was done, with its rows to write.
  std::function<void(const nlohmann::json& put)> on_commit;

 private:
  struct Row {
    std::string value;  // in base64
    int64_t version = 0;
  };
  struct Change {
    int64_t version = 0;
    RowId id;
    bool removed = false;
  };
  struct Listener {
    Access access;
    std::unique_ptr<HttpServer> server;
  };

  void Handle(Task& task, Access& access, const HttpRequest& request, HttpReply& reply);
  void Transaction(Task& task, Access& access, const HttpRequest& request, HttpReply& reply);
  void Read(Task& task, const HttpRequest& request, HttpReply& reply);
  void Parts(Task& task, const HttpRequest& request, HttpReply& reply);
  void Feed(Task& task, Access& access, const HttpRequest& request, HttpReply& reply);
  bool Apply(const nlohmann::json& body, std::string& rows);
  // The row as JSON text. Values are kept in base64, so that large reads take the stand-in little
  // time.
  std::string ToWire(const RowId& id, bool removed = false) const;
  // The last fields of an answer: the version and the time of the store.
  std::string VersionAndTime() const;

  Runtime& runtime;
  TimePoint started = SteadyNow();
  std::list<Listener> listeners;
  std::map<RowId, Row> rows;
  std::deque<Change> history;
  int64_t version = 0;
  int64_t oldest = 0;
  Event changed;
};

}  // namespace anvilcroft::review

#endif  // REVIEW_STANDINS_2_STORE_HPP_
