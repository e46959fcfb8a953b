#ifndef SOAK_CLIENTS_H_
#define SOAK_CLIENTS_H_

// The clients of the soak: callers of each kind of route and a trainer. They check what they see
// against the promises to callers and trainers, and collect violations.

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "anvilcroft/http_client.h"
#include "soak/site.h"

namespace anvilcroft::soak {

class Clients {
 public:
  Clients(Runtime& runtime, Site& site, uint64_t seed);

  // Starts all clients. They run until Stop.
  void Start();
  // Ends the clients after what they are doing.
  void Stop() { this->stopping = true; }
  bool Stopped() const { return this->running == 0; }

  // After the faults: every instance answers lookups, and kept jobs can be read from the start.
  void CheckRecovered(Task& task);

  const std::vector<std::string>& Violations() const { return this->violations; }
  // Counts of what was done, as "name=count" pairs.
  std::string Summary() const;

 private:
  struct Job {
    int64_t min_version = 0;
    std::set<std::string> items;
    std::map<int64_t, std::string> results;  // by position, as first read
  };

  void Spawn(void (Clients::*body)(Task&));
  void CallLookups(Task& task);
  void CallSlips(Task& task);
  void CallStreams(Task& task);
  void Train(Task& task);
  // Whether the job was accepted; tries until the end of the soak.
  bool Submit(Task& task, const std::string& id, const std::string& body);
  // Reads results from a random position that was not read yet; checks what comes.
  void ReadResults(Task& task, const std::string& id, Job& job, const std::string& address,
                   int64_t from);
  void CheckResult(const std::string& id, const Job& job, int64_t position,
                   const std::string& result);
  Result<HttpResponse> Send(Task& task, const std::string& address, const std::string& method,
                            const std::string& target, const std::string& id,
                            const std::string& body, Duration limit);
  const std::string& AnyFront();
  void Violate(const std::string& what);

  Runtime& runtime;
  Site& site;
  HttpClient http;
  std::mt19937_64 random;
  bool stopping = false;
  int running = 0;
  int64_t version = 1;
  std::map<std::string, Job> jobs;  // accepted ones
  std::map<std::string, int> counts;
  std::vector<std::string> violations;
};

}  // namespace anvilcroft::soak

#endif  // SOAK_CLIENTS_H_
