#include "anvilcroft/live_service.h"

#include <string>
#include <utility>

#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

const char* OutcomeName(LiveOutcome::Kind kind) {
  switch (kind) {
    case LiveOutcome::Kind::kAnswered:
      return "answered";
    case LiveOutcome::Kind::kNoRoute:
      return "no_route";
    case LiveOutcome::Kind::kNotRun:
      return "not_run";
    case LiveOutcome::Kind::kUnknown:
      return "unknown";
    case LiveOutcome::Kind::kTimedOut:
      return "timed_out";
    case LiveOutcome::Kind::kDisconnected:
      return "caller_gone";
    case LiveOutcome::Kind::kStreamed:
      return "streamed";
    case LiveOutcome::Kind::kInterrupted:
      return "cut_off";
  }
  return "unknown";
}

LiveOutcome OutcomeOfRefusalAtStop() {
  LiveOutcome outcome;
  outcome.kind = LiveOutcome::Kind::kNotRun;
  outcome.reason = "the instance stops before the request could end";
  return outcome;
}

}  // namespace

LiveOutcome LiveService::Forward(Task& task, LiveRequest request) {
  const bool admitted = this->AdmitWhileStopping(request, false);
  return this->ServeAndLog(request, "short", [&] {
    return admitted ? this->forwarder.Serve(task, request) : OutcomeOfRefusalAtStop();
  });
}

LiveOutcome LiveService::Stream(Task& task, LiveRequest request, HttpReply& reply) {
  const bool admitted = this->AdmitWhileStopping(request, true);
  return this->ServeAndLog(request, "stream", [&] {
    return admitted ? this->streamer.Serve(task, request, reply) : OutcomeOfRefusalAtStop();
  });
}

bool LiveService::AdmitWhileStopping(LiveRequest& request, bool stream) const {
  if (!this->stop_plan) return true;
  const auto routes = this->routes();
  const ServiceRoute* route = routes ? routes->Match(request.host, request.path) : nullptr;
  const StopDecision decision = DecideWhileStopping(
      *this->stop_plan, {request.deadline, route != nullptr && route->Repeatable(), stream},
      SteadyNow());
  request.deadline = decision.deadline;
  return decision.serve;
}

LiveOutcome LiveService::ServeAndLog(LiveRequest& request, const char* kind,
                                     const std::function<LiveOutcome()>& serve) {
  const TimePoint started = SteadyNow();
  const std::string id = request.message.id;
  const Duration limit = request.deadline - started;
  std::unique_ptr<UsageRecorder::Entry> counted;
  // An attempt that takes up its own stream, perhaps at another instance, was counted with its
  // first event.
  const bool counted_before = request.resume_after > 0 && request.resumes == id;
  if (this->usage != nullptr && !counted_before) {
    counted = this->usage->Open(request.customer, id);
    request.on_begin = [recorder = this->usage, handle = counted->Handle()](WallMillis began_at,
                                                                            bool certain) {
      recorder->OnBegin(handle, began_at, certain);
    };
  }
  LiveOutcome outcome = serve();
  if (counted) counted->Close(outcome.began_at);
  const Duration took = SteadyNow() - started;
  const char* name = OutcomeName(outcome.kind);
  this->metrics.Increment("anvilcroft_live_requests_total", {{"kind", kind}, {"outcome", name}});
  this->metrics.Observe("anvilcroft_live_request_seconds", {{"kind", kind}, {"outcome", name}},
                        std::chrono::duration<double>(took).count());
  LogFields fields = {{"request", id},
                      {"status", std::to_string(outcome.reply.status)},
                      {"target", outcome.target},
                      {"attempts", std::to_string(outcome.attempts)},
                      {"reason", outcome.reason},
                      {"limit_ms", std::to_string(ToMillis(limit))},
                      {"ms", std::to_string(ToMillis(took))}};
  if (outcome.last_event > 0) {
    fields.insert(fields.end(), {{"resumed_after", std::to_string(request.resume_after)},
                                 {"last_event", std::to_string(outcome.last_event)},
                                 {"software", outcome.software}});
  }
  LogInfo("live", name, fields);
  return outcome;
}

}  // namespace anvilcroft
