#include "anvilcroft/fleet/slice_plan.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "anvilcroft/fleet/listing_claims.h"
#include "anvilcroft/fleet/slice_timer.h"
#include "anvilcroft/fleet/slice_view.h"

namespace anvilcroft {
namespace {

constexpr int kPerSlice = 80;

ServiceSize Service(const std::string& name, int engines, std::set<std::string> models) {
  return {name, engines, std::move(models)};
}

SlicePlan PlanFor(const std::vector<ServiceSize>& services) {
  return PlanSlices(SlicePlan(), services, kPerSlice);
}

std::string EngineName(int i) { return "i-" + std::to_string(1000 + i); }

}  // namespace

// Guards against current sites that change their behaviour, and against changes with every engine
// that restarts.
TEST_CASE("the number of slices follows the engines with hysteresis", "[slices]") {
  CHECK(SliceCount(1, 0, kPerSlice) == 1);
  CHECK(SliceCount(1, 36, kPerSlice) == 1);
  CHECK(SliceCount(1, 90, kPerSlice) == 1);
  CHECK(SliceCount(1, 100, kPerSlice) == 1);
  CHECK(SliceCount(1, 101, kPerSlice) == 2);
  CHECK(SliceCount(1, 1000, kPerSlice) == 13);
  CHECK(SliceCount(1, 2100, kPerSlice) == 27);
  CHECK(SliceCount(1, 1000000, kPerSlice) == kMaxSlices);
  // Between the bounds nothing changes.
  for (const int engines : {65, 80, 100, 101, 160, 200}) {
    CHECK(SliceCount(2, engines, kPerSlice) == 2);
  }
  CHECK(SliceCount(2, 64, kPerSlice) == 1);
  CHECK(SliceCount(2, 201, kPerSlice) == 3);
  CHECK(SliceCount(13, 769, kPerSlice) == 13);
  CHECK(SliceCount(13, 768, kPerSlice) == 10);
  CHECK(SliceCount(13, 0, kPerSlice) == 1);
  // After a change the same number of engines causes no further one.
  for (int engines = 0; engines <= 3000; ++engines) {
    for (const int current : {1, 2, 5, 12, 26}) {
      const int next = SliceCount(current, engines, kPerSlice);
      INFO("engines " << engines << ", before " << current << ", after " << next);
      CHECK(SliceCount(next, engines, kPerSlice) == next);
    }
  }
}

// Guards against plans that leave a slice without engines for its items, and against slices so
// uneven that one owner is as busy as the single one was.
TEST_CASE("engines and items of 13 slices are spread evenly over the same slices", "[slices]") {
  const SlicePlan plan = PlanFor({Service("large", 900, {"m1", "m2"}), Service("small", 60, {"n"}),
                                  Service("other", 40, {"o"})});
  REQUIRE(plan.count == 13);
  std::vector<int> engines(13, 0);
  for (int i = 0; i < 900; ++i) ++engines.at(SliceOfEngine(plan, "large", EngineName(i)));
  for (int i = 0; i < 60; ++i) ++engines.at(SliceOfEngine(plan, "small", EngineName(i)));
  for (int i = 0; i < 40; ++i) ++engines.at(SliceOfEngine(plan, "other", EngineName(i)));
  CHECK(*std::max_element(engines.begin(), engines.end()) < 130);
  std::vector<int> groups(13, 0);
  for (int i = 0; i < 800; ++i) {
    const int slice = SliceOfItem(plan, "m1", "g" + std::to_string(i), "");
    ++groups.at(slice);
    CHECK(SliceHasModel(plan, slice, "m1"));
  }
  CHECK(*std::max_element(groups.begin(), groups.end()) < 100);
  // The items of a small service fall into slices with engines of that service only.
  std::set<int> small_engines;
  for (int i = 0; i < 60; ++i) small_engines.insert(SliceOfEngine(plan, "small", EngineName(i)));
  for (int i = 0; i < 100; ++i) {
    CHECK(small_engines.count(SliceOfItem(plan, "n", "g" + std::to_string(i), "")) == 1);
  }
  // Items of a group stay together, and an item without a group has a slice as well.
  CHECK(SliceOfItem(plan, "m1", "g1", "a") == SliceOfItem(plan, "m1", "g1", "b"));
  CHECK(SliceHasModel(plan, SliceOfItem(plan, "m1", "", "a"), "m1"));
  // What the plan does not name belongs to slice 0.
  CHECK(SliceOfEngine(plan, "unknown", "i-1") == 0);
  CHECK(SliceOfItem(plan, "unknown", "g", "a") == 0);
  CHECK(SliceHasModel(plan, 0, "unknown"));
  CHECK_FALSE(SliceHasModel(plan, 1, "unknown"));
}

// Guards against a new plan, which interrupts all items, for an engine that restarts.
TEST_CASE("the plan stays while services shrink, vanish and return", "[slices]") {
  const SlicePlan plan = PlanFor({Service("a", 300, {"m"}), Service("b", 200, {"n"})});
  REQUIRE(plan.count == 7);
  CHECK(PlanSlices(plan, {Service("a", 290, {"m"}), Service("b", 195, {"n"})}, kPerSlice) == plan);
  CHECK(PlanSlices(plan, {Service("a", 300, {"m"}), Service("b", 190, {})}, kPerSlice) == plan);
  CHECK(PlanSlices(plan, {Service("a", 470, {"m"})}, kPerSlice).count == 7);
  // A new service gets a place.
  const SlicePlan more = PlanSlices(
      plan, {Service("a", 300, {"m"}), Service("b", 200, {"n"}), Service("c", 30, {"o"})},
      kPerSlice);
  CHECK(more.families.size() == 3);
  // Two services with one model have the same slices, as many as the smaller one has engines for.
  const SlicePlan joined = PlanFor({Service("a", 400, {"m"}), Service("b", 30, {"m", "n"})});
  REQUIRE(joined.families.size() == 1);
  CHECK(joined.families.front().width == 1);
  // A fleet that has shrunk has one slice and no families.
  CHECK(PlanSlices(plan, {Service("a", 60, {"m"})}, kPerSlice) == SlicePlan());
}

TEST_CASE("a plan is decoded as it was encoded, and a malformed one is refused", "[slices]") {
  const SlicePlan plan = PlanFor({Service("a", 300, {"m", "x"}), Service("b", 200, {"n"})});
  CHECK(*DecodePlan(EncodePlan(plan)) == plan);
  CHECK(*DecodePlan(EncodePlan(SlicePlan())) == SlicePlan());
  for (const char* value :
       {"", "{}", "[]", R"({"count":0,"families":[]})", R"({"count":33,"families":[]})",
        R"({"count":2,"families":[{"first":2,"width":1,"services":[],"models":[]}]})",
        R"({"count":2,"families":[{"first":0,"width":3,"services":[],"models":[]}]})",
        R"({"count":2,"families":[7]})"}) {
    INFO(value);
    CHECK_FALSE(DecodePlan(value));
  }
}

// Guards against a plan that changes for a zone that is lost for seconds, and against one that
// waits although the owners of a growing fleet are too slow.
TEST_CASE("the plan grows after seconds and shrinks after half a minute", "[slices]") {
  const TimePoint start{seconds(100)};
  const SlicePlan one;
  const SlicePlan two = PlanFor({Service("a", 150, {"m"})});
  REQUIRE(two.count == 2);
  SliceTimer growing;
  CHECK_FALSE(growing.ShouldChange(one, two, start));
  CHECK_FALSE(growing.ShouldChange(one, two, start + milliseconds(2900)));
  CHECK(growing.ShouldChange(one, two, start + seconds(3)));
  CHECK(growing.ShouldChange(one, two, start + milliseconds(3250)));  // the first attempt failed
  growing.RecordChange(start + milliseconds(3250));
  // The next change keeps its distance.
  CHECK_FALSE(growing.ShouldChange(two, one, start + seconds(4)));
  CHECK_FALSE(growing.ShouldChange(two, one, start + seconds(33)));
  CHECK(growing.ShouldChange(two, one, start + seconds(34)));

  SliceTimer flapping;
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(flapping.ShouldChange(one, two, start + seconds(4 * i)));
    CHECK_FALSE(flapping.ShouldChange(one, two, start + seconds(4 * i) + milliseconds(2500)));
    CHECK_FALSE(flapping.ShouldChange(one, one, start + seconds(4 * i + 3)));
  }
}

// Guards against owners on small machines, all in one zone, and against one loss that leaves an
// instance with two slices.
TEST_CASE("slices have different first and second instances in several zones", "[slices]") {
  std::vector<FrontRecord> order;
  for (int i = 0; i < 60; ++i) {
    FrontRecord front;
    front.instance = "f" + std::to_string(i);
    front.zone = i < 20 ? "a" : std::string(1, static_cast<char>('a' + i % 3));
    front.cpu_share = i < 40 ? 0.5 : 0.1;
    order.push_back(front);
  }
  constexpr int kSlices = 13;
  std::set<std::string> firsts = {order.front().instance};
  std::set<std::string> others;
  std::map<std::string, int> zones;
  for (int slice = 1; slice < kSlices; ++slice) {
    const auto line = SliceLine(order, slice, kSlices);
    REQUIRE(line.size() == order.size());
    CHECK(std::set<std::string>(line.begin(), line.end()).size() == order.size());
    CHECK(firsts.insert(line[0]).second);
    CHECK(others.insert(line[1]).second);
    CHECK(others.insert(line[2]).second);
    const auto first = std::find_if(order.begin(), order.end(), [&](const FrontRecord& front) {
      return front.instance == line[0];
    });
    CHECK(first->cpu_share == 0.5);
    ++zones[first->zone];
  }
  for (const std::string& second : others) CHECK(firsts.count(second) == 0);
  CHECK(zones.size() == 3);
  for (const auto& [zone, count] : zones) CHECK(count == 4);
  // The order of slice 0 is the one without slices, and one instance alone holds all.
  CHECK(SliceLine(order, 0, kSlices).front() == "f0");
  CHECK(SliceLine({order[0]}, 5, kSlices) == std::vector<std::string>{"f0"});
  CHECK(SliceLine({order[0], order[1]}, 1, 2) == std::vector<std::string>{"f1", "f0"});
  CHECK(SliceLine({}, 1, 2).empty());
}

// Guards against two holders of an engine while the plan changes: the leases of the old plan last
// for up to 3 s after the change.
TEST_CASE("engines are ordered under a new plan once all leases of the old one have expired",
          "[slices]") {
  const SlicePlan two = PlanFor({Service("a", 150, {"m"})});
  const BootTime start{seconds(100)};
  SliceView view(true, seconds(3));
  bool ready = true;
  view.SetPeersReady([&ready] { return ready; });
  CHECK(view.MayOrderAt(0, start));
  CHECK_FALSE(view.MayOrderAt(1, start));
  CHECK(view.CheckPeers(start));
  CHECK(view.Guard()->second == 0);
  REQUIRE(view.Apply({SliceView::Row(), EncodePlan(two), 7, false}, start));
  CHECK(view.Guard()->second == 7);
  for (const int slice : {0, 1}) {
    CHECK_FALSE(view.MayOrderAt(slice, start + milliseconds(2999)));
    CHECK(view.MayOrderAt(slice, start + seconds(3)));
  }
  CHECK_FALSE(view.MayOrderAt(2, start + seconds(3)));
  // The same row again, and an older one, change nothing.
  CHECK_FALSE(view.Apply({SliceView::Row(), EncodePlan(two), 7, false}, start + seconds(9)));
  CHECK_FALSE(view.Apply({SliceView::Row(), EncodePlan(SlicePlan()), 6, false}, start));
  CHECK(view.MayOrderAt(1, start + seconds(9)));
  // While a change is under way nobody knows whose an engine is.
  view.SetChanging(true);
  CHECK_FALSE(view.MayOrderAt(0, start + seconds(9)));
  view.SetChanging(false);
  // An instance without slices would order all engines, until its lease has expired.
  ready = false;
  CHECK_FALSE(view.MayOrderAt(1, start + seconds(9)));
  CHECK(view.MayOrderAt(0, start + seconds(9)));
  ready = true;
  CHECK_FALSE(view.MayOrderAt(1, start + milliseconds(11999)));
  CHECK(view.MayOrderAt(1, start + seconds(12)));
  // A malformed plan means one slice.
  REQUIRE(view.Apply({SliceView::Row(), "nonsense", 9, false}, start + seconds(13)));
  CHECK_FALSE(view.Plan().Sliced());

  SliceView disabled(false, seconds(3));
  CHECK_FALSE(disabled.Apply({SliceView::Row(), EncodePlan(two), 7, false}, start));
  CHECK_FALSE(disabled.Guard());
  CHECK(disabled.MayOrderAt(0, start));
}

// Guards against claims that older builds can't read past, and against claims of an old plan.
TEST_CASE("claims follow the position of a listing", "[slices]") {
  CHECK(EncodeListing("00000012", ListingClaims()) == "00000012");
  CHECK(DecodeClaims("00000012").Empty());
  const ListingClaims first = ListingClaims().With(7, 0, 31);
  ListingClaims both = first.With(7, 4, 35);
  both.owners[4].listed = 3;
  const std::string value = EncodeListing("00000012", both);
  CHECK(value.substr(0, 9) == "00000012 ");
  CHECK(DecodeClaims(value) == both);
  CHECK(both.Of(0) == ListingClaim{31, 0});
  CHECK(both.Of(1) == ListingClaim());
  CHECK(both.With(7, 4, 36).Of(4) == ListingClaim{36, 0});
  const ListingClaims next = both.With(9, 1, 40);
  CHECK(next.owners.size() == 1);
  CHECK(next.generation == 9);
  for (const char* malformed : {"00000012 ", "00000012 {}", "00000012 [1]",
                                R"(00000012 {"generation":1,"owners":[{"slice":99}]})"}) {
    CHECK(DecodeClaims(malformed).Empty());
  }
}

// Guards against owners that together send more transactions than one partition or the store takes.
TEST_CASE("all owners together append within the limits of the store", "[slices]") {
  for (const int slices : {2, 13, 27, kMaxSlices}) {
    for (const std::size_t jobs : {1, 5, 20, 60}) {
      const double seconds_between =
          std::chrono::duration<double>(AppendInterval(slices, jobs)).count();
      CHECK(slices / seconds_between <= 67);
      CHECK(slices * static_cast<double>(jobs) / seconds_between <= 334);
    }
  }
  CHECK(AppendInterval(13, 2) == milliseconds(195));
}

}  // namespace anvilcroft
