#ifndef ANVILCROFT_CRASH_GUARD_H_
#define ANVILCROFT_CRASH_GUARD_H_

// Refuses requests that crash the targets that run them, however often their caller retries.
//
//   if (const auto allowed = guard.Check(fingerprint, now); !allowed) return allowed;
//   ... the target died while it ran the request ...
//   guard.AddDeath(fingerprint, now);
//
// After kMaxDeaths deaths a fingerprint is refused for kTtl. Counts are passed to the other
// instances by a hook and taken over from them by Merge.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "anvilcroft/error.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

class CrashGuard {
 public:
  static constexpr int64_t kMaxDeaths = 2;
  static constexpr Duration kTtl = std::chrono::minutes(10);
  // Most fingerprints remembered; beyond it the one that expires first is forgotten.
  static constexpr std::size_t kMaxEntries = 256;

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

  // Counts a target that died while it ran the request, and tells the other instances.
  void AddDeath(const std::string& fingerprint, TimePoint now);

  // Takes over another instance's count: the higher one holds, because the other instance may
  // have started from ours.
  void Merge(const std::string& fingerprint, int64_t deaths, int64_t ttl_ms, TimePoint now);

  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    int64_t deaths = 0;
    TimePoint expires;
  };

  Entry& Obtain(const std::string& fingerprint, TimePoint now);

  Broadcast broadcast;
  std::map<std::string, Entry> entries;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CRASH_GUARD_H_
