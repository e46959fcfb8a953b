#ifndef SOAK_SITE_H_
#define SOAK_SITE_H_

// The system under test: instances as separate processes, each with its own link to a fake of the
// platform's metadata store. The store, the links and the fake targets run in this process.

#include <memory>
#include <string>
#include <vector>

#include "anvilcroft/runtime.h"
#include "fakes/child_process.h"
#include "fakes/fake_link.h"
#include "fakes/platform_engine.h"
#include "fakes/platform_store.h"

namespace anvilcroft::soak {

struct SiteOptions {
  std::string binary;     // path of anvilcroft
  std::string directory;  // for settings and log files
  int instances = 4;
  int engines = 3;
  int apps = 2;
  int address_ttl_s = 1;     // how long callers may use the addresses that they are given
  bool link_targets = true;  // false: instances connect to the targets themselves
  // The last engine is of a second service, and each version of the configuration divides the
  // routes of streams and batch jobs anew between the two.
  bool split_routes = false;
  bool single_version = false;  // texts of batch jobs are of one weight version each
  // Largest body of a caller, as the configuration names it; 0: not named.
  int64_t max_body_bytes = 0;
  std::string more_settings;  // lines that are added to the settings of each instance
};

// An instance: its process, which may be down, and the state that outlives a restart.
struct SoakInstance {
  std::string id;
  std::string front;      // "ip:port" for callers
  std::string ready;      // "ip:port" of the readiness check
  std::string directory;  // "ip:port" for lookups of addresses
  std::string internal;   // "ip:port" for metrics and other instances
  std::string settings_file;
  std::string log_file;
  std::unique_ptr<fakes::FakeLink> store_link;
  // One link for each target, which only this instance uses.
  std::vector<std::unique_ptr<fakes::FakeLink>> target_links;
  std::unique_ptr<fakes::ChildProcess> process;
  bool frozen = false;  // stopped by SIGSTOP
};

class Site {
 public:
  // Host and model in the configuration.
  static constexpr char kHost[] = "h.example";
  static constexpr char kModel[] = "m";

  Site(Runtime& runtime, SiteOptions options);

  // Starts the store, the targets and the instances. Fails with the error of the one that did not
  // start.
  Result<void> Start();

  // Starts the process of `instance`, which must not be running.
  Result<void> StartProcess(SoakInstance& instance);

  // Writes version `version` of the configuration to the store, as the operator does.
  void WriteConfiguration(int64_t version);
  // Writes `version` of the model's weights to the store, as a trainer does.
  void WriteModelVersion(int64_t version);

  std::vector<SoakInstance>& Instances() { return this->instances; }
  std::vector<std::unique_ptr<fakes::PlatformEngine>>& Engines() { return this->engines; }
  std::vector<std::unique_ptr<fakes::PlatformEngine>>& Apps() { return this->apps; }
  // One link for each target, which all instances share; none without link_targets.
  std::vector<std::unique_ptr<fakes::FakeLink>>& TargetLinks() { return this->target_links; }
  fakes::PlatformStore& Store() { return this->store; }
  const SiteOptions& Options() const { return this->options; }
  int64_t ConfigurationVersion() const { return this->configuration_version; }

  // How often targets ran the request `id`, in total.
  int CountRuns(const std::string& id) const;

 private:
  // Starts links from `instance` to all targets. Returns the address at which the store names these
  // links as the addresses of the targets.
  Result<std::string> StartTargetLinks(SoakInstance& instance);
  // Starts a task that keeps the entry of `target` in the store up to date.
  void SpawnRegistration(const fakes::PlatformEngine& target, const std::string& service,
                         const std::string& link_address);

  Runtime& runtime;
  SiteOptions options;
  fakes::PlatformStore store;
  std::vector<std::unique_ptr<fakes::PlatformEngine>> engines;
  std::vector<std::unique_ptr<fakes::PlatformEngine>> apps;
  std::vector<std::unique_ptr<fakes::FakeLink>> target_links;
  std::vector<std::string> target_addresses;  // as registered
  std::vector<SoakInstance> instances;
  int64_t configuration_version = 0;
};

}  // namespace anvilcroft::soak

#endif  // SOAK_SITE_H_
