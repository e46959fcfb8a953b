#ifndef FAKES_PLATFORM_CLOUD_H_
#define FAKES_PLATFORM_CLOUD_H_

// A fake of the platform's API for singleton duties: POST /usage and POST /scale. Records every
// call with its holder, fencing token and time.
//
// The modes of FaultPlan (refuse, silent, slow, down) apply. lose_answers is the number of calls
// that are executed and not answered, and delay_apply_ms the delay after which these are executed,
// also after later calls.

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "fakes/fake_server.h"
#include "fakes/rate_limit.h"

namespace anvilcroft::fakes {

// One call, in the order of arrival.
struct CloudCall {
  std::string path;    // "/usage" or "/scale"
  std::string holder;  // X-Duty-Holder
  int64_t fencing = 0;
  nlohmann::json body;
  TimePoint received_at;
  // When it was executed or refused; nullopt: not yet.
  std::optional<TimePoint> executed_at;
  int status = 0;        // of its execution; 0: not executed yet
  bool answered = true;  // false: the response was lost
};

class PlatformCloud {
 public:
  using Counts = std::map<std::string, int64_t>;
  // Service, zone, and whether the engines are reclaimable.
  using EngineKind = std::tuple<std::string, std::string, bool>;

  explicit PlatformCloud(Runtime& runtime, const std::string& address = "127.0.0.1:0");

  // Starts to listen and returns the bound address as "ip:port".
  Result<std::string> Start() { return this->server.Start(); }

  FakeServer& Server() { return this->server; }

  // Answers calls beyond this rate with 429; 0: no limit.
  void SetCallsPerSecond(double value) { this->rate = RateLimit(value); }

  // The calls to `path`, in the order of arrival; empty: all calls.
  std::vector<CloudCall> Calls(const std::string& path = "") const;

  // Whether calls with a lower token than one seen before for the same subject are answered with
  // 409. The subject of a report is the duty, that of an order the service and the zone.
  bool checks_fencing = false;
  // The next n calls are answered with 429 and not executed.
  int64_t refuse_next = 0;
  // Orders that would increase the number of these engines are answered with 409.
  std::set<EngineKind> unavailable;

  // The counts of each window that was reported, from its first report.
  std::map<int64_t, Counts> windows;
  // When each window was first reported.
  std::map<int64_t, TimePoint> reported_at;
  // Reports of a window with other counts than its first one. None may occur.
  std::vector<CloudCall> conflicting;
  // The number of engines that was last ordered.
  std::map<EngineKind, int> engines;
  // Called after an order was executed; may be empty.
  std::function<void(const EngineKind& kind, int count)> on_order;

 private:
  void Handle(Task& task, const std::string& path, const HttpRequest& request, HttpReply& reply);
  // Executes the call with this index and returns the status of its response.
  int Execute(std::size_t index);
  int ExecuteReport(CloudCall& call);
  int ExecuteOrder(CloudCall& call);
  // Records `token` for `subject`. Returns false if a higher one was seen and is checked.
  bool AdmitToken(const std::string& subject, int64_t token);

  FakeServer server;
  RateLimit rate{0};
  std::vector<CloudCall> calls;
  std::map<std::string, int64_t> tokens;  // highest token by subject
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_PLATFORM_CLOUD_H_
