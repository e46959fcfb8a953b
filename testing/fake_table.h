#ifndef TESTING_FAKE_TABLE_H_
#define TESTING_FAKE_TABLE_H_

// An in-memory table service for tests of the cluster roles. Each client gets its own address, so
// that a test can inject faults for one client only.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/http_server.h"
#include "anvilcroft/row.h"

namespace anvilcroft {

class FakeTable {
 public:
  struct Faults {
    bool down = false;                  // answers every request with status 503
    int lose_commit_answers = 0;        // next transactions that are applied but get no answer
    int drop_commits = 0;               // next transactions that are not applied and get no answer
    Duration delay = Duration::zero();  // before each answer
  };

  explicit FakeTable(Runtime& runtime) : runtime(runtime) {}

  // Starts a listener for one client and returns its address.
  Endpoint AddClient();
  Faults& FaultsOf(std::size_t client) { return this->clients[client]->faults; }
  // Sets Faults::down of all clients.
  void SetDown(bool down);

  // Returns the row, or a row of version 0 if there is none.
  Row Get(const std::string& table, const std::string& key) const;
  void Put(const std::string& table, const std::string& key, nlohmann::json value);
  std::size_t Count(const std::string& table) const;

 private:
  struct Client {
    Faults faults;
    std::unique_ptr<HttpServer> server;
  };

  void Handle(Task& task, Client& client, const HttpRequest& request, HttpReply& reply);
  HttpResponse Commit(const nlohmann::json& body);
  HttpResponse Scan(const HttpRequest& request) const;

  Runtime& runtime;
  std::vector<std::unique_ptr<Client>> clients;
  std::map<std::string, std::map<std::string, Row>> tables;
  RowVersion counter = 0;
};

}  // namespace anvilcroft

#endif  // TESTING_FAKE_TABLE_H_
