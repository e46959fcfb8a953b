#ifndef REVIEW_STANDINS_2_SITE_HPP_
#define REVIEW_STANDINS_2_SITE_HPP_

// A small deployment on loopback addresses: instances as processes, started with the command of the
// deploy file, and stand-ins of the platform's store, the engines and the clients in this process.

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "anvilcroft/http_client.h"
#include "engine.hpp"
#include "fakes/child_process.h"
#include "store.hpp"

namespace anvilcroft::review {

struct Instance {
  std::string id;
  std::string front;
  std::string settings_file;
  std::string log_file;
  Store::Access* store = nullptr;
  std::unique_ptr<fakes::ChildProcess> process;
};

struct Item {
  std::string id;
  std::string group;
  std::string body = "prompt";
  int max_tokens = 4000;
};

struct Job {
  std::string id;
  std::string path = "/draft/step";
  int64_t step = 0;
  int64_t min_version = 1;
  int64_t target_groups = 0;
  std::vector<Item> items;
  bool trained = true;  // false: a batch job of no trainer, which has no model, step or groups
};

// What a client has read of a batch job.
struct Read {
  int64_t total = -1;
  std::vector<nlohmann::json> results;
};

class Site {
 public:
  static constexpr char kHost[] = "ops.example";
  static constexpr char kModel[] = "m0";

  struct Options {
    std::string binary;
    std::string folder;  // for settings and logs
    std::string record_file;
    int memory_mb = 270;
  };

  Site(Runtime& runtime, Options options);

  // Writes a line to the record, with the time since the start.
  void Note(const std::string& line);
  double Seconds(TimePoint at) const { return std::chrono::duration<double>(at - started).count(); }

  Engine& AddEngine(Engine::Options options);
  // Adds an instance. Smaller shares of the processor come later in the order of takeover.
  Instance& AddInstance(const std::string& id, double cpu_share);
  bool StartProcess(Instance& instance);
  // The instance that last wrote the lease on batch jobs; null: none.
  Instance* LeaseHolder();
  // Writes the configuration; `rollout` adds fields to the route of batch jobs.
  void WriteConfiguration(const nlohmann::json& rollout, int64_t version = 3);
  void NameVersion(int64_t version);
  // Keeps the entries of the engines in the store up to date.
  void Register(Task& task);

  // Waits until all instances serve a request.
  bool AwaitServing(Task& task, Duration limit);
  Result<HttpResponse> Call(Task& task, const Instance& instance, const HttpRequest& request,
                            Duration limit);
  // The next call of a client goes to `instance`.
  void PreferFront(const Instance& instance);
  // Submits a job, also again as clients do. Returns the last status; 0: no answer.
  int Submit(Task& task, const Job& job);
  // Reads the results of a job from `read.results.size()` on. Returns the status; 0: no answer.
  int ReadOn(Task& task, const std::string& job, Read& read, Duration wait);
  int End(Task& task, const std::string& job);
  int Body(Task& task, const std::string& job, const std::string& item, std::string& body);

  Runtime& runtime;
  Store store;
  std::vector<std::unique_ptr<Engine>> engines;
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<EngineEvent> events;
  HttpClient http;

 private:
  const Instance& NextFront();

  Options options;
  TimePoint started = SteadyNow();
  std::ofstream record;
  std::size_t next_front = 0;
};

}  // namespace anvilcroft::review

#endif  // REVIEW_STANDINS_2_SITE_HPP_
