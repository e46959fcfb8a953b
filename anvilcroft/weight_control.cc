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
// Before an order without an answer is repeated. Both name the same number of accepted orders, so
// the engine carries out one of them, however late the first one comes.
constexpr Duration kUnknownPause = milliseconds(1500);
// The version before the named one serves the next step too.
constexpr int64_t kUsableLag = 1;
// An engine keeps its model while the model has at most this many engines beyond its share, so
// that small changes of the work move no engine.
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

const std::set<std::string>& WeightControl::HomeOf(const std::string& engine) const {
  static const std::set<std::string> none;
  const auto found = this->homes.find(engine);
  return found == this->homes.end() ? none : found->second;
}

double WeightControl::WorkOf(const std::string& model) {
  // The largest job that is open, or the last one seen.
  double now = 0;
  for (const auto& [id, job] : this->context.jobs) {
    if (job->head.model != model) continue;
    double events = 0;
    for (const OwnedItem& item : job->items) events += std::max(1.0, item.item.expected_tokens);
    now = std::max(now, events);
  }
  double& last = this->work[model];
  if (now > 0) last = now;
  return last;
}

void WeightControl::AssignHomes() {
  const auto& named = this->context.named_versions();
  // Engines and models of each service.
  std::map<std::string, std::vector<std::string>> engines;
  std::map<std::string, std::set<std::string>> models;
  for (const auto& [id, engine] : this->context.board.All()) {
    engines[engine.entry.service].push_back(id);
    for (const auto& [model, version] : engine.entry.versions) {
      models[engine.entry.service].insert(model);
    }
  }
  std::map<std::string, std::set<std::string>> next;
  for (const auto& [service, ids] : engines) {
    const auto& of_service = models[service];
    if (of_service.size() <= 1) {
      for (const std::string& id : ids) next[id] = of_service;
      continue;
    }
    // Each engine serves one model; loads of all models on all engines would take longer than the
    // time between versions. Keeps what is assigned unless the sets differ too much in size.
    std::map<std::string, std::vector<std::string>> assigned;
    std::vector<std::string> free;
    double total_work = 0;
    for (const std::string& model : of_service) {
      assigned[model];
      total_work += this->WorkOf(model);
    }
    // Engines in proportion to the work of the model's last step, one at least.
    std::map<std::string, double> share;
    for (const std::string& model : of_service) {
      const double of_model = total_work > 0 ? this->WorkOf(model) / total_work
                                             : 1.0 / static_cast<double>(of_service.size());
      share[model] = std::max(1.0, of_model * static_cast<double>(ids.size()));
    }
    for (const std::string& id : ids) {
      const auto before = this->homes.find(id);
      const bool keeps = before != this->homes.end() && before->second.size() == 1 &&
                         assigned.count(*before->second.begin()) != 0 &&
                         static_cast<double>(assigned[*before->second.begin()].size()) <
                             share[*before->second.begin()] + kShareSlack;
      if (keeps) {
        assigned[*before->second.begin()].push_back(id);
      } else {
        free.push_back(id);
      }
    }
    for (const std::string& id : free) {
      // The model with the fewest engines for its work; among equals the one that the engine is
      // nearest to.
      const EngineState& engine = *this->context.board.Find(id);
      const std::string* best = nullptr;
      std::pair<double, int64_t> best_order;
      for (const auto& [model, list] : assigned) {
        const auto version = engine.versions.find(model);
        const auto of_trainer = named.find(model);
        const int64_t behind = (of_trainer == named.end() ? 0 : of_trainer->second) -
                               (version == engine.versions.end() ? 0 : version->second);
        const std::pair<double, int64_t> order{static_cast<double>(list.size()) / share[model],
                                               behind};
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
  this->homes = std::move(next);
}

void WeightControl::Plan(const std::map<std::string, int>& waiting, TimePoint now) {
  this->AssignHomes();
  const HeldLease& lease = this->context.lease.Held();
  if (!lease.MayOrderAt(BootNow()) || lease.fencing == this->refused_fencing) return;
  std::map<std::string, std::vector<LoadableEngine>> by_service;
  for (const auto& [id, engine] : this->context.board.All()) {
    const PoolTarget* target = this->context.pool.Find(id);
    if (target == nullptr || target->entry.draining || target->removal_at) continue;
    if (engine.doubted && now >= engine.busy_until) {
      this->context.board.Find(id)->busy_until = now + kBusyPause;
      this->context.runtime.Spawn([this, entry = engine.entry](Task& task) {
        this->Ask(task, entry);
        this->context.wake.NotifyAll();
      });
    }
    LoadableEngine loadable;
    loadable.id = id;
    loadable.versions = engine.versions;
    loadable.running = engine.running;
    loadable.busy = !engine.loading_model.empty() || now < engine.busy_until || engine.doubted;
    loadable.home = this->HomeOf(id);
    by_service[engine.entry.service].push_back(std::move(loadable));
  }
  std::vector<ModelDemand> demands;
  for (const auto& [model, version] : this->context.named_versions()) {
    ModelDemand demand;
    demand.model = model;
    demand.named_version = version;
    demand.usable_version = version - kUsableLag;
    for (const auto& [id, job] : this->context.jobs) {
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
      this->context.board.Find(load.engine)->busy_until = now + kUnknownPause;
      this->context.runtime.Spawn([this, load](Task& task) { this->Order(task, load); });
    }
  }
}

bool WeightControl::Ask(Task& task, const TargetEntry& entry) {
  const auto report = this->context.engines.FetchReport(task, entry, SteadyNow() + kReportTimeout);
  EngineState* engine = this->context.board.Find(entry.id);
  if (engine == nullptr || !engine->entry.IsSameStart(entry)) return false;
  const TimePoint now = SteadyNow();
  if (!report) {
    engine->busy_until = now + kRefusedPause;
    LogInfo(kPart, "no report of an engine",
            {{"engine", entry.id}, {"error", report.error().message}});
    return false;
  }
  for (const auto& [model, version] : report->versions) engine->versions[model] = version;
  engine->doubted = false;
  if (report->busy) {
    engine->busy_until = now + kBusyPause;
    return false;
  }
  engine->orders_accepted = report->orders_accepted;
  return true;
}

void WeightControl::Order(Task& task, const PlannedLoad& load) {
  EngineState* engine = this->context.board.Find(load.engine);
  if (engine == nullptr) return;
  const TargetEntry entry = engine->entry;
  if (!engine->orders_accepted) {
    if (!this->Ask(task, entry)) return;
    engine = this->context.board.Find(load.engine);
    if (engine == nullptr || !engine->orders_accepted) return;
    if (engine->versions[load.model] >= load.version) {
      engine->busy_until = SteadyNow();
      return;
    }
  }
  platform::WeightOrder order;
  order.model = load.model;
  order.version = load.version;
  order.holder = this->context.instance;
  order.fencing = this->context.lease.Held().fencing;
  order.accepted_before = *engine->orders_accepted;
  const int64_t before = engine->versions[load.model];
  const OrderOutcome outcome =
      this->context.engines.Order(task, entry, order, [this, fencing = order.fencing] {
        const HeldLease& lease = this->context.lease.Held();
        return lease.fencing == fencing && lease.MayOrderAt(BootNow());
      });
  const TimePoint now = SteadyNow();
  LogInfo(kPart, "ordered a load",
          {{"engine", load.engine},
           {"model", load.model},
           {"from", std::to_string(before)},
           {"to", std::to_string(load.version)},
           {"fencing", std::to_string(order.fencing)},
           {"outcome", OutcomeName(outcome)}});
  this->context.metrics.Count("anvilcroft_weight_orders_total",
                              {{"outcome", OutcomeName(outcome)}});
  engine = this->context.board.Find(load.engine);
  if (engine == nullptr || !engine->entry.IsSameStart(entry)) return;
  switch (outcome) {
    case OrderOutcome::kAccepted:
      engine->busy_until = now;
      this->context.board.LoadStarted(load.engine, load.model, load.version, now);
      break;
    case OrderOutcome::kAlreadyLoaded:
      engine->busy_until = now;
      this->context.board.VersionSeen(load.engine, load.model, load.version);
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
  this->context.wake.NotifyAll();
}

}  // namespace anvilcroft
