#ifndef FAKES_LOCAL_CLUSTER_H_
#define FAKES_LOCAL_CLUSTER_H_

// A whole site on one machine: the fakes of the platform, the fake targets and the anvilcroft
// instances, each a separate process on a loopback port chosen by the system.
//
//   LocalCluster cluster(LocalCluster::Options{...});
//   Result<void> started = cluster.Start();
//   cluster.Instances()[0].process->Signal(SIGTERM);
//
// Logs and settings files are written to a temporary directory. The destructor kills all processes
// and removes the directory unless Options::keep_files is set.

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "anvilcroft/error.h"
#include "fakes/child_process.h"
#include "fakes/site.h"

namespace anvilcroft::fakes {

class LocalCluster {
 public:
  struct Options {
    std::string anvilcroft_binary;
    std::string fakes_binary;
    Site site;
    int instances = 4;
    double tokens_per_second = 400;  // of each stream at an engine
    int batch_size = 16;             // concurrent requests per engine
    double lease_s = 6;
    double lease_renewal_s = 1.5;
    double address_ttl_s = 1;
    double weight_downloads_per_second = 8;
    std::vector<std::string> engine_arguments;  // additional arguments of every fake engine
    bool keep_files = false;
  };

  // A process and the addresses at which it listens.
  struct Node {
    std::string id;
    std::string zone;
    std::string address;       // of the API
    std::string peer_address;  // instances only
    std::unique_ptr<ChildProcess> process;
  };

  explicit LocalCluster(Options options);
  ~LocalCluster();

  // Starts all processes and waits until every instance listens. Fails if a process ends or does
  // not listen within 20 s of its start.
  Result<void> Start();

  // Starts another instance in `zone` with a new id and waits until it listens. Fails with
  // kNotReady if it does not; the message is the log of the instance.
  Result<void> AddInstance(const std::string& zone);

  // Starts the fake trainer with additional `arguments`. It prints its summary as one line on its
  // standard output.
  Result<std::unique_ptr<ChildProcess>> StartTrainer(const std::vector<std::string>& arguments);

  std::vector<Node>& Instances() { return this->instances; }
  std::vector<Node>& ModelEngines() { return this->engines; }
  std::vector<Node>& AppEngines() { return this->apps; }
  // The fake with this name: "table", "objects", "instances", "weights" or "judge".
  Node& Platform(const std::string& name) { return this->platform.at(name); }
  // API addresses of all instances that were started, including those that have ended.
  std::vector<std::string> Addresses() const;
  const Options& Settings() const { return this->options; }
  // The standard error of a process so far.
  std::string LogOf(const std::string& id) const;

 private:
  Result<Node> StartFake(const std::string& id, const std::string& zone,
                         std::vector<std::string> arguments);
  Result<void> StartPlatform();
  Result<void> StartTargets();
  std::string SettingsText(const std::string& id, const std::string& zone) const;
  std::string PathOf(const std::string& name) const { return this->folder + "/" + name; }

  Options options;
  std::string folder;
  std::map<std::string, Node> platform;
  std::vector<Node> engines;
  std::vector<Node> apps;
  std::vector<Node> instances;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_LOCAL_CLUSTER_H_
