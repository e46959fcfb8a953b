#include "anvilcroft/lease_observer.h"

namespace anvilcroft {

void LeaseObserver::NoteRead(TimePoint now) {
  if (!this->last_read || now - *this->last_read > this->lease / 3) this->reliable_since = now;
  this->last_read = now;
}

void LeaseObserver::NoteWriteFailure(TimePoint now) { this->reliable_since = now; }

void LeaseObserver::Observe(const std::string& member, RowVersion version, TimePoint now) {
  const auto found = this->seen.find(member);
  if (found == this->seen.end() || found->second.version != version) {
    this->seen[member] = Seen{version, now};
  }
}

std::optional<RowVersion> LeaseObserver::Lapsed(const std::string& member, TimePoint now) const {
  const auto found = this->seen.find(member);
  if (found == this->seen.end() || !this->reliable_since) return std::nullopt;
  const bool lapsed =
      now - found->second.since >= this->lease && now - *this->reliable_since >= this->lease;
  if (!lapsed) return std::nullopt;
  return found->second.version;
}

void LeaseObserver::Keep(const std::set<std::string>& members) {
  for (auto at = this->seen.begin(); at != this->seen.end();) {
    at = members.count(at->first) == 0 ? this->seen.erase(at) : std::next(at);
  }
}

}  // namespace anvilcroft
