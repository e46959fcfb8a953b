#ifndef ANVILCROFT_SUSPECT_TARGET_H_
#define ANVILCROFT_SUSPECT_TARGET_H_

// Divides the targets of a service among the instances, for requests on which a target died.
//
// Load pattern: a target dies under many requests of several instances, one of which crashes every
// target. All are sent again at the same moment. If no two suspects of different instances can
// share a target, the next death blames one suspect only.

#include <string>
#include <vector>

#include "anvilcroft/member.h"

namespace anvilcroft {

// Whether the instance `self` runs suspects on `target`. With at least as many targets as
// serving instances each target belongs to one instance and each instance has one; otherwise
// several instances share a target. Instances whose rosters or targets differ for a moment may
// both say yes. An instance that is not in `serving` runs suspects on every target.
bool RunsSuspectsOn(const std::vector<Member>& serving, const std::string& self,
                    const std::vector<std::string>& targets, const std::string& target);

// Turn of the instance `self` among those whose own targets are out of service, from 0: they share
// the targets of others one after the other, so that two of them do not meet.
int SuspectTurn(const std::vector<Member>& serving, const std::string& self);

// Instances with the same turn are this many apart, which bounds the wait of the last one.
constexpr int kSuspectTurns = 8;

}  // namespace anvilcroft

#endif  // ANVILCROFT_SUSPECT_TARGET_H_
