#ifndef FAKES_FAKE_WEIGHT_STORE_H_
#define FAKES_FAKE_WEIGHT_STORE_H_

// A fake of the platform's weight store. GET /v1/weights/{service}/{version} responds after the
// download time, or immediately with 429 if more downloads start per second than the limit allows.

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "fakes/fake_server.h"
#include "fakes/rate_limit.h"

namespace anvilcroft::fakes {

class FakeWeightStore {
 public:
  class Builder;

  Result<std::string> Start() { return this->server.Start(); }
  FakeServer& Server() { return this->server; }

  // One entry per request: {service, version, status, at_ms}.
  const nlohmann::json& Downloads() const { return this->downloads; }

 private:
  explicit FakeWeightStore(const Builder& builder);
  void Handle(Task& task, const PathParts& parts, HttpReply& reply);

  FakeServer server;
  RateLimit limit;
  Duration download_time;
  nlohmann::json downloads = nlohmann::json::array();
};

class FakeWeightStore::Builder {
 public:
  explicit Builder(Runtime& runtime) : runtime(runtime) {}

  Builder& SetAddress(std::string value);
  // Rate limit; 0 disables it. Default: 0.
  Builder& SetDownloadsPerSecond(double value);
  // Duration of one download. Default: 0.
  Builder& SetDownloadTime(Duration value);

  std::unique_ptr<FakeWeightStore> Build() const;

 private:
  friend class FakeWeightStore;

  Runtime& runtime;
  std::string address = "127.0.0.1:0";
  double downloads_per_second = 0;
  Duration download_time{0};
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_FAKE_WEIGHT_STORE_H_
