#include "testing/fake_table.h"

#include "anvilcroft/json.h"

namespace anvilcroft {

using nlohmann::json;

Endpoint FakeTable::AddClient() {
  this->clients.push_back(std::make_unique<Client>());
  Client& client = *this->clients.back();
  client.server =
      HttpServer::Builder(this->runtime)
          .SetHandler([this, &client](Task& task, const HttpRequest& request, HttpReply& reply) {
            this->Handle(task, client, request, reply);
          })
          .Build();
  return *ParseEndpoint(*client.server->Start());
}

void FakeTable::SetDown(bool down) {
  for (const auto& client : this->clients) client->faults.down = down;
}

Row FakeTable::Get(const std::string& table, const std::string& key) const {
  const auto rows = this->tables.find(table);
  if (rows == this->tables.end()) return Row();
  const auto row = rows->second.find(key);
  return row == rows->second.end() ? Row() : row->second;
}

void FakeTable::Put(const std::string& table, const std::string& key, json value) {
  this->tables[table][key] = Row{key, std::move(value), ++this->counter};
}

std::size_t FakeTable::Count(const std::string& table) const {
  const auto rows = this->tables.find(table);
  return rows == this->tables.end() ? 0 : rows->second.size();
}

void FakeTable::Handle(Task& task, Client& client, const HttpRequest& request, HttpReply& reply) {
  if (client.faults.delay != Duration::zero()) {
    SleepUntil(task, SteadyNow() + client.faults.delay);
  }
  if (client.faults.down) {
    reply.Send(task, JsonResponse(503, "{}"));
  } else if (request.Path() == "/v1/row") {
    const Row row = this->Get(request.QueryValue("table"), request.QueryValue("key"));
    if (row.version == 0) {
      reply.Send(task, JsonResponse(404, "{}"));
    } else {
      const json body = {{"value", row.value}, {"version", row.version}};
      reply.Send(task, JsonResponse(200, DumpJson(body)));
    }
  } else if (request.Path() == "/v1/scan") {
    reply.Send(task, this->Scan(request));
  } else if (client.faults.drop_commits > 0) {
    --client.faults.drop_commits;
    reply.Abort();
  } else {
    const HttpResponse response = this->Commit(*ParseJson(request.Body()));
    if (client.faults.lose_commit_answers > 0) {
      --client.faults.lose_commit_answers;
      reply.Abort();
    } else {
      reply.Send(task, response);
    }
  }
}

HttpResponse FakeTable::Commit(const json& body) {
  json failed = json::array();
  const json& checks = body["checks"];
  for (std::size_t i = 0; i < checks.size(); ++i) {
    if (this->Get(checks[i]["table"], checks[i]["key"]).version != checks[i]["version"]) {
      failed.push_back(i);
    }
  }
  if (!failed.empty()) return JsonResponse(409, DumpJson({{"failed", failed}}));
  ++this->counter;
  for (const json& put : body["puts"]) {
    const std::string key = put["key"];
    this->tables[put["table"]][key] = Row{key, put["value"], this->counter};
  }
  for (const json& row : body["deletes"]) {
    this->tables[row["table"]].erase(row["key"].get<std::string>());
  }
  return JsonResponse(200, DumpJson({{"version", this->counter}}));
}

HttpResponse FakeTable::Scan(const HttpRequest& request) const {
  json rows = json::array();
  const auto table = this->tables.find(request.QueryValue("table"));
  const std::string after = request.QueryValue("after");
  const std::string prefix = request.QueryValue("prefix");
  const auto limit = static_cast<std::size_t>(std::stoul(request.QueryValue("limit")));
  bool more = false;
  if (table != this->tables.end()) {
    for (const auto& [key, row] : table->second) {
      if (key <= after || key.compare(0, prefix.size(), prefix) != 0) continue;
      more = rows.size() == limit;
      if (more) break;
      rows.push_back({{"key", key}, {"value", row.value}, {"version", row.version}});
    }
  }
  return JsonResponse(200, DumpJson({{"rows", rows}, {"more", more}}));
}

}  // namespace anvilcroft
