#include "fakes/platform_cloud.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "anvilcroft/json.h"

namespace anvilcroft::fakes {

using nlohmann::json;

PlatformCloud::PlatformCloud(Runtime& runtime, const std::string& address)
    : server(runtime, address) {
  for (const std::string path : {"/usage", "/scale"}) {
    this->server.Routes().Add(
        "POST", path,
        [this, path](Task& task, const HttpRequest& request, const PathParts&, HttpReply& reply) {
          this->Handle(task, path, request, reply);
        });
  }
}

std::vector<CloudCall> PlatformCloud::Calls(const std::string& path) const {
  std::vector<CloudCall> found;
  for (const CloudCall& call : this->calls) {
    if (path.empty() || call.path == path) found.push_back(call);
  }
  return found;
}

void PlatformCloud::Handle(Task& task, const std::string& path, const HttpRequest& request,
                           HttpReply& reply) {
  const TimePoint now = SteadyNow();
  const auto body = ParseJson(request.Body());
  const std::string token(request.Headers().Find("X-Fence-Token"));
  CloudCall call;
  call.path = path;
  call.holder = std::string(request.Headers().Find("X-Duty-Holder"));
  call.fencing = std::strtoll(token.c_str(), nullptr, 10);
  call.received_at = now;
  if (body && body->is_object()) call.body = *body;
  const std::size_t index = this->calls.size();
  this->calls.push_back(std::move(call));
  const auto refuse = [&](int status) {
    this->calls[index].status = status;
    this->calls[index].executed_at = now;
    reply.Send(task, JsonResponse(status, "{}"));
  };
  if (this->calls[index].body.is_null() || this->calls[index].holder.empty() || token.empty()) {
    return refuse(400);
  }
  if (FaultPlan::ConsumeOne(this->refuse_next) || !this->rate.TryAcquire(now)) return refuse(429);
  FaultPlan& faults = this->server.Faults();
  if (FaultPlan::ConsumeOne(faults.lose_answers)) {
    this->calls[index].answered = false;
    if (faults.delay_apply_ms == 0) {
      this->Execute(index);
    } else {
      this->server.Loop().Spawn([this, index, delay = faults.delay_apply_ms](Task& later) {
        SleepUntil(later, SteadyNow() + milliseconds(delay));
        this->Execute(index);
      });
    }
    this->server.HoldUnanswered(task, reply);
    return;
  }
  const int status = this->Execute(index);
  reply.Send(task, JsonResponse(status, "{}"));
}

int PlatformCloud::Execute(std::size_t index) {
  CloudCall& call = this->calls[index];
  call.executed_at = SteadyNow();
  call.status = call.path == "/usage" ? this->ExecuteReport(call) : this->ExecuteOrder(call);
  return call.status;
}

bool PlatformCloud::AdmitToken(const std::string& subject, int64_t token) {
  int64_t& highest = this->tokens[subject];
  if (this->checks_fencing && token < highest) return false;
  highest = std::max(highest, token);
  return true;
}

int PlatformCloud::ExecuteReport(CloudCall& call) {
  if (!this->AdmitToken("/usage", call.fencing)) return 409;
  const int64_t window = call.body.value("WindowId", int64_t{-1});
  const Counts counts = call.body.value("Counts", Counts());
  const auto [found, added] = this->windows.emplace(window, counts);
  if (added) {
    this->reported_at[window] = *call.executed_at;
  } else if (found->second != counts) {
    this->conflicting.push_back(call);
  }
  return 200;
}

int PlatformCloud::ExecuteOrder(CloudCall& call) {
  const EngineKind kind{call.body.value("Service", ""), call.body.value("Zone", ""),
                        call.body.value("Spot", false)};
  const int count = call.body.value("TargetGroups", 0);
  if (!this->AdmitToken(std::get<0>(kind) + "/" + std::get<1>(kind), call.fencing)) return 409;
  const auto found = this->engines.find(kind);
  const int present = found == this->engines.end() ? 0 : found->second;
  if (count > present && this->unavailable.count(kind) != 0) return 409;
  this->engines[kind] = count;
  if (this->on_order) this->on_order(kind, count);
  return 200;
}

}  // namespace anvilcroft::fakes
