#include "anvilcroft/instance.h"

#include <iostream>
#include <memory>
#include <random>
#include <utility>

#include "anvilcroft/cluster_node.h"
#include "anvilcroft/commit_queue.h"
#include "anvilcroft/endpoint.h"
#include "anvilcroft/event.h"
#include "anvilcroft/exit_code.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/http_router.h"
#include "anvilcroft/http_server.h"
#include "anvilcroft/lifecycle.h"
#include "anvilcroft/log.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/operator_api.h"
#include "anvilcroft/rollout_node.h"
#include "anvilcroft/routing_node.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/table_client.h"
#include "anvilcroft/tracer.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "instance";

// How long a leaving instance continues to accept requests after the address TTL has passed. A
// caller may have fetched its address list just before the roster changed, and the change reaches
// every instance only with its next poll of the head row.
constexpr Duration kStaleAddressMargin = seconds(2);

// Interval at which a shutdown checks whether work is still running.
constexpr Duration kDrainPollPeriod = milliseconds(50);

// Parses an address of the settings, which were validated when they were loaded.
Endpoint CheckedEndpoint(const std::string& text) {
  auto endpoint = ParseEndpoint(text);
  ANVILCROFT_CHECK(endpoint.has_value());
  return std::move(*endpoint);
}

class Instance {
 public:
  Instance(const Settings& settings, uint64_t seed)
      : settings(settings),
        http(runtime),
        table(http, CheckedEndpoint(settings.TableAddress())),
        commits([this](Task& task, const Transaction& transaction, TimePoint deadline) {
          return this->table.Commit(task, transaction, deadline);
        }),
        tracer(seed, settings.InstanceId(), settings.Tracing()) {
    this->BuildComponents(seed);
    this->ConnectComponents();
    this->RegisterCounters();
  }

  int Run() {
    const auto api = this->server->Start();
    if (!api) return this->ReportAddressError(api.error());
    const auto started = this->cluster->Start(*api);
    if (!started) return this->ReportAddressError(started.error());
    this->routing->Start();
    this->rollout->Start();
    this->runtime.OnTerminate([this] { this->RequestStop(); });
    std::cout << "listening api=" << *api << " peer=" << this->cluster->PeerAddress() << std::endl;
    this->runtime.Run();
    this->runtime.EndTasks();
    return this->exit_code;
  }

 private:
  void BuildComponents(uint64_t seed) {
    this->cluster = ClusterNode::Builder(this->runtime)
                        .SetSettings(this->settings)
                        .SetHttpClient(this->http)
                        .SetTable(this->table)
                        .SetMetrics(this->metrics)
                        .SetSeed(seed + 1)
                        .Build();
    this->routing =
        RoutingNode::Builder(this->runtime)
            .SetSettings(this->settings)
            .SetView(this->cluster->View())
            .SetHttpClient(this->http)
            .SetInstanceList(CheckedEndpoint(this->settings.InstanceListAddress()))
            .SetCommit([this](Task& task, const Transaction& transaction, TimePoint deadline) {
              return this->commits.Commit(task, transaction, deadline);
            })
            .SetRead([this](Task& task, const std::string& table_name, const std::string& key,
                            TimePoint deadline) {
              return this->table.Read(task, table_name, key, deadline);
            })
            .SetTracer(this->tracer)
            .SetMetrics(this->metrics)
            .SetSeed(seed + 2)
            .SetBroadcastSuspect(
                [this](const std::string& fingerprint, int64_t crash_count, int64_t ttl_ms) {
                  this->cluster->BroadcastSuspect(fingerprint, crash_count, ttl_ms);
                })
            .Build();
    this->rollout = RolloutNode::Builder(this->runtime)
                        .SetView(this->cluster->View())
                        .SetHttpClient(this->http)
                        .SetTable(this->table)
                        .SetCommitQueue(this->commits)
                        .SetObjects(CheckedEndpoint(this->settings.ObjectAddress()))
                        .SetRun([this](Task& task, const WorkRequest& request) {
                          return this->routing->Run(task, request, StreamSink());
                        })
                        .SetTargets([this] { return this->routing->Targets().All(); })
                        .SetReport([this](const EngineReport& report) {
                          this->routing->Targets().ApplyReport(report);
                        })
                        .SetNotify([this](const std::string& topic, const nlohmann::json& payload) {
                          this->cluster->Notify(topic, payload);
                        })
                        .SetTracer(this->tracer)
                        .SetMetrics(this->metrics)
                        .SetSeed(seed + 3)
                        .Build();
    this->server =
        HttpServer::Builder(this->runtime)
            .SetAddress(this->settings.ApiAddress())
            .SetHandler([this](Task& task, const HttpRequest& request, HttpReply& reply) {
              this->router.Handle(task, request, reply);
            })
            .Build();
  }

  void ConnectComponents() {
    this->cluster->OnRosterChange([this] {
      this->routing->OnRosterChange();
      this->rollout->OnRosterChange();
    });
    this->cluster->OnConfigChange([this] {
      this->routing->OnConfigChange();
      this->rollout->OnConfigChange();
    });
    this->cluster->OnWeightsChange([this] { this->rollout->OnWeightsChange(); });
    this->cluster->OnNotify([this](const std::string& topic, const nlohmann::json& payload) {
      this->rollout->OnNotify(topic, payload);
    });
    this->cluster->OnSuspect(
        [this](const std::string& fingerprint, int64_t crash_count, int64_t ttl_ms) {
          this->routing->OnSuspect(fingerprint, crash_count, ttl_ms);
        });
    this->cluster->State().OnChange([this](Lifecycle::State, Lifecycle::State to) {
      // Stopped without a shutdown: another process has joined with this instance id.
      if (to == Lifecycle::State::kStopped && !this->stopping) {
        LogError(kPart, "another process uses this instance id; stopping");
        this->exit_code = kExitFailed;
        this->runtime.Stop();
      }
    });
    this->cluster->RegisterRoutes(this->router);
    this->routing->RegisterRoutes(this->router);
    this->rollout->RegisterRoutes(this->router);
    OperatorApi::Builder(this->cluster->View(), this->metrics)
        .SetReady([this] { return this->cluster->Ready(); })
        .SetDrain([this] { this->RequestStop(); })
        .Build()
        .RegisterRoutes(this->router);
  }

  void RegisterCounters() {
    const auto count = [this](const char* name, const MetricLabels& labels, auto read) {
      this->metrics.RegisterCounter(name, labels, [read] { return static_cast<double>(read()); });
    };
    count("anvilcroft_store_transactions_total", {},
          [this] { return this->table.TransactionCount(); });
    count("anvilcroft_store_reads_total", {}, [this] { return this->table.ReadCount(); });
    count("anvilcroft_http_client_bytes_total", {{"direction", "out"}},
          [this] { return this->http.BytesSent(); });
    count("anvilcroft_http_client_bytes_total", {{"direction", "in"}},
          [this] { return this->http.BytesReceived(); });
  }

  int ReportAddressError(const Error& error) const {
    LogError(kPart, error.message, {{"address", error.part}});
    return kExitBadSettings;
  }

  // Starts the graceful shutdown. Further calls have no effect.
  void RequestStop() {
    if (this->stopping) return;
    this->stopping = true;
    this->runtime.Spawn([this](Task& task) { this->StopGracefully(task); });
  }

  void StopGracefully(Task& task) {
    LogInfo(kPart, "graceful shutdown begins");
    this->rollout->StopTakingWork();
    this->cluster->BeginLeaving(task);
    this->server->CloseAfterResponse();
    SleepUntil(task, SteadyNow() + this->settings.AddressTtl() + kStaleAddressMargin);
    this->server->StopAccepting();
    this->cluster->State().Handle(Lifecycle::Event::kCloseListener);
    const TimePoint begin = SteadyNow();
    while (!this->Drained() && !this->StopLimitReached(begin, SteadyNow())) {
      SleepUntil(task, SteadyNow() + kDrainPollPeriod);
    }
    this->cluster->Leave(task);
    LogInfo(kPart, "graceful shutdown ends");
    this->runtime.Stop();
  }

  bool Drained() const {
    return this->server->Connections() == 0 && this->routing->InFlight() == 0 &&
           this->routing->Settled() && this->rollout->Idle();
  }

  bool StopLimitReached(TimePoint begin, TimePoint now) const {
    const Duration limit = this->settings.StopLimit();
    return limit > Duration::zero() && now - begin >= limit;
  }

  Settings settings;
  Runtime runtime;
  HttpClient http;
  TableClient table;
  CommitQueue commits;
  Metrics metrics;
  Tracer tracer;
  HttpRouter router;
  std::unique_ptr<ClusterNode> cluster;
  std::unique_ptr<RoutingNode> routing;
  std::unique_ptr<RolloutNode> rollout;
  std::unique_ptr<HttpServer> server;
  bool stopping = false;
  int exit_code = kExitOk;
};

}  // namespace

int RunInstance(const Settings& settings) {
  InitLog(settings.MinimumLogLevel());
  std::random_device entropy;
  Instance instance(settings, (static_cast<uint64_t>(entropy()) << 32) | entropy());
  return instance.Run();
}

}  // namespace anvilcroft
