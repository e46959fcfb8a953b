#include "anvilcroft/lease_observer.h"

namespace anvilcroft {

void LeaseObserver::RecordRead(TimePoint now) {
  if (!this->last_read || now - *this->last_read > this->lease / 3) this->reliable_since = now;
  this->last_read = now;
}

void LeaseObserver::RecordWriteFailure(TimePoint now) { this->reliable_since = now; }

void LeaseObserver::Observe(const std::string& member, RowVersion version, TimePoint now) {
  const auto found = this->observations.find(member);
  if (found == this->observations.end() || found->second.version != version) {
    this->observations[member] = Observation{version, now};
  }
}

std::optional<RowVersion> LeaseObserver::ExpiredVersion(const std::string& member,
                                                        TimePoint now) const {
  const auto found = this->observations.find(member);
  if (found == this->observations.end() || !this->reliable_since) return std::nullopt;
  const bool expired =
      now - found->second.first_seen >= this->lease && now - *this->reliable_since >= this->lease;
  if (!expired) return std::nullopt;
  return found->second.version;
}

void LeaseObserver::RetainOnly(const std::set<std::string>& members) {
  for (auto at = this->observations.begin(); at != this->observations.end();) {
    at = members.count(at->first) == 0 ? this->observations.erase(at) : std::next(at);
  }
}

}  // namespace anvilcroft
