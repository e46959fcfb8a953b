#include "demo/caller_load.h"

#include <iostream>

#include "fakes/expected_text.h"

namespace anvilcroft::demo {
namespace {

constexpr Duration kRequestDeadline = seconds(40);

}  // namespace

CallerLoad::CallerLoad(Runtime& runtime, fakes::LocalCluster& cluster)
    : runtime(runtime), cluster(cluster), http(runtime) {}

void CallerLoad::Start(int count, int requests) {
  const auto& zones = this->cluster.Settings().site.zones;
  this->running = count;
  for (int i = 0; i < count; ++i) {
    this->callers.push_back(std::make_unique<fakes::TestCaller>(
        this->http, this->cluster.Addresses(), zones[i % zones.size()], 1000 + i));
    fakes::TestCaller& caller = *this->callers.back();
    this->runtime.Spawn(
        [this, &caller, i, requests](Task& task) { this->RunCaller(task, caller, i, requests); });
  }
}

void CallerLoad::Wait(Task& task) {
  while (this->running > 0) this->finished.Wait(task);
}

void CallerLoad::RunCaller(Task& task, fakes::TestCaller& caller, int number, int requests) {
  constexpr int kKinds = 4;
  for (int i = 0; i < requests; ++i) {
    this->SendRequest(task, caller, "caller-" + std::to_string(number) + "-" + std::to_string(i),
                      (number + i) % kKinds);
  }
  --this->running;
  this->finished.NotifyAll();
}

void CallerLoad::SendRequest(Task& task, fakes::TestCaller& caller, const std::string& name,
                             int kind) {
  const fakes::Site& site = this->cluster.Settings().site;
  const TimePoint deadline = SteadyNow() + kRequestDeadline;
  ++this->totals.sent;
  if (kind < 2) {
    const bool stream = kind == 1;
    const int64_t tokens = stream ? 200 : 20;
    const auto text = caller.Generate(task, site.model_service, name, tokens, stream, deadline);
    this->RecordOutcome(text, text && *text == fakes::ExpectedText(name, tokens));
    return;
  }
  const bool confirmation = kind == 3;
  const std::string body = "{\"name\":\"" + name + "\"}";
  const auto answer = caller.Call(
      task, site.app_service, confirmation ? site.single_run_operation : site.repeatable_operation,
      body, confirmation ? name : "", deadline);
  const bool matches = answer && answer->find("\"result\"") != std::string::npos;
  this->RecordOutcome(answer, matches);
  if (confirmation) this->confirmations[name] = answer.has_value();
}

void CallerLoad::RecordOutcome(const Result<std::string>& answer, bool matches) {
  if (answer) {
    ++(matches ? this->totals.correct : this->totals.wrong);
    return;
  }
  ++(answer.error().ran == Ran::kNo ? this->totals.refused : this->totals.unknown);
  std::cout << "  a request failed: " << answer.error().message << " " << answer.error().part
            << "\n";
}

int64_t CallerLoad::Retries() const {
  int64_t sum = 0;
  for (const auto& caller : this->callers) sum += caller->Retries();
  return sum;
}

int64_t CallerLoad::BrokenAnswers() const {
  int64_t sum = 0;
  for (const auto& caller : this->callers) sum += caller->BrokenAnswers();
  return sum;
}

}  // namespace anvilcroft::demo
