#include "anvilcroft/rollout_node.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/engine_control.h"
#include "anvilcroft/engine_owner.h"
#include "anvilcroft/object_client.h"
#include "anvilcroft/sample_delivery.h"
#include "anvilcroft/sample_store.h"
#include "anvilcroft/shard_worker.h"
#include "anvilcroft/store_access.h"
#include "anvilcroft/swap_schedule.h"
#include "anvilcroft/trainer_api.h"
#include "anvilcroft/weight_catalog.h"

namespace anvilcroft {

class RolloutNodeImpl : public RolloutNode {
 public:
  explicit RolloutNodeImpl(const Builder& builder)
      : view(builder.view),
        notify(builder.notify),
        role(builder.role),
        store(StoreAccess::FromClients(*builder.table, *builder.queue)),
        objects(*builder.http, builder.objects),
        weights(builder.runtime, this->store, [this] { this->control->CheckNow(); }),
        owner(builder.runtime, builder.view, this->store, builder.targets,
              [this](const std::string& target_id) { this->control->StartPolling(target_id); }),
        samples(this->store),
        context{
            builder.runtime,   this->samples,   this->objects,     *builder.tracer,
            *builder.metrics,  builder.run,     builder.view.self, std::mt19937_64(builder.seed),
            StragglerBudget(), EngineVersions()},
        worker(this->context, builder.view),
        delivery(
            this->store, this->objects, builder.view.holds_lease,
            [this](int shard) { this->NotifyShard(shard); }, *builder.metrics),
        api(builder.view, this->store, this->samples, this->delivery, this->weights,
            this->ApiHooks()) {
    this->control =
        EngineControl::Builder(builder.runtime)
            .SetHttpClient(*builder.http)
            .SetMetrics(*builder.metrics)
            .SetFindOwned([this](const std::string& id) { return this->owner.Find(id); })
            .SetSpec([this](const Target& target) { return this->SpecOf(target); })
            .SetHoldsLease(builder.view.holds_lease)
            .SetReport([this, report = builder.report](const EngineReport& state) {
              this->context.versions.Observe(state.id, state.weight_version, SteadyNow());
              report(state);
            })
            .SetOnTokenRefused([this](const std::string& id, RowVersion token) {
              this->owner.OnTokenRefused(id, token, SteadyNow());
            })
            .SetSeed(builder.seed + 1)
            .Build();
    Metrics& metrics = *builder.metrics;
    metrics.RegisterGauge("anvilcroft_owned_engines", {},
                          [this] { return static_cast<double>(this->owner.Count()); });
    metrics.RegisterGauge("anvilcroft_running_samples", {},
                          [this] { return static_cast<double>(this->worker.RunningSamples()); });
  }

  void Start() override {
    this->weights.Start();
    this->owner.Start();
    this->worker.Start();
  }

  void RegisterRoutes(HttpRouter& router) override { this->api.RegisterRoutes(router); }

  void OnNotify(const std::string& topic, const nlohmann::json& payload) override {
    if (topic != "group_shard" || !payload.is_object()) return;
    const auto shard = payload.find("shard");
    if (shard == payload.end() || !shard->is_number_integer()) return;
    const auto number = shard->get<int64_t>();
    if (number >= 0 && number < GroupId::kShards) this->worker.Notify(static_cast<int>(number));
  }

  void OnRosterChange() override {
    this->worker.OnRosterChange();
    this->owner.CheckNow();
  }

  void OnConfigChange() override { this->control->CheckNow(); }

  void OnWeightsChange() override { this->weights.OnWeightsChange(); }

  void StopTakingWork() override {
    this->worker.Stop();
    this->control->StopOrders();
  }

  bool Idle() const override { return this->worker.Idle() && this->control->OrdersInFlight() == 0; }

 private:
  TrainerApi::Hooks ApiHooks() {
    return TrainerApi::Hooks{[this] { this->notify("head", nlohmann::json::object()); },
                             [this](int shard) { this->NotifyShard(shard); }};
  }

  void NotifyShard(int shard) {
    this->worker.Notify(shard);
    nlohmann::json payload = nlohmann::json::object();
    payload["shard"] = shard;
    this->notify("group_shard", payload);
  }

  EngineControl::Spec SpecOf(const Target& target) {
    EngineControl::Spec spec;
    spec.goal.service = target.Service();
    if (this->role) spec.goal.role = this->role(target);
    const auto config = this->view.config();
    spec.goal.revision = config->Version();
    if (const ServiceConfig* service = config->FindService(target.Service())) {
      spec.goal.model = service->Model();
      spec.downloads_per_second = service->DownloadsPerSecond();
      spec.max_swapping = service->MaxSwapping();
      spec.swap_time = milliseconds(static_cast<int64_t>(1000 * service->SwapSeconds()));
    }
    WallMillis published = 0;
    if (const auto newest = this->weights.Find(target.Service())) {
      spec.goal.weight_version = newest->version;
      spec.goal.weight_uri = newest->uri;
      published = newest->published_ms;
    }
    spec.since_published = milliseconds(std::max<int64_t>(0, WallNow() - published));
    return spec;
  }

  ClusterView view;
  Builder::Notify notify;
  std::function<std::string(const Target&)> role;
  StoreAccess store;
  ObjectClient objects;
  std::unique_ptr<EngineControl> control;
  WeightCatalog weights;
  EngineOwner owner;
  SampleStore samples;
  GroupRunner::Context context;
  ShardWorker worker;
  SampleDelivery delivery;
  TrainerApi api;
};

RolloutNode::Builder& RolloutNode::Builder::SetView(ClusterView value) {
  this->view = std::move(value);
  return *this;
}

RolloutNode::Builder& RolloutNode::Builder::SetHttpClient(HttpClient& value) {
  this->http = &value;
  return *this;
}

RolloutNode::Builder& RolloutNode::Builder::SetTable(TableClient& value) {
  this->table = &value;
  return *this;
}

RolloutNode::Builder& RolloutNode::Builder::SetCommitQueue(CommitQueue& value) {
  this->queue = &value;
  return *this;
}

RolloutNode::Builder& RolloutNode::Builder::SetObjects(Endpoint value) {
  this->objects = std::move(value);
  return *this;
}

RolloutNode::Builder& RolloutNode::Builder::SetRun(Run value) {
  this->run = std::move(value);
  return *this;
}

RolloutNode::Builder& RolloutNode::Builder::SetTargets(std::function<std::vector<Target>()> value) {
  this->targets = std::move(value);
  return *this;
}

RolloutNode::Builder& RolloutNode::Builder::SetReport(
    std::function<void(const EngineReport&)> value) {
  this->report = std::move(value);
  return *this;
}

RolloutNode::Builder& RolloutNode::Builder::SetNotify(Notify value) {
  this->notify = std::move(value);
  return *this;
}

RolloutNode::Builder& RolloutNode::Builder::SetRole(
    std::function<std::string(const Target&)> value) {
  this->role = std::move(value);
  return *this;
}

RolloutNode::Builder& RolloutNode::Builder::SetTracer(Tracer& value) {
  this->tracer = &value;
  return *this;
}

RolloutNode::Builder& RolloutNode::Builder::SetMetrics(Metrics& value) {
  this->metrics = &value;
  return *this;
}

RolloutNode::Builder& RolloutNode::Builder::SetSeed(uint64_t value) {
  this->seed = value;
  return *this;
}

std::unique_ptr<RolloutNode> RolloutNode::Builder::Build() const {
  ANVILCROFT_CHECK(this->http != nullptr && this->table != nullptr && this->queue != nullptr);
  ANVILCROFT_CHECK(this->tracer != nullptr && this->metrics != nullptr);
  ANVILCROFT_CHECK(this->run && this->targets && this->report && this->notify);
  return std::make_unique<RolloutNodeImpl>(*this);
}

}  // namespace anvilcroft
