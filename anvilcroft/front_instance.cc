#include "anvilcroft/front_instance.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "anvilcroft/batch_owner.h"
#include "anvilcroft/batch_service.h"
#include "anvilcroft/exit_code.h"
#include "anvilcroft/front_directory.h"
#include "anvilcroft/hash.h"
#include "anvilcroft/http_server.h"
#include "anvilcroft/lease_peers.h"
#include "anvilcroft/live_streamer.h"
#include "anvilcroft/log.h"
#include "anvilcroft/platform_view.h"
#include "anvilcroft/process_stats.h"
#include "platform/ingress.h"
#include "platform/store_client.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "instance";
constexpr std::size_t kMaxAddresses = 64;  // callers read no more
// Callers keep an answer of the directory up to three times as long as it says.
constexpr int kAddressUse = 3;
// To save texts for the next owner; longer than that and it is better off without them.
constexpr Duration kHandOverTime = milliseconds(700);
// Left of the grace period for the last answers and the exit.
constexpr Duration kExitMargin = milliseconds(700);
// Idle connections of callers are kept this much longer than the callers use them.
constexpr Duration kIdleMargin = seconds(2);
// Instances that a cut-off owner asks for its successor: those that watch the lease, and one more.
constexpr std::size_t kLeasePeers = 4;
// When callers are to come back after a refusal.
constexpr Duration kShortRetry = milliseconds(100);  // another target or instance may serve it
constexpr Duration kStoreRetry = milliseconds(300);  // the store is away for seconds
// Changed settings are noticed without a signal within this time.
constexpr Duration kSettingsCheck = seconds(2);
// Of the bound on items of an ended job: the time between the check and the item's arrival.
constexpr Duration kCancelMargin = milliseconds(450);

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
    case LiveOutcome::Kind::kCallerGone:
      return "caller_gone";
    case LiveOutcome::Kind::kStreamed:
      return "streamed";
    case LiveOutcome::Kind::kCutOff:
      return "cut_off";
  }
  return "unknown";
}

}  // namespace

class FrontInstance::Impl {
 public:
  Impl(Runtime& runtime, const FrontSettings& settings, std::function<void()> on_stopped)
      : runtime(runtime),
        settings(settings),
        on_stopped(std::move(on_stopped)),
        store(this->runtime, settings.StoreAddress(),
              [this](const char* call, const char* outcome, Duration took) {
                this->CountStoreCall(call, outcome, took);
              }),
        engines(this->runtime),
        view(this->runtime, this->store, this->pool, [this] { this->OnPlatformChange(); }),
        directory(this->runtime, this->store, SelfRecord(settings)),
        live(
            this->runtime, this->engines, this->pool, [this] { return this->view.Routes(); },
            settings.Zone(), StableHash(settings.InstanceId())),
        streams(
            this->engines, this->pool, [this] { return this->view.Routes(); }, settings.Zone(),
            StableHash(settings.InstanceId()) + 1),
        batches(this->store),
        batch_service(this->batches, this->store, [this] { return this->view.Routes(); }),
        lease(
            this->runtime, this->store, OwnerLeaseSettings(settings),
            [this] { return this->directory.Rank(); }, [this] { this->context.wake.NotifyAll(); }),
        lease_peers(this->runtime, [this] { return this->directory.Candidates(kLeasePeers); }),
        context{this->runtime,
                this->store,
                this->batches,
                this->engines,
                this->live,
                this->pool,
                this->lease,
                this->metrics,
                [this] { return this->view.Routes(); },
                [this]() -> const std::map<std::string, int64_t>& {
                  return this->view.NamedVersions();
                },
                settings.InstanceId(),
                settings.CancelBound() - kCancelMargin,
                {},
                {},
                BootTime::zero(),
                {}},
        owner(this->context),
        ingress(this->Hooks()) {}

  bool Start() {
    LogInfo(kPart, "starting",
            {{"instance", this->settings.InstanceId()},
             {"zone", this->settings.Zone()},
             {"front", this->settings.FrontAddress().ToString()},
             {"store", this->settings.StoreAddress().ToString()},
             {"version", ANVILCROFT_VERSION}});
    if (!this->StartServers()) return false;
    this->metrics.CountFrom("anvilcroft_log_lines_left_out_total", {},
                            [] { return static_cast<double>(DroppedLogLines()); });
    this->metrics.Gauge("anvilcroft_config_version", {}, [this] {
      const auto routes = this->view.Routes();
      return routes ? static_cast<double>(routes->Version()) : 0.0;
    });
    this->metrics.Gauge("anvilcroft_config_confirmed_age_seconds", {}, [this] {
      return std::chrono::duration<double>(SteadyNow() - this->view.RoutesConfirmedAt()).count();
    });
    this->metrics.Gauge("anvilcroft_targets", {},
                        [this] { return static_cast<double>(this->pool.All().size()); });
    this->metrics.Gauge("anvilcroft_live_instances", {},
                        [this] { return static_cast<double>(this->directory.Fronts().size()); });
    this->metrics.Gauge("anvilcroft_owns_batch_jobs", {},
                        [this] { return this->OwnsBatchJobs() ? 1.0 : 0.0; });
    this->metrics.Gauge("anvilcroft_open_batch_jobs", {},
                        [this] { return static_cast<double>(this->context.jobs.size()); });
    this->directory.SetAddresses(this->front_address, this->metrics_address);
    this->lease.AskPeersWith(
        [this](Task& task, int64_t term) { return this->lease_peers.LaterThan(task, term); });
    this->view.Start();
    this->directory.Start();
    this->lease.Start();
    this->owner.Start();
    return true;
  }

  void ApplySettings(const FrontSettings& changed, const char* cause) {
    if (changed == this->settings) return;
    LogInfo(kPart, "took over changed settings",
            {{"cause", cause}, {"store", changed.StoreAddress().ToString()}});
    this->store.SetAddress(changed.StoreAddress());
    this->settings = changed;
  }

  void ShutDown() {
    this->runtime.Spawn([this](Task& task) { this->ShutDown(task); });
  }

  std::string front_address;
  std::string directory_address;
  std::string ready_address;
  std::string metrics_address;

  bool OwnsBatchJobs() const { return this->lease.Held().ValidAt(BootNow()); }
  bool HoldsLease() const { return this->lease.Held().fencing != 0; }

 private:
  static FrontRecord SelfRecord(const FrontSettings& settings) {
    FrontRecord record;
    record.instance = settings.InstanceId();
    record.zone = settings.Zone();
    record.region = settings.Region();
    record.address = settings.FrontAddress().ToString();
    record.cpu_share = settings.CpuShare();
    return record;
  }

  static LeaseSettings OwnerLeaseSettings(const FrontSettings& settings) {
    LeaseSettings lease;
    lease.key = "batch-owner";
    lease.self = settings.InstanceId();
    lease.lease = settings.OwnerLease();
    return lease;
  }

  void CountStoreCall(const char* call, const char* outcome, Duration took) {
    this->metrics.Count("anvilcroft_store_calls_total", {{"call", call}, {"outcome", outcome}});
    this->metrics.Observe("anvilcroft_store_call_seconds", {{"call", call}},
                          std::chrono::duration<double>(took).count());
    const bool reached = this->store.LastFailure() < this->store.LastAnswer();
    if (reached == this->store_reached) return;
    this->store_reached = reached;
    LogInfo("store", reached ? "the store answers again" : "a call to the store failed",
            {{"call", call}, {"outcome", outcome}, {"ms", std::to_string(ToMillis(took))}});
  }

  void OnPlatformChange() {
    if (const auto routes = this->view.Routes()) {
      const CallerLimits& limits = routes->Limits();
      this->caller_server->SetLimits(limits.max_header_bytes, limits.max_body_bytes,
                                     std::max<Duration>(limits.request_timeout, seconds(10)),
                                     limits.idle_timeout + kIdleMargin);
    }
    this->context.wake.NotifyAll();
  }

  bool Ready() const { return !this->stopping && this->view.Routes() != nullptr; }

  platform::IngressHooks Hooks() {
    platform::IngressHooks hooks;
    hooks.route = [this](const std::string& host, const std::string& path) {
      return this->RouteOf(host, path);
    };
    hooks.forward = [this](Task& task, const LiveRequest& request) {
      return this->Logged(request, "short", [&] { return this->live.Serve(task, request); });
    };
    hooks.stream = [this](Task& task, const LiveRequest& request, HttpReply& reply) {
      return this->Logged(request, "stream",
                          [&] { return this->streams.Serve(task, request, reply); });
    };
    hooks.submit = [this](Task& task, BatchJob job, TimePoint deadline) {
      return this->batch_service.Submit(task, std::move(job), deadline);
    };
    hooks.results = [this](Task& task, const std::string& job, int64_t from, Duration wait) {
      return this->batch_service.Results(task, job, from, wait);
    };
    hooks.item_body = [this](Task& task, const std::string& job, const std::string& item) {
      return this->batch_service.ItemBody(task, job, item);
    };
    hooks.end = [this](Task& task, const std::string& job) {
      return this->batch_service.End(task, job);
    };
    hooks.ready = [this] { return this->Ready(); };
    hooks.addresses = [this](const std::string& zone) {
      return platform::AddressAnswer{AddressesFor(this->directory.Fronts(), zone, kMaxAddresses),
                                     this->settings.AddressTtl()};
    };
    hooks.retry_after = [](const Error& error) {
      return error.code == ErrorCode::kStoreUnavailable ? kStoreRetry : kShortRetry;
    };
    return hooks;
  }

  Result<ServiceRoute> RouteOf(const std::string& host, const std::string& path) {
    const auto routes = this->view.Routes();
    if (!routes) return Fail(ErrorCode::kNotReady, "no configuration is known yet");
    const ServiceRoute* route = routes->Match(host, path);
    if (route == nullptr) return Fail(ErrorCode::kNotFound, "no route", host + path);
    return *route;
  }

  // Serves a request by `serve`, counts it and logs how it ended.
  LiveOutcome Logged(const LiveRequest& request, const char* kind,
                     const std::function<LiveOutcome()>& serve) {
    const TimePoint started = SteadyNow();
    const std::string id = request.message.id;
    const Duration limit = request.deadline - started;
    LiveOutcome outcome = serve();
    const Duration took = SteadyNow() - started;
    const char* name = OutcomeName(outcome.kind);
    this->metrics.Count("anvilcroft_live_requests_total", {{"kind", kind}, {"outcome", name}});
    this->metrics.Observe("anvilcroft_live_request_seconds", {{"kind", kind}, {"outcome", name}},
                          std::chrono::duration<double>(took).count());
    LogInfo("live", name,
            {{"request", id},
             {"status", std::to_string(outcome.reply.status)},
             {"target", outcome.target},
             {"attempts", std::to_string(outcome.attempts)},
             {"reason", outcome.reason},
             {"limit_ms", std::to_string(ToMillis(limit))},
             {"ms", std::to_string(ToMillis(took))}});
    return outcome;
  }

  bool StartServers() {
    const auto start = [this](const Endpoint& address, std::string& bound, HttpHandler handler) {
      auto server = HttpServer::Builder(this->runtime)
                        .SetAddress(address.ToString())
                        .SetHandler(std::move(handler))
                        .SetMaxBodyBytes(CallerLimits().max_body_bytes)
                        .Build();
      const auto started = server->Start();
      if (!started) {
        LogError(kPart, "cannot listen",
                 {{"address", address.ToString()}, {"error", started.error().message}});
        server.reset();
      } else {
        bound = *started;
      }
      return server;
    };
    this->caller_server = start(this->settings.FrontAddress(), this->front_address,
                                [this](Task& task, const HttpRequest& request, HttpReply& reply) {
                                  this->ingress.HandleCaller(task, request, reply);
                                });
    this->directory_server =
        start(this->settings.DirectoryAddress(), this->directory_address,
              [this](Task& task, const HttpRequest& request, HttpReply& reply) {
                this->ingress.HandleDirectory(task, request, reply);
              });
    this->ready_server = start(this->settings.ReadyAddress(), this->ready_address,
                               [this](Task& task, const HttpRequest& request, HttpReply& reply) {
                                 this->ingress.HandleReady(task, request, reply);
                               });
    this->metrics_server =
        start(this->settings.MetricsAddress(), this->metrics_address,
              [this](Task& task, const HttpRequest& request, HttpReply& reply) {
                if (request.Path() == LeasePeers::kPath) {
                  reply.Send(task, JsonResponse(200, EncodeOwner(this->lease.LastRecord())));
                  return;
                }
                reply.Send(task, HttpResponse::Builder()
                                     .SetHeader("Content-Type", "text/plain; version=0.0.4")
                                     .SetBody(this->metrics.Render() + ReadProcessStats().Render())
                                     .Build());
              });
    return this->caller_server && this->directory_server && this->ready_server &&
           this->metrics_server;
  }

  // Callers keep addresses for a while, so this instance serves on until they have new ones.
  void ShutDown(Task& task) {
    if (this->stopping) return;
    this->stopping = true;
    const TimePoint started = SteadyNow();
    const TimePoint end = started + this->settings.GracePeriod() - kExitMargin;
    LogInfo(kPart, "stopping",
            {{"grace_ms", std::to_string(ToMillis(this->settings.GracePeriod()))}});
    this->runtime.Spawn([this, end](Task& other) { this->directory.Leave(other, end); });
    this->owner.HandOver(task, std::min(end, started + kHandOverTime));
    this->lease.Release(task, std::min(end, started + seconds(2)));
    const TimePoint unused_by = started + kAddressUse * this->settings.AddressTtl();
    SleepUntil(task, std::min(end - seconds(1), unused_by));
    this->caller_server->StopAccepting();
    while (this->caller_server->ActiveRequests() > 0 && SteadyNow() < end) {
      SleepUntil(task, SteadyNow() + milliseconds(20));
    }
    LogInfo(kPart, "no longer serves",
            {{"open_requests", std::to_string(this->caller_server->ActiveRequests())},
             {"ms", std::to_string(ToMillis(SteadyNow() - started))}});
    this->on_stopped();
  }

  Runtime& runtime;
  FrontSettings settings;
  std::function<void()> on_stopped;
  Metrics metrics;
  platform::StoreClient store;
  bool store_reached = true;
  platform::EngineClient engines;
  TargetPool pool;
  PlatformView view;
  FrontDirectory directory;
  LiveForwarder live;
  LiveStreamer streams;
  BatchStore batches;
  BatchService batch_service;
  LeaseKeeper lease;
  LeasePeers lease_peers;
  BatchContext context;
  BatchOwner owner;
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

int RunFrontInstance(const FrontSettings& settings, const std::string& path) {
  LogToStandardOutput();
  InitLog(settings.MinimumLogLevel());
  Runtime runtime;
  FrontInstance instance(runtime, settings, [&runtime] { runtime.Stop(); });
  if (!instance.Start()) return kExitFailed;
  const auto reload = [&instance, &path](const char* cause) {
    const auto read = LoadFrontSettings(path);
    if (read) {
      instance.ApplySettings(*read, cause);
      return;
    }
    for (const auto& problem : read.error()) {
      LogError(kPart, "settings not taken over", {{"problem", problem.ToString()}});
    }
  };
  runtime.OnTerminate([&instance] { instance.ShutDown(); });
  runtime.OnReload([&reload] {
    LogInfo(kPart, "reading the settings again", {{"cause", "SIGHUP"}});
    reload("SIGHUP");
  });
  runtime.Spawn([&reload](Task& task) {
    while (true) {
      SleepUntil(task, SteadyNow() + kSettingsCheck);
      reload("the regular check");
    }
  });
  runtime.Run();
  runtime.EndTasks();
  LogInfo(kPart, "stopped");
  return kExitOk;
}

}  // namespace anvilcroft
