#ifndef FAKES_FAKE_TRAINER_H_
#define FAKES_FAKE_TRAINER_H_

// A fake trainer (docs/design.md, section 5.2). For each step it takes all samples, waits for the
// step time in place of training, publishes the next weight version and submits a later step. Steps
// are submitted ahead so that the engines have work while it trains.
//
//   auto trainer = FakeTrainer::Builder(runtime)
//       .SetInstances({*ParseEndpoint("127.0.0.1:8080")})
//       .SetName("t1").SetService("s").SetJudge("j").Build();
//   trainer->Start();
//   trainer->Wait(task);
//   CHECK(trainer->Ok());
//
// A take whose answer is lost is repeated with the same take_id. GET /control/log returns the
// summary and every sample.

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "anvilcroft/http_client.h"
#include "fakes/fake_server.h"
#include "fakes/sample_checker.h"
#include "fakes/trainer_client.h"

namespace anvilcroft::fakes {

class FakeTrainer {
 public:
  class Builder;

  struct Options {
    std::string address = "127.0.0.1:0";
    std::vector<Endpoint> instances;
    std::string name = "trainer";
    std::string service = "service";
    std::string operation = "generate";
    std::string judge = "judge";
    std::string zone;
    std::string weights_uri;
    uint64_t seed = 1;  // part of every prompt and take_id
    int64_t steps = 2;
    int64_t groups = 4;
    int64_t samples = 4;  // in each group
    int64_t max_tokens = 32;
    // Every n-th group has samples of ten times max_tokens; 0: none.
    int64_t long_group_every = 0;
    int64_t staleness_bound = 1;
    int64_t first_version = 1;
    int64_t steps_ahead = 1;  // steps submitted beyond the one whose samples are being taken
    bool publishes = true;    // whether it publishes a new weight version after each step
    Duration step_time = milliseconds(100);
    int64_t take_max = 64;
    // Every n-th take is sent twice; the second answer must hold the same samples. 0: never.
    int64_t repeat_take_every = 5;
    // The run fails if no call succeeds, or no sample arrives, for this long.
    Duration stall_limit = seconds(300);
    bool checks_rewards = true;
  };

  // Starts the run and returns the "ip:port" that serves /control/log.
  Result<std::string> Start();
  FakeServer& Server() { return this->server; }

  bool Finished() const { return this->finished; }
  // Waits for the end of the run.
  void Wait(Task& task);
  // Whether the run finished and every sample of every step arrived exactly once, whole and within
  // the staleness bound.
  bool Ok() const;
  // Progress, timings and the counts of SampleChecker::Summary.
  nlohmann::json Summary() const;

 private:
  FakeTrainer(Runtime& runtime, const Options& options);

  Result<void> RunSteps(Task& task);
  Result<void> RunStep(Task& task, int64_t step);
  Result<void> PutTrainer(Task& task);
  Result<void> Publish(Task& task);
  Result<void> Submit(Task& task, int64_t step);
  Result<void> TakeAllSamples(Task& task, int64_t step);
  // Sends one take, checks the samples received and returns the answer.
  Result<nlohmann::json> TakeSamples(Task& task, int64_t step);
  Result<nlohmann::json> Call(Task& task, const char* method, const std::string& target,
                              const nlohmann::json& body);
  std::vector<SampleChecker::Group> GroupsForStep(int64_t step) const;

  Options options;
  FakeServer server;
  HttpClient http;
  TrainerClient client;
  SampleChecker checker;
  int64_t weight_version;
  int64_t takes = 0;
  int64_t changed_takes = 0;  // repeated takes whose samples differed from the first answer
  int64_t steps_done = 0;
  TimePoint started;
  Duration idle{0};        // time spent waiting for samples after the first step
  Duration first_wait{0};  // time spent waiting for the samples of the first step
  Duration total{0};
  std::string failure;
  bool finished = false;
  std::shared_ptr<Event> run_ended = std::make_shared<Event>();
};

class FakeTrainer::Builder {
 public:
  explicit Builder(Runtime& runtime) : runtime(runtime) {}

  // Replaces all options; the other setters change single ones.
  Builder& SetOptions(Options value);
  Builder& SetInstances(std::vector<Endpoint> value);
  Builder& SetName(std::string value);
  Builder& SetService(std::string value);
  Builder& SetJudge(std::string value);
  Builder& SetSteps(int64_t steps, int64_t groups, int64_t samples, int64_t max_tokens);
  Builder& SetStalenessBound(int64_t value);
  Builder& SetStepTime(Duration value);

  std::unique_ptr<FakeTrainer> Build() const;

 private:
  Runtime& runtime;
  Options options;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_FAKE_TRAINER_H_
