#ifndef SOAK_SITE_H_
#define SOAK_SITE_H_

// The system under test: instances as separate processes, each with its own link to a stand-in of
// the platform's metadata store, and stand-ins of its targets in this process.

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
  std::string binary;     // of anvilcroft
  std::string directory;  // for settings and logs
  int instances = 4;
  int engines = 3;
  int apps = 2;
};

// One instance: its process, which may be down, and what stays when it restarts.
struct SoakInstance {
  std::string id;
  std::string front;  // "ip:port" for callers
  std::string ready;
  std::string settings_file;
  std::string log_file;
  std::unique_ptr<fakes::FakeLink> store_link;
  std::unique_ptr<fakes::ChildProcess> process;
  bool frozen = false;
};

class Site {
 public:
  // Address, model and host that the configuration uses.
  static constexpr char kHost[] = "h.example";
  static constexpr char kModel[] = "m";

  Site(Runtime& runtime, SiteOptions options);

  // Starts everything. Fails with the error of the part that did not start.
  Result<void> Start();

  // Starts the process of `instance`, which must not run.
  Result<void> StartProcess(SoakInstance& instance);

  // Writes the configuration `version`, as the operator does.
  void WriteConfiguration(int64_t version);
  // Names `version` of the model, as a trainer does.
  void NameVersion(int64_t version);

  std::vector<SoakInstance>& Instances() { return this->instances; }
  std::vector<std::unique_ptr<fakes::PlatformEngine>>& Engines() { return this->engines; }
  std::vector<std::unique_ptr<fakes::PlatformEngine>>& Apps() { return this->apps; }
  // Links of all instances to one target each.
  std::vector<std::unique_ptr<fakes::FakeLink>>& TargetLinks() { return this->target_links; }
  fakes::PlatformStore& Store() { return this->store; }
  int64_t Configuration() const { return this->configuration; }

  // How often any target ran the request `id`.
  int Runs(const std::string& id) const;

 private:
  void Register(const fakes::PlatformEngine& target, const std::string& id,
                const std::string& service, const std::string& reached);

  Runtime& runtime;
  SiteOptions options;
  fakes::PlatformStore store;
  std::vector<std::unique_ptr<fakes::PlatformEngine>> engines;
  std::vector<std::unique_ptr<fakes::PlatformEngine>> apps;
  std::vector<std::unique_ptr<fakes::FakeLink>> target_links;
  std::vector<SoakInstance> instances;
  int64_t configuration = 0;
};

}  // namespace anvilcroft::soak

#endif  // SOAK_SITE_H_
