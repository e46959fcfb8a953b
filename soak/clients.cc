#include "soak/clients.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "anvilcroft/json.h"
#include "anvilcroft/sse_parser.h"
#include "fakes/platform_caller.h"
#include "soak/fault_schedule.h"

namespace anvilcroft::soak {
namespace {

using nlohmann::json;

constexpr Duration kCallLimit = seconds(4);       // for one call; the time limit of routes is 3 s
constexpr Duration kStepLimit = seconds(20);      // then the trainer ends the step, complete or not
constexpr Duration kRecoveryLimit = seconds(30);  // after the last fault
constexpr Duration kCallInterval = milliseconds(40);  // between the calls of one caller
constexpr int kStreamAttempts = 4;                    // of one stream
constexpr int kGroups = 4;
constexpr int kItemsPerGroup = 3;
constexpr std::size_t kMaxViolations = 20;

}  // namespace

Clients::Clients(Runtime& runtime, Site& site, uint64_t seed)
    : runtime(runtime), site(site), http(runtime), random(seed) {}

void Clients::Start() {
  for (int i = 0; i < 3; ++i) this->Spawn(&Clients::CallSafeRoute);
  this->Spawn(&Clients::CallUnsafeRoute);
  this->Spawn(&Clients::CallStreamRoute);
  this->Spawn(&Clients::RunTrainer);
}

void Clients::Spawn(void (Clients::*body)(Task&)) {
  ++this->running;
  this->runtime.Spawn([this, body](Task& task) {
    (this->*body)(task);
    --this->running;
  });
}

void Clients::AddViolation(const std::string& what) {
  if (this->violations.size() < kMaxViolations) this->violations.push_back(what);
}

const std::string& Clients::RandomFront() {
  auto& instances = this->site.Instances();
  return instances[this->random() % instances.size()].front;
}

Result<HttpResponse> Clients::Send(Task& task, const std::string& address,
                                   const std::string& method, const std::string& target,
                                   const std::string& id, const std::string& body, Duration limit) {
  const HttpRequest request =
      fakes::CallerRequest(method, target, id, body, std::to_string(ToMillis(limit)));
  return this->http.Call(task, *ParseEndpoint(address), request,
                         CallOptions(SteadyNow() + limit).WithFreshConnection());
}

void Clients::CallSafeRoute(Task& task) {
  while (!this->stopping) {
    const std::string id = "l" + std::to_string(this->random() % 1'000'000'000);
    const auto answer =
        this->Send(task, this->RandomFront(), "POST", "/lookup/1", id, "q", kCallLimit);
    ++this->counts[answer && answer->Status() == 200 ? "lookups_served" : "lookups_failed"];
    if (answer && answer->Status() == 200 && answer->Body() != "body of " + id) {
      this->AddViolation("lookup " + id + " got a wrong answer: " + answer->Body());
    }
    if (answer && answer->Status() == 404) this->AddViolation("lookup " + id + " got 404");
    SleepUntil(task, SteadyNow() + kCallInterval);
  }
}

void Clients::CallUnsafeRoute(Task& task) {
  std::map<std::string, int> answers;
  while (!this->stopping) {
    const std::string id = "u" + std::to_string(this->random() % 1'000'000'000);
    const auto answer =
        this->Send(task, this->RandomFront(), "POST", "/slip/1", id, "q", kCallLimit);
    answers[id] = answer ? answer->Status() : 0;
    ++this->counts[answer && answer->Status() == 200 ? "slips_served" : "slips_failed"];
    SleepUntil(task, SteadyNow() + kCallInterval);
  }
  for (const auto& [id, status] : answers) {
    const int runs = this->site.CountRuns(id);
    if (runs > 1) this->AddViolation("slip " + id + " ran " + std::to_string(runs) + " times");
    if (runs > 0 && (status == 503 || status == 429)) {
      this->AddViolation("slip " + id + " was refused as not run, but ran");
    }
    if (runs == 0 && status == 200)
      this->AddViolation("slip " + id + " was answered, but did not run");
  }
}

void Clients::CallStreamRoute(Task& task) {
  while (!this->stopping) {
    this->ReadStream(task, "d" + std::to_string(this->random() % 1'000'000'000));
    SleepUntil(task, SteadyNow() + kCallInterval);
  }
}

void Clients::ReadStream(Task& task, const std::string& name) {
  const auto events = static_cast<std::size_t>(this->site.Engines().front()->events_per_item);
  std::vector<std::string> data;
  std::string first_attempt;
  for (int attempt = 0; attempt < kStreamAttempts; ++attempt) {
    const std::string id = name + "." + std::to_string(attempt);
    HttpHeaders headers =
        fakes::CallerRequest("POST", "/draft/1", id, "q", std::to_string(ToMillis(kCallLimit)))
            .Headers();
    if (!data.empty()) {
      headers =
          headers.With("Last-Event-Id", std::to_string(data.size())).With("Resumes", first_attempt);
    }
    const auto opened =
        this->http.OpenStream(task, *ParseEndpoint(this->RandomFront()),
                              HttpRequest::Builder()
                                  .SetMethod("POST")
                                  .SetTarget("/draft/1")
                                  .SetHeaders(headers)
                                  .SetBody("q")
                                  .Build(),
                              CallOptions(SteadyNow() + kCallLimit).WithFreshConnection());
    SseParser parser;
    bool ended = false;
    while (opened && (*opened)->Status() == 200 && !ended) {
      const auto piece = (*opened)->Read(task);
      if (!piece) break;
      ended = !*piece;
      const auto parsed = ended ? Result<std::vector<SseEvent>>() : parser.Feed(**piece);
      if (!parsed) break;
      for (const SseEvent& event : *parsed) {
        if (event.id != std::to_string(data.size() + 1)) {
          this->AddViolation("stream " + id + " has event " + event.id + " after " +
                             std::to_string(data.size()));
        }
        if (first_attempt.empty()) first_attempt = id;
        data.push_back(event.data);
      }
    }
    if (ended && parser.AtBoundary()) {
      if (data.size() != events) this->AddViolation("stream " + id + " ended early");
      ++this->counts[attempt == 0 ? "streams_served" : "streams_taken_up"];
      break;
    }
    if (attempt + 1 == kStreamAttempts) ++this->counts["streams_failed"];
    SleepUntil(task, SteadyNow() + kCallInterval);
  }
  std::set<std::string> software;
  for (const std::string& event : data) {
    const std::size_t at = event.find('@');
    software.insert(at == std::string::npos ? "" : event.substr(at));
  }
  if (software.size() > 1) {
    this->AddViolation("stream " + name + " was joined from several software versions");
  }
}

bool Clients::SubmitJob(Task& task, const std::string& id, const std::string& body) {
  bool only_refused = true;
  while (!this->stopping || !only_refused) {
    const auto answer =
        this->Send(task, this->RandomFront(), "POST", "/rollout/1", id, body, seconds(2));
    if (answer && answer->Status() == 202) return true;
    if (answer && answer->Status() == 404) this->AddViolation("submission " + id + " got 404");
    only_refused = only_refused && answer && (answer->Status() == 503 || answer->Status() == 429);
    SleepUntil(task, SteadyNow() + milliseconds(100));
  }
  for (int item = 0; only_refused && item < kGroups * kItemsPerGroup; ++item) {
    if (this->site.CountRuns(id + "i" + std::to_string(item)) > 0) {
      this->AddViolation("job " + id + " was refused at each attempt, but ran");
    }
  }
  return false;
}

void Clients::RunTrainer(Task& task) {
  for (int step = 0; !this->stopping; ++step) {
    const std::string id = "j" + std::to_string(step);
    Job job;
    job.min_version = std::max<int64_t>(1, this->version - 1);
    fakes::StepShape shape;
    shape.item_prefix = id + "i";
    shape.groups = kGroups;
    shape.items_per_group = kItemsPerGroup;
    shape.step = step;
    shape.min_version = job.min_version;
    for (int i = 0; i < kGroups * kItemsPerGroup; ++i) {
      job.items.insert(shape.item_prefix + std::to_string(i));
    }
    if (!this->SubmitJob(task, id, fakes::StepBody(shape))) break;
    ++this->counts["jobs"];
    Job& job_state = this->jobs[id] = std::move(job);
    const TimePoint limit = SteadyNow() + kStepLimit;
    while (job_state.results.size() < job_state.items.size() && SteadyNow() < limit) {
      // One read in four starts at an earlier position, whose results must not have changed.
      const auto read = static_cast<int64_t>(job_state.results.size());
      const int64_t from = this->random() % 4 == 0 && read > 0
                               ? static_cast<int64_t>(this->random() % job_state.results.size())
                               : read;
      this->ReadResults(task, id, job_state, this->RandomFront(), from);
      SleepUntil(task, SteadyNow() + milliseconds(50));
    }
    if (job_state.results.size() == job_state.items.size()) ++this->counts["jobs_whole"];
    while (true) {
      const auto ended = this->Send(task, this->RandomFront(), "DELETE", "/api/lots/" + id,
                                    "e" + id, "", seconds(2));
      if (ended && ended->Status() == 200) break;
      if (ended && ended->Status() == 404)
        this->AddViolation("job " + id + " could not be deleted: 404");
      SleepUntil(task, SteadyNow() + milliseconds(100));
    }
    this->site.WriteModelVersion(++this->version);
  }
}

void Clients::ReadResults(Task& task, const std::string& id, Job& job, const std::string& address,
                          int64_t from) {
  const auto answer =
      this->Send(task, address, "GET", "/api/lots/" + id + "?After=" + std::to_string(from),
                 "r" + id, "", seconds(2));
  if (!answer || answer->Status() == 503) return;
  const auto page = answer->Status() == 200 ? ParseJson(answer->Body())
                                            : Result<json>(Fail(ErrorCode::kBadResponse, "status"));
  if (!page || !page->contains("Results")) {
    this->AddViolation("job " + id + " could not be read: status " +
                       std::to_string(answer->Status()));
    return;
  }
  if (page->value("Total", 0) != static_cast<int>(job.items.size())) {
    this->AddViolation("job " + id + " has a wrong total");
  }
  int64_t position = from;
  for (const json& result : (*page)["Results"]) {
    const std::string text = result.dump();
    const auto known = job.results.find(position);
    if (known == job.results.end()) {
      this->CheckResult(id, job, position, text);
      job.results[position] = text;
    } else if (known->second != text) {
      this->AddViolation("job " + id + " changed the result at position " +
                         std::to_string(position));
    }
    ++position;
  }
  // Results that were read once must be returned again.
  if (position < static_cast<int64_t>(job.results.size()) && (*page)["Results"].empty()) {
    this->AddViolation("job " + id + " lost results from position " + std::to_string(position));
  }
}

void Clients::CheckResult(const std::string& id, const Job& job, int64_t position,
                          const std::string& result) {
  const json value = json::parse(result);
  const std::string item = value.value("Id", "");
  const std::string at = "job " + id + " position " + std::to_string(position) + ": ";
  if (job.items.count(item) == 0) return this->AddViolation(at + "the item belongs to another job");
  for (const auto& [other, known] : job.results) {
    if (json::parse(known)["Id"] == item) this->AddViolation(at + item + " appears twice");
  }
  if (value.value("State", "") != "completed")
    return this->AddViolation(at + item + " is not completed");
  const int events = this->site.Engines().front()->events_per_item;
  const std::string text = value.value("Text", "");
  const bool whole = text == fakes::PlatformEngine::TextOf(item, events) ||
                     text == fakes::PlatformEngine::TextOf(item, events, kSecondSoftware);
  if (!whole) this->AddViolation(at + item + " has a wrong text");
  if (this->site.Options().single_version && value["Versions"].size() != 1) {
    this->AddViolation(at + item + " was generated with several versions");
  }
  for (const json& version : value["Versions"]) {
    if (version.get<int64_t>() < job.min_version)
      this->AddViolation(at + item + " was generated with too old a version");
  }
  if (value.value("Score", "").find("s" + item) == std::string::npos) {
    this->AddViolation(at + item + " does not have its own score");
  }
}

void Clients::CheckRecovered(Task& task) {
  const TimePoint limit = SteadyNow() + kRecoveryLimit;
  for (const SoakInstance& instance : this->site.Instances()) {
    bool served = false;
    while (!served && SteadyNow() < limit) {
      const auto answer =
          this->Send(task, instance.front, "POST", "/lookup/1", "after", "q", kCallLimit);
      served = answer && answer->Status() == 200;
      if (!served) SleepUntil(task, SteadyNow() + milliseconds(100));
    }
    if (!served)
      this->AddViolation("instance " + instance.id +
                         " does not serve requests within 30 s after the faults");
  }
  // Not within the limit: reading all results again takes half a second at each instance.
  for (const SoakInstance& instance : this->site.Instances()) {
    for (auto& [id, job] : this->jobs) {
      const auto read = static_cast<int64_t>(job.results.size());
      for (int64_t from = 0; from < read; from += kGroups) {
        this->ReadResults(task, id, job, instance.front, from);
      }
    }
  }
}

std::string Clients::Summary() const {
  std::string text;
  for (const auto& [name, count] : this->counts) {
    text += (text.empty() ? "" : " ") + name + "=" + std::to_string(count);
  }
  return text;
}

}  // namespace anvilcroft::soak
