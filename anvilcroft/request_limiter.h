#ifndef ANVILCROFT_REQUEST_LIMITER_H_
#define ANVILCROFT_REQUEST_LIMITER_H_

// Keeps the request limits that targets name. A target that is short of capacity names in its
// answers how many requests a second it takes from all instances together.
//
//   auto permit = limiter.Acquire(task, target, CallPurpose::kRequest, max_wait);
//   if (!permit) return;  // ran = no: try another target, or again after limiter.NextPermit()
//   engines.Forward(task, std::move(*permit), target, ...);
//
// One live instance, the keeper of the target (permit_schedule.h), grants the permits of all
// instances. Without an answer from it, an instance asks the standby; without an answer from that
// one either, it grants its own requests a small share of the limit. The keeper writes the limit to
// the metadata store, where all instances see it, including those that start later. Requests to a
// target without a limit need no call.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/call_counts.h"
#include "anvilcroft/front_directory.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/permit_message.h"
#include "anvilcroft/permit_schedule.h"
#include "anvilcroft/request_limits.h"
#include "anvilcroft/send_permit.h"
#include "anvilcroft/target_pool.h"

namespace anvilcroft {

class RequestLimiter {
 public:
  class Builder;

  // Path of the calls between instances, at their internal addresses.
  static constexpr const char* kPath = "/permits";
  // Timeout of such a call. The latency between instances is at most a few tens of milliseconds.
  static constexpr Duration kCallTimeout = milliseconds(150);
  // How long an instance that has not answered is left out.
  static constexpr Duration kUnansweredPause = milliseconds(1000);
  // Maximum wait for a permit. A successor of the keeper does not know the permits that it has
  // granted, so these must be few. Orders and reports may wait longer than all other calls, so that
  // these never keep them out.
  static constexpr Duration kMaxWait = milliseconds(800);
  static constexpr Duration kMaxOrderWait = milliseconds(1200);
  // Error part of requests without a permit.
  static constexpr const char* kErrorPart = "request_limit";

  RequestLimiter(const RequestLimiter&) = delete;
  RequestLimiter& operator=(const RequestLimiter&) = delete;

  void Start();

  // Blocks the task until a request may be sent to `target`, at most `max_wait`. Fails at once with
  // kOverloaded, ran = no and part kErrorPart if the next permit is further away.
  Result<SendPermit> Acquire(Task& task, const TargetEntry& target, CallPurpose purpose,
                             Duration max_wait);

  // Time from `now` until a permit for the target may be available, zero if that is not known.
  // nullopt: the target has no limit.
  std::optional<Duration> NextPermit(const TargetEntry& target, TimePoint now) const;

  // Records the limit in an answer of `target`, in requests a second; nullopt: it named none.
  void OnAnswer(const TargetEntry& target, std::optional<double> per_second, TimePoint now);

  // Applies a change of a row that another instance wrote. The row's key is that of a target.
  void ApplyRow(const std::string& target, const StoredRow& row, TimePoint now);

  // Handles a call of another instance.
  Result<PermitAnswer> HandleRequest(const std::string& body, TimePoint now);

 private:
  explicit RequestLimiter(const Builder& builder);

  // Applies a statement about a target and returns whether its limit has changed. `source` is
  // logged.
  bool Apply(const std::string& target, const LimitStatement& statement, const char* source);
  // The answer of this instance in `role`.
  PermitAnswer Grant(const std::string& target, PermitRole role, Duration max_wait, TimePoint now);
  // Sends `request` to the instances that keep the permits of its target, one after the other. If
  // none answers, the answer is that of this instance alone.
  PermitAnswer Ask(Task& task, PermitRequest request);
  std::optional<PermitAnswer> AskPeer(Task& task, const std::string& instance,
                                      const PermitRequest& request);
  PermitRequest DescribeLimit(const std::string& target, TimePoint now) const;
  // The keepers of a target, among the instances that are live now.
  const std::vector<std::string>& KeepersOf(const std::string& target);
  // Tells the keeper of a target that its limit has changed.
  void TellKeeper(const std::string& target);
  // Writes the limit of a target to the metadata store, or removes the row if there is none.
  void WriteRow(const std::string& target);
  void WriteRow(Task& task, const std::string& target);
  // Whether the row says the same as the latest statement about the target.
  bool RowIsCurrent(const std::string& target) const;
  // Forgets targets that are no longer listed and removes their rows.
  void RemoveOldTargets();

  Runtime& runtime;
  Metrics& metrics;
  MetadataStore& store;
  FrontDirectory& directory;
  const TargetPool& pool;
  std::string self;
  HttpClient http;
  RequestLimits limits;
  std::map<std::string, CallCounts> calls;  // by target
  // Schedules of the targets for which this instance has granted permits, by role.
  struct Schedule {
    WallMillis started_at = 0;  // start of the target
    PermitSchedule permits;
  };
  std::map<std::pair<std::string, PermitRole>, Schedule> schedules;
  std::map<std::string, std::vector<std::string>> keepers;  // by target
  int64_t keepers_version = -1;                             // of the live instances
  std::map<std::string, TimePoint> unanswered_until;        // by instance
  std::map<std::string, TimePoint> next_permits;            // by target
  std::map<std::string, std::optional<double>> rows;        // limits in the store, by target
  std::set<std::string> writing;                            // targets whose row is being written
};

class RequestLimiter::Builder {
 public:
  Builder(Runtime& runtime, Metrics& metrics) : runtime(runtime), metrics(metrics) {}

  Builder& SetStore(MetadataStore& value);
  Builder& SetDirectory(FrontDirectory& value);
  // The targets that are listed.
  Builder& SetPool(const TargetPool& value);
  // Name of this instance.
  Builder& SetSelf(std::string value);

  // All settings are required.
  std::unique_ptr<RequestLimiter> Build() const;

 private:
  friend class RequestLimiter;

  Runtime& runtime;
  Metrics& metrics;
  MetadataStore* store = nullptr;
  FrontDirectory* directory = nullptr;
  const TargetPool* pool = nullptr;
  std::string self;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_REQUEST_LIMITER_H_
