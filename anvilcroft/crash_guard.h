#ifndef ANVILCROFT_CRASH_GUARD_H_
#define ANVILCROFT_CRASH_GUARD_H_

// Refuses requests that crash the targets that run them, however often their caller retries.
//
//   if (const auto allowed = guard.Check(fingerprint, now); !allowed) return allowed;
//   ... the target crashed while it ran the request ...
//   guard.AddCrash(fingerprint, "e1@17", now);
//
// Each run of a target (from its start to its end) counts as one crash at most. The crash is
// withdrawn if the same run answers again, because then the target was only unreachable. A request
// that completes clears its crashes. After kMaxCrashes crashes a fingerprint is refused for kTtl.
// The dispatcher waits while RefusalPending() is true, so that a short network failure causes no
// refusal. A hook sends the counts to the other instances; Merge() applies theirs.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "anvilcroft/error.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

class CrashGuard {
 public:
  static constexpr int64_t kMaxCrashes = 2;
  static constexpr Duration kTtl = std::chrono::minutes(10);
  // Time after the last crash by which a target that was only unreachable has answered again: two
  // probe intervals of 1 s and one probe timeout of 1.5 s.
  static constexpr Duration kCrashConfirmTime = milliseconds(3500);
  // Maximum number of fingerprints. Beyond it, the one that expires first is evicted.
  static constexpr std::size_t kMaxEntries = 256;

  // Sends the number of crashes observed by this instance to the others; 0 withdraws all of them.
  using Broadcast =
      std::function<void(const std::string& fingerprint, int64_t crash_count, int64_t ttl_ms)>;

  explicit CrashGuard(Broadcast broadcast = {}) : broadcast(std::move(broadcast)) {}

  // Hash that is equal for requests with the same service, operation and body.
  static std::string Fingerprint(const std::string& service, const std::string& operation,
                                 const std::string& body);

  // Fails with kCrashesTargets, ran = no, if the fingerprint is refused at `now`.
  Result<void> Check(const std::string& fingerprint, TimePoint now);

  // Number of targets that crashed on the request and whose crash has not expired at `now`,
  // including those reported by other instances.
  int64_t Count(const std::string& fingerprint, TimePoint now) const;

  // Whether the fingerprint is refused but its last crash, less than kCrashConfirmTime ago, may
  // still be withdrawn.
  bool RefusalPending(const std::string& fingerprint, TimePoint now) const;

  // Records that `run`, a run of a target, crashed while it ran the request, and informs the other
  // instances. Does nothing if this run is already recorded.
  void AddCrash(const std::string& fingerprint, const std::string& run, TimePoint now);

  // Removes the crash of `run` from all fingerprints. Called when `run` has answered again.
  void WithdrawCrash(const std::string& run);

  // Removes the crashes observed here. Called when a request with this fingerprint completed or
  // passed the point where its target crashed.
  void ClearCrashes(const std::string& fingerprint);

  // Applies the count that another instance reported. The largest reported count is used; 0
  // withdraws all counts that other instances reported.
  void Merge(const std::string& fingerprint, int64_t crash_count, int64_t ttl_ms, TimePoint now);

  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    std::set<std::string> runs;  // runs of targets that this instance saw crash on the request
    int64_t reported = 0;        // crashes that other instances reported
    TimePoint last_crash;
    TimePoint expires;

    int64_t Count() const { return static_cast<int64_t>(this->runs.size()) + this->reported; }
  };
  using Entries = std::map<std::string, Entry>;

  Entry& FindOrCreate(const std::string& fingerprint, TimePoint now);
  // The entry of `fingerprint` unless it has expired at `now`, or null.
  const Entry* Find(const std::string& fingerprint, TimePoint now) const;
  // Informs the other instances if no crash observed here is left, and erases an entry without
  // crashes. Returns the entry after it.
  Entries::iterator FinishWithdrawal(Entries::iterator at);

  Broadcast broadcast;
  Entries entries;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CRASH_GUARD_H_
