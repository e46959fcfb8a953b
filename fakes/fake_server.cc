#include "fakes/fake_server.h"

#include <utility>

#include "anvilcroft/json.h"
#include "anvilcroft/log.h"

namespace anvilcroft::fakes {
namespace {

constexpr char kPart[] = "fakes";
// Longer than any deadline in the system. Limits how long a silent fake keeps a connection open.
constexpr Duration kHoldLimit = seconds(600);
// Larger than any body that an instance forwards.
constexpr std::size_t kMaxBodyBytes = 64 << 20;

}  // namespace

FakeServer::FakeServer(Runtime& runtime, std::string address)
    : runtime(runtime), address(std::move(address)) {
  this->control.Add("POST", "/control/faults",
                    [this](Task& task, const HttpRequest& request, const PathParts&,
                           HttpReply& reply) { this->HandleFaults(task, request, reply); });
  this->control.Add(
      "GET", "/control/log",
      [this](Task& task, const HttpRequest& request, const PathParts&, HttpReply& reply) {
        const auto log =
            this->log_reader ? this->log_reader(request) : nlohmann::json(nlohmann::json::object());
        reply.Send(task, JsonResponse(200, DumpJson(log)));
      });
}

Result<std::string> FakeServer::Listen(const std::string& listen_address) {
  this->servers.push_back(
      HttpServer::Builder(this->runtime)
          .SetAddress(listen_address)
          .SetMaxBodyBytes(kMaxBodyBytes)
          .SetHandler([this](Task& task, const HttpRequest& request, HttpReply& reply) {
            this->Handle(task, request, reply);
          })
          .Build());
  return this->servers.back()->Start();
}

Result<std::string> FakeServer::Start() {
  auto bound = this->Listen(this->address);
  if (bound) this->address = *bound;
  return bound;
}

void FakeServer::Reopen() {
  this->crashed = false;
  const auto bound = this->Listen(this->address);
  if (!bound) LogError(kPart, "cannot reopen the listener", {{"error", bound.error().message}});
}

void FakeServer::Crash() {
  this->crashed = true;
  ++this->crashes;
  if (!this->servers.empty()) this->servers.back()->StopAccepting();
  this->crash_event->NotifyAll();
}

void FakeServer::SetFaults(const FaultPlan& plan) {
  const bool was_refusing = this->faults.mode == FaultPlan::Mode::kRefuse;
  const bool will_refuse = plan.mode == FaultPlan::Mode::kRefuse;
  this->faults = plan;
  if (was_refusing && !will_refuse) this->Reopen();
  if (!will_refuse) return;
  if (!was_refusing) this->servers.back()->StopAccepting();
  const uint64_t refusal = ++this->refusals;
  this->runtime.Spawn([this, refusal, refuse_ms = plan.refuse_ms](Task& task) {
    SleepUntil(task, SteadyNow() + milliseconds(refuse_ms));
    if (refusal != this->refusals || this->faults.mode != FaultPlan::Mode::kRefuse) return;
    FaultPlan up = this->faults;
    up.mode = FaultPlan::Mode::kUp;
    this->SetFaults(up);
  });
}

bool FakeServer::Delay(Task& task, Duration duration) {
  const std::shared_ptr<Event> event = this->crash_event;
  const TimePoint until = SteadyNow() + duration;
  const uint64_t crashes_before = this->crashes;
  while (crashes_before == this->crashes && event->WaitUntil(task, until)) {
  }
  return crashes_before == this->crashes && !this->crashed;
}

void FakeServer::HoldUnanswered(Task& task, HttpReply& reply) {
  this->Delay(task, kHoldLimit);
  reply.Abort();
}

void FakeServer::Handle(Task& task, const HttpRequest& request, HttpReply& reply) {
  if (this->crashed) {
    reply.Abort();
  } else if (request.Path().rfind("/control/", 0) == 0) {
    this->control.Handle(task, request, reply);
  } else if (!this->ApplyMode(task, request, reply)) {
    return;
  } else if (this->handler) {
    this->handler(task, request, reply);
  } else {
    this->routes.Handle(task, request, reply);
  }
}

bool FakeServer::ApplyMode(Task& task, const HttpRequest& request, HttpReply& reply) {
  if (this->fault_filter && !this->fault_filter(request)) return true;
  switch (this->faults.mode) {
    case FaultPlan::Mode::kDown:
      reply.Send(task, ErrorResponse(Error{ErrorCode::kNotReady, "outage", "", Ran::kNo}));
      return false;
    case FaultPlan::Mode::kSilent:
      this->HoldUnanswered(task, reply);
      return false;
    case FaultPlan::Mode::kSlow:
      if (this->Delay(task, milliseconds(this->faults.delay_ms))) return true;
      reply.Abort();
      return false;
    case FaultPlan::Mode::kUp:
    case FaultPlan::Mode::kRefuse:
      return true;
  }
  return true;
}

void FakeServer::HandleFaults(Task& task, const HttpRequest& request, HttpReply& reply) {
  const auto body = ParseJson(request.Body());
  if (!body) {
    reply.Send(task, ErrorResponse(body.error()));
    return;
  }
  const auto plan = ChangeFaults(this->faults, *body);
  if (!plan) {
    reply.Send(task, ErrorResponse(plan.error()));
    return;
  }
  this->SetFaults(*plan);
  reply.Send(task, JsonResponse(200, "{}"));
}

RouteHandler JsonRoute(
    std::function<void(Task&, const nlohmann::json&, const HttpRequest&, HttpReply&)> handle) {
  return [handle = std::move(handle)](Task& task, const HttpRequest& request, const PathParts&,
                                      HttpReply& reply) {
    const auto body = ParseJson(request.Body());
    if (body) {
      handle(task, *body, request, reply);
    } else {
      reply.Send(task, ErrorResponse(body.error()));
    }
  };
}

}  // namespace anvilcroft::fakes
