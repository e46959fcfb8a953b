#include "fakes/platform_engine.h"

#include <cstdlib>
#include <utility>

#include "anvilcroft/json.h"
#include "fakes/free_address.h"

namespace anvilcroft::fakes {

using nlohmann::json;

namespace {

constexpr char kLimitField[] = "Server-Limit";
constexpr char kLeavingField[] = "Server-Leaving";

}  // namespace

PlatformEngine::PlatformEngine(Runtime& runtime, std::string id, std::string model)
    : server(runtime, FreeAddress()), id(std::move(id)), model(std::move(model)) {
  this->server.SetHandler([this](Task& task, const HttpRequest& request, HttpReply& reply) {
    this->Handle(task, request, reply);
  });
}

Result<std::string> PlatformEngine::Start() {
  const auto started = this->server.Start();
  if (started) this->address = *started;
  return started;
}

std::string PlatformEngine::RegistrationEntry(const std::string& service,
                                              const std::string& zone) const {
  json entry = {{"Service", service},
                {"Address", this->address},
                {"Zone", zone},
                {"Version", this->software},
                {"Slots", 4},
                {"State", "ready"},
                {"Sequence", 1},
                {"ColdRemainingMs", 0},
                {"born", this->started_at}};
  if (!this->model.empty()) {
    entry["Models"] = json::array({{{"Name", this->model}, {"Version", this->version}}});
  }
  return DumpJson(entry);
}

void PlatformEngine::Restart(std::string new_software) {
  this->software = std::move(new_software);
  ++this->started_at;
  this->id = this->id.substr(0, this->id.find('.')) + "." + std::to_string(this->started_at);
  this->orders = 0;
  this->highest_fence = 0;
}

void PlatformEngine::Crash() {
  if (this->server.Crashed()) return;
  this->crashes.push_back(SteadyNow());
  this->server.Crash();
  this->server.Loop().Spawn([this](Task& task) {
    SleepUntil(task, SteadyNow() + this->restart_time);
    this->Restart(this->software);
    this->server.Reopen();
    if (this->on_restart) this->on_restart();
  });
}

std::vector<std::string> PlatformEngine::Events(const std::string& item, int count,
                                                const std::string& software) {
  const std::string suffix = software == kSoftware ? "" : "@" + software;
  std::vector<std::string> events;
  for (int i = 1; i <= count; ++i) events.push_back(item + "-" + std::to_string(i) + suffix);
  return events;
}

std::string PlatformEngine::TextOf(const std::string& item, int count,
                                   const std::string& software) {
  std::string text;
  for (const std::string& event : Events(item, count, software))
    text += (text.empty() ? "" : "\n") + event;
  return text;
}

void PlatformEngine::Answer(Task& task, HttpResponse::Builder answer, HttpReply& reply) {
  if (this->request_limit) answer.SetHeader(kLimitField, std::to_string(*this->request_limit));
  if (this->leaving) answer.SetHeader(kLeavingField, "1");
  reply.Send(task, answer.Build());
}

void PlatformEngine::Handle(Task& task, const HttpRequest& request, HttpReply& reply) {
  this->arrivals.push_back(SteadyNow());
  const HttpHeaders& headers = request.Headers();
  const std::string expected(headers.Find("X-Expect-Instance"));
  if (!expected.empty() && expected != this->id) {
    reply.Send(task, JsonResponse(421, "{}"));
    return;
  }
  if (request.Path() == "/api/order") return this->HandleOrder(task, request, reply);
  if (request.Path() == "/api/report") {
    const json report = {{"Busy", false},
                         {"Sequence", this->orders},
                         {"Running", 0},
                         {"Waiting", 0},
                         {"Models", {{{"Name", this->model}, {"Version", this->version}}}}};
    this->Answer(task, HttpResponse::Builder().SetJson(DumpJson(report)), reply);
    return;
  }
  const std::string attempt(headers.Find("X-Attempt-Id"));
  this->last_headers[attempt] = headers;
  const auto planned = this->planned_statuses.find(attempt);
  if (planned != this->planned_statuses.end() && !planned->second.empty()) {
    const int status = planned->second.front();
    planned->second.erase(planned->second.begin());
    HttpResponse::Builder answer;
    answer.SetStatus(status).SetHeader("X-Attempt-Id", attempt).SetJson("{}");
    if (status == 503) answer.SetHeader("X-Not-Executed", "1");
    if (status != 503) this->started.push_back(attempt);
    this->Answer(task, answer, reply);
    return;
  }
  if (this->crashing_bodies.count(request.Body()) != 0) {
    this->started.push_back(attempt);
    this->Crash();
    reply.Abort();
    return;
  }
  if (!this->model.empty()) return this->Generate(task, request, reply);
  this->started.push_back(attempt);
  const auto caller_disconnected = reply.CallerDisconnected();
  if (!this->server.Delay(task, this->event_time)) {
    reply.Abort();
    return;
  }
  if (caller_disconnected->Cancelled()) ++this->cancelled[attempt];
  this->Answer(task,
               HttpResponse::Builder()
                   .SetHeader("X-Attempt-Id", attempt)
                   .SetHeader("X-Server-Stamp", "stamp." + this->id + "." + attempt)
                   .SetHeader("X-Instance-Load", "1,0,4")
                   .SetBody("body of " + attempt),
               reply);
}

void PlatformEngine::Generate(Task& task, const HttpRequest& request, HttpReply& reply) {
  const HttpHeaders& headers = request.Headers();
  const std::string item(headers.Find("X-Attempt-Id"));
  const std::string expected_version(headers.Find("X-Expect-Version"));
  if (!expected_version.empty() && expected_version != std::to_string(this->version)) {
    reply.Send(task, HttpResponse::Builder()
                         .SetStatus(421)
                         .SetHeader("X-Attempt-Id", item)
                         .SetJson("{}")
                         .Build());
    return;
  }
  this->started.push_back(item);
  const auto caller_disconnected = reply.CallerDisconnected();
  HttpHeaders answer({{"X-Attempt-Id", item},
                      {"Content-Type", "text/event-stream"},
                      {"X-Weight-Versions", std::to_string(this->version)},
                      {"X-Server-Stamp", "stamp." + item}});
  if (this->request_limit) {
    answer = answer.With(kLimitField, std::to_string(*this->request_limit));
  }
  if (this->leaving) answer = answer.With(kLeavingField, "1");
  if (!reply.BeginStream(task, 200, answer)) return;
  const std::string after(headers.Find("Last-Event-Id"));
  if (!after.empty()) ++this->resumed_runs;
  const auto events = Events(item, this->events_per_item, this->software);
  const int64_t start = this->started_at;
  int events_sent = 0;
  for (auto i = static_cast<std::size_t>(std::strtoul(after.c_str(), nullptr, 10));
       i < events.size(); ++i) {
    if (!this->server.Delay(task, this->event_time)) {
      reply.Abort();
      return;
    }
    if (caller_disconnected->Cancelled()) {
      ++this->cancelled[item];
      return;
    }
    if (this->started_at != start) {
      reply.Abort();
      return;
    }
    reply.Write(task, "id: " + std::to_string(i + 1) + "\ndata: " + events[i] + "\n\n");
    if (this->break_after_events > 0 && ++events_sent >= this->break_after_events) {
      this->break_after_events = 0;
      reply.Write(task, "id: " + std::to_string(i + 2) + "\nda");
      reply.Abort();
      return;
    }
  }
  reply.End(task);
}

void PlatformEngine::HandleOrder(Task& task, const HttpRequest& request, HttpReply& reply) {
  const auto order = ParseJson(request.Body());
  int status = 400;
  if (order && order->contains("Holder") && order->contains("Fence")) {
    const auto fence = order->value("Fence", int64_t{0});
    if (fence < this->highest_fence) {
      status = 412;
    } else if (order->contains("Expected") &&
               order->value("Expected", int64_t{0}) != this->orders) {
      status = 409;
    } else if (order->value("Version", int64_t{0}) == this->version) {
      status = 200;
    } else {
      status = 202;
      this->highest_fence = fence;
      this->accepted_fences.push_back(fence);
      this->version = order->value("Version", int64_t{0});
      ++this->orders;
    }
  }
  this->Answer(task, HttpResponse::Builder().SetStatus(status).SetJson("{}"), reply);
}

}  // namespace anvilcroft::fakes
