#include "anvilcroft/crash_guard.h"

#include <algorithm>
#include <iterator>

#include "anvilcroft/hash.h"

namespace anvilcroft {

std::string CrashGuard::Fingerprint(const std::string& service, const std::string& operation,
                                    const std::string& body) {
  return HexDigestOf({service, operation, body});
}

Result<void> CrashGuard::Check(const std::string& fingerprint, TimePoint now) {
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end()) return {};
  if (found->second.expires <= now) {
    this->entries.erase(found);
    return {};
  }
  if (found->second.Count() < kMaxCrashes) return {};
  return Fail(ErrorCode::kCrashesTargets,
              "targets crashed while they ran this request; it is temporarily refused", "body");
}

const CrashGuard::Entry* CrashGuard::Find(const std::string& fingerprint, TimePoint now) const {
  const auto found = this->entries.find(fingerprint);
  return found == this->entries.end() || found->second.expires <= now ? nullptr : &found->second;
}

int64_t CrashGuard::Count(const std::string& fingerprint, TimePoint now) const {
  const Entry* entry = this->Find(fingerprint, now);
  return entry ? entry->Count() : 0;
}

bool CrashGuard::RefusalPending(const std::string& fingerprint, TimePoint now) const {
  const Entry* entry = this->Find(fingerprint, now);
  return entry && entry->Count() >= kMaxCrashes && now - entry->last_crash < kCrashConfirmTime;
}

CrashGuard::Entry& CrashGuard::FindOrCreate(const std::string& fingerprint, TimePoint now) {
  const auto found = this->entries.find(fingerprint);
  if (found != this->entries.end()) {
    if (found->second.expires <= now) found->second = Entry();
    return found->second;
  }
  if (this->entries.size() >= kMaxEntries) {
    this->entries.erase(std::min_element(
        this->entries.begin(), this->entries.end(),
        [](const auto& a, const auto& b) { return a.second.expires < b.second.expires; }));
  }
  return this->entries[fingerprint];
}

void CrashGuard::AddCrash(const std::string& fingerprint, const std::string& run, TimePoint now) {
  Entry& entry = this->FindOrCreate(fingerprint, now);
  if (!entry.runs.insert(run).second) return;
  entry.last_crash = now;
  entry.expires = now + kTtl;
  if (this->broadcast) {
    this->broadcast(fingerprint, static_cast<int64_t>(entry.runs.size()), ToMillis(kTtl));
  }
}

CrashGuard::Entries::iterator CrashGuard::FinishWithdrawal(Entries::iterator at) {
  const Entry& entry = at->second;
  if (this->broadcast && entry.runs.empty()) this->broadcast(at->first, 0, ToMillis(kTtl));
  return entry.Count() == 0 ? this->entries.erase(at) : std::next(at);
}

void CrashGuard::WithdrawCrash(const std::string& run) {
  for (auto at = this->entries.begin(); at != this->entries.end();) {
    at = at->second.runs.erase(run) > 0 ? this->FinishWithdrawal(at) : std::next(at);
  }
}

void CrashGuard::ClearCrashes(const std::string& fingerprint) {
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end() || found->second.runs.empty()) return;
  found->second.runs.clear();
  this->FinishWithdrawal(found);
}

void CrashGuard::Merge(const std::string& fingerprint, int64_t crash_count, int64_t ttl_ms,
                       TimePoint now) {
  if (crash_count == 0) {
    const auto found = this->entries.find(fingerprint);
    if (found == this->entries.end()) return;
    found->second.reported = 0;
    if (found->second.Count() == 0) this->entries.erase(found);
    return;
  }
  if (crash_count < 0 || ttl_ms <= 0) return;
  const Duration ttl = std::min<Duration>(kTtl, milliseconds(std::min(ttl_ms, ToMillis(kTtl))));
  Entry& entry = this->FindOrCreate(fingerprint, now);
  entry.reported = std::max(entry.reported, std::min(crash_count, kMaxCrashes));
  entry.last_crash = std::max(entry.last_crash, now);
  entry.expires = std::max(entry.expires, now + ttl);
}

}  // namespace anvilcroft
