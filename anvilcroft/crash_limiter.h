#ifndef ANVILCROFT_CRASH_LIMITER_H_
#define ANVILCROFT_CRASH_LIMITER_H_

// Keeps requests that crash their targets from all further ones, at any instance.
//
//   RequestCrashes crashes(limiter, request);
//   const CrashAdmission admission = crashes.Admit(task, SteadyNow());
//   if (!admission.allowed) ... refuse the request ...
//   ... the connection to `target` is lost before it has answered ...
//   crashes.OnConnectionLost(task, target, error);
//   ... or a target has completed the request ...
//   crashes.OnCompleted();
//
// A lost connection counts as a crash if the target's host refuses a new one, that is, the process
// has ended; connections are also reset for other reasons. Each crash is a row that all instances
// follow (front_directory.h), so that the count outlives any instance, and a trial
// (crash_history.h) begins with a row that only one instance can write. A request under which a
// target crashed and that another one completes soon writes nothing.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "anvilcroft/crash_history.h"
#include "anvilcroft/event.h"
#include "anvilcroft/front_directory.h"
#include "anvilcroft/live_request.h"
#include "anvilcroft/metadata_store.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/target_entry.h"

namespace anvilcroft {

// Why a request is refused.
constexpr char kCrashReason[] = "targets crashed while they ran this request";

struct CrashAdmission {
  bool allowed = true;
  std::size_t trial = 0;  // number of the trial, during which it is sent nowhere else; 0: none
  Duration retry_after = Duration::zero();  // if it is not allowed
};

class CrashLimiter {
 public:
  // A crash is written this long after it was seen, unless its request has been answered by then.
  // Further crashes of a request are written at once.
  static constexpr Duration kWriteDelay = milliseconds(100);
  // A host answers within this time whether a process listens; it is at most a few tens of
  // milliseconds away.
  static constexpr Duration kProbeTimeout = milliseconds(100);

  // `cut_off`: whether this instance reaches no target, so that a refused connection tells nothing.
  CrashLimiter(Runtime& runtime, MetadataStore& store, FrontDirectory& directory, Metrics& metrics,
               std::function<bool()> cut_off)
      : runtime(runtime),
        store(store),
        directory(directory),
        metrics(metrics),
        cut_off(std::move(cut_off)) {}

  void Start();

  // Whether no request is known to have crashed a target.
  bool Empty() const { return this->history.Empty(); }
  // Whether so many targets have crashed under the request that it may be sent as a trial at most.
  bool Suspects(const std::string& fingerprint) const;

  // Decides whether the request may be sent to a target now. Writes to the store if it is a trial.
  CrashAdmission Admit(Task& task, const std::string& fingerprint);
  // Checks whether the process of `target` has ended, and records a crash if it has.
  void OnConnectionLost(Task& task, const std::string& fingerprint, const std::string& request,
                        const TargetEntry& target, const Error& error);
  // Records that a target has completed the request.
  void OnCompleted(const std::string& fingerprint);
  // Records that no target has run the trial `number`, so that another one may take its place.
  void OnTrialNotRun(const std::string& fingerprint, std::size_t number);

 private:
  // Applies a row that has been read or has changed. `name` is its key without the prefix.
  void ApplyRow(const std::string& name, const StoredRow& row);
  // The present time for rows: a crash must not seem older than it is, as pauses count from it.
  StoreMillis StoredNow() const;
  // Queues that the row `name` gets `value`; nullopt: it is removed.
  void QueueWrite(const std::string& name, std::optional<std::string> value);
  // Writes the queued rows.
  void Flush(Task& task);
  // Writes one transaction of queued rows. Returns false if nothing was confirmed.
  bool WriteQueued(Task& task);
  // Removes rows that no longer count, if this instance is the first in the order of takeover.
  void RemoveExpired();

  Runtime& runtime;
  MetadataStore& store;
  FrontDirectory& directory;
  Metrics& metrics;
  std::function<bool()> cut_off;
  CrashHistory history;
  // Rows to be written, by name; nullopt: to be removed.
  std::map<std::string, std::optional<std::string>> queued;
  std::map<std::string, StoreMillis> rows;  // in the store, by name: when they were written
  bool urgent = false;                      // a queued row must not wait for kWriteDelay
  Event changed;                            // notified when a row has been queued
};

// The crashes under one request of a caller, which may be sent to several targets.
class RequestCrashes {
 public:
  // `request` must outlive this. Requests that are owed whatever crashes under them are not limited
  // (LiveRequest::crash_limited).
  RequestCrashes(CrashLimiter& limiter, const LiveRequest& request)
      : limiter(limiter), request(request) {}

  // Decides whether the request may be sent to one more target. After a trial it may not.
  CrashAdmission Admit(Task& task);
  // Whether the request may be sent to several targets at the same time.
  bool MayHedge();
  // `error` is the one with which the connection to `target` was lost.
  void OnConnectionLost(Task& task, const TargetEntry& target, const Error& error);
  void OnCompleted();
  // Call if no target has run the request and none will.
  void OnNotRun();

 private:
  // Equal for requests with the same path, caller and body.
  const std::string& Fingerprint();

  CrashLimiter& limiter;
  const LiveRequest& request;
  std::string fingerprint;  // empty until it is needed
  std::size_t trial = 0;    // that this request has begun; 0: none
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CRASH_LIMITER_H_
