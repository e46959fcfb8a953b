// Tests the decision that another member's lease has expired.

#include "anvilcroft/lease_observer.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "anvilcroft/lease_watch.h"

namespace anvilcroft {
namespace {

const TimePoint kBegin = TimePoint() + seconds(1000);

// Guards against the removal of a member that renews its lease, and of one that has been observed
// for less than the duration of a lease.
TEST_CASE("a lease expires when its row is unchanged for the duration of a lease", "[lease]") {
  LeaseObserver observer(seconds(30));
  for (int second = 0; second < 29; second += 5) {
    observer.RecordRead(kBegin + seconds(second));
    observer.Observe("dead", 7, kBegin + seconds(second));
    observer.Observe("live", 100 + second, kBegin + seconds(second));
    CHECK_FALSE(observer.ExpiredVersion("dead", kBegin + seconds(second)));
  }
  observer.RecordRead(kBegin + seconds(30));
  CHECK(observer.ExpiredVersion("dead", kBegin + seconds(30)) == RowVersion(7));
  CHECK_FALSE(observer.ExpiredVersion("live", kBegin + seconds(30)));
  CHECK_FALSE(observer.ExpiredVersion("never seen", kBegin + seconds(30)));
}

// Guards against members that are removed because an outage kept all of them from renewing.
TEST_CASE("no lease expires for the duration of a lease after an outage", "[lease]") {
  LeaseObserver observer(seconds(30));
  observer.RecordRead(kBegin);
  observer.Observe("m", 7, kBegin);
  TimePoint now = kBegin + seconds(100);  // no read for 100 s
  observer.RecordRead(now);
  observer.Observe("m", 7, now);
  CHECK_FALSE(observer.ExpiredVersion("m", now));
  for (int second = 5; second < 30; second += 5) observer.RecordRead(now + seconds(second));
  CHECK_FALSE(observer.ExpiredVersion("m", now + seconds(29)));
  observer.RecordRead(now + seconds(30));
  CHECK(observer.ExpiredVersion("m", now + seconds(30)));
  // Reads succeed, but writes fail.
  observer.RecordWriteFailure(now + seconds(31));
  observer.RecordRead(now + seconds(40));
  CHECK_FALSE(observer.ExpiredVersion("m", now + seconds(60)));
  CHECK(observer.ExpiredVersion("m", now + seconds(61)));
}

// Guards against members that no other member watches.
TEST_CASE("each member is watched by two others", "[lease]") {
  std::vector<Member> members;
  for (int i = 0; i < 40; ++i) {
    members.push_back(Member::Builder().SetId("i-" + std::to_string(i)).Build());
  }
  const Roster roster(1, members);
  std::map<std::string, int> watchers;
  for (const Member& member : members) {
    for (const std::string& id : WatchedBy(roster, member.Id())) ++watchers[id];
    CHECK(WatchedBy(roster, member.Id()).count(member.Id()) == 0);
  }
  for (const Member& member : members) CHECK(watchers[member.Id()] == 2);
}

}  // namespace
}  // namespace anvilcroft
