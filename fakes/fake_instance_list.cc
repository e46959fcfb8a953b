#include "fakes/fake_instance_list.h"

#include <cstdlib>
#include <utility>

#include "anvilcroft/json.h"
#include "anvilcroft/target.h"

namespace anvilcroft::fakes {

using nlohmann::json;

FakeInstanceList::FakeInstanceList(const Builder& builder)
    : server(builder.runtime, builder.address), lag(builder.lag) {
  this->server.Routes().Add(
      "GET", "/v1/instances",
      [this](Task& task, const HttpRequest& request, const PathParts&, HttpReply& reply) {
        this->PublishDueChanges(SteadyNow());
        const int64_t since = std::strtoll(request.QueryValue("since").c_str(), nullptr, 10);
        reply.Send(task, JsonResponse(200, DumpJson(this->ChangesSince(since))));
      });
  this->server.ControlRoutes().Add(
      "POST", "/control/put",
      JsonRoute([this](Task& task, const json& body, const HttpRequest&, HttpReply& reply) {
        const auto made = this->Put(body);
        reply.Send(task, made ? JsonResponse(200, DumpJson({{"revision", *made}}))
                              : ErrorResponse(made.error()));
      }));
  this->server.SetLog([this](const HttpRequest&) {
    this->PublishDueChanges(SteadyNow());
    return json{{"changes", this->log},
                {"revision", this->revision},
                {"visible_revision", this->visible_revision}};
  });
}

Result<int64_t> FakeInstanceList::Put(const json& instance) {
  const auto target = DecodeTarget(instance);
  if (!target) return tl::unexpected<Error>(target.error());
  Change change{++this->revision, SteadyNow(), instance};
  this->log.push_back({{"revision", this->revision},
                       {"at_ms", this->server.ElapsedMillis()},
                       {"instance", change.instance}});
  this->pending.push_back(std::move(change));
  return this->revision;
}

void FakeInstanceList::PublishDueChanges(TimePoint now) {
  while (!this->pending.empty() && now - this->pending.front().made >= this->lag) {
    Change change = std::move(this->pending.front());
    this->pending.pop_front();
    this->visible_revision = change.revision;
    const auto id = change.instance["id"].get<std::string>();
    this->visible[id] = std::move(change);
  }
}

json FakeInstanceList::ChangesSince(int64_t since) const {
  json instances = json::array();
  for (const auto& [id, change] : this->visible) {
    if (change.revision > since) instances.push_back(change.instance);
  }
  return {{"revision", this->visible_revision}, {"instances", std::move(instances)}};
}

FakeInstanceList::Builder& FakeInstanceList::Builder::SetAddress(std::string value) {
  this->address = std::move(value);
  return *this;
}

FakeInstanceList::Builder& FakeInstanceList::Builder::SetLag(Duration value) {
  this->lag = value;
  return *this;
}

std::unique_ptr<FakeInstanceList> FakeInstanceList::Builder::Build() const {
  return std::unique_ptr<FakeInstanceList>(new FakeInstanceList(*this));
}

}  // namespace anvilcroft::fakes
