#ifndef DEMO_CALLER_LOAD_H_
#define DEMO_CALLER_LOAD_H_

// Load generator of the demo: unary and streamed model requests, lookups, and confirmations, which
// must run at most once. Each response is compared with the one that the fakes must give.

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
    int64_t correct = 0;  // succeeded with exactly the expected content
    int64_t wrong = 0;    // succeeded with any other content
    int64_t refused = 0;  // failed; the last error said that the request was not executed
    int64_t unknown = 0;  // failed; the request may have been executed
  };

  CallerLoad(Runtime& runtime, fakes::LocalCluster& cluster);

  // Starts `count` callers, each of which sends `requests` requests one after the other.
  void Start(int count, int requests);

  // Waits until all requests have an outcome.
  void Wait(Task& task);

  const Counts& Totals() const { return this->totals; }
  // Sums over all callers; see fakes::TestCaller.
  int64_t Retries() const;
  int64_t BrokenAnswers() const;

  // Maps the idempotency key of each confirmation to whether it was answered.
  const std::map<std::string, bool>& Confirmations() const { return this->confirmations; }

 private:
  void RunCaller(Task& task, fakes::TestCaller& caller, int number, int requests);
  void SendRequest(Task& task, fakes::TestCaller& caller, const std::string& name, int kind);
  void RecordOutcome(const Result<std::string>& answer, bool matches);

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
