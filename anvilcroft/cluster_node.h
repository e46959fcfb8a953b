#ifndef ANVILCROFT_CLUSTER_NODE_H_
#define ANVILCROFT_CLUSTER_NODE_H_

// The cluster component of an instance: membership, configuration, peer connections and the life
// cycle.
//
//   std::unique_ptr<ClusterNode> node = ClusterNode::Builder(runtime)
//       .SetSettings(settings)
//       .SetHttpClient(http)
//       .SetTable(table)
//       .SetMetrics(metrics)
//       .SetSeed(seed)
//       .Build();
//   node->RegisterRoutes(router);
//   Result<void> started = node->Start(bound_api_address);
//
// The node must outlive the Runtime's run. The hooks run on the Runtime's thread and must not
// block.

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "anvilcroft/cluster_view.h"
#include "anvilcroft/error.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/http_router.h"
#include "anvilcroft/lifecycle.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/settings.h"
#include "anvilcroft/table_client.h"

namespace anvilcroft {

class ClusterNode {
 public:
  class Builder;

  using ChangeHook = std::function<void()>;
  using NotifyHook = std::function<void(const std::string& topic, const nlohmann::json& payload)>;
  using SuspectHook =
      std::function<void(const std::string& fingerprint, int64_t crash_count, int64_t ttl_ms)>;

  // Maximum time that BeginLeaving and Leave each wait for the table service.
  static constexpr Duration kLeaveTimeout = seconds(5);

  virtual ~ClusterNode() = default;

  // Binds the peer port and joins the cluster in the background. `bound_api_address` is published
  // in the roster. Fails with kInvalidArgument if the port cannot be bound.
  virtual Result<void> Start(const std::string& bound_api_address) = 0;

  // "ip:port" to which other instances connect. Set once Start has returned.
  virtual std::string PeerAddress() const = 0;

  virtual ClusterView View() = 0;

  // Adds /v1/addresses, /v1/config, /v1/config/patches and /v1/members.
  virtual void RegisterRoutes(HttpRouter& router) = 0;

  // Whether this instance may accept work now: it is joining or serving, may serve, and is listed
  // in its roster unless the table service has failed.
  virtual bool Ready() const = 0;

  virtual void OnRosterChange(ChangeHook hook) = 0;
  virtual void OnConfigChange(ChangeHook hook) = 0;

  // The highest weights version read from the head row; 0 before the first read.
  virtual uint64_t WeightsVersion() const = 0;
  // Calls `hook` whenever WeightsVersion() has increased.
  virtual void OnWeightsChange(ChangeHook hook) = 0;

  // Notifies all connected peers of a change to `topic`. The topic "head" makes the peers and this
  // instance read the head row soon.
  virtual void Notify(const std::string& topic, const nlohmann::json& payload) = 0;
  virtual void OnNotify(NotifyHook hook) = 0;

  // Reports to all connected peers that targets crashed while they ran requests with `fingerprint`.
  // A `crash_count` of 0 withdraws the earlier reports.
  virtual void BroadcastSuspect(const std::string& fingerprint, int64_t crash_count,
                                int64_t ttl_ms) = 0;
  virtual void OnSuspect(SuspectHook hook) = 0;

  // Enters the state leaving and marks this instance as leaving in the roster. If the roster cannot
  // be written within kLeaveTimeout, logs a warning.
  virtual void BeginLeaving(Task& task) = 0;

  // Removes this instance from the roster, stops all activity and enters the state stopped. If the
  // roster cannot be written within kLeaveTimeout, logs a warning; other members then remove the
  // entry when the lease has expired.
  virtual void Leave(Task& task) = 0;

  // Stops all activity immediately, without notifying peers or the table service, as a crash would.
  virtual void Halt() = 0;

  virtual Lifecycle& State() = 0;
};

class ClusterNode::Builder {
 public:
  explicit Builder(Runtime& runtime) : runtime(runtime) {}

  Builder& SetSettings(Settings value);
  Builder& SetHttpClient(HttpClient& value);
  Builder& SetTable(TableClient& value);
  Builder& SetMetrics(Metrics& value);
  // Seed of all random choices. Must differ between runs of the same instance.
  Builder& SetSeed(uint64_t value);

  // All of the above must be set first.
  std::unique_ptr<ClusterNode> Build();

 private:
  friend class ClusterNodeImpl;

  Runtime& runtime;
  Settings settings;
  HttpClient* http = nullptr;
  TableClient* table = nullptr;
  Metrics* metrics = nullptr;
  uint64_t seed = 1;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CLUSTER_NODE_H_
