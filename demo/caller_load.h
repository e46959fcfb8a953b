#ifndef DEMO_CALLER_LOAD_H_
#define DEMO_CALLER_LOAD_H_

// Callers of the demo: model requests, whole and streamed, lookups, and confirmations that may run
// only once, all checked against what the fakes must answer.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "anvilcroft/event.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/runtime.h"
#include "fakes/local_cluster.h"
#include "fakes/test_caller.h"

namespace anvilcroft::demo {

class CallerLoad {
 public:
  struct Counts {
    int64_t sent = 0;
    int64_t whole = 0;    // answered with exactly the expected content
    int64_t wrong = 0;    // answered with anything else
    int64_t refused = 0;  // refused for good
    int64_t unknown = 0;  // outcome unknown for good
  };

  CallerLoad(Runtime& runtime, fakes::LocalCluster& cluster);

  // Starts `callers` tasks, each sending `requests` requests one after the other.
  void Start(int callers, int requests);

  // Waits until all requests have an outcome.
  void Wait(Task& task);

  const Counts& Totals() const { return this->totals; }
  int64_t Retries() const;
  int64_t BrokenAnswers() const;

  // Outcome of each confirmation by its idempotency key: true if it was answered.
  const std::map<std::string, bool>& Confirmations() const { return this->confirmations; }

 private:
  void RunCaller(Task& task, fakes::TestCaller& caller, int number, int requests);
  void RunOne(Task& task, fakes::TestCaller& caller, const std::string& name, int kind);
  void Record(const Result<std::string>& answer, bool matches);

  Runtime& runtime;
  fakes::LocalCluster& cluster;
  HttpClient http;
  std::vector<std::unique_ptr<fakes::TestCaller>> callers;
  Counts totals;
  std::map<std::string, bool> confirmations;
  int running = 0;
  Event finished;
};

}  // namespace anvilcroft::demo

#endif  // DEMO_CALLER_LOAD_H_
