#ifndef TESTING_FAKE_TABLE_H_
#define TESTING_FAKE_TABLE_H_

// The table service in memory, for tests of the cluster roles. Each client gets an address of its
// own, so that a test can take the service away from one client only.

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
    bool down = false;            // 503 to everything
    int lose_commit_answers = 0;  // transactions that apply, with their answers lost
    int drop_commits = 0;         // transactions that do not apply, with their answers lost
    Duration delay = Duration::zero();
  };

  explicit FakeTable(Runtime& runtime) : runtime(runtime) {}

  // Starts a listener for one client.
  Endpoint AddClient();
  Faults& FaultsOf(std::size_t client) { return this->clients[client]->faults; }
  void SetDown(bool down);

  // The row, or one of version 0.
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
