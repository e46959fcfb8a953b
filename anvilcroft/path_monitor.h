#ifndef ANVILCROFT_PATH_MONITOR_H_
#define ANVILCROFT_PATH_MONITOR_H_

// Decides whether this instance has lost its paths to all targets. Pure.
//
// Load pattern: an instance is partitioned from all targets for seconds; its connections hang, are
// reset or are refused, while callers, the store and the other instances reach it. It gets a
// request every few seconds only, or hundreds. At other times some targets crash at the same
// moment, and the paths to the others are sound.
//
// An instance that cannot reach a target becomes suspicious and tries others. It is cut off once
// kMinTargets different ones, or all that there are, could not be reached and none has accepted a
// connection since.

#include <cstddef>
#include <set>
#include <string>

#include "anvilcroft/time.h"

namespace anvilcroft {

class PathMonitor {
 public:
  static constexpr std::size_t kMinTargets = 5;

  // A target has accepted a new connection.
  void OnConnected(TimePoint now);
  // A target has answered on any connection. Old connections may live on while new ones fail.
  void OnAnswered(TimePoint now) { this->reached_at = now; }
  // A connection to `target` failed or brought no answer in time.
  void OnUnreachable(const std::string& target, TimePoint now);

  // Whether a target could not be reached and none has accepted a connection since.
  bool Suspicious() const { return !this->unreachable.empty(); }
  // Whether no target can be reached, if there are `targets`.
  bool CutOff(std::size_t targets) const;

  // The targets that could not be reached since the last one that accepted a connection.
  const std::set<std::string>& Unreachable() const { return this->unreachable; }
  // When the first of them could not be reached.
  TimePoint SuspiciousSince() const { return this->suspicious_since; }
  // When a target was last reached; TimePoint() before the first one.
  TimePoint ReachedAt() const { return this->reached_at; }

 private:
  std::set<std::string> unreachable;
  TimePoint suspicious_since;
  TimePoint reached_at;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_PATH_MONITOR_H_
