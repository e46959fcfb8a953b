#include "anvilcroft/routing_node.h"

#include <utility>

#include "anvilcroft/suspect_target.h"

namespace anvilcroft {
namespace {

AdmissionLimits LimitsOf(const ServiceConfig& service) {
  AdmissionLimits limits;
  limits.max_in_flight = service.MaxInFlight();
  limits.max_queued = service.MaxQueued();
  limits.short_reserve = service.ShortReserve();
  return limits;
}

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

RoutingNode::RoutingNode(const Builder& builder)
    : view(builder.view),
      metrics(*builder.metrics),
      crashes(builder.broadcast),
      targets(builder.runtime, *builder.http, builder.instance_list, builder.view,
              builder.settings.InstanceListPoll()),
      dispatcher(Dispatcher::Builder(builder.runtime, *builder.http, this->targets, this->crashes,
                                     *builder.tracer, *builder.metrics)
                     .SetZone(builder.view.zone)
                     .SetPick(builder.pick)
                     .SetSuspects(
                         [view = builder.view](const auto& targets, const auto& target) {
                           return RunsSuspectsOn(view.roster()->Serving(), view.self, targets,
                                                 target);
                         },
                         [view = builder.view] {
                           return SuspectTurn(view.roster()->Serving(), view.self);
                         })
                     .SetSeed(builder.seed)
                     .Build()),
      at_most_once(builder.runtime, builder.view, builder.commit, builder.read, builder.seed + 1),
      caller_api([this](Task& task, const WorkRequest& request,
                        const StreamSink& sink) { return this->Run(task, request, sink); },
                 [this](Task& task, const std::string& service, const std::string& key,
                        TimePoint deadline) {
                   return this->at_most_once.Find(task, service, key, deadline);
                 },
                 *builder.tracer, *builder.metrics, builder.seed + 2) {
  this->metrics.RegisterGauge("anvilcroft_requests_in_flight", {},
                              [count = this->in_flight] { return static_cast<double>(*count); });
}

void RoutingNode::Start() {
  this->targets.SetRecoveryHook(
      [this](const std::string& run) { this->crashes.WithdrawCrash(run); });
  this->targets.Start();
}

void RoutingNode::RegisterRoutes(HttpRouter& router) {
  this->caller_api.RegisterRoutes(router);
  this->targets.RegisterRoutes(router);
}

Result<WorkResult> RoutingNode::Run(Task& task, const WorkRequest& request,
                                    const StreamSink& sink) {
  const TimePoint started = SteadyNow();
  // The counter is also decremented if the task's stack is unwound.
  ++*this->in_flight;
  const std::shared_ptr<void> counted(nullptr, [count = this->in_flight](void*) { --*count; });
  auto result = this->RunChecked(task, request, sink);
  // Only configured service names are used as labels, which bounds the number of series.
  const bool known = result || result.error().code != ErrorCode::kNotFound;
  const std::string service = known ? request.Service() : "";
  this->metrics.Increment(
      "anvilcroft_requests_total",
      {{"service", service}, {"outcome", result ? "ok" : ErrorCodeName(result.error().code)}});
  this->metrics.Observe("anvilcroft_request_seconds", {{"service", service}},
                        Seconds(SteadyNow() - started));
  return result;
}

Result<WorkResult> RoutingNode::RunChecked(Task& task, const WorkRequest& request,
                                           const StreamSink& sink) {
  auto made = MakeWorkItem(request, *this->view.config());
  if (!made && !request.IdempotencyKey().empty()) {
    // The operation may have been configured when an earlier request with this key ran, so a stored
    // outcome takes precedence over the error.
    WorkItem refused;
    refused.request = request;
    refused.fingerprint =
        CrashGuard::Fingerprint(request.Service(), request.Operation(), request.Body());
    return this->at_most_once.Refuse(task, refused, made.error());
  }
  if (!made) return tl::unexpected<Error>(made.error());
  const auto item = std::make_shared<const WorkItem>(std::move(*made));
  const TimePoint now = SteadyNow();
  Result<void> allowed = this->view.may_serve(now);
  if (allowed) allowed = this->crashes.Check(item->fingerprint, now);
  if (!allowed && !item->operation.repeatable) {
    return this->at_most_once.Refuse(task, *item, allowed.error());
  }
  if (!allowed) return tl::unexpected<Error>(allowed.error());
  AdmissionPermit permit;
  const auto enter = [&](Task& inner) -> Result<void> {
    auto entered = this->AcquirePermit(inner, *item);
    if (!entered) return tl::unexpected<Error>(entered.error());
    permit = std::move(*entered);
    return {};
  };
  const auto dispatch = [&](Task& inner) { return this->dispatcher->Run(inner, item, sink); };
  if (!item->operation.repeatable) {
    return this->at_most_once.Run(task, *item, {enter, [&] { permit.reset(); }, dispatch});
  }
  if (const auto entered = enter(task); !entered) return tl::unexpected<Error>(entered.error());
  return dispatch(task);
}

Result<AdmissionPermit> RoutingNode::AcquirePermit(Task& task, const WorkItem& item) {
  const std::string service = item.request.Service();
  const std::shared_ptr<Admission> admission = this->AdmissionOf(service);
  AdmissionRequest request;
  request.priority = item.request.RequestPriority();
  request.short_work = item.short_work;
  request.deadline = item.request.Deadline();
  const TimePoint now = SteadyNow();
  auto permit = admission->Enter(task, request, now);
  this->metrics.Observe("anvilcroft_queue_seconds",
                        {{"service", service}, {"work", item.short_work ? "short" : "long"}},
                        Seconds(SteadyNow() - now));
  return permit;
}

std::shared_ptr<Admission> RoutingNode::AdmissionOf(const std::string& service) {
  auto& admission = this->admissions[service];
  if (!admission) {
    const auto config = this->view.config();
    const ServiceConfig* found = config->FindService(service);
    admission = std::make_shared<Admission>(found ? LimitsOf(*found) : AdmissionLimits());
    this->metrics.RegisterGauge("anvilcroft_requests_queued", {{"service", service}},
                                [this, service]() -> double {
                                  const auto at = this->admissions.find(service);
                                  if (at == this->admissions.end()) return 0;
                                  return static_cast<double>(at->second->Queued());
                                });
  }
  return admission;
}

void RoutingNode::OnSuspect(const std::string& fingerprint, int64_t crash_count, int64_t ttl_ms) {
  this->crashes.Merge(fingerprint, crash_count, ttl_ms, SteadyNow());
}

void RoutingNode::OnRosterChange() { this->targets.RebuildSubset(); }

void RoutingNode::OnConfigChange() {
  const auto config = this->view.config();
  for (auto at = this->admissions.begin(); at != this->admissions.end();) {
    const ServiceConfig* service = config->FindService(at->first);
    if (service == nullptr) {
      at = this->admissions.erase(at);
      continue;
    }
    at->second->SetLimits(LimitsOf(*service));
    ++at;
  }
  this->targets.RebuildSubset();
}

RoutingNode::Builder& RoutingNode::Builder::SetSettings(Settings value) {
  this->settings = std::move(value);
  return *this;
}

RoutingNode::Builder& RoutingNode::Builder::SetView(ClusterView value) {
  this->view = std::move(value);
  return *this;
}

RoutingNode::Builder& RoutingNode::Builder::SetHttpClient(HttpClient& value) {
  this->http = &value;
  return *this;
}

RoutingNode::Builder& RoutingNode::Builder::SetInstanceList(Endpoint value) {
  this->instance_list = std::move(value);
  return *this;
}

RoutingNode::Builder& RoutingNode::Builder::SetCommit(CommitHook value) {
  this->commit = std::move(value);
  return *this;
}

RoutingNode::Builder& RoutingNode::Builder::SetRead(ReadHook value) {
  this->read = std::move(value);
  return *this;
}

RoutingNode::Builder& RoutingNode::Builder::SetTracer(Tracer& value) {
  this->tracer = &value;
  return *this;
}

RoutingNode::Builder& RoutingNode::Builder::SetMetrics(Metrics& value) {
  this->metrics = &value;
  return *this;
}

RoutingNode::Builder& RoutingNode::Builder::SetSeed(uint64_t value) {
  this->seed = value;
  return *this;
}

RoutingNode::Builder& RoutingNode::Builder::SetBroadcastSuspect(CrashGuard::Broadcast value) {
  this->broadcast = std::move(value);
  return *this;
}

RoutingNode::Builder& RoutingNode::Builder::SetPick(PickHook value) {
  this->pick = std::move(value);
  return *this;
}

std::unique_ptr<RoutingNode> RoutingNode::Builder::Build() const {
  ANVILCROFT_CHECK(this->http != nullptr && this->tracer != nullptr && this->metrics != nullptr);
  ANVILCROFT_CHECK(this->commit && this->read);
  return std::unique_ptr<RoutingNode>(new RoutingNode(*this));
}

}  // namespace anvilcroft
