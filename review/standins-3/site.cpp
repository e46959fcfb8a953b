#include "review/standins-3/site.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "fakes/free_address.h"

namespace review {
namespace {

using namespace anvilcroft;  // NOLINT: a stand-in of a test
using nlohmann::json;

constexpr Duration kFeedStep = milliseconds(40);
constexpr Duration kRegistrationInterval = milliseconds(200);

json Route(const std::string& name, const std::string& kind, const std::string& service) {
  return {{"Name", name},       {"Host", Site::kHost}, {"Prefix", "/" + name + "/"},
          {"Kind", kind},       {"TimeoutMs", 3000},   {"TargetLatencyMs", 300},
          {"Service", service}, {"MaxAttempts", 3},    {"Priority", 0}};
}

}  // namespace

double Record::Now() const {
  return std::chrono::duration<double>(SteadyNow() - this->started).count();
}

void Record::AddAt(double at, const std::string& text) {
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ", at);
  this->out << time << text << std::endl;
}

StoreProxy::StoreProxy(Runtime& runtime, fakes::PlatformStore&)
    : runtime(runtime), client(runtime) {}

Result<std::string> StoreProxy::Start(const std::string& store_address) {
  this->store_endpoint = *ParseEndpoint(store_address);
  this->server = HttpServer::Builder(this->runtime)
                     .SetAddress("127.0.0.1:0")
                     .SetMaxBodyBytes(16 << 20)
                     .SetHandler([this](Task& task, const HttpRequest& request, HttpReply& reply) {
                       this->Handle(task, request, reply);
                     })
                     .Build();
  return this->server->Start();
}

Result<HttpResponse> StoreProxy::Forward(Task& task, const HttpRequest& request,
                                         const std::string& target) {
  return this->client.Call(task, this->store_endpoint,
                           HttpRequest::Builder()
                               .SetMethod(request.Method())
                               .SetTarget(target)
                               .SetBody(request.Body())
                               .Build(),
                           CallOptions(SteadyNow() + seconds(40)));
}

void StoreProxy::Handle(Task& task, const HttpRequest& request, HttpReply& reply) {
  if (request.Path() == "/api/rows-feed") return this->HandleFeed(task, request, reply);
  const auto answer = this->Forward(task, request, request.Target());
  if (this->answer_time > Duration(0)) SleepUntil(task, SteadyNow() + this->answer_time);
  if (!answer) return reply.Abort();
  reply.Send(task,
             HttpResponse::Builder().SetStatus(answer->Status()).SetJson(answer->Body()).Build());
}

void StoreProxy::HandleFeed(Task& task, const HttpRequest& request, HttpReply& reply) {
  const std::string wait = request.QueryValue("WaitMs");
  const TimePoint until = SteadyNow() + milliseconds(std::strtoll(wait.c_str(), nullptr, 10));
  const std::string target = "/api/rows-feed?Table=" + request.QueryValue("Table") +
                             "&After=" + request.QueryValue("After") + "&WaitMs=";
  while (true) {
    while (this->feeds_silent) SleepUntil(task, SteadyNow() + milliseconds(5));
    const auto answer = this->Forward(task, request, target + std::to_string(ToMillis(kFeedStep)));
    if (this->feeds_silent) continue;
    if (!answer) return reply.Abort();
    const json body = json::parse(answer->Body(), nullptr, false);
    const bool has_rows = body.is_object() && body.contains("Rows") && !body["Rows"].empty();
    if (answer->Status() == 200 && !has_rows && SteadyNow() < until) continue;
    if (this->answer_time > Duration(0)) SleepUntil(task, SteadyNow() + this->answer_time);
    reply.Send(task,
               HttpResponse::Builder().SetStatus(answer->Status()).SetJson(answer->Body()).Build());
    return;
  }
}

Site::Site(Runtime& runtime, std::string binary, std::string folder)
    : store(runtime),
      proxy(runtime, this->store),
      runtime(runtime),
      binary(std::move(binary)),
      folder(std::move(folder)),
      client(runtime) {}

bool Site::AddEngine(std::vector<std::unique_ptr<fakes::PlatformEngine>>& list,
                     const std::string& id, const std::string& service, const std::string& model) {
  list.push_back(std::make_unique<fakes::PlatformEngine>(this->runtime, id, model));
  if (!list.back()->Start()) return false;
  this->runtime.Spawn([this, target = list.back().get(), service](Task& task) {
    std::string listed;
    while (true) {
      const std::string entry = target->RegistrationEntry(service, "a");
      if (entry != listed) this->store.Put("servers", target->Id(), entry);
      listed = entry;
      SleepUntil(task, SteadyNow() + kRegistrationInterval);
    }
  });
  return true;
}

void Site::WriteConfiguration() {
  json rollout = Route("rollout", "rollout", "model");
  rollout["ResultTargetMs"] = 7500;
  rollout["ItemTtlS"] = 120;
  const json services = {{{"Name", "app"}, {"HealthPath", "/healthz"}},
                         {{"Name", "model"},
                          {"HealthPath", "/healthz"},
                          {"Engine", {{"Slots", 4}, {"Models", {{{"Name", kModel}}}}}}}};
  const json config = {{"Version", 3},
                       {"Routes", {Route("lookup", "safe", "app"), rollout}},
                       {"Services", services},
                       {"Limits",
                        {{"MaxHeaderBytes", 16384},
                         {"MaxBodyBytes", 33554432},
                         {"HeaderTimeoutMs", 10000},
                         {"IdleTimeoutMs", 15000}}}};
  this->store.Put("op", "config", config.dump());
}

bool Site::StartProcess(Instance& instance) {
  auto process = fakes::ChildProcess::Start(
      {"/bin/sh", "-c", "exec \"$0\" serve --settings \"$1\" >> \"$2\" 2>&1", this->binary,
       instance.settings_file, instance.log_file},
      instance.log_file);
  if (!process) return false;
  instance.process = std::move(*process);
  return true;
}

bool Site::Start(Task& task, int count, int model_engines) {
  const auto store_address = this->store.Start();
  if (!store_address) return false;
  const auto proxy_address = this->proxy.Start(*store_address);
  if (!proxy_address) return false;
  for (int i = 0; i < model_engines; ++i) {
    if (!this->AddEngine(this->engines, "i-model-" + std::to_string(i), "model", kModel))
      return false;
    this->engines.back()->events_per_item = 40;
    this->engines.back()->event_time = milliseconds(10);
  }
  if (!this->AddEngine(this->apps, "i-app-0", "app", "")) return false;
  this->WriteConfiguration();
  for (int i = 0; i < count; ++i) {
    Instance instance;
    instance.id = "front-" + std::to_string(i);
    instance.front = fakes::FreeAddress();
    instance.ready = fakes::FreeAddress();
    instance.settings_file = this->folder + "/" + instance.id + ".yaml";
    instance.log_file = this->folder + "/" + instance.id + ".log";
    std::ofstream(instance.settings_file)
        << "instance_id: " << instance.id << "\nzone: a\nregion: r\ncpu_share: 0.5\n"
        << "store_writes_per_s: 800\nstore_reads_per_s: 2000\nlog_level: info\naddress:\n  front: "
           "\""
        << instance.front << "\"\n  directory: \"" << fakes::FreeAddress() << "\"\n  ready: \""
        << instance.ready << "\"\n  metrics: \"" << fakes::FreeAddress() << "\"\n  store: \""
        << *proxy_address
        << "\"\ntiming:\n  grace_s: 8\n  address_ttl_s: 1.5\n  owner_lease_ms: 3000\n"
        << "  cancel_ms: 3000\nlimits:\n  memory_mb: 270\n  max_descriptors: 8200\n";
    if (!this->StartProcess(instance)) return false;
    this->instances.push_back(std::move(instance));
  }
  const TimePoint limit = SteadyNow() + seconds(15);
  std::size_t ready = 0;
  while (ready < this->instances.size() && SteadyNow() < limit) {
    ready = 0;
    for (const Instance& instance : this->instances) {
      const auto answer = this->client.Call(
          task, *ParseEndpoint(instance.ready),
          HttpRequest::Builder().SetMethod("GET").SetTarget("/api/readyz").Build(),
          CallOptions(SteadyNow() + seconds(1)).WithFreshConnection());
      ready += answer && answer->Status() == 200 ? 1 : 0;
    }
    SleepUntil(task, SteadyNow() + milliseconds(100));
  }
  return ready == this->instances.size();
}

void Site::Stop() {
  for (Instance& instance : this->instances) {
    if (!instance.process) continue;
    instance.process->Signal(SIGCONT);
    instance.process->Signal(SIGKILL);
    instance.process->Wait(5000);
  }
}

std::optional<HttpResponse> Site::Call(Task& task, const Instance& instance,
                                       const HttpRequest& request, Duration timeout) {
  auto answer = this->client.Call(task, *ParseEndpoint(instance.front), request,
                                  CallOptions(SteadyNow() + timeout).WithFreshConnection());
  if (!answer) return std::nullopt;
  return std::move(*answer);
}

}  // namespace review
