#include "fakes/fake_object_store.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace anvilcroft::fakes {
namespace {

constexpr char kPath[] = "/v1/objects/{key}";

}  // namespace

FakeObjectStore::FakeObjectStore(const Builder& builder)
    : server(builder.runtime, builder.address) {
  HttpRouter& routes = this->server.Routes();
  routes.Add("PUT", kPath,
             [this](Task& task, const HttpRequest& request, const PathParts& parts,
                    HttpReply& reply) { this->Put(task, parts.at("key"), request.Body(), reply); });
  routes.Add("GET", kPath,
             [this](Task& task, const HttpRequest&, const PathParts& parts, HttpReply& reply) {
               this->Get(task, parts.at("key"), reply);
             });
  routes.Add("DELETE", kPath,
             [this](Task& task, const HttpRequest&, const PathParts& parts, HttpReply& reply) {
               this->Delete(task, parts.at("key"), reply);
             });
  this->server.SetLog([this](const HttpRequest&) {
    nlohmann::json keys = nlohmann::json::array();
    for (const auto& [key, body] : this->objects) keys.push_back(key);
    return nlohmann::json{{"keys", std::move(keys)},
                          {"puts", this->puts},
                          {"gets", this->gets},
                          {"deletes", this->deletes}};
  });
}

void FakeObjectStore::RespondToChange(Task& task, HttpReply& reply) {
  if (FaultPlan::ConsumeOne(this->server.Faults().lose_answers)) return reply.Abort();
  reply.Send(task, JsonResponse(200, "{}"));
}

void FakeObjectStore::Put(Task& task, const std::string& key, const std::string& body,
                          HttpReply& reply) {
  ++this->puts;
  this->objects[key] = body;
  this->RespondToChange(task, reply);
}

void FakeObjectStore::Get(Task& task, const std::string& key, HttpReply& reply) {
  ++this->gets;
  const auto found = this->objects.find(key);
  if (found == this->objects.end()) {
    reply.Send(task, ErrorResponse(Error{ErrorCode::kNotFound, "no such object", key, Ran::kNo}));
    return;
  }
  reply.Send(task, HttpResponse::Builder()
                       .SetHeader("Content-Type", "application/octet-stream")
                       .SetBody(found->second)
                       .Build());
}

void FakeObjectStore::Delete(Task& task, const std::string& key, HttpReply& reply) {
  ++this->deletes;
  this->objects.erase(key);
  this->RespondToChange(task, reply);
}

FakeObjectStore::Builder& FakeObjectStore::Builder::SetAddress(std::string value) {
  this->address = std::move(value);
  return *this;
}

std::unique_ptr<FakeObjectStore> FakeObjectStore::Builder::Build() const {
  return std::unique_ptr<FakeObjectStore>(new FakeObjectStore(*this));
}

}  // namespace anvilcroft::fakes
