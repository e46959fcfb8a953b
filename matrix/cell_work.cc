// The workload of a cell: callers, each of which is a task, and the trainer, which is a process.

#include "anvilcroft/json.h"
#include "fakes/expected_text.h"
#include "matrix/cell_run.h"

namespace anvilcroft::matrix {
namespace {

// Longer than any fault and its recovery, so that every repeatable request must be answered.
constexpr Duration kRepeatableLimit = seconds(40);
constexpr Duration kConfirmationLimit = seconds(20);
constexpr Duration kSingleLimit = seconds(4);
// Four confirmations of one caller, each of unknown outcome until its deadline, take 80 s.
constexpr Duration kFinishLimit = seconds(100);

}  // namespace

fakes::TestCaller& CellRun::NewCaller(int number) {
  const auto& zones = this->Site().zones;
  this->callers.push_back(std::make_unique<fakes::TestCaller>(
      this->http, this->addresses, zones[number % zones.size()], this->seed * 1000 + number));
  return *this->callers.back();
}

void CellRun::MarkWorkDone() { --this->outstanding; }

void CellRun::StartWork(const Workload& work) {
  int number = 0;
  const auto start = [&](int count, std::function<void(Task&, int)> run) {
    for (int i = 0; i < count; ++i, ++number) {
      ++this->outstanding;
      this->runtime.Spawn([this, run, number](Task& task) {
        run(task, number);
        this->MarkWorkDone();
      });
    }
  };
  start(work.whole, [=](Task& task, int n) { this->RunModelRequests(task, n, false, work); });
  start(work.streams, [=](Task& task, int n) { this->RunModelRequests(task, n, true, work); });
  start(work.lookups, [this](Task& task, int n) { this->RunAppRequests(task, n, false); });
  start(work.confirmations, [this](Task& task, int n) { this->RunAppRequests(task, n, true); });
  start(work.single_confirmations,
        [this](Task& task, int n) { this->RunSingleConfirmations(task, n); });
  if (work.trainer_tokens == 0) return;
  auto started =
      this->cluster.StartTrainer({"--steps", "4", "--groups", "4", "--samples", "4", "--max-tokens",
                                  std::to_string(work.trainer_tokens), "--step-ms", "300",
                                  "--staleness-bound", "1", "--stall-seconds", "40"});
  this->Expect(started.has_value(), "harness: the trainer did not start");
  if (started) this->trainer = std::move(*started);
}

void CellRun::RunModelRequests(Task& task, int number, bool stream, const Workload& work) {
  fakes::TestCaller& caller = this->NewCaller(number);
  // Sends several requests in sequence, so that some arrive before, during and after the fault.
  for (int i = 0; i < work.rounds; ++i) {
    const std::string prompt = "request " + std::to_string(number) + "-" + std::to_string(i);
    ++this->sent;
    const auto text = caller.Generate(task, this->Site().model_service, prompt, work.tokens, stream,
                                      SteadyNow() + kRepeatableLimit);
    if (!text) {
      this->Expect(false, "no answer to " + prompt + ": " + text.error().message);
      continue;
    }
    const bool same = *text == fakes::ExpectedText(prompt, work.tokens);
    this->Expect(same, "the answer to " + prompt + " is not the expected text");
    if (same) ++this->answered;
  }
}

void CellRun::RunAppRequests(Task& task, int number, bool confirmation) {
  fakes::TestCaller& caller = this->NewCaller(number);
  for (int i = 0; i < 4; ++i) {
    const std::string name =
        (confirmation ? "key-" : "lookup-") + std::to_string(number) + "-" + std::to_string(i);
    const auto answer = caller.Call(
        task, this->Site().app_service,
        confirmation ? this->Site().single_run_operation : this->Site().repeatable_operation,
        DumpJson({{"name", name}}), confirmation ? name : "",
        SteadyNow() + (confirmation ? kConfirmationLimit : kRepeatableLimit));
    ++this->sent;
    if (answer) ++this->answered;
    if (answer) {
      this->Expect(answer->find("\"result\"") != std::string::npos,
                   "the answer to " + name + " is incomplete");
    } else {
      this->last_error = answer.error().message;
    }
    if (confirmation) {
      this->confirmations[name] = {answer.has_value(), answer ? Ran::kYes : answer.error().ran};
    } else {
      this->Expect(answer.has_value(), "no answer to " + name + ": " + this->last_error);
    }
  }
}

void CellRun::RunSingleConfirmations(Task& task, int number) {
  for (int i = 0; i < 6; ++i) {
    const std::string key = "single-" + std::to_string(number) + "-" + std::to_string(i);
    const std::string& address = this->addresses[(number + i) % this->addresses.size()];
    const TimePoint deadline = SteadyNow() + kSingleLimit;
    const auto request = HttpRequest::Builder()
                             .SetMethod("POST")
                             .SetTarget("/v1/services/" + this->Site().app_service + "/" +
                                        this->Site().single_run_operation)
                             .SetHeader("X-Deadline-Ms", std::to_string(ToMillis(kSingleLimit)))
                             .SetHeader("Idempotency-Key", key)
                             .SetJson(DumpJson({{"name", key}}))
                             .Build();
    const auto answer = this->http.Call(task, *ParseEndpoint(address), request,
                                        CallOptions(deadline + seconds(1), seconds(60)));
    ++this->sent;
    Confirmation outcome;
    if (answer && answer->Status() == 200) {
      ++this->answered;
      outcome = {true, Ran::kYes};
    } else if (answer) {
      const json body = json::parse(answer->Body(), nullptr, false);
      const json error = body.is_object() ? body.value("error", json::object()) : json::object();
      this->last_error = error.value("code", "");
      if (error.value("ran", "unknown") == "no") outcome.ran = Ran::kNo;
    } else if (answer.error().ran == Ran::kNo) {
      outcome.ran = Ran::kNo;
    }
    this->confirmations[key] = outcome;
    SleepUntil(task, SteadyNow() + milliseconds(100));
  }
}

void CellRun::StartCrashingRequest() {
  this->crashing = true;
  ++this->outstanding;
  const int number = 900 + static_cast<int>(this->callers.size());
  this->runtime.Spawn([this, number](Task& task) {
    const auto answer =
        this->NewCaller(number).Generate(task, this->Site().model_service, "CRASH_TARGET", 20,
                                         false, SteadyNow() + kRepeatableLimit);
    this->Expect(!answer && answer.error().message == "request_crashes_targets",
                 "the crashing request did not end with request_crashes_targets");
    this->MarkWorkDone();
  });
}

void CellRun::FinishWork(Task& task) {
  const bool finished = this->WaitFor(task, kFinishLimit, [&] {
    return this->outstanding == 0 && (!this->trainer || !this->trainer->Running());
  });
  this->Expect(finished, "the workload did not finish within 100 s");
}

std::string CellRun::Summary() const {
  int64_t answered = 0;
  int64_t refused = 0;
  for (const auto& [key, outcome] : this->confirmations) {
    if (outcome.answered) ++answered;
    if (outcome.ran == Ran::kNo) ++refused;
  }
  return "answered " + std::to_string(this->answered) + " of " + std::to_string(this->sent) +
         "; confirmations " + std::to_string(this->confirmations.size()) + ", answered " +
         std::to_string(answered) + ", not run " + std::to_string(refused) +
         (this->last_error.empty() ? "" : "; last error " + this->last_error);
}

}  // namespace anvilcroft::matrix
