// Tests the decisions about lost paths to targets: when an instance is cut off, which instance
// relays its requests, and which instances callers are told to use.

#include <catch2/catch.hpp>

#include "anvilcroft/front_directory.h"
#include "anvilcroft/path_monitor.h"
#include "anvilcroft/relay_choice.h"

namespace anvilcroft {
namespace {

const TimePoint kStart = TimePoint(seconds(100000));

FrontRecord Front(const std::string& instance, const std::string& zone, bool cut_off = false) {
  FrontRecord front;
  front.instance = instance;
  front.zone = zone;
  front.address = instance + ":1";
  front.internal_address = instance + ":2";
  front.cut_off = cut_off;
  front.relays = true;
  return front;
}

TEST_CASE("an instance is cut off once it cannot reach any of several targets", "[cutoff]") {
  PathMonitor monitor;
  CHECK_FALSE(monitor.Suspicious());
  monitor.OnUnreachable("a", kStart);
  monitor.OnUnreachable("a", kStart + milliseconds(10));
  monitor.OnUnreachable("b", kStart + milliseconds(20));
  CHECK(monitor.Suspicious());
  CHECK(monitor.SuspiciousSince() == kStart);
  CHECK_FALSE(monitor.CutOff(10));
  CHECK(monitor.CutOff(2));
  for (const char* target : {"c", "d"}) monitor.OnUnreachable(target, kStart);
  CHECK_FALSE(monitor.CutOff(10));
  monitor.OnUnreachable("e", kStart + milliseconds(30));
  CHECK(monitor.CutOff(10));
  CHECK_FALSE(monitor.CutOff(0));
  monitor.OnConnected(kStart + milliseconds(40));
  CHECK_FALSE(monitor.CutOff(10));
  CHECK_FALSE(monitor.Suspicious());
}

// Replays the crash of half of the targets: the next one that accepts a connection ends the
// suspicion.
TEST_CASE("an instance is not cut off when some targets crash at the same moment", "[cutoff]") {
  PathMonitor monitor;
  for (int i = 0; i < 20; ++i) {
    const TimePoint now = kStart + milliseconds(10) * i;
    if (i % 2 == 0) monitor.OnUnreachable("down" + std::to_string(i), now);
    if (i % 2 == 1) monitor.OnConnected(now);
    CHECK_FALSE(monitor.CutOff(40));
  }
}

// Guards against an instance whose old connections live on, so that it never notices that no new
// ones can be opened.
TEST_CASE("an answer on an old connection does not end a suspicion", "[cutoff]") {
  PathMonitor monitor;
  for (const char* target : {"a", "b", "c", "d", "e"}) {
    monitor.OnUnreachable(target, kStart);
    monitor.OnAnswered(kStart);
  }
  CHECK(monitor.CutOff(10));
  CHECK(monitor.ReachedAt() == kStart);
}

// Replays a zone, and most instances, that lose their paths at the same moment.
TEST_CASE("a relay is an instance that reaches targets, if one is known", "[cutoff]") {
  const std::vector<FrontRecord> fronts = {Front("a1", "a"), Front("a2", "a"), Front("b1", "b"),
                                           Front("b2", "b", true), Front("c1", "c")};
  RelayContext context;
  context.self = "a1";
  context.zone = "a";
  // Those of other zones come first, and the one that is cut off is left out.
  CHECK(ChooseRelay(fronts, context, kStart)->instance == "b1");
  context.random = 0.9;
  CHECK(ChooseRelay(fronts, context, kStart)->instance == "c1");
  context.tried = {"c1"};
  CHECK(ChooseRelay(fronts, context, kStart)->instance == "b1");
  context.failed = {{"b1", kStart}};
  CHECK(ChooseRelay(fronts, context, kStart)->instance == "a2");
  CHECK(ChooseRelay(fronts, context, kStart + seconds(1))->instance == "b1");
  context.tried = {"a2", "c1"};
  CHECK(ChooseRelay(fronts, context, kStart) == nullptr);
  // An instance of a build that does not relay.
  std::vector<FrontRecord> older = {Front("b1", "b")};
  older.front().relays = false;
  CHECK(ChooseRelay(older, RelayContext(), kStart) == nullptr);
  context.tried.clear();
  context.last_relay = "a2";
  CHECK(ChooseRelay(fronts, context, kStart)->instance == "a2");
}

TEST_CASE("callers are told of instances that reach targets as long as enough are left",
          "[cutoff]") {
  std::vector<FrontRecord> fronts = {Front("a1", "a", true), Front("a2", "a", true),
                                     Front("a3", "a", true), Front("b1", "b")};
  CHECK(AddressesFor(fronts, "a", 64) == std::vector<std::string>{"b1:1"});
  fronts.push_back(Front("a4", "a", true));
  CHECK(AddressesFor(fronts, "a", 64).size() == 5);
}

}  // namespace
}  // namespace anvilcroft
