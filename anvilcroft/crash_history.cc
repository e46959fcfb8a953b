#include "anvilcroft/crash_history.h"

#include <algorithm>

namespace anvilcroft {
namespace {

// Removes the entries of `times` that are older than `oldest`.
template <typename Key>
void EraseBefore(std::map<Key, TimePoint>& times, TimePoint oldest) {
  for (auto it = times.begin(); it != times.end();) {
    it = it->second < oldest ? times.erase(it) : std::next(it);
  }
}

template <typename Key>
std::vector<Key> KeysOf(const std::map<Key, TimePoint>& times) {
  std::vector<Key> keys;
  for (const auto& [key, time] : times) keys.push_back(key);
  return keys;
}

}  // namespace

TimePoint CrashHistory::Request::Latest() const {
  TimePoint latest;
  for (const auto& [start, at] : this->crashes) latest = std::max(latest, at);
  for (const auto& [number, at] : this->trials) latest = std::max(latest, at);
  return latest;
}

CrashDecision CrashHistory::Decide(const std::string& fingerprint, TimePoint now) const {
  CrashDecision decision;
  const auto found = this->requests.find(fingerprint);
  if (found == this->requests.end()) return decision;
  const Request& request = found->second;
  const TimePoint latest = request.Latest();
  if (request.crashes.size() < kMaxCrashes || now - latest >= kLifetime) return decision;
  const bool trial_left = request.trials.size() < kMaxTrials;
  const TimePoint next = latest + (trial_left ? Duration(kTrialPause) : Duration(kLifetime));
  if (now < next) {
    decision.verdict = CrashDecision::Verdict::kRefused;
    decision.retry_after = next - now;
    return decision;
  }
  decision.verdict = CrashDecision::Verdict::kTrial;
  decision.trial = request.trials.empty() ? 1 : request.trials.rbegin()->first + 1;
  return decision;
}

bool CrashHistory::AddCrash(const std::string& fingerprint, const std::string& start,
                            TimePoint at) {
  return this->FindOrCreate(fingerprint).crashes.emplace(start, at).second;
}

void CrashHistory::AddTrial(const std::string& fingerprint, std::size_t number, TimePoint at) {
  this->FindOrCreate(fingerprint).trials[number] = at;
}

void CrashHistory::RemoveCrash(const std::string& fingerprint, const std::string& start) {
  const auto found = this->requests.find(fingerprint);
  if (found == this->requests.end()) return;
  found->second.crashes.erase(start);
  this->EraseIfEmpty(fingerprint);
}

void CrashHistory::RemoveTrial(const std::string& fingerprint, std::size_t number) {
  const auto found = this->requests.find(fingerprint);
  if (found == this->requests.end()) return;
  found->second.trials.erase(number);
  this->EraseIfEmpty(fingerprint);
}

void CrashHistory::Forget(const std::string& fingerprint) { this->requests.erase(fingerprint); }

void CrashHistory::Expire(TimePoint now) {
  for (auto it = this->requests.begin(); it != this->requests.end();) {
    EraseBefore(it->second.crashes, now - kLifetime);
    EraseBefore(it->second.trials, now - kLifetime);
    const bool empty = it->second.crashes.empty() && it->second.trials.empty();
    it = empty ? this->requests.erase(it) : std::next(it);
  }
}

std::size_t CrashHistory::Crashes(const std::string& fingerprint) const {
  const auto found = this->requests.find(fingerprint);
  return found == this->requests.end() ? 0 : found->second.crashes.size();
}

std::vector<std::string> CrashHistory::Starts(const std::string& fingerprint) const {
  const auto found = this->requests.find(fingerprint);
  if (found == this->requests.end()) return {};
  return KeysOf(found->second.crashes);
}

std::vector<std::size_t> CrashHistory::Trials(const std::string& fingerprint) const {
  const auto found = this->requests.find(fingerprint);
  if (found == this->requests.end()) return {};
  return KeysOf(found->second.trials);
}

CrashHistory::Request& CrashHistory::FindOrCreate(const std::string& fingerprint) {
  const auto found = this->requests.find(fingerprint);
  if (found != this->requests.end()) return found->second;
  if (this->requests.size() >= kMaxRequests) {
    this->requests.erase(std::min_element(
        this->requests.begin(), this->requests.end(),
        [](const auto& a, const auto& b) { return a.second.Latest() < b.second.Latest(); }));
  }
  return this->requests[fingerprint];
}

void CrashHistory::EraseIfEmpty(const std::string& fingerprint) {
  const auto found = this->requests.find(fingerprint);
  if (found->second.crashes.empty() && found->second.trials.empty()) this->requests.erase(found);
}

}  // namespace anvilcroft
