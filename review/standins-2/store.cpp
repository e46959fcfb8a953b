#include "store.hpp"

#include <cstdlib>
#include <set>
#include <utility>

#include "anvilcroft/base64.h"
#include "anvilcroft/json.h"

namespace anvilcroft::review {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxRows = 500;
constexpr std::size_t kMaxBytes = 1000000;
constexpr Duration kAnswerTime = milliseconds(4);

RowId IdOf(const json& row) {
  return {row.value("Table", ""), row.value("part", ""), row.value("Key", "")};
}

}  // namespace

std::string Store::Listen(Access*& access) {
  Listener& listener = this->listeners.emplace_back();
  access = &listener.access;
  listener.server =
      HttpServer::Builder(this->runtime)
          .SetAddress("127.0.0.1:0")
          .SetMaxBodyBytes(8 << 20)
          .SetHandler([this, &listener](Task& task, const HttpRequest& request, HttpReply& reply) {
            this->Handle(task, listener.access, request, reply);
          })
          .Build();
  return listener.server->Start().value_or("");
}

int64_t Store::Put(const std::string& table, const std::string& key, const std::string& value) {
  const RowId id{table, "", key};
  this->rows[id] = Row{Base64Encode(value), ++this->version};
  this->history.push_back({this->version, id, false});
  this->changed.NotifyAll();
  return this->version;
}

void Store::Remove(const std::string& table, const std::string& key) {
  const RowId id{table, "", key};
  if (this->rows.erase(id) == 0) return;
  this->history.push_back({++this->version, id, true});
  this->changed.NotifyAll();
}

void Store::DropHistory() {
  this->history.clear();
  this->oldest = ++this->version;
  this->changed.NotifyAll();
}

std::string Store::Value(const std::string& table, const std::string& key) const {
  const auto found = this->rows.find({table, "", key});
  return found == this->rows.end() ? "" : Base64Decode(found->second.value).value_or("");
}

std::size_t Store::BytesOf(const std::string& table, const std::string& partition) const {
  std::size_t bytes = 0;
  for (auto it = this->rows.lower_bound({table, partition, ""}); it != this->rows.end(); ++it) {
    if (it->first.table != table || it->first.partition != partition) break;
    bytes += it->second.value.size() / 4 * 3;
  }
  return bytes;
}

void Store::Handle(Task& task, Access& access, const HttpRequest& request, HttpReply& reply) {
  const TimePoint begun = SteadyNow();
  if (access.busy) {
    reply.Send(task, JsonResponse(503, "{}"));
    return;
  }
  SleepUntil(task, SteadyNow() + std::max(kAnswerTime, access.delay));
  const std::string& path = request.Path();
  if (path == "/api/rows-tx") return this->Transaction(task, access, request, reply);
  if (path == "/api/rows-get") {
    this->Read(task, request, reply);
    this->longest_read = std::max<Duration>(this->longest_read, SteadyNow() - begun);
    ++this->reads;
    return;
  }
  if (path == "/api/rows-parts") return this->Parts(task, request, reply);
  if (path == "/api/rows-feed") return this->Feed(task, access, request, reply);
  reply.Send(task, JsonResponse(404, "{}"));
}

std::string Store::ToWire(const RowId& id, bool removed) const {
  std::string wire = "{\"Table\":" + DumpJson(id.table) + ",\"part\":" + DumpJson(id.partition) +
                     ",\"Key\":" + DumpJson(id.key);
  const auto found = this->rows.find(id);
  if (found == this->rows.end()) {
    wire += ",\"Ver\":0";
  } else {
    wire += ",\"Ver\":" + std::to_string(found->second.version) + ",\"Value\":\"";
    wire += found->second.value;
    wire += "\"";
  }
  return wire + (removed ? ",\"Removed\":true}" : "}");
}

std::string Store::VersionAndTime() const {
  return ",\"Ver\":" + std::to_string(this->version) +
         ",\"NowMs\":" + std::to_string(ToMillis(SteadyNow() - this->started) + 1) + "}";
}

bool Store::Apply(const json& body, std::string& current) {
  bool holds = true;
  for (const json& expected : body.value("Expected", json::array())) {
    const auto found = this->rows.find(IdOf(expected));
    const int64_t version_now = found == this->rows.end() ? 0 : found->second.version;
    holds = holds && version_now == expected.value("Ver", int64_t{0});
    current += (current.empty() ? "" : ",") + this->ToWire(IdOf(expected));
  }
  if (!holds) return false;
  ++this->version;
  const json put = body.value("Put", json::array());
  for (const json& row : put) {
    this->rows[IdOf(row)] = Row{row.value("Value", ""), this->version};
    this->history.push_back({this->version, IdOf(row), false});
  }
  for (const json& row : body.value("Remove", json::array())) {
    if (this->rows.erase(IdOf(row)) == 0) continue;
    this->history.push_back({this->version, IdOf(row), true});
  }
  this->changed.NotifyAll();
  if (this->on_commit) this->on_commit(put);
  return true;
}

void Store::Transaction(Task& task, Access& access, const HttpRequest& request, HttpReply& reply) {
  const auto body = ParseJson(request.Body());
  if (!body) {
    reply.Send(task, JsonResponse(400, "{}"));
    return;
  }
  std::string current;
  const bool applied = this->Apply(*body, current);
  bool lost = applied && access.lose_answers > 0 && access.lose_key.empty();
  for (const json& row : body->value("Put", json::array())) {
    lost = lost || (applied && access.lose_answers > 0 && row.value("Key", "") == access.lose_key);
  }
  if (lost) {
    --access.lose_answers;
    reply.Abort();
    return;
  }
  const std::string rows_now = applied ? "" : current;
  reply.Send(task, JsonResponse(applied ? 200 : 412,
                                "{\"Rows\":[" + rows_now + "]" + this->VersionAndTime()));
}

void Store::Read(Task& task, const HttpRequest& request, HttpReply& reply) {
  const RowId first{request.QueryValue("Table"), request.QueryValue("part"),
                    request.QueryValue("From")};
  const std::string to = request.QueryValue("To");
  const auto limit = std::strtoul(request.QueryValue("Limit").c_str(), nullptr, 10);
  const std::size_t most = limit > 0 ? std::min<std::size_t>(limit, kMaxRows) : kMaxRows;
  std::string list;
  std::size_t count = 0;
  bool more = false;
  for (auto it = this->rows.lower_bound(first); it != this->rows.end(); ++it) {
    if (it->first.table != first.table || it->first.partition != first.partition) break;
    if (!to.empty() && it->first.key >= to) break;
    more = count >= most || (count > 0 && list.size() + it->second.value.size() > kMaxBytes);
    if (more) break;
    if (count++ > 0) list += ',';
    list += this->ToWire(it->first);
  }
  reply.Send(task, JsonResponse(200, "{\"Rows\":[" + list + "],\"HasMore\":" +
                                         (more ? "true" : "false") + this->VersionAndTime()));
}

void Store::Parts(Task& task, const HttpRequest& request, HttpReply& reply) {
  std::set<std::string> parts;
  for (const auto& [id, row] : this->rows) {
    if (id.table != request.QueryValue("Table") || id.partition <= request.QueryValue("After")) {
      continue;
    }
    parts.insert(id.partition);
    if (parts.size() == 1000) break;
  }
  reply.Send(task, JsonResponse(200, "{\"parts\":" + DumpJson(parts) + this->VersionAndTime()));
}

void Store::Feed(Task& task, Access& access, const HttpRequest& request, HttpReply& reply) {
  const int64_t after = std::strtoll(request.QueryValue("After").c_str(), nullptr, 10);
  const int64_t wait_ms = std::strtoll(request.QueryValue("WaitMs").c_str(), nullptr, 10);
  const std::string table = request.QueryValue("Table");
  const TimePoint until = SteadyNow() + milliseconds(std::min<int64_t>(wait_ms, 30000));
  while (true) {
    if (access.busy) {
      reply.Send(task, JsonResponse(503, "{}"));
      return;
    }
    if (after < this->oldest) {
      reply.Send(task, JsonResponse(410, "{}"));
      return;
    }
    std::string list;
    for (const Change& change : this->history) {
      if (change.version <= after || change.id.table != table) continue;
      list += (list.empty() ? "" : ",") + this->ToWire(change.id, change.removed);
    }
    if (!list.empty() || SteadyNow() >= until) {
      reply.Send(task, JsonResponse(200, "{\"Rows\":[" + list + "]" + this->VersionAndTime()));
      return;
    }
    this->changed.WaitUntil(task, until);
  }
}

}  // namespace anvilcroft::review
