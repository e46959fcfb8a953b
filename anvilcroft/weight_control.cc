#include "anvilcroft/weight_control.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

using platform::OrderOutcome;

constexpr char kPart[] = "weights";
constexpr Duration kReportTimeout = milliseconds(700);
constexpr Duration kBusyPause = milliseconds(400);  // a load takes about 900 ms
constexpr Duration kRefusedPause = milliseconds(1000);
// Delay before an order without an answer is repeated. Both orders carry the same number of
// accepted orders, so the engine executes only one of them, however late the first one arrives.
constexpr Duration kUnknownPause = milliseconds(1500);
// The next step can also use the version before the requested one.
constexpr int64_t kUsableLag = 1;
// An engine keeps its model while the model has at most this many engines more than its share, so
// that small changes of the work do not reassign engines.
constexpr double kShareSlack = 0.75;

const char* OutcomeName(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kAccepted:
      return "accepted";
    case OrderOutcome::kAlreadyLoaded:
      return "holds";
    case OrderOutcome::kBusy:
      return "busy";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kRefused:
      return "refused";
    case OrderOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

const std::set<std::string>& WeightControl::AssignedModels(const std::string& engine) const {
  static const std::set<std::string> none;
  const auto found = this->assignments.find(engine);
  return found == this->assignments.end() ? none : found->second;
}

double WeightControl::WorkOfLastStep(const std::string& model) {
  double open_work = 0;
  for (const auto& [id, job] : this->context.jobs.Loaded()) {
    if (job->head.model != model) continue;
    double job_work = 0;
    for (const OwnedItem& item : job->items) job_work += std::max(1.0, item.item.expected_tokens);
    open_work = std::max(open_work, job_work);
  }
  double& last_work = this->last_step_work[model];
  if (open_work > 0) last_work = open_work;
  return last_work;
}

void WeightControl::AssignModels() {
  const auto& requested = this->context.requested_versions();
  // By service.
  std::map<std::string, std::vector<std::string>> engines;
  std::map<std::string, std::set<std::string>> models;
  for (const auto& [id, engine] : this->context.engine_tracker.All()) {
    engines[engine.entry.service].push_back(id);
    for (const auto& [model, version] : engine.entry.versions) {
      models[engine.entry.service].insert(model);
    }
  }
  std::map<std::string, std::set<std::string>> next;
  for (const auto& [service, ids] : engines) {
    const auto& service_models = models[service];
    if (service_models.size() <= 1) {
      for (const std::string& id : ids) next[id] = service_models;
      continue;
    }
    // Each engine serves one model, because loading all models on all engines would take longer
    // than the time between versions. An engine keeps its model unless the model has too many
    // engines.
    std::map<std::string, std::vector<std::string>> assigned;
    std::vector<std::string> unassigned;
    double total_work = 0;
    for (const std::string& model : service_models) {
      assigned[model];
      total_work += this->WorkOfLastStep(model);
    }
    // Number of engines in proportion to the work of the model's last step, at least one.
    std::map<std::string, double> share;
    for (const std::string& model : service_models) {
      const double model_share = total_work > 0 ? this->WorkOfLastStep(model) / total_work
                                                : 1.0 / static_cast<double>(service_models.size());
      share[model] = std::max(1.0, model_share * static_cast<double>(ids.size()));
    }
    for (const std::string& id : ids) {
      const auto before = this->assignments.find(id);
      const bool keeps_model = before != this->assignments.end() && before->second.size() == 1 &&
                               assigned.count(*before->second.begin()) != 0 &&
                               static_cast<double>(assigned[*before->second.begin()].size()) <
                                   share[*before->second.begin()] + kShareSlack;
      if (keeps_model) {
        assigned[*before->second.begin()].push_back(id);
      } else {
        unassigned.push_back(id);
      }
    }
    for (const std::string& id : unassigned) {
      // The model with the fewest engines relative to its share; among equals the one for which the
      // engine is the fewest versions behind.
      const EngineState& engine = *this->context.engine_tracker.Find(id);
      const std::string* best = nullptr;
      std::pair<double, int64_t> best_order;
      for (const auto& [model, list] : assigned) {
        const auto version = engine.versions.find(model);
        const auto requested_entry = requested.find(model);
        const int64_t versions_behind =
            (requested_entry == requested.end() ? 0 : requested_entry->second) -
            (version == engine.versions.end() ? 0 : version->second);
        const std::pair<double, int64_t> order{static_cast<double>(list.size()) / share[model],
                                               versions_behind};
        if (best == nullptr || order < best_order) {
          best = &model;
          best_order = order;
        }
      }
      assigned[*best].push_back(id);
    }
    for (const auto& [model, list] : assigned) {
      for (const std::string& id : list) next[id] = {model};
    }
  }
  this->assignments = std::move(next);
}

void WeightControl::Plan(const std::map<std::string, int>& waiting, TimePoint now) {
  this->AssignModels();
  const HeldLease& lease = this->context.lease.Held();
  if (!lease.MayOrderAt(BootNow()) || !this->context.scope.MayOrderAt(BootNow()) ||
      lease.fencing == this->refused_fencing) {
    return;
  }
  std::map<std::string, std::vector<LoadableEngine>> by_service;
  for (const auto& [id, engine] : this->context.engine_tracker.All()) {
    const PoolTarget* target = this->context.pool.Find(id);
    if (target == nullptr || target->Leaving() || target->removal_at) continue;
    if (engine.unconfirmed && now >= engine.busy_until) {
      this->context.engine_tracker.Find(id)->busy_until = now + kBusyPause;
      this->context.runtime.Spawn([this, entry = engine.entry](Task& task) {
        this->QueryEngine(task, entry);
        this->context.plan_inputs_changed.NotifyAll();
      });
    }
    LoadableEngine loadable;
    loadable.id = id;
    loadable.versions = engine.versions;
    loadable.running = engine.running;
    loadable.busy = !engine.loading_model.empty() || now < engine.busy_until || engine.unconfirmed;
    loadable.assigned_models = this->AssignedModels(id);
    by_service[engine.entry.service].push_back(std::move(loadable));
  }
  std::vector<ModelDemand> demands;
  for (const auto& [model, version] : this->context.requested_versions()) {
    ModelDemand demand;
    demand.model = model;
    demand.requested_version = version;
    demand.usable_version = version - kUsableLag;
    for (const auto& [id, job] : this->context.jobs.Loaded()) {
      if (job->head.model == model) {
        demand.usable_version = std::max(demand.usable_version, job->head.min_version);
      }
    }
    const auto found = waiting.find(model);
    demand.waiting = found == waiting.end() ? 0 : found->second;
    demands.push_back(std::move(demand));
  }
  for (const auto& [service, engines] : by_service) {
    const int parallel = std::max(
        kMinParallel,
        static_cast<int>(std::lround(static_cast<double>(engines.size()) * kParallelShare)));
    for (const PlannedLoad& load : PlanLoads(engines, demands, parallel)) {
      this->context.engine_tracker.Find(load.engine)->busy_until =
          now + kUnknownPause + RequestLimiter::kMaxOrderWait;
      this->context.runtime.Spawn([this, load](Task& task) { this->SendOrder(task, load); });
    }
  }
}

bool WeightControl::QueryEngine(Task& task, const TargetEntry& entry) {
  auto permit = this->context.limiter.Acquire(task, entry, CallPurpose::kReport,
                                              RequestLimiter::kMaxOrderWait);
  const auto report = permit
                          ? this->context.engines.FetchReport(task, std::move(*permit), entry,
                                                              SteadyNow() + kReportTimeout)
                          : Result<platform::EngineReport>(tl::unexpected<Error>(permit.error()));
  EngineState* engine = this->context.engine_tracker.Find(entry.id);
  if (engine == nullptr || !engine->entry.IsSameStart(entry)) return false;
  const TimePoint now = SteadyNow();
  if (!report) {
    engine->busy_until = now + kRefusedPause;
    LogInfo(kPart, "could not read the report of an engine",
            {{"engine", entry.id}, {"error", report.error().message}});
    return false;
  }
  for (const auto& [model, version] : report->versions) engine->versions[model] = version;
  engine->unconfirmed = false;
  if (report->busy) {
    engine->busy_until = now + kBusyPause;
    return false;
  }
  engine->orders_accepted = report->orders_accepted;
  return true;
}

void WeightControl::SendOrder(Task& task, const PlannedLoad& load) {
  EngineState* engine = this->context.engine_tracker.Find(load.engine);
  if (engine == nullptr) return;
  const TargetEntry entry = engine->entry;
  if (!engine->orders_accepted) {
    if (!this->QueryEngine(task, entry)) return;
    engine = this->context.engine_tracker.Find(load.engine);
    if (engine == nullptr || !engine->orders_accepted) return;
    if (engine->versions[load.model] >= load.version) {
      engine->busy_until = SteadyNow();
      return;
    }
  }
  auto permit = this->context.limiter.Acquire(task, entry, CallPurpose::kOrder,
                                              RequestLimiter::kMaxOrderWait);
  engine = this->context.engine_tracker.Find(load.engine);
  if (engine == nullptr || !engine->orders_accepted) return;
  if (!permit) {
    engine->busy_until = SteadyNow() + kBusyPause;
    return;
  }
  platform::WeightOrder order;
  order.model = load.model;
  order.version = load.version;
  order.holder = this->context.instance;
  order.fencing = this->context.lease.Held().fencing;
  order.accepted_before = *engine->orders_accepted;
  const int64_t before = engine->versions[load.model];
  const OrderOutcome outcome = this->context.engines.SendOrder(
      task, std::move(*permit), entry, order, [this, &entry, fencing = order.fencing] {
        const HeldLease& lease = this->context.lease.Held();
        return lease.fencing == fencing && lease.MayOrderAt(BootNow()) &&
               this->context.scope.MayOrderAt(BootNow()) && this->context.scope.OwnsEngine(entry);
      });
  const TimePoint now = SteadyNow();
  LogInfo(kPart, "attempted to order the load of a weight version",
          {{"engine", load.engine},
           {"model", load.model},
           {"from", std::to_string(before)},
           {"to", std::to_string(load.version)},
           {"fencing", std::to_string(order.fencing)},
           {"outcome", OutcomeName(outcome)}});
  this->context.metrics.Increment("anvilcroft_weight_orders_total",
                                  {{"outcome", OutcomeName(outcome)}});
  engine = this->context.engine_tracker.Find(load.engine);
  if (engine == nullptr || !engine->entry.IsSameStart(entry)) return;
  switch (outcome) {
    case OrderOutcome::kAccepted:
      engine->busy_until = now;
      this->context.engine_tracker.RecordLoadStarted(load.engine, load.model, load.version, now);
      break;
    case OrderOutcome::kAlreadyLoaded:
      engine->busy_until = now;
      this->context.engine_tracker.RecordVersion(load.engine, load.model, load.version);
      break;
    case OrderOutcome::kBusy:
      engine->orders_accepted.reset();
      engine->busy_until = now + kBusyPause;
      break;
    case OrderOutcome::kFenced:
      this->refused_fencing = order.fencing;
      break;
    case OrderOutcome::kRefused:
      engine->orders_accepted.reset();
      engine->busy_until = now + kRefusedPause;
      break;
    case OrderOutcome::kUnknown:
      engine->orders_accepted.reset();
      engine->busy_until = now + kUnknownPause;
      break;
  }
  this->context.plan_inputs_changed.NotifyAll();
}

}  // namespace anvilcroft
