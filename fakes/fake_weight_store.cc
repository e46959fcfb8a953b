#include "fakes/fake_weight_store.h"

#include <utility>

#include "anvilcroft/json.h"

namespace anvilcroft::fakes {

using nlohmann::json;

FakeWeightStore::FakeWeightStore(const Builder& builder)
    : server(builder.runtime, builder.address),
      limit(builder.downloads_per_second),
      download_time(builder.download_time) {
  this->server.Routes().Add("GET", "/v1/weights/{service}/{version}",
                            [this](Task& task, const HttpRequest&, const PathParts& parts,
                                   HttpReply& reply) { this->Handle(task, parts, reply); });
  this->server.SetLog([this](const HttpRequest&) { return json{{"downloads", this->downloads}}; });
}

void FakeWeightStore::Handle(Task& task, const PathParts& parts, HttpReply& reply) {
  const bool allowed = this->limit.TryAcquire(SteadyNow());
  json record = {{"service", parts.at("service")}, {"version", parts.at("version")}};
  const std::string answer = DumpJson(record);
  record["status"] = allowed ? 200 : 429;
  record["at_ms"] = this->server.ElapsedMillis();
  this->downloads.push_back(std::move(record));
  if (!allowed) {
    reply.Send(task, JsonResponse(429, R"({"error": {"code": "overloaded"}})"));
    return;
  }
  const bool lost = FaultPlan::ConsumeOne(this->server.Faults().lose_answers);
  if (!this->server.Delay(task, this->download_time) || lost) return reply.Abort();
  reply.Send(task, JsonResponse(200, answer));
}

FakeWeightStore::Builder& FakeWeightStore::Builder::SetAddress(std::string value) {
  this->address = std::move(value);
  return *this;
}

FakeWeightStore::Builder& FakeWeightStore::Builder::SetDownloadsPerSecond(double value) {
  this->downloads_per_second = value;
  return *this;
}

FakeWeightStore::Builder& FakeWeightStore::Builder::SetDownloadTime(Duration value) {
  this->download_time = value;
  return *this;
}

std::unique_ptr<FakeWeightStore> FakeWeightStore::Builder::Build() const {
  return std::unique_ptr<FakeWeightStore>(new FakeWeightStore(*this));
}

}  // namespace anvilcroft::fakes
