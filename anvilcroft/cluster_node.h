#ifndef ANVILCROFT_CLUSTER_NODE_H_
#define ANVILCROFT_CLUSTER_NODE_H_

// The cluster part of an instance: membership, configuration, peers and the life cycle.
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
// The node must live as long as the Runtime runs. The hooks run on its thread and must not wait.

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
      std::function<void(const std::string& fingerprint, int64_t deaths, int64_t ttl_ms)>;

  // Longest that BeginLeaving and Leave wait for the table service.
  static constexpr Duration kLeaveTimeout = seconds(5);

  virtual ~ClusterNode() = default;

  // Binds the peer port and joins in the background. `bound_api_address` goes into the roster.
  // Fails with kInvalidArgument if the port cannot be bound.
  virtual Result<void> Start(const std::string& bound_api_address) = 0;

  // "ip:port" where other instances connect; set once Start has returned.
  virtual std::string PeerAddress() const = 0;

  virtual ClusterView View() = 0;

  // Adds /v1/addresses, /v1/config, /v1/config/patches and /v1/members.
  virtual void RegisterRoutes(HttpRouter& router) = 0;

  // Whether this instance is a member that serves, and may accept work now.
  virtual bool Ready() const = 0;

  virtual void OnRosterChange(ChangeHook hook) = 0;
  virtual void OnConfigChange(ChangeHook hook) = 0;

  // The newest weights version of the head row, and a hook on each rise.
  virtual uint64_t WeightsVersion() const = 0;
  virtual void OnWeightsChange(ChangeHook hook) = 0;

  // Tells all connected peers that something about `topic` changed. The topic "head" makes the
  // peers and this instance read the head row now.
  virtual void Notify(const std::string& topic, const nlohmann::json& payload) = 0;
  virtual void OnNotify(NotifyHook hook) = 0;

  virtual void BroadcastSuspect(const std::string& fingerprint, int64_t deaths, int64_t ttl_ms) = 0;
  virtual void OnSuspect(SuspectHook hook) = 0;

  // Enters the state leaving and marks this instance as leaving in the roster.
  virtual void BeginLeaving(Task& task) = 0;

  // Removes this instance from the roster, ends all activity and enters the state stopped.
  virtual void Leave(Task& task) = 0;

  // Ends all activity at once without telling anyone, as a crash does.
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
  // Seed of all random choices. Must differ between runs of one instance.
  Builder& SetSeed(uint64_t value);

  // All of the above must have been set.
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
