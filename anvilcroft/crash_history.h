#ifndef ANVILCROFT_CRASH_HISTORY_H_
#define ANVILCROFT_CRASH_HISTORY_H_

// Decides whether a request under which targets have crashed may be sent again. Pure.
//
// Load pattern: a request crashes every target that begins to run it, and its caller sends it again
// and again, to any instance. Meanwhile targets crash for other reasons, under requests that do no
// harm, and these must still be served.
//
// After kMaxCrashes crashes a request is sent again only as a trial: alone, one trial at a time and
// kMaxTrials at most, each kTrialPause after the last crash, when a series of other crashes has
// passed. A request that completes is no longer suspected.
//
//   switch (history.Decide(fingerprint, now).verdict) { ... }
//   history.AddCrash(fingerprint, "e1@17", now);   // one of its targets has ended
//   history.Forget(fingerprint);                   // it has completed

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "anvilcroft/time.h"

namespace anvilcroft {

struct CrashDecision {
  enum class Verdict { kAllowed, kTrial, kRefused };

  Verdict verdict = Verdict::kAllowed;
  std::size_t trial = 0;                    // kTrial: its number, from 1
  Duration retry_after = Duration::zero();  // kRefused: time until it may be sent again

  friend bool operator==(const CrashDecision& a, const CrashDecision& b) {
    return a.verdict == b.verdict && a.trial == b.trial && a.retry_after == b.retry_after;
  }
  friend bool operator!=(const CrashDecision& a, const CrashDecision& b) { return !(a == b); }
};

class CrashHistory {
 public:
  static constexpr std::size_t kMaxCrashes = 3;
  static constexpr std::size_t kMaxTrials = 2;
  static constexpr Duration kTrialPause = seconds(5);
  // How long a crash counts.
  static constexpr Duration kLifetime = std::chrono::hours(1);
  // Beyond this number of requests, the one whose last crash is the oldest is forgotten.
  static constexpr std::size_t kMaxRequests = 4096;

  CrashDecision Decide(const std::string& fingerprint, TimePoint now) const;

  // Records that `start`, one start of a target, ended at `at` while it ran the request. Each start
  // counts once. Returns whether it is new.
  bool AddCrash(const std::string& fingerprint, const std::string& start, TimePoint at);

  // Records that trial `number` began at `at`, at any instance.
  void AddTrial(const std::string& fingerprint, std::size_t number, TimePoint at);

  // Removes one crash or one trial, or all that is known about a request.
  void RemoveCrash(const std::string& fingerprint, const std::string& start);
  void RemoveTrial(const std::string& fingerprint, std::size_t number);
  void Forget(const std::string& fingerprint);

  // Removes what happened longer than kLifetime ago.
  void Expire(TimePoint now);

  // Number of different starts of targets that ended while they ran the request.
  std::size_t Crashes(const std::string& fingerprint) const;
  // The starts and the numbers of the trials of a request.
  std::vector<std::string> Starts(const std::string& fingerprint) const;
  std::vector<std::size_t> Trials(const std::string& fingerprint) const;
  bool Empty() const { return this->requests.empty(); }
  std::size_t Size() const { return this->requests.size(); }

 private:
  struct Request {
    std::map<std::string, TimePoint> crashes;  // by start of the target
    std::map<std::size_t, TimePoint> trials;   // by number

    // Time of the last crash or trial.
    TimePoint Latest() const;
  };

  Request& FindOrCreate(const std::string& fingerprint);
  void EraseIfEmpty(const std::string& fingerprint);

  std::map<std::string, Request> requests;  // by fingerprint
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CRASH_HISTORY_H_
