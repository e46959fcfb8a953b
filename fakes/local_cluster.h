#ifndef FAKES_LOCAL_CLUSTER_H_
#define FAKES_LOCAL_CLUSTER_H_

// A site on one machine: the fakes of the platform, the fake targets and the instances of
// anvilcroft, each a process of its own on a loopback port that the system chose.
//
//   LocalCluster cluster(LocalCluster::Options{...});
//   Result<void> started = cluster.Start();
//   cluster.Instances()[0].process->Signal(SIGTERM);
//
// Logs and settings files go to a temporary folder, which the destructor removes unless
// Options::keep_files is set. Every process ends with the cluster.

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
    double tokens_per_second = 400;  // of one stream at an engine
    int batch_size = 16;             // requests that one engine runs at once
    double lease_s = 6;
    double lease_renewal_s = 1.5;
    double address_ttl_s = 1;
    double weight_downloads_per_second = 8;
    std::vector<std::string> engine_arguments;  // more arguments of every fake engine
    bool keep_files = false;
  };

  // One process and where it listens.
  struct Node {
    std::string id;
    std::string zone;
    std::string address;       // of the API
    std::string peer_address;  // instances only
    std::unique_ptr<ChildProcess> process;
  };

  explicit LocalCluster(Options options);
  ~LocalCluster();

  // Starts everything and waits until every instance listens.
  Result<void> Start();

  // Starts one more instance in `zone` under a new id.
  Result<void> AddInstance(const std::string& zone);

  // Starts the fake trainer with `arguments`; its summary is a line on its standard output.
  Result<std::unique_ptr<ChildProcess>> StartTrainer(const std::vector<std::string>& arguments);

  std::vector<Node>& Instances() { return this->instances; }
  std::vector<Node>& ModelEngines() { return this->engines; }
  std::vector<Node>& AppEngines() { return this->apps; }
  // A fake of the platform: "table", "objects", "instances", "weights" or "judge".
  Node& Platform(const std::string& name) { return this->platform.at(name); }
  // Addresses of all instances that have been started.
  std::vector<std::string> Addresses() const;
  const Options& Settings() const { return this->options; }
  // What a process wrote on standard error.
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
