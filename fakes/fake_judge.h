#ifndef FAKES_FAKE_JUDGE_H_
#define FAKES_FAKE_JUDGE_H_

// A fake service that judges samples. POST /v1/judge {sample, prompt, output} answers {reward},
// which depends on the output alone (see ExpectedReward).

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "fakes/fake_server.h"

namespace anvilcroft::fakes {

class FakeJudge {
 public:
  class Builder;

  Result<std::string> Start() { return this->server.Start(); }
  FakeServer& Server() { return this->server; }

  // Every judgement: {sample, reward, at_ms}.
  const nlohmann::json& Judged() const { return this->judged; }

 private:
  explicit FakeJudge(const Builder& builder);
  void Handle(Task& task, const nlohmann::json& body, const HttpRequest& request, HttpReply& reply);

  FakeServer server;
  Duration delay;
  nlohmann::json judged = nlohmann::json::array();
};

class FakeJudge::Builder {
 public:
  explicit Builder(Runtime& runtime) : runtime(runtime) {}

  Builder& SetAddress(std::string value);
  // Time that one judgement takes. Default 0.
  Builder& SetDelay(Duration value);

  std::unique_ptr<FakeJudge> Build() const;

 private:
  friend class FakeJudge;

  Runtime& runtime;
  std::string address = "127.0.0.1:0";
  Duration delay{0};
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_FAKE_JUDGE_H_
