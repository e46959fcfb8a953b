#include "fakes/fake_engine.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "anvilcroft/json.h"

namespace anvilcroft::fakes {

using nlohmann::json;

FakeEngine::FakeEngine(Runtime& runtime, const Options& options)
    : options(options),
      server(runtime, options.address),
      http(runtime),
      cache_events(options.seed, options.cache_event_lag, options.cache_event_loss),
      cache([this](const PrefixCache::Block& block, bool stored) {
        this->cache_events.Record(SteadyNow(), block, stored);
      }),
      batch(options.batch, this->cache),
      orders(options.loaded, options.orders, this->MakeHooks()) {
  this->AddRoutes();
}

EngineOrders::Hooks FakeEngine::MakeHooks() {
  EngineOrders::Hooks hooks;
  hooks.download = [this](Task& task, int64_t version) {
    return this->DownloadWeights(task, version);
  };
  hooks.delay = [this](Task& task, Duration time) { return this->server.Delay(task, time); };
  hooks.fail_swap = [this] { return FaultPlan::ConsumeOne(this->server.Faults().fail_swaps); };
  hooks.weights_changed = [this] { this->cache.Clear(); };
  hooks.millis = [this] { return this->server.ElapsedMillis(); };
  return hooks;
}

Result<std::string> FakeEngine::Start() {
  auto bound = this->server.Start();
  if (!bound) return bound;
  this->instance_start =
      this->options.id + "-" + std::to_string(WallNow()) + "-" + std::to_string(++this->starts);
  this->RecordLoad();
  this->server.Loop().Spawn([this](Task& task) { this->RunBatch(task); });
  return bound;
}

void FakeEngine::Crash() {
  this->server.Crash();
  this->batch.EndAll(Generation::State::kAborted);
  this->orders.Reset();
  this->cache.Clear();
  if (this->options.on_crash) this->options.on_crash();
}

void FakeEngine::Restart() {
  this->leaving = false;
  this->instance_start =
      this->options.id + "-" + std::to_string(WallNow()) + "-" + std::to_string(++this->starts);
  this->loads.clear();
  this->RecordLoad();
  this->server.Reopen();
}

double FakeEngine::SlowdownFactor() {
  const FaultPlan& faults = this->server.Faults();
  return faults.mode == FaultPlan::Mode::kSlow ? faults.factor : 1;
}

void FakeEngine::RunBatch(Task& task) {
  const std::shared_ptr<Event> event = this->work_added;
  TimePoint next = SteadyNow();
  while (true) {
    while (this->batch.Idle()) {
      event->Wait(task);
      next = SteadyNow();
    }
    const std::chrono::duration<double> step(this->SlowdownFactor() /
                                             this->options.tokens_per_second);
    // A delay shortens at most the current step and isn't made up for in later ones, so that a
    // busy machine doesn't produce a burst of tokens.
    next = std::max(next + std::chrono::duration_cast<Duration>(step), SteadyNow());
    SleepUntil(task, next);
    if (this->orders.Installing()) continue;
    const int64_t version = this->orders.Current().weight_version;
    for (const auto& item : this->batch.Step(SteadyNow(), version, this->SlowdownFactor())) {
      this->LogEvent("finished", *item);
    }
    this->RecordLoad();
  }
}

Result<void> FakeEngine::DownloadWeights(Task& task, int64_t version) {
  if (this->options.weight_store.empty()) return {};
  const auto endpoint = ParseEndpoint(this->options.weight_store);
  if (!endpoint) return tl::unexpected<Error>(endpoint.error());
  const auto request = HttpRequest::Builder()
                           .SetTarget("/v1/weights/" + PercentEncode(this->options.service) + "/" +
                                      std::to_string(version))
                           .Build();
  const auto response =
      this->http.Call(task, *endpoint, request, CallOptions(SteadyNow() + seconds(120)));
  if (!response) return tl::unexpected<Error>(response.error());
  if (response->Status() == 200) return {};
  return Fail(ErrorCode::kSwapFailed,
              "weight store answered with status " + std::to_string(response->Status()));
}

void FakeEngine::RecordLoad() {
  const int64_t kv = this->options.batch.kv_tokens;
  json report = {
      {"running", this->batch.Running()},
      {"waiting", this->batch.Waiting()},
      {"kv_free", static_cast<double>(this->batch.FreeKvTokens()) / static_cast<double>(kv)}};
  if (!this->loads.empty() && this->loads.back().report == report) return;
  this->loads.push_back(LoadReport{SteadyNow(), std::move(report)});
  this->ReportedLoad();
}

json FakeEngine::ReportedLoad() {
  const TimePoint reported_at = SteadyNow() - this->options.load_lag;
  while (this->loads.size() > 1 && this->loads[1].at <= reported_at) this->loads.pop_front();
  return this->loads.front().report;
}

json FakeEngine::State() {
  const EngineOrders::Loaded& loaded = this->orders.Current();
  return {{"id", this->options.id},
          {"instance_start", this->instance_start},
          {"zone", this->options.zone},
          {"service", this->options.service},
          {"model", loaded.model},
          {"adapters", loaded.adapters},
          {"weight_version", loaded.weight_version},
          {"role", loaded.role},
          {"swapping", this->orders.Swapping()},
          {"last_swap_error", this->orders.LastError()},
          {"leaving", this->leaving},
          {"checks_fencing", this->orders.ChecksFencing()},
          {"last_fencing", this->orders.HighestFencing()},
          {"load", this->ReportedLoad()}};
}

void FakeEngine::LogEvent(const std::string& event, const Generation& item) {
  this->log.push_back({{"request_id", item.request_id},
                       {"event", event},
                       {"at_ms", this->server.ElapsedMillis()},
                       {"resumed", item.resumed_tokens},
                       {"produced", item.produced},
                       {"max_tokens", item.max_tokens}});
}

FakeEngine::Builder& FakeEngine::Builder::SetAddress(std::string value) {
  this->options.address = std::move(value);
  return *this;
}

FakeEngine::Builder& FakeEngine::Builder::SetId(std::string value) {
  this->options.id = std::move(value);
  return *this;
}

FakeEngine::Builder& FakeEngine::Builder::SetZone(std::string value) {
  this->options.zone = std::move(value);
  return *this;
}

FakeEngine::Builder& FakeEngine::Builder::SetService(std::string value) {
  this->options.service = std::move(value);
  return *this;
}

FakeEngine::Builder& FakeEngine::Builder::SetSeed(uint64_t value) {
  this->options.seed = value;
  return *this;
}

FakeEngine::Builder& FakeEngine::Builder::SetTokensPerSecond(double value) {
  this->options.tokens_per_second = value;
  return *this;
}

FakeEngine::Builder& FakeEngine::Builder::SetPrefillTokensPerSecond(double value) {
  this->options.batch.prefill_tokens_per_second = value;
  return *this;
}

FakeEngine::Builder& FakeEngine::Builder::SetBatchSize(std::size_t value) {
  this->options.batch.max_running = value;
  return *this;
}

FakeEngine::Builder& FakeEngine::Builder::SetKvTokens(int64_t value) {
  this->options.batch.kv_tokens = value;
  return *this;
}

FakeEngine::Builder& FakeEngine::Builder::SetWeightStore(std::string value) {
  this->options.weight_store = std::move(value);
  return *this;
}

FakeEngine::Builder& FakeEngine::Builder::SetWeightVersion(int64_t value) {
  this->options.loaded.weight_version = value;
  return *this;
}

FakeEngine::Builder& FakeEngine::Builder::SetSwapTime(Duration value) {
  this->options.orders.swap_time = value;
  return *this;
}

FakeEngine::Builder& FakeEngine::Builder::SetChecksFencing(bool value) {
  this->options.orders.checks_fencing = value;
  return *this;
}

FakeEngine::Builder& FakeEngine::Builder::SetLoadLag(Duration value) {
  this->options.load_lag = value;
  return *this;
}

FakeEngine::Builder& FakeEngine::Builder::SetCacheEvents(Duration lag, double loss) {
  this->options.cache_event_lag = lag;
  this->options.cache_event_loss = loss;
  return *this;
}

FakeEngine::Builder& FakeEngine::Builder::SetOnCrash(std::function<void()> value) {
  this->options.on_crash = std::move(value);
  return *this;
}

std::unique_ptr<FakeEngine> FakeEngine::Builder::Build() const {
  return std::unique_ptr<FakeEngine>(new FakeEngine(this->runtime, this->options));
}

}  // namespace anvilcroft::fakes
