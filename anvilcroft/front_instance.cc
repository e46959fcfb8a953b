#include "anvilcroft/front_instance.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "anvilcroft/batch_owner.h"
#include "anvilcroft/batch_service.h"
#include "anvilcroft/crash_limiter.h"
#include "anvilcroft/customers/config_peers.h"
#include "anvilcroft/customers/refused_keys.h"
#include "anvilcroft/fleet/slice_owners.h"
#include "anvilcroft/front_directory.h"
#include "anvilcroft/hash.h"
#include "anvilcroft/http_server.h"
#include "anvilcroft/instance_records.h"
#include "anvilcroft/internal_api.h"
#include "anvilcroft/lease_peers.h"
#include "anvilcroft/limits/front_limits.h"
#include "anvilcroft/live_service.h"
#include "anvilcroft/live_streamer.h"
#include "anvilcroft/log.h"
#include "anvilcroft/platform_view.h"
#include "anvilcroft/request_limiter.h"
#include "anvilcroft/scaling/engine_scaler.h"
#include "anvilcroft/store_calls.h"
#include "anvilcroft/target_paths.h"
#include "anvilcroft/usage/usage_duty.h"
#include "platform/ingress.h"
#include "platform/store_client.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "instance";
constexpr std::size_t kMaxAddresses = 64;  // callers ignore any beyond these
// Callers use an answer of the directory for up to three times its TTL.
constexpr int kAddressTtlMultiple = 3;
// Time to save texts for the next owner, which is better off without them if saving takes longer.
constexpr Duration kHandoverTimeout = milliseconds(700);
// Part of the grace period that is reserved for the last responses and the exit.
constexpr Duration kExitMargin = milliseconds(700);
// Part of kExitMargin in which the last counts of usage are written.
constexpr Duration kLastCountsTime = milliseconds(450);
// Idle connections of callers are closed this much later than callers stop using them.
constexpr Duration kIdleMargin = seconds(2);
// Number of instances that an owner without access to the store asks for a later lease record:
// those that may acquire the lease, and one more.
constexpr std::size_t kMaxLeasePeers = 4;
constexpr std::size_t kAllInstances = SIZE_MAX;
// Retry-After of refused requests.
constexpr Duration kRetryAfter = milliseconds(100);       // another target or instance may serve it
constexpr Duration kStoreRetryAfter = milliseconds(300);  // outages of the store last seconds
// Subtracted from the time within which items of an ended job may still start, for the time between
// the check of the job and the item's arrival at the engine.
constexpr Duration kCancelMargin = milliseconds(450);

}  // namespace

class FrontInstance::Impl {
 public:
  Impl(Runtime& runtime, const FrontSettings& settings, std::function<void()> on_stopped)
      : runtime(runtime),
        settings(settings),
        on_stopped(std::move(on_stopped)),
        limits(settings.Limits(), this->metrics),
        store(this->runtime, settings.StoreAddress(),
              [this](const char* call, const char* outcome, Duration took) {
                this->store_calls.Record(call, outcome, took,
                                         this->store.LastFailure() < this->store.LastAnswer());
              }),
        engines(this->runtime, this->MakeAnswerHooks(), this->MakePathHooks()),
        paths(this->runtime, this->directory, this->pool, this->metrics,
              StableHash(settings.InstanceId()) + 2),
        relay([this](const std::string& id, WallMillis start) { return this->Usable(id, start); },
              [this] { return this->paths.CutOff(); },
              [this](Task& task, const TargetEntry& target, const HttpRequest& message,
                     const CallOptions& options) {
                return this->engines.OpenForPeer(task, target, message, options);
              }),
        view(
            this->runtime, this->store, this->pool, [this] { this->OnPlatformChange(); },
            [this] { return this->directory.FeedPause(); }),
        directory(this->runtime, this->store, SelfRecord(settings), settings.StoreWritesPerS(),
                  settings.StoreReadsPerS()),
        limiter(RequestLimiter::Builder(this->runtime, this->metrics)
                    .SetStore(this->store)
                    .SetDirectory(this->directory)
                    .SetPool(this->pool)
                    .SetSelf(settings.InstanceId())
                    .Build()),
        crashes(this->runtime, this->store, this->directory, this->metrics,
                [this] { return this->paths.CutOff(); }),
        origins(this->runtime, this->store, this->directory, this->pool,
                [this] { return this->view.Routes(); }),
        forwarder(
            this->runtime, this->engines, *this->limiter, this->crashes, this->pool,
            [this] { return this->view.Routes(); }, settings.Zone(),
            StableHash(settings.InstanceId())),
        streamer(
            this->engines, *this->limiter, this->crashes, this->origins, this->pool,
            [this] { return this->view.Routes(); }, settings.Zone(),
            StableHash(settings.InstanceId()) + 1),
        live(this->forwarder, this->streamer, this->metrics,
             [this] { return this->view.Routes(); }),
        batch_store(this->store),
        batch_service(this->batch_store, this->store, [this] { return this->view.Routes(); }),
        lease_keeper(
            this->runtime, this->store, OwnerLeaseSettings(settings),
            [this] { return this->directory.TakeoverRank(); },
            [this] { this->context.plan_inputs_changed.NotifyAll(); }),
        lease_peers(this->runtime,
                    [this] { return this->directory.TakeoverCandidates(kMaxLeasePeers); }),
        context(this->MakeContext(this->lease_keeper)),
        slices(
            this->runtime, this->store, this->directory, OwnerLeaseSettings(settings),
            settings.EnginesPerSlice(),
            [this](LeaseKeeper& keeper) {
              return std::unique_ptr<BatchContext>(new BatchContext(this->MakeContext(keeper)));
            },
            [this] { return this->paths.CutOff(); }),
        batch_owner(this->context),
        config_peers(
            this->runtime, this->view, this->metrics,
            [this] { return this->directory.TakeoverCandidates(kAllInstances); },
            StableHash(settings.InstanceId()) + 3),
        usage(UsageDuty::Create(this->runtime, this->store, this->directory, this->metrics,
                                settings, [this] { return this->lease_keeper.Held(); })),
        internal_api({this->relay, *this->limiter, this->lease_keeper, this->slices,
                      this->batch_owner, this->config_peers, this->metrics,
                      [this] { return this->stopping; }}),
        ingress(this->MakeHooks()) {
    if (settings.Cloud() && settings.Cloud()->order_engines) {
      this->scaler =
          std::make_unique<EngineScaler>(this->context, *settings.Cloud(), settings.OwnerLease());
    }
  }

  bool Start() {
    LogInfo(kPart, "starting",
            {{"instance", this->settings.InstanceId()},
             {"zone", this->settings.Zone()},
             {"front", this->settings.FrontAddress().ToString()},
             {"store", this->settings.StoreAddress().ToString()},
             {"version", ANVILCROFT_VERSION}});
    if (!this->StartServers()) return false;
    this->limits.Start(this->runtime);
    this->metrics.RegisterCounter("anvilcroft_log_lines_left_out_total", {},
                                  [] { return static_cast<double>(DroppedLogLines()); });
    this->metrics.RegisterGauge("anvilcroft_config_version", {}, [this] {
      const auto routes = this->view.Routes();
      return routes ? static_cast<double>(routes->Version()) : 0.0;
    });
    this->metrics.RegisterGauge("anvilcroft_config_confirmed_age_seconds", {}, [this] {
      return std::chrono::duration<double>(SteadyNow() - this->view.RoutesConfirmedAt()).count();
    });
    this->metrics.RegisterGauge("anvilcroft_targets", {},
                                [this] { return static_cast<double>(this->pool.All().size()); });
    this->metrics.RegisterGauge("anvilcroft_live_instances", {}, [this] {
      return static_cast<double>(this->directory.LiveFronts().size());
    });
    this->metrics.RegisterGauge("anvilcroft_owns_batch_jobs", {},
                                [this] { return this->OwnsBatchJobs() ? 1.0 : 0.0; });
    this->metrics.RegisterGauge("anvilcroft_open_batch_jobs", {}, [this] {
      return static_cast<double>(this->context.jobs.Loaded().size());
    });
    this->directory.SetAddresses(this->front_address, this->metrics_address);
    this->lease_keeper.SetPeerQuery(
        [this](Task& task, int64_t term) { return this->lease_peers.FindLaterRecord(task, term); });
    this->lease_keeper.SetOffer([this](Task& task, const OwnerRecord& record) {
      return this->lease_peers.OfferLease(task, {record, this->batch_owner.UnfinishedTexts()});
    });
    // A holder runs the items and orders the engines, which it can do on its own path only.
    this->lease_keeper.SetUnfit([this] { return this->paths.CutOff(); });
    this->lease_keeper.SetEndedQuery([this](Task& task, const std::string& holder) {
      return LeasePeers::HasEnded(task, this->directory.InternalAddress(holder));
    });
    this->slices.Start(this->context, this->lease_keeper);
    this->limiter->Start();
    this->crashes.Start();
    this->paths.Start();
    this->origins.Start();
    this->view.Start();
    this->config_peers.Start();
    this->directory.Start();
    this->lease_keeper.Start();
    this->batch_owner.Start();
    if (this->usage) {
      this->live.SetUsageRecorder(this->usage->Recorder());
      this->usage->Start();
    }
    if (this->scaler) this->scaler->Start();
    return true;
  }

  void ApplySettings(const FrontSettings& changed, const char* cause) {
    if (changed == this->settings) return;
    LogInfo(kPart, "applied changed settings",
            {{"cause", cause}, {"store", changed.StoreAddress().ToString()}});
    this->store.SetAddress(changed.StoreAddress());
    if (this->usage) this->usage->ApplySettings(changed);
    if (this->scaler && changed.Cloud()) this->scaler->ApplySettings(*changed.Cloud());
    this->limits.Apply(changed.Limits());
    this->settings = changed;
  }

  void ShutDown() {
    this->runtime.Spawn([this](Task& task) { this->ShutDown(task); });
  }

  std::string front_address;
  std::string directory_address;
  std::string ready_address;
  std::string metrics_address;

  bool OwnsBatchJobs() const { return this->lease_keeper.Held().ValidAt(BootNow()); }
  bool HoldsLease() const { return this->lease_keeper.Held().fencing != 0; }
  std::vector<int> HeldSlices() const { return this->slices.Held(); }

 private:
  BatchContext MakeContext(LeaseKeeper& keeper) {
    return {this->runtime,
            this->store,
            this->batch_store,
            this->engines,
            *this->limiter,
            this->forwarder,
            this->pool,
            keeper,
            this->metrics,
            [this] { return this->view.Routes(); },
            [this]() -> const std::map<std::string, int64_t>& {
              return this->view.RequestedVersions();
            },
            this->settings.InstanceId(),
            this->settings.CancelBound() - kCancelMargin,
            {},
            {},
            BootTime::zero(),
            {},
            {}};
  }

  void OnPlatformChange() {
    if (const auto routes = this->view.Routes()) {
      const CallerLimits& limits = routes->Limits();
      this->caller_server->SetLimits(limits.max_header_bytes, limits.max_body_bytes,
                                     std::max<Duration>(limits.header_timeout, seconds(10)),
                                     limits.idle_timeout + kIdleMargin);
    }
    this->context.plan_inputs_changed.NotifyAll();
    this->slices.NotifyOwners();
  }

  // The directory also brings the request limits of targets.
  bool Informed() const { return this->view.Routes() != nullptr && this->directory.Following(); }

  bool Ready() const { return !this->stopping && this->Informed(); }

  platform::AnswerHooks MakeAnswerHooks() {
    platform::AnswerHooks hooks;
    hooks.on_limit = [this](const TargetEntry& target, std::optional<double> limit) {
      this->limiter->OnAnswer(target, limit, SteadyNow());
    };
    hooks.on_leaving = [this](const TargetEntry& target) {
      if (!this->pool.OnLeaving(target, SteadyNow())) return;
      LogInfo("platform", "a target says that it leaves",
              {{"target", target.id},
               {"service", target.service},
               {"started", std::to_string(target.started_at)}});
      this->context.plan_inputs_changed.NotifyAll();
    };
    return hooks;
  }

  platform::PathHooks MakePathHooks() {
    platform::PathHooks hooks;
    hooks.choose = [this](const PathQuery& query) {
      return this->paths.ChooseRelay(query, SteadyNow());
    };
    hooks.verified = [this] { return this->paths.Verified(SteadyNow()); };
    hooks.on_direct = [this](const TargetEntry& target, platform::PathOutcome outcome) {
      this->paths.OnOutcome(target, outcome, SteadyNow());
    };
    hooks.on_relay = [this](const RelayPeer& peer, bool relayed) {
      this->paths.OnRelay(peer, relayed, SteadyNow());
    };
    return hooks;
  }

  // The target `id` with the start `started_at` if new requests may be sent to it.
  std::optional<TargetEntry> Usable(const std::string& id, WallMillis started_at) const {
    const PoolTarget* target = this->pool.Find(id);
    const bool usable = target != nullptr && target->entry.started_at == started_at &&
                        !target->Leaving() && !target->removal_at;
    return usable ? std::optional<TargetEntry>(target->entry) : std::nullopt;
  }

  platform::IngressHooks MakeHooks() {
    platform::IngressHooks hooks;
    hooks.route = [this](const std::string& host, const std::string& path) {
      return this->FindRoute(host, path);
    };
    hooks.forward = [this](Task& task, LiveRequest request) {
      return this->live.Forward(task, std::move(request));
    };
    hooks.stream = [this](Task& task, LiveRequest request, HttpReply& reply) {
      return this->live.Stream(task, std::move(request), reply);
    };
    hooks.reserve = [this](std::size_t bytes) { return this->limits.Reserve(bytes); };
    hooks.submit = [this](Task& task, BatchJob job, TimePoint deadline) {
      return this->batch_service.Submit(task, std::move(job), deadline);
    };
    hooks.configuration = [this] { return this->view.Routes(); };
    hooks.on_refused_key = [this](const CallerIdentity& caller, const std::string& request) {
      RecordRefusedKey(this->metrics, caller, request);
    };
    hooks.results = [this](Task& task, const CallerIdentity& caller, const std::string& job,
                           int64_t from, Duration wait) {
      return this->batch_service.Results(task, caller, job, from, wait);
    };
    hooks.item_body = [this](Task& task, const CallerIdentity& caller, const std::string& job,
                             const std::string& item) {
      return this->batch_service.ItemBody(task, caller, job, item);
    };
    hooks.end = [this](Task& task, const CallerIdentity& caller, const std::string& job) {
      return this->batch_service.End(task, caller, job);
    };
    hooks.ready = [this] { return this->Ready(); };
    hooks.addresses = [this](const std::string& zone) {
      return platform::AddressList{AddressesFor(this->directory.LiveFronts(), zone, kMaxAddresses),
                                   this->settings.AddressTtl()};
    };
    hooks.retry_after = [](const Error& error) {
      return error.code == ErrorCode::kStoreUnavailable ? kStoreRetryAfter : kRetryAfter;
    };
    return hooks;
  }

  Result<ServiceRoute> FindRoute(const std::string& host, const std::string& path) {
    const auto routes = this->view.Routes();
    if (!this->Informed()) return Fail(ErrorCode::kNotReady, "no configuration has been read yet");
    const ServiceRoute* route = routes->Match(host, path);
    if (route == nullptr)
      return Fail(ErrorCode::kNotFound, "no route matches the request", host + path);
    return *route;
  }

  bool StartServers() {
    this->engines.SetBudget(this->limits.Budget());
    const auto start = [this](Listener listener, const Endpoint& address, std::string& bound,
                              HttpHandler handler) {
      auto server = HttpServer::Builder(this->runtime)
                        .SetAddress(address.ToString())
                        .SetHandler(std::move(handler))
                        .SetMaxBodyBytes(CallerLimits().max_body_bytes)
                        .SetBudget(this->limits.Budget(), FrontLimits::PoolOf(listener))
                        .Build();
      this->limits.Register(listener, *server);
      const auto started = server->Start();
      if (!started) {
        LogError(kPart, "cannot listen on the address",
                 {{"address", address.ToString()}, {"error", started.error().message}});
        server.reset();
      } else {
        bound = *started;
      }
      return server;
    };
    this->caller_server =
        start(Listener::kCallers, this->settings.FrontAddress(), this->front_address,
              [this](Task& task, const HttpRequest& request, HttpReply& reply) {
                this->ingress.HandleCaller(task, request, reply);
              });
    this->directory_server =
        start(Listener::kDirectory, this->settings.DirectoryAddress(), this->directory_address,
              [this](Task& task, const HttpRequest& request, HttpReply& reply) {
                this->ingress.HandleDirectory(task, request, reply);
              });
    this->ready_server = start(Listener::kReady, this->settings.ReadyAddress(), this->ready_address,
                               [this](Task& task, const HttpRequest& request, HttpReply& reply) {
                                 this->ingress.HandleReady(task, request, reply);
                               });
    this->metrics_server =
        start(Listener::kInternal, this->settings.MetricsAddress(), this->metrics_address,
              [this](Task& task, const HttpRequest& request, HttpReply& reply) {
                this->internal_api.Handle(task, request, reply);
              });
    return this->caller_server && this->directory_server && this->ready_server &&
           this->metrics_server;
  }

  // Callers use cached addresses for some time, so this instance serves until those have expired.
  void ShutDown(Task& task) {
    if (this->stopping) return;
    this->stopping = true;
    const TimePoint started = SteadyNow();
    const TimePoint end = started + this->settings.GracePeriod() - kExitMargin;
    this->live.SetStopPlan(StopPlan{started, end});
    LogInfo(kPart, "stopping",
            {{"grace_ms", std::to_string(ToMillis(this->settings.GracePeriod()))}});
    this->runtime.Spawn([this, end](Task& other) { this->directory.AnnounceLeaving(other, end); });
    this->slices.HandOver(std::min(end, started + kHandoverTimeout));
    this->batch_owner.HandOver(task, std::min(end, started + kHandoverTimeout));
    this->lease_keeper.Release(task, std::min(end, started + seconds(2)));
    const TimePoint unused_by = started + kAddressTtlMultiple * this->settings.AddressTtl();
    const TimePoint stop_at = std::min(end - seconds(1), unused_by);
    // Callers with a current list of addresses use other instances by now.
    SleepUntil(task, std::min(stop_at, started + this->settings.AddressTtl()));
    this->caller_server->CloseAfterResponse();
    SleepUntil(task, stop_at);
    this->caller_server->StopAccepting();
    // Requests that are relayed for other instances come to the internal address.
    while ((this->caller_server->Connections() > 0 || this->metrics_server->ActiveRequests() > 0) &&
           SteadyNow() < end) {
      SleepUntil(task, SteadyNow() + milliseconds(20));
    }
    LogInfo(kPart, "stopped serving callers",
            {{"open_requests", std::to_string(this->caller_server->ActiveRequests())},
             {"open_connections", std::to_string(this->caller_server->Connections())},
             {"ms", std::to_string(ToMillis(SteadyNow() - started))}});
    if (this->usage) this->usage->Recorder().Finish(task, end + kLastCountsTime);
    this->on_stopped();
  }

  Runtime& runtime;
  FrontSettings settings;
  std::function<void()> on_stopped;
  Metrics metrics;
  StoreCalls store_calls{this->metrics};
  FrontLimits limits;
  platform::StoreClient store;
  platform::EngineClient engines;
  TargetPool pool;
  TargetPaths paths;
  TargetRelay relay;
  PlatformView view;
  FrontDirectory directory;
  std::unique_ptr<RequestLimiter> limiter;
  CrashLimiter crashes;
  StreamOrigins origins;
  LiveForwarder forwarder;
  LiveStreamer streamer;
  LiveService live;
  BatchStore batch_store;
  BatchService batch_service;
  LeaseKeeper lease_keeper;
  LeasePeers lease_peers;
  BatchContext context;
  SliceOwners slices;
  BatchOwner batch_owner;
  ConfigPeers config_peers;
  std::unique_ptr<UsageDuty> usage;      // null: use is not reported
  std::unique_ptr<EngineScaler> scaler;  // null: this platform takes no orders for engines
  InternalApi internal_api;
  platform::Ingress ingress;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> directory_server;
  std::unique_ptr<HttpServer> ready_server;
  std::unique_ptr<HttpServer> metrics_server;
  bool stopping = false;
};

FrontInstance::FrontInstance(Runtime& runtime, const FrontSettings& settings,
                             std::function<void()> on_stopped)
    : impl(std::make_unique<Impl>(runtime, settings, std::move(on_stopped))) {}

FrontInstance::~FrontInstance() = default;

bool FrontInstance::Start() { return this->impl->Start(); }

void FrontInstance::ApplySettings(const FrontSettings& settings, const char* cause) {
  this->impl->ApplySettings(settings, cause);
}

void FrontInstance::ShutDown() { this->impl->ShutDown(); }

const std::string& FrontInstance::FrontAddress() const { return this->impl->front_address; }
const std::string& FrontInstance::DirectoryAddress() const { return this->impl->directory_address; }
const std::string& FrontInstance::ReadyAddress() const { return this->impl->ready_address; }
const std::string& FrontInstance::MetricsAddress() const { return this->impl->metrics_address; }
bool FrontInstance::HoldsLease() const { return this->impl->HoldsLease(); }
bool FrontInstance::OwnsBatchJobs() const { return this->impl->OwnsBatchJobs(); }
std::vector<int> FrontInstance::HeldSlices() const { return this->impl->HeldSlices(); }

}  // namespace anvilcroft
