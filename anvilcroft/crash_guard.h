#ifndef ANVILCROFT_CRASH_GUARD_H_
#define ANVILCROFT_CRASH_GUARD_H_

// Refuses requests that crash the targets that run them, however often their caller retries.
//
//   if (const auto allowed = guard.Check(fingerprint, now); !allowed) return allowed;
//   ... the target died while it ran the request ...
//   guard.AddDeath(fingerprint, "e1@17", now);
//
// A death is that of one run of a target, and counts once. It is withdrawn when the same run
// answers again, because the target was cut off and not dead. A request that ends well did not
// crash its targets. After kMaxDeaths deaths a fingerprint is refused for kTtl; whoever runs the
// work waits until they have settled, so that a short network cut refuses nobody. Counts are passed
// to the other instances by a hook and taken over from them by Merge.

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
  static constexpr int64_t kMaxDeaths = 2;
  static constexpr Duration kTtl = std::chrono::minutes(10);
  // Time after the last death in which a target that was only cut off has answered again: two
  // probe intervals of 1 s and one probe timeout of 1.5 s.
  static constexpr Duration kSettle = milliseconds(3500);
  // Most fingerprints remembered; beyond it the one that expires first is forgotten.
  static constexpr std::size_t kMaxEntries = 256;

  // `deaths` counts the deaths seen here; 0 says that all were withdrawn.
  using Broadcast =
      std::function<void(const std::string& fingerprint, int64_t deaths, int64_t ttl_ms)>;

  explicit CrashGuard(Broadcast broadcast = {}) : broadcast(std::move(broadcast)) {}

  // Hash of what makes two requests the same work.
  static std::string Fingerprint(const std::string& service, const std::string& operation,
                                 const std::string& body);

  // Fails with kCrashesTargets, ran = no, if the fingerprint is refused at `now`.
  Result<void> Check(const std::string& fingerprint, TimePoint now);

  // Number of targets that died on the request, as far as is known at `now`.
  int64_t Deaths(const std::string& fingerprint, TimePoint now) const;

  // Whether a refusal is due that may still be withdrawn, because its last death is younger than
  // kSettle.
  bool Unsettled(const std::string& fingerprint, TimePoint now) const;

  // Counts the death of `run`, a run of a target, while it ran the request, and tells the other
  // instances. A run that was counted before is not counted again.
  void AddDeath(const std::string& fingerprint, const std::string& run, TimePoint now);

  // `run` has answered, so it did not die: drops its death from all fingerprints.
  void Withdraw(const std::string& run);

  // A request with this fingerprint ended well or passed the point where its target died.
  void Acquit(const std::string& fingerprint);

  // Takes over another instance's count. 0 withdraws what the others reported.
  void Merge(const std::string& fingerprint, int64_t deaths, int64_t ttl_ms, TimePoint now);

  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    std::set<std::string> runs;  // that died on it, as seen here
    int64_t reported = 0;        // deaths that other instances have seen
    TimePoint last_death;
    TimePoint expires;

    int64_t Deaths() const { return static_cast<int64_t>(this->runs.size()) + this->reported; }
  };
  using Entries = std::map<std::string, Entry>;

  Entry& Obtain(const std::string& fingerprint, TimePoint now);
  // The entry of `fingerprint` unless it has expired at `now`, or null.
  const Entry* Find(const std::string& fingerprint, TimePoint now) const;
  // Drops the entry at `at` if nothing is left of it, and returns the one after it.
  Entries::iterator AfterWithdrawal(Entries::iterator at);

  Broadcast broadcast;
  Entries entries;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CRASH_GUARD_H_
