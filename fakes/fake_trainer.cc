#include "fakes/fake_trainer.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/json.h"
#include "anvilcroft/log.h"

namespace anvilcroft::fakes {

using nlohmann::json;

namespace {

constexpr char kPart[] = "trainer";
constexpr Duration kEmptyTakePause = milliseconds(50);

}  // namespace

FakeTrainer::FakeTrainer(Runtime& runtime, const Options& options)
    : options(options),
      server(runtime, options.address),
      http(runtime),
      client(this->http, options.instances, options.service, options.zone),
      checker(options.staleness_bound, options.checks_rewards),
      weight_version(options.first_version) {
  this->server.SetLog([this](const HttpRequest&) {
    return json{{"summary", this->Summary()}, {"samples", this->checker.Records()}};
  });
}

Result<std::string> FakeTrainer::Start() {
  auto bound = this->server.Start();
  if (!bound) return bound;
  this->started = SteadyNow();
  this->server.Loop().Spawn([this](Task& task) {
    const auto run = this->RunSteps(task);
    if (!run) this->failure = run.error().message;
    this->total = SteadyNow() - this->started;
    this->finished = true;
    this->run_ended->NotifyAll();
  });
  return bound;
}

void FakeTrainer::Wait(Task& task) {
  const std::shared_ptr<Event> event = this->run_ended;
  while (!this->finished) event->Wait(task);
}

std::vector<SampleChecker::Group> FakeTrainer::GroupsForStep(int64_t step) const {
  std::vector<SampleChecker::Group> groups;
  for (int64_t i = 0; i < this->options.groups; ++i) {
    const int64_t every = this->options.long_group_every;
    SampleChecker::Group group;
    // All prompts of a trainer share a prefix, as the prompts of one training task do.
    group.prompt = "Trainer " + this->options.name + ", seed " +
                   std::to_string(this->options.seed) +
                   ": plan the next route from the samples of the last one. Step " +
                   std::to_string(step) + ", group " + std::to_string(i);
    group.samples = this->options.samples;
    group.max_tokens = this->options.max_tokens * (every > 0 && i % every == every - 1 ? 10 : 1);
    groups.push_back(std::move(group));
  }
  return groups;
}

Result<json> FakeTrainer::Call(Task& task, const char* method, const std::string& target,
                               const json& body) {
  auto answer =
      this->client.Call(task, method, target, body, SteadyNow() + this->options.stall_limit);
  if (!answer) LogError(kPart, "call timed out; run fails", {{"error", this->client.LastError()}});
  return answer;
}

Result<void> FakeTrainer::PutTrainer(Task& task) {
  const auto put = this->Call(task, "PUT", "/v1/trainers/" + PercentEncode(this->options.name),
                              {{"service", this->options.service},
                               {"weight_version", this->weight_version},
                               {"staleness_bound", this->options.staleness_bound}});
  if (!put) return tl::unexpected<Error>(put.error());
  return {};
}

Result<void> FakeTrainer::Publish(Task& task) {
  if (!this->options.publishes) return {};
  ++this->weight_version;
  const auto posted = this->Call(task, "POST", "/v1/weights",
                                 {{"service", this->options.service},
                                  {"version", this->weight_version},
                                  {"uri", this->options.weights_uri}});
  if (!posted) return tl::unexpected<Error>(posted.error());
  return this->PutTrainer(task);
}

Result<void> FakeTrainer::Submit(Task& task, int64_t step) {
  const auto expected = this->GroupsForStep(step);
  json groups = json::array();
  for (std::size_t i = 0; i < expected.size(); ++i) {
    groups.push_back({{"group", "g" + std::to_string(i)},
                      {"prompt", expected[i].prompt},
                      {"samples", expected[i].samples},
                      {"max_tokens", expected[i].max_tokens}});
  }
  this->checker.ExpectStep(step, expected);
  const auto posted =
      this->Call(task, "POST", "/v1/trainers/" + PercentEncode(this->options.name) + "/steps",
                 {{"step", step},
                  {"service", this->options.service},
                  {"operation", this->options.operation},
                  {"judge", this->options.judge},
                  {"groups", std::move(groups)}});
  if (!posted) return tl::unexpected<Error>(posted.error());
  return {};
}

Result<json> FakeTrainer::TakeSamples(Task& task, int64_t step) {
  ++this->takes;
  const std::string take_id =
      std::to_string(this->options.seed) + "-" + std::to_string(this->takes);
  const std::string target = "/v1/trainers/" + PercentEncode(this->options.name) + "/takes";
  const json body = {{"take_id", take_id},
                     {"step", step},
                     {"weight_version", this->weight_version},
                     {"max", this->options.take_max}};
  auto answer = this->Call(task, "POST", target, body);
  if (!answer) return answer;
  if (!answer->is_object() || !(*answer)["samples"].is_array()) {
    return Fail(ErrorCode::kBadResponse, "the answer to a take has no list of samples");
  }
  const json& samples = (*answer)["samples"];
  for (const json& sample : samples) {
    this->checker.AddSample(step, this->weight_version, sample, this->server.ElapsedMillis());
  }
  const int64_t every = this->options.repeat_take_every;
  if (every > 0 && this->takes % every == 0) {
    const auto repeated = this->Call(task, "POST", target, body);
    if (!repeated) return tl::unexpected<Error>(repeated.error());
    const auto again = repeated->find("samples");
    if (again == repeated->end() || *again != samples) ++this->changed_takes;
  }
  return answer;
}

Result<void> FakeTrainer::TakeAllSamples(Task& task, int64_t step) {
  TimePoint progress = SteadyNow();
  while (!this->checker.StepComplete(step)) {
    const auto answer = this->TakeSamples(task, step);
    if (!answer) return tl::unexpected<Error>(answer.error());
    if (!(*answer)["samples"].empty()) {
      progress = SteadyNow();
      continue;
    }
    // The instance has delivered all samples of the step, so a missing one will not arrive.
    if (answer->value("remaining", json()) == 0) return {};
    if (SteadyNow() - progress > this->options.stall_limit) {
      return Fail(ErrorCode::kDeadlineExceeded, "no sample arrived within the stall limit");
    }
    SleepUntil(task, SteadyNow() + kEmptyTakePause);
  }
  return {};
}

Result<void> FakeTrainer::RunStep(Task& task, int64_t step) {
  const TimePoint began = SteadyNow();
  if (auto taken = this->TakeAllSamples(task, step); !taken) return taken;
  const Duration waited = SteadyNow() - began;
  if (step == 1) {
    this->first_wait = waited;
  } else {
    this->idle += waited;
  }
  SleepUntil(task, SteadyNow() + this->options.step_time);
  ++this->steps_done;
  if (auto published = this->Publish(task); !published) return published;
  const int64_t later = step + 1 + this->options.steps_ahead;
  if (later > this->options.steps) return {};
  return this->Submit(task, later);
}

Result<void> FakeTrainer::RunSteps(Task& task) {
  if (auto put = this->PutTrainer(task); !put) return put;
  for (int64_t step = 1; step <= std::min(this->options.steps, 1 + this->options.steps_ahead);
       ++step) {
    if (auto submitted = this->Submit(task, step); !submitted) return submitted;
  }
  for (int64_t step = 1; step <= this->options.steps; ++step) {
    if (auto run = this->RunStep(task, step); !run) return run;
  }
  // All samples were taken, so the checker counts any sample of this take as a fault.
  const auto last = this->TakeSamples(task, this->options.steps);
  if (!last) return tl::unexpected<Error>(last.error());
  return {};
}

bool FakeTrainer::Ok() const {
  return this->finished && this->failure.empty() && this->changed_takes == 0 &&
         this->steps_done == this->options.steps && this->checker.Ok();
}

json FakeTrainer::Summary() const {
  json summary = this->checker.Summary();
  const Duration total = this->finished ? this->total : SteadyNow() - this->started;
  summary["trainer"] = this->options.name;
  summary["ok"] = this->Ok();
  summary["finished"] = this->finished;
  summary["failure"] = this->failure;
  summary["last_error"] = this->client.LastError();
  summary["steps"] = this->steps_done;
  summary["weight_version"] = this->weight_version;
  summary["takes"] = this->takes;
  summary["changed_takes"] = this->changed_takes;
  summary["retries"] = this->client.Retries();
  summary["first_wait_ms"] = ToMillis(this->first_wait);
  summary["idle_ms"] = ToMillis(this->idle);
  summary["total_ms"] = ToMillis(total);
  return summary;
}

FakeTrainer::Builder& FakeTrainer::Builder::SetOptions(Options value) {
  this->options = std::move(value);
  return *this;
}

FakeTrainer::Builder& FakeTrainer::Builder::SetInstances(std::vector<Endpoint> value) {
  this->options.instances = std::move(value);
  return *this;
}

FakeTrainer::Builder& FakeTrainer::Builder::SetName(std::string value) {
  this->options.name = std::move(value);
  return *this;
}

FakeTrainer::Builder& FakeTrainer::Builder::SetService(std::string value) {
  this->options.service = std::move(value);
  return *this;
}

FakeTrainer::Builder& FakeTrainer::Builder::SetJudge(std::string value) {
  this->options.judge = std::move(value);
  return *this;
}

FakeTrainer::Builder& FakeTrainer::Builder::SetSteps(int64_t steps, int64_t groups, int64_t samples,
                                                     int64_t max_tokens) {
  this->options.steps = steps;
  this->options.groups = groups;
  this->options.samples = samples;
  this->options.max_tokens = max_tokens;
  return *this;
}

FakeTrainer::Builder& FakeTrainer::Builder::SetStalenessBound(int64_t value) {
  this->options.staleness_bound = value;
  return *this;
}

FakeTrainer::Builder& FakeTrainer::Builder::SetStepTime(Duration value) {
  this->options.step_time = value;
  return *this;
}

std::unique_ptr<FakeTrainer> FakeTrainer::Builder::Build() const {
  return std::unique_ptr<FakeTrainer>(new FakeTrainer(this->runtime, this->options));
}

}  // namespace anvilcroft::fakes
