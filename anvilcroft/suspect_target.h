#ifndef ANVILCROFT_SUSPECT_TARGET_H_
#define ANVILCROFT_SUSPECT_TARGET_H_

// Divides the targets of a service among the instances for suspects: requests that were running on
// a target when it crashed.
//
// A target may crash while it runs requests of several instances, one of which crashes every
// target. All of them are retried at the same time. If no two suspects of different instances can
// share a target, the next crash is attributed to one suspect only.

#include <string>
#include <vector>

#include "anvilcroft/member.h"

namespace anvilcroft {

// Whether the instance `self` runs suspects on `target`. With at least as many targets as serving
// instances, each target belongs to one instance and each instance has at least one. Otherwise
// several instances share a target. While their rosters or lists of targets differ, two instances
// may claim the same target. An instance that is not in `serving` runs suspects on every target.
bool RunsSuspectsOn(const std::vector<Member>& serving, const std::string& self,
                    const std::vector<std::string>& targets, const std::string& target);

// Turn, from 0, in which the instance `self` may use the targets of other instances if all its own
// are out of service. Instances take turns so that no two of them share a target.
int SuspectTurn(const std::vector<Member>& serving, const std::string& self);

// Number of turns, which bounds the wait of the last one. Instances whose ranks are this far apart
// have the same turn.
constexpr int kSuspectTurns = 8;

}  // namespace anvilcroft

#endif  // ANVILCROFT_SUSPECT_TARGET_H_
