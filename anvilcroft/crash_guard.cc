#include "anvilcroft/crash_guard.h"

#include <algorithm>

#include "anvilcroft/hash.h"

namespace anvilcroft {

std::string CrashGuard::Fingerprint(const std::string& service, const std::string& operation,
                                    const std::string& body) {
  // Lengths keep ("a", "bc") and ("ab", "c") apart.
  return HexDigest(std::to_string(service.size()) + ":" + service +
                   std::to_string(operation.size()) + ":" + operation + body);
}

Result<void> CrashGuard::Check(const std::string& fingerprint, TimePoint now) {
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end()) return {};
  if (found->second.expires <= now) {
    this->entries.erase(found);
    return {};
  }
  if (found->second.deaths < kMaxDeaths) return {};
  return Fail(ErrorCode::kCrashesTargets,
              "targets died while they ran this request; it is refused for a while", "body");
}

int64_t CrashGuard::Deaths(const std::string& fingerprint, TimePoint now) const {
  const auto found = this->entries.find(fingerprint);
  return found == this->entries.end() || found->second.expires <= now ? 0 : found->second.deaths;
}

CrashGuard::Entry& CrashGuard::Obtain(const std::string& fingerprint, TimePoint now) {
  const auto found = this->entries.find(fingerprint);
  if (found != this->entries.end()) {
    if (found->second.expires <= now) found->second.deaths = 0;
    return found->second;
  }
  if (this->entries.size() >= kMaxEntries) {
    this->entries.erase(std::min_element(
        this->entries.begin(), this->entries.end(),
        [](const auto& a, const auto& b) { return a.second.expires < b.second.expires; }));
  }
  return this->entries[fingerprint];
}

void CrashGuard::AddDeath(const std::string& fingerprint, TimePoint now) {
  Entry& entry = this->Obtain(fingerprint, now);
  ++entry.deaths;
  entry.expires = now + kTtl;
  if (this->broadcast) this->broadcast(fingerprint, entry.deaths, ToMillis(kTtl));
}

void CrashGuard::Merge(const std::string& fingerprint, int64_t deaths, int64_t ttl_ms,
                       TimePoint now) {
  if (deaths <= 0 || ttl_ms <= 0) return;
  const Duration ttl = std::min<Duration>(kTtl, milliseconds(std::min(ttl_ms, ToMillis(kTtl))));
  Entry& entry = this->Obtain(fingerprint, now);
  entry.deaths = std::max(entry.deaths, std::min(deaths, kMaxDeaths));
  entry.expires = std::max(entry.expires, now + ttl);
}

}  // namespace anvilcroft
