#ifndef SOAK_CLIENTS_H_
#define SOAK_CLIENTS_H_

// The clients of the soak: callers of each kind of route and a trainer. They check the answers
// against the guarantees that docs/platform.md gives to callers and trainers, and collect
// violations.

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

  // Starts all clients, which run until Stop().
  void Start();
  // Asks the clients to end after the call or step that they are executing.
  void Stop() { this->stopping = true; }
  // Whether all clients have ended.
  bool Stopped() const { return this->running == 0; }

  // Checks, after the last fault, that within 30 s every instance serves a lookup, and that results
  // that were read before can be read again from every instance.
  void CheckRecovered(Task& task);

  const std::vector<std::string>& Violations() const { return this->violations; }
  // Counts of requests by outcome and of jobs, as "name=count" pairs.
  std::string Summary() const;

 private:
  // A submitted training step.
  struct Job {
    int64_t min_version = 0;
    std::set<std::string> items;             // ids
    std::map<int64_t, std::string> results;  // by position, from the first read
  };

  void Spawn(void (Clients::*body)(Task&));
  // Calls the route `lookup`, whose requests may run more than once.
  void CallSafeRoute(Task& task);
  // Calls the route `slip`, whose requests may run at most once.
  void CallUnsafeRoute(Task& task);
  // Calls the route `draft`, which answers with a stream of events.
  void CallStreamRoute(Task& task);
  // Reads one stream, which is taken up at any instance when it breaks off, and checks its events.
  void ReadStream(Task& task, const std::string& name);
  // Submits a job for each step, reads its results and ends it.
  void RunTrainer(Task& task);
  // Submits a job, retrying until it is accepted. Returns false if the soak stops and every attempt
  // was refused, which means that the job must not run.
  bool SubmitJob(Task& task, const std::string& id, const std::string& body);
  // Reads results from position `from` on. Checks new ones, and compares the others with what was
  // read before.
  void ReadResults(Task& task, const std::string& id, Job& job, const std::string& address,
                   int64_t from);
  void CheckResult(const std::string& id, const Job& job, int64_t position,
                   const std::string& result);
  Result<HttpResponse> Send(Task& task, const std::string& address, const std::string& method,
                            const std::string& target, const std::string& id,
                            const std::string& body, Duration limit);
  // The front address of a random instance.
  const std::string& RandomFront();
  // Records a violation, up to a maximum number.
  void AddViolation(const std::string& what);

  Runtime& runtime;
  Site& site;
  HttpClient http;
  std::mt19937_64 random;
  bool stopping = false;
  int running = 0;
  int64_t version = 1;
  std::map<std::string, Job> jobs;  // accepted jobs by id
  std::map<std::string, int> counts;
  std::vector<std::string> violations;
};

}  // namespace anvilcroft::soak

#endif  // SOAK_CLIENTS_H_
