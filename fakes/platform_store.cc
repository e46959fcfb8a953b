#include "fakes/platform_store.h"

#include <cstdlib>
#include <utility>

#include "anvilcroft/base64.h"
#include "anvilcroft/json.h"

namespace anvilcroft::fakes {

using nlohmann::json;

namespace {

// Limits of one response to a read.
constexpr std::size_t kMaxReadRows = 500;
constexpr std::size_t kMaxReadBytes = 1000000;

RowId DecodeRowId(const json& row) {
  return {row.value("Table", ""), row.value("part", ""), row.value("Key", "")};
}

}  // namespace

PlatformStore::PlatformStore(Runtime& runtime, const std::string& address)
    : server(runtime, address) {
  this->AddRoutes(this->server, this->no_replacements);
}

Result<std::string> PlatformStore::AddView(Addresses addresses) {
  View& view = this->views.emplace_back(std::move(addresses), this->server.Loop());
  this->AddRoutes(view.listener, view.addresses);
  return view.listener.Start();
}

void PlatformStore::AddRoutes(FakeServer& listener, const Addresses& view) {
  listener.Routes().Add(
      "POST", "/api/rows-tx",
      [this](Task& task, const HttpRequest& request, const PathParts&, HttpReply& reply) {
        const auto body = ParseJson(request.Body());
        if (!body) {
          reply.Send(task, JsonResponse(400, "{}"));
          return;
        }
        this->HandleTransaction(task, *body, reply);
      });
  listener.Routes().Add(
      "GET", "/api/rows-get",
      [this, &view](Task& task, const HttpRequest& request, const PathParts&, HttpReply& reply) {
        this->HandleRead(task, request, view, reply);
      });
  listener.Routes().Add(
      "GET", "/api/rows-parts",
      [this](Task& task, const HttpRequest& request, const PathParts&, HttpReply& reply) {
        ++this->partition_lists[request.QueryValue("Table")];
        std::set<std::string> parts;
        for (const auto& [id, row] : this->rows) {
          if (id.table == request.QueryValue("Table") &&
              id.partition > request.QueryValue("After")) {
            parts.insert(id.partition);
          }
        }
        reply.Send(task, JsonResponse(200, DumpJson({{"parts", parts}})));
      });
  listener.Routes().Add(
      "GET", "/api/rows-feed",
      [this, &view](Task& task, const HttpRequest& request, const PathParts&, HttpReply& reply) {
        this->HandleFeed(task, request, view, reply);
      });
}

void PlatformStore::AppendChange(const RowId& id, bool removed) {
  this->history.push_back(Change{this->version, id, removed});
}

int64_t PlatformStore::Put(const std::string& table, const std::string& key,
                           const std::string& value) {
  const RowId id{table, "", key};
  this->rows[id] = Row{value, ++this->version};
  this->AppendChange(id, false);
  this->changed.NotifyAll();
  return this->version;
}

void PlatformStore::Remove(const std::string& table, const std::string& key) {
  const RowId id{table, "", key};
  this->rows.erase(id);
  ++this->version;
  this->AppendChange(id, true);
  this->changed.NotifyAll();
}

void PlatformStore::DropHistory() {
  this->history.clear();
  this->oldest_feed_version = ++this->version;
  this->changed.NotifyAll();
}

void PlatformStore::SetFeedsSilent(bool silent) {
  this->feeds_silent = silent;
  this->changed.NotifyAll();
}

void PlatformStore::HoldReads(const std::string& table, const std::string& partition) {
  this->held_range = RowId{table, partition, ""};
}

void PlatformStore::ReleaseReads() {
  this->held_range.reset();
  this->changed.NotifyAll();
}

int PlatformStore::PartitionLists(const std::string& table) const {
  const auto found = this->partition_lists.find(table);
  return found == this->partition_lists.end() ? 0 : found->second;
}

std::string PlatformStore::Value(const RowId& id) const {
  const auto found = this->rows.find(id);
  return found == this->rows.end() ? "" : found->second.value;
}

std::vector<RowId> PlatformStore::RowsWith(const std::string& text,
                                           const std::string& excluded_table) const {
  std::vector<RowId> found;
  for (const auto& [id, row] : this->rows) {
    if (id.table == excluded_table) continue;
    const std::string whole = id.partition + "\n" + id.key + "\n" + row.value;
    if (whole.find(text) != std::string::npos) found.push_back(id);
  }
  return found;
}

std::size_t PlatformStore::CountRows(const std::string& table) const {
  std::size_t count = 0;
  for (const auto& [id, row] : this->rows) count += id.table == table ? 1 : 0;
  return count;
}

json PlatformStore::ToWire(const RowId& id, const Addresses& view) const {
  json wire = {{"Table", id.table}, {"part", id.partition}, {"Key", id.key}};
  const auto found = this->rows.find(id);
  wire["Ver"] = found == this->rows.end() ? 0 : found->second.version;
  if (found == this->rows.end()) return wire;
  std::string value = found->second.value;
  if (id.table == "servers" && !view.empty()) {
    json entry = json::parse(value);
    const auto replaced = view.find(entry.value("Address", ""));
    if (replaced != view.end()) entry["Address"] = replaced->second;
    value = DumpJson(entry);
  }
  wire["Value"] = Base64Encode(value);
  return wire;
}

void PlatformStore::AddVersionAndTime(json& answer) const {
  answer["Ver"] = this->version;
  answer["NowMs"] = this->server.ElapsedMillis() + 1;
}

bool PlatformStore::Apply(const json& body, json& answer) {
  ++this->transactions;
  bool versions_match = true;
  answer["Rows"] = json::array();
  for (const json& expected : body.value("Expected", json::array())) {
    const auto found = this->rows.find(DecodeRowId(expected));
    const int64_t current_version = found == this->rows.end() ? 0 : found->second.version;
    versions_match = versions_match && current_version == expected.value("Ver", int64_t{0});
    answer["Rows"].push_back(this->ToWire(DecodeRowId(expected), {}));
  }
  if (!versions_match) return false;
  ++this->version;
  for (const json& put : body.value("Put", json::array())) {
    this->rows[DecodeRowId(put)] = Row{*Base64Decode(put.value("Value", "")), this->version};
    this->AppendChange(DecodeRowId(put), false);
  }
  for (const json& removed : body.value("Remove", json::array())) {
    if (this->rows.erase(DecodeRowId(removed)) != 0) this->AppendChange(DecodeRowId(removed), true);
  }
  this->changed.NotifyAll();
  return true;
}

void PlatformStore::HandleTransaction(Task& task, const json& body, HttpReply& reply) {
  json answer;
  FaultPlan& faults = this->server.Faults();
  if (FaultPlan::ConsumeOne(faults.lose_answers)) {
    const int64_t delay = faults.delay_apply_ms;
    if (delay == 0) {
      this->Apply(body, answer);
    } else {
      this->server.Loop().Spawn([this, body, delay](Task& later) {
        json ignored;
        SleepUntil(later, SteadyNow() + milliseconds(delay));
        this->Apply(body, ignored);
      });
    }
    this->server.HoldUnanswered(task, reply);
    return;
  }
  const bool applied = this->Apply(body, answer);
  this->AddVersionAndTime(answer);
  reply.Send(task, JsonResponse(applied ? 200 : 412, DumpJson(answer)));
}

void PlatformStore::HandleRead(Task& task, const HttpRequest& request, const Addresses& view,
                               HttpReply& reply) {
  const RowId first{request.QueryValue("Table"), request.QueryValue("part"),
                    request.QueryValue("From")};
  const auto held = [&] {
    return this->held_range && this->held_range->table == first.table &&
           this->held_range->partition == first.partition;
  };
  if (held()) ++this->held_reads;
  while (held()) this->changed.Wait(task);
  const std::string to = request.QueryValue("To");
  const long limit = std::strtol(request.QueryValue("Limit").c_str(), nullptr, 10);
  json answer = {{"Rows", json::array()}, {"HasMore", false}};
  std::size_t bytes = 0;
  for (auto it = this->rows.lower_bound(first); it != this->rows.end(); ++it) {
    if (it->first.table != first.table || it->first.partition != first.partition) break;
    if (!to.empty() && it->first.key >= to) break;
    const bool over_limit = limit > 0 && answer["Rows"].size() >= static_cast<std::size_t>(limit);
    if (over_limit || answer["Rows"].size() >= kMaxReadRows || bytes >= kMaxReadBytes) {
      answer["HasMore"] = true;
      break;
    }
    answer["Rows"].push_back(this->ToWire(it->first, view));
    bytes += it->second.value.size();
  }
  this->AddVersionAndTime(answer);
  reply.Send(task, JsonResponse(200, DumpJson(answer)));
}

void PlatformStore::HandleFeed(Task& task, const HttpRequest& request, const Addresses& view,
                               HttpReply& reply) {
  const int64_t after = std::strtoll(request.QueryValue("After").c_str(), nullptr, 10);
  const int64_t wait_ms = std::strtoll(request.QueryValue("WaitMs").c_str(), nullptr, 10);
  const TimePoint until = SteadyNow() + milliseconds(wait_ms);
  while (true) {
    while (this->feeds_silent) this->changed.Wait(task);
    if (after < this->oldest_feed_version) {
      reply.Send(task, JsonResponse(410, "{}"));
      return;
    }
    json answer = {{"Rows", json::array()}};
    for (const Change& change : this->history) {
      if (change.version <= after || change.id.table != request.QueryValue("Table")) continue;
      json row = this->ToWire(change.id, view);
      if (change.removed) row["Removed"] = true;
      answer["Rows"].push_back(std::move(row));
    }
    if (!answer["Rows"].empty() || SteadyNow() >= until) {
      this->AddVersionAndTime(answer);
      reply.Send(task, JsonResponse(200, DumpJson(answer)));
      return;
    }
    this->changed.WaitUntil(task, until);
  }
}

}  // namespace anvilcroft::fakes
