// Tests front instances that own slices of the items and engines, end to end on a fake platform.

#include <catch2/catch.hpp>
#include <set>

#include "anvilcroft/fleet/listing_claims.h"
#include "anvilcroft/fleet/slice_view.h"
#include "fakes/fake_link.h"
#include "testing/platform_fixture.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

// Several instances and four engines of service "model", two of them in each of two slices.
class SliceFixture : public PlatformFixture {
 public:
  static SlicePlan TwoSlices() {
    SlicePlan plan;
    plan.count = 2;
    plan.families = {SliceFamily{0, 2, {"model"}, {"m"}}};
    return plan;
  }

  explicit SliceFixture(int per_slice) {
    this->engines_per_slice = per_slice;
    std::vector<int> missing = {2, 2};
    for (int i = 0; missing[0] + missing[1] > 0; ++i) {
      const std::string id = "i-e" + std::to_string(i);
      int& slice = missing.at(static_cast<std::size_t>(SliceOfEngine(TwoSlices(), "model", id)));
      if (slice == 0) continue;
      --slice;
      this->AddEngine(id);
    }
  }

  // Adds an instance with a link of its own to the store.
  FrontInstance& AddLinkedInstance(const std::string& id) {
    this->links.push_back(fakes::FakeLink::Builder(this->runtime)
                              .SetTarget(*ParseEndpoint(this->store_address))
                              .Build());
    return this->AddInstance(id, *this->links.back()->Start());
  }

  void SetPlan(const SlicePlan& plan) {
    this->store.Put(SliceView::Row().table, SliceView::Row().key, EncodePlan(plan));
  }

  // The instance that holds slice 1, null if none does. Fails the test if several do.
  FrontInstance* SecondOwner() const {
    FrontInstance* owner = nullptr;
    for (const auto& instance : this->instances) {
      if (instance->HeldSlices().empty()) continue;
      CHECK(instance->HeldSlices() == std::vector<int>{1});
      CHECK(owner == nullptr);
      owner = instance.get();
    }
    return owner;
  }
  FrontInstance* FirstOwner() const {
    for (const auto& instance : this->instances) {
      if (instance->OwnsBatchJobs()) return instance.get();
    }
    return nullptr;
  }
  void AwaitTwoOwners(Task& task) {
    this->Await(task, "both slices have an owner",
                [&] { return this->FirstOwner() != nullptr && this->SecondOwner() != nullptr; });
    CHECK(this->FirstOwner() != this->SecondOwner());
  }

  void Submit(Task& task, const std::string& job, const std::string& prefix, int groups) {
    const auto accepted = this->Send(task, this->instances.front()->FrontAddress(), "POST",
                                     "/rollout/s", job, Step(prefix, groups));
    REQUIRE(accepted);
    CHECK(accepted->Status() == 202);
  }

  // Follows the results of a job at all instances until it has `count`, and checks that no item is
  // listed twice, no position changes and each text is whole.
  void CheckResults(Task& task, const std::string& job, std::size_t count, int events) {
    json seen = json::array();
    while (seen.size() < count) {
      for (const auto& instance : this->instances) {
        json page;
        this->Await(task, "results of " + job, [&] {
          page = this->ReadResults(task, instance->FrontAddress(), job);
          return page["Total"] != -1;
        });
        const json& results = page["Results"];
        for (std::size_t i = 0; i < std::min(seen.size(), results.size()); ++i) {
          CHECK(results[i] == seen[i]);
        }
        if (results.size() > seen.size()) seen = results;
      }
      REQUIRE(SteadyNow() < this->started + seconds(40));
      SleepUntil(task, SteadyNow() + milliseconds(20));
    }
    CHECK(seen.size() == count);
    std::set<std::string> items;
    for (const json& result : seen) {
      CHECK(items.insert(result["Id"].get<std::string>()).second);
      CHECK(result["State"] == "completed");
      CHECK(result["Text"] == fakes::PlatformEngine::TextOf(result["Id"], events));
    }
  }

  std::string Listing(const std::string& job) const {
    return this->store.Value({"batch-listing", job, "count"});
  }

  std::vector<std::unique_ptr<fakes::FakeLink>> links;
  TimePoint started = SteadyNow();
};

// Guards against a site of today's size that gets rows, claims or leases of slices.
TEST_CASE("a fleet of a few engines keeps one owner and writes no rows for slices", "[slices]") {
  SliceFixture fixture(80);
  fixture.AddInstance("one");
  fixture.AddInstance("two");
  fixture.Run([&](Task& task) {
    fixture.AwaitAllReady(task);
    fixture.Submit(task, "job1", "x", 8);
    fixture.CheckResults(task, "job1", 16, 6);
    SleepUntil(task, SteadyNow() + seconds(4));
    CHECK(fixture.SecondOwner() == nullptr);
    CHECK(fixture.store.Value(SliceView::Row()).empty());
    CHECK(fixture.store.CountRows("lease") == 1);
    CHECK(DecodeClaims(fixture.Listing("job1")).Empty());
    CHECK(fixture.Listing("job1").find(' ') == std::string::npos);
  });
}

// Guards against items that nobody runs or that are listed twice, and against an owner that uses
// the engines of another one.
TEST_CASE("two instances own a slice each and finish one job together", "[slices]") {
  SliceFixture fixture(2);
  fixture.AddInstance("one");
  fixture.AddInstance("two");
  fixture.AddInstance("three");
  fixture.Run([&](Task& task) {
    fixture.AwaitAllReady(task);
    fixture.AwaitTwoOwners(task);
    CHECK(*DecodePlan(fixture.store.Value(SliceView::Row())) == SliceFixture::TwoSlices());
    fixture.Submit(task, "job1", "x", 12);
    fixture.CheckResults(task, "job1", 24, 6);
    for (const auto& engine : fixture.engines) {
      const int slice = SliceOfEngine(SliceFixture::TwoSlices(), "model", engine->Id());
      CHECK_FALSE(engine->started.empty());
      for (const std::string& item : engine->started) {
        const std::string group = "xg" + std::to_string(std::stoi(item.substr(1)) / 2);
        CHECK(SliceOfItem(SliceFixture::TwoSlices(), "m", group, item) == slice);
      }
    }
    const ListingClaims claims = DecodeClaims(fixture.Listing("job1"));
    CHECK(claims.owners.size() == 2);
    CHECK(claims.Of(0).listed + claims.Of(1).listed == 24);
    // Both order the engines of their slices.
    fixture.store.Put("op", "version/m", R"({"Model":"m","Version":2})");
    fixture.Await(task, "all engines have loaded", [&] {
      for (const auto& engine : fixture.engines) {
        if (engine->version != 2) return false;
      }
      return true;
    });
    std::set<int64_t> fences;
    for (const auto& engine : fixture.engines) {
      REQUIRE(engine->accepted_fences.size() == 1);
      fences.insert(engine->accepted_fences.front());
    }
    CHECK(fences.size() == 2);
  });
}

// Guards against a slice whose items wait after its owner has lost the store, and against results
// that the former owner lists again.
TEST_CASE("another instance takes the slice of an owner that is cut off from the store",
          "[slices]") {
  SliceFixture fixture(2);
  for (const auto& engine : fixture.engines) engine->event_time = milliseconds(100);
  for (const char* id : {"one", "two", "three"}) fixture.AddLinkedInstance(id);
  fixture.Run([&](Task& task) {
    fixture.AwaitAllReady(task);
    fixture.AwaitTwoOwners(task);
    fixture.Submit(task, "job1", "x", 12);
    SleepUntil(task, SteadyNow() + milliseconds(700));
    FrontInstance* const lost = fixture.SecondOwner();
    REQUIRE(lost != nullptr);
    for (std::size_t i = 0; i < fixture.instances.size(); ++i) {
      if (fixture.instances[i].get() == lost) {
        fixture.links[i]->SetMode(fakes::FakeLink::Mode::kCut);
      }
    }
    fixture.Await(task, "another instance holds the slice", [&] {
      FrontInstance* const owner = fixture.SecondOwner();
      return owner != nullptr && owner != lost;
    });
    for (const auto& link : fixture.links) link->SetMode(fakes::FakeLink::Mode::kUp);
    fixture.CheckResults(task, "job1", 24, 6);
  });
}

// Guards against a slice without an owner after the owners of two slices were lost at once.
TEST_CASE("the last instance takes both slices when both owners are cut off", "[slices]") {
  SliceFixture fixture(2);
  for (const auto& engine : fixture.engines) engine->event_time = milliseconds(100);
  for (const char* id : {"one", "two", "three"}) fixture.AddLinkedInstance(id);
  fixture.Run([&](Task& task) {
    fixture.AwaitAllReady(task);
    fixture.AwaitTwoOwners(task);
    fixture.Submit(task, "job1", "x", 12);
    SleepUntil(task, SteadyNow() + milliseconds(700));
    FrontInstance* last = nullptr;
    const FrontInstance* const first = fixture.FirstOwner();
    const FrontInstance* const second = fixture.SecondOwner();
    for (std::size_t i = 0; i < fixture.instances.size(); ++i) {
      FrontInstance* const instance = fixture.instances[i].get();
      if (instance == first || instance == second) {
        fixture.links[i]->SetMode(fakes::FakeLink::Mode::kCut);
      } else {
        last = instance;
      }
    }
    REQUIRE(last != nullptr);
    fixture.Await(task, "one instance holds both slices", [&] {
      return last->OwnsBatchJobs() && last->HeldSlices() == std::vector<int>{1};
    });
    for (const auto& link : fixture.links) link->SetMode(fakes::FakeLink::Mode::kUp);
    fixture.CheckResults(task, "job1", 24, 6);
  });
}

// Guards against items that are lost or listed twice when the number of slices grows and shrinks
// under a job, while the store answers slowly.
TEST_CASE("a job begun under one slice ends under two, and the other way round", "[slices]") {
  const bool slow = GENERATE(false, true);
  SliceFixture fixture(100);
  for (const auto& engine : fixture.engines) {
    engine->event_time = milliseconds(60);
    engine->events_per_item = 20;
  }
  for (const char* id : {"one", "two", "three"}) fixture.AddInstance(id);
  fixture.Run([&](Task& task) {
    fixture.AwaitAllReady(task);
    fixture.Await(task, "there is an owner", [&] { return fixture.FirstOwner() != nullptr; });
    if (slow) {
      fakes::FaultPlan plan;
      plan.mode = fakes::FaultPlan::Mode::kSlow;
      plan.delay_ms = 150;
      fixture.store.Server().SetFaults(plan);
    }
    fixture.Submit(task, "job1", "x", 20);
    SleepUntil(task, SteadyNow() + milliseconds(1500));
    fixture.SetPlan(SliceFixture::TwoSlices());
    fixture.CheckResults(task, "job1", 40, 20);
    CHECK(DecodeClaims(fixture.Listing("job1")).owners.size() == 2);
    fixture.AwaitTwoOwners(task);
    fixture.Submit(task, "job2", "y", 20);
    SleepUntil(task, SteadyNow() + milliseconds(1500));
    fixture.SetPlan(SlicePlan());
    fixture.CheckResults(task, "job2", 40, 20);
    fixture.Await(task, "the second slice is released",
                  [&] { return fixture.SecondOwner() == nullptr; });
    CHECK(DecodeClaims(fixture.Listing("job2")).owners.size() == 1);
    // Engines change their holder with each plan, and accept each of them.
    fixture.store.Put("op", "version/m", R"({"Model":"m","Version":2})");
    fixture.Await(task, "all engines have loaded", [&] {
      for (const auto& engine : fixture.engines) {
        if (engine->version != 2) return false;
      }
      return true;
    });
  });
}

// Guards against two holders of an engine while a build without slices, which orders all engines as
// the owner, runs beside this one.
TEST_CASE("an instance without slices ends the division into slices", "[slices]") {
  SliceFixture fixture(2);
  fixture.AddInstance("one");
  fixture.AddInstance("two");
  fixture.Run([&](Task& task) {
    fixture.AwaitAllReady(task);
    fixture.AwaitTwoOwners(task);
    fixture.engines_per_slice = 0;
    fixture.AddInstance("old");
    fixture.Await(task, "there is one slice", [&] {
      const auto plan = DecodePlan(fixture.store.Value(SliceView::Row()));
      return plan && !plan->Sliced() && fixture.SecondOwner() == nullptr;
    });
    fixture.Submit(task, "job1", "x", 12);
    fixture.CheckResults(task, "job1", 24, 6);
  });
}

}  // namespace
}  // namespace anvilcroft
