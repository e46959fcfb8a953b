// Tests of the state that an instance keeps for each target and of the choice between targets.

#include <catch2/catch.hpp>
#include <map>

#include "anvilcroft/prefix_homes.h"
#include "anvilcroft/target_picker.h"
#include "anvilcroft/target_subset.h"
#include "testing/routing_fixture.h"

namespace anvilcroft::testing {
namespace {

using nlohmann::json;

Target MakeTarget(const std::string& id, const std::string& zone = "z0") {
  return Target::Builder()
      .SetId(id)
      .SetService("model")
      .SetZone(zone)
      .SetAddress(Endpoint{"127.0.0.1", 1})
      .Build();
}

TimePoint At(int64_t millis) { return TimePoint() + seconds(1000) + milliseconds(millis); }

// Guards against a target that no instance works with: its capacity would be unused.
TEST_CASE("the subsets of all members cover every target in every zone", "[target]") {
  std::mt19937_64 random(5);
  for (const std::size_t members : {3, 16, 17, 40, 380}) {
    std::vector<Member> list;
    for (std::size_t i = 0; i < members; ++i) {
      list.push_back(Member::Builder()
                         .SetId("i" + std::to_string(i))
                         .SetZone("z" + std::to_string(i % 10))
                         .SetState(i % 7 == 3 ? Member::State::kLeaving : Member::State::kServing)
                         .Build());
    }
    const Roster roster(1, list);
    std::size_t most = 0;
    std::map<std::string, std::size_t> held;
    constexpr int kTargets = 300;
    for (int t = 0; t < kTargets; ++t) {
      const Target target =
          MakeTarget("t" + std::to_string(random()), "z" + std::to_string(t % 10));
      std::map<std::string, std::size_t> by_zone;
      for (const Member& member : roster.Serving()) {
        if (!InSubset(roster, member.Id(), member.Zone(), target)) continue;
        ++by_zone[member.Zone()];
        ++held[member.Id()];
      }
      if (members <= kFullMeshMembers) continue;
      for (const Member& member : roster.Serving()) {
        const bool own = member.Zone() == target.Zone();
        REQUIRE(by_zone[member.Zone()] >= 1);
        REQUIRE(by_zone[member.Zone()] <= (own ? kMembersOfOwnZone : kMembersOfOtherZone));
      }
    }
    for (const auto& [id, count] : held) most = std::max(most, count);
    // The state of an instance grows with targets * 13 / members, not with targets.
    if (members == 380) CHECK(most < 6 * kTargets * 13 / 380);
  }
}

// A simple implementation of the life cycle, as an oracle for the state machine.
class LifeCycleOracle {
 public:
  TargetPhase phase = TargetPhase::kUnknown;

  void Step(int event) {
    const bool leaving = this->listed_leaving || this->reported_leaving;
    switch (event) {
      case 0:
        if (!leaving) this->phase = TargetPhase::kReady;
        break;
      case 1:
        if (!leaving) this->phase = TargetPhase::kSwapping;
        break;
      case 2:
        this->reported_leaving = false;
        if (!this->listed_leaving) this->phase = TargetPhase::kLost;
        break;
      case 3:
        this->reported_leaving = true;
        break;
      case 4:
        this->listed_leaving = true;
        break;
      default:
        this->listed_leaving = false;
        break;
    }
    if (this->listed_leaving || this->reported_leaving) {
      this->phase = TargetPhase::kLeaving;
    } else if (this->phase == TargetPhase::kLeaving) {
      this->phase = TargetPhase::kUnknown;
    }
  }

 private:
  bool listed_leaving = false;
  bool reported_leaving = false;
};

// Guards against new work for a leaving target after any sequence of events (invariant 7 of
// docs/invariants.md).
TEST_CASE("the life cycle of a target matches the oracle", "[target]") {
  for (int sequence = 0; sequence < 6 * 6 * 6 * 6 * 6; ++sequence) {
    TargetState state(MakeTarget("t"));
    LifeCycleOracle oracle;
    for (int rest = sequence, step = 0; step < 5; ++step, rest /= 6) {
      const Target leaving =
          Target::Builder().SetId("t").SetListed(Target::Listed::kLeaving).Build();
      switch (rest % 6) {
        case 0:
          state.OnAnswer();
          break;
        case 1:
          state.OnSwapping(At(step));
          break;
        case 2:
          state.OnLost(At(step));
          break;
        case 3:
          state.OnLeaving(At(step));
          break;
        case 4:
          state.Update(leaving, false);
          break;
        default:
          state.Update(MakeTarget("t"), false);
          break;
      }
      oracle.Step(rest % 6);
      INFO("sequence " << sequence << " step " << step);
      REQUIRE(state.Phase() == oracle.phase);
      REQUIRE(state.Eligible(At(step)) == (oracle.phase == TargetPhase::kReady));
    }
  }
}

// Guards against an engine that gets no work because its predecessor with the same id was leaving.
TEST_CASE("a restarted engine is no longer leaving", "[target]") {
  TargetState state(MakeTarget("t"));
  EngineReport report;
  report.instance_start = "one";
  state.OnReport(report, At(0));
  state.OnLeaving(At(10));
  state.OnReport(report, At(20));
  CHECK(state.Phase() == TargetPhase::kLeaving);
  report.instance_start = "two";
  state.OnReport(report, At(30));
  CHECK(state.Eligible(At(30)));
}

Candidates RandomCandidates(std::mt19937_64& random, std::size_t count,
                            std::vector<std::shared_ptr<void>>& held) {
  Candidates candidates;
  for (std::size_t i = 0; i < count; ++i) {
    const auto state = std::make_shared<TargetState>(
        MakeTarget("t" + std::to_string(i), "z" + std::to_string(random() % 3)));
    state->OnAnswer();
    state->OnLoad(static_cast<int64_t>(random() % 9), static_cast<int64_t>(random() % 4),
                  At(static_cast<int64_t>(random() % 5000)));
    state->ObserveLatency(0.001 * static_cast<double>(1 + random() % 50), At(4000));
    for (std::size_t n = random() % 12; n > 0; --n) held.push_back(state->BeginWork());
    candidates.push_back(state);
  }
  return candidates;
}

// Compares the choice between two random targets with scoring every target: it must never pick the
// worst target and must often pick the best one.
TEST_CASE("the choice of two never picks the worst target and often the best", "[target]") {
  std::mt19937_64 random(11);
  int best = 0;
  constexpr int kRounds = 400;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::shared_ptr<void>> held;
    const Candidates all = RandomCandidates(random, 2 + round % 7, held);
    const PickContext context{"z0", TypicalLatency(all)};
    const auto score = [&](const auto& target) { return TargetScore(*target, context, At(5000)); };
    const auto picked = TwoChoicesPick()(all, context, random, At(5000));
    const auto oracle = BestPick()(all, context, random, At(5000));
    std::size_t worse = 0;
    for (const auto& other : all) {
      REQUIRE(score(oracle) <= score(other));
      if (score(other) >= score(picked)) ++worse;
    }
    CHECK(worse >= 2);  // at least itself and the other candidate
    if (score(picked) == score(oracle)) ++best;
    if (all.size() == 2) CHECK(score(picked) == score(oracle));
  }
  CHECK(best > kRounds / 4);
}

// Guards against a slow target that keeps its share of the work, and one that gets no work after it
// has recovered.
TEST_CASE("a slow target gets less work and recovers", "[target]") {
  std::mt19937_64 random(3);
  Candidates all;
  for (int i = 0; i < 4; ++i) {
    all.push_back(std::make_shared<TargetState>(MakeTarget("t" + std::to_string(i))));
    for (int n = 0; n < 50; ++n) all.back()->ObserveLatency(0.01, At(n));
  }
  for (int n = 0; n < 5; ++n) all[0]->ObserveLatency(0.1, At(100 + n));
  const PickContext context{"z0", TypicalLatency(all)};
  const auto share = [&](TimePoint now) {
    int first = 0;
    for (int n = 0; n < 400; ++n) {
      if (TwoChoicesPick()(all, context, random, now) == all[0]) ++first;
    }
    return first;
  };
  CHECK(share(At(110)) == 0);
  CHECK(TargetScore(*all[0], context, At(60000)) - TargetScore(*all[1], context, At(60000)) < 0.1);
}

// Guards against a home that gets work although it is overloaded, and against homes that differ
// between instances or stay the same when the weights change.
TEST_CASE("work with a popular prefix goes to its home unless the home is overloaded", "[target]") {
  PrefixHomes homes;
  const std::string prompt(PrefixHomes::kPrefixBytes, 'p');
  const std::string key = PrefixHomes::KeyOf(prompt + "tail");
  CHECK(key == PrefixHomes::KeyOf(prompt));
  CHECK_FALSE(homes.RecordUse(PrefixHomes::KeyOf("short"), At(0)));
  for (int i = 1; i < PrefixHomes::kMinPopularUses; ++i) CHECK_FALSE(homes.RecordUse(key, At(i)));
  CHECK(homes.RecordUse(key, At(10)));
  for (int i = 0; i < 10000; ++i) homes.RecordUse(std::to_string(i), At(20));
  CHECK(homes.Size() == PrefixHomes::kMaxPrefixes);
  homes.RecordUse(key, At(10020));
  CHECK(homes.Size() == 1);
  CHECK_FALSE(homes.RecordUse(key, At(60000)));

  std::mt19937_64 random(4);
  Candidates all;
  std::set<std::string> moved;
  for (int i = 0; i < 6; ++i) {
    all.push_back(std::make_shared<TargetState>(MakeTarget("t" + std::to_string(i))));
  }
  PickContext context{"z0", 0};
  context.home = HomeOf(key, all);
  Candidates reversed(all.rbegin(), all.rend());
  CHECK(HomeOf(key, reversed) == context.home);
  CHECK(HomeOf(key, {}) == nullptr);
  for (int version = 1; version < 20; ++version) {
    EngineReport report;
    report.weight_version = version;
    all[0]->OnReport(report, At(0));
    moved.insert(HomeOf(key, all)->Description().Id());
  }
  CHECK(moved.size() > 2);
  std::vector<std::shared_ptr<void>> held;
  int home = 0;
  for (; home < 100; ++home) {
    if (TwoChoicesPick()(all, context, random, At(0)) != context.home) break;
    held.push_back(context.home->BeginWork());
  }
  CHECK(home >= 2);
  CHECK(home < 10);
}

TEST_CASE("every policy picks a candidate, or null if there are none", "[target]") {
  std::mt19937_64 random(3);
  std::vector<std::shared_ptr<void>> held;
  const Candidates all = RandomCandidates(random, 5, held);
  for (const PickHook& pick :
       {TwoChoicesPick(), BestPick(), RandomPick(), RoundRobinPick(), LeastInFlightPick()}) {
    CHECK(pick({}, PickContext{}, random, At(0)) == nullptr);
    std::set<std::shared_ptr<TargetState>> picked;
    for (int i = 0; i < 5; ++i) picked.insert(pick(all, PickContext{}, random, At(5000)));
    for (const auto& target : picked) {
      CHECK(std::find(all.begin(), all.end(), target) != all.end());
    }
  }
}

// Guards against losing all targets because the instance list is down or malformed, or because a
// replica answers that lags behind.
TEST_CASE("the instance list stays in use after a malformed answer or an older revision",
          "[target]") {
  Runtime runtime;
  StubTable table;
  StubTarget one(runtime, "e1", TargetKind::kModelEngine, "model");
  StubTarget two(runtime, "e2", TargetKind::kModelEngine, "model");
  StubInstance instance(runtime, table, "i1", {&one, &two});
  TargetTable& targets = instance.node->Targets();
  const auto entry = [](StubTarget& target, const char* state) {
    target.list_state = state;
    return target.ListEntry();
  };
  REQUIRE(targets.Apply({{"revision", 10}, {"instances", {entry(one, "live")}}}));
  CHECK(targets.All().size() == 2);
  CHECK_FALSE(targets.Apply(json::array()));
  CHECK_FALSE(targets.Apply({{"revision", "x"}, {"instances", json::array()}}));
  CHECK(targets.Apply({{"revision", 11}, {"instances", {json("bad"), entry(two, "gone")}}}));
  CHECK(targets.All().size() == 1);
  CHECK(targets.Find("e2") == nullptr);
  // An older revision changes nothing, and the next answer counts as a complete list.
  CHECK(targets.Apply({{"revision", 3}, {"instances", json::array()}}));
  CHECK(targets.All().size() == 1);
  CHECK(targets.Apply({{"revision", 3}, {"instances", {entry(two, "leaving")}}}));
  REQUIRE(targets.All().size() == 1);
  CHECK(targets.All()[0].Id() == "e2");
  CHECK(targets.SubsetTargets("model")[0]->Phase() == TargetPhase::kLeaving);
}

// Guards against sending work to a crashed target again and again.
TEST_CASE("a lost target is ready again once it answers a probe", "[target]") {
  Runtime runtime;
  StubTable table;
  StubTarget app(runtime, "a1", TargetKind::kAppEngine, "app");
  StubInstance instance(runtime, table, "i1", {&app});
  RunTask(runtime, [&](Task& task) {
    REQUIRE(instance.WaitEligible(task, 1));
    const auto state = instance.node->Targets().Find("a1");
    state->OnLost(SteadyNow());
    CHECK_FALSE(state->Eligible(SteadyNow()));
    CHECK(instance.WaitEligible(task, 1));
    app.Disconnect();
    instance.node->Targets().Probe(task, state);
    CHECK(state->Phase() == TargetPhase::kLost);
  });
}

// Guards against a request that keeps crashing engines because its crashes are taken back: an
// engine that crashed and is then listed as leaving, or restarts and reports that it is leaving,
// has not answered.
TEST_CASE("only an answer of the same process withdraws its crash", "[target]") {
  Runtime runtime;
  StubTable table;
  StubTarget engine(runtime, "e1", TargetKind::kModelEngine, "model");
  StubInstance instance(runtime, table, "i1", {&engine});
  TargetTable& targets = instance.node->Targets();
  std::vector<std::string> recovered;
  targets.SetRecoveryHook([&](const std::string& run) { recovered.push_back(run); });
  RunTask(runtime, [&](Task& task) {
    REQUIRE(instance.WaitEligible(task, 1));
    const auto state = targets.Find("e1");
    const std::string start = state->InstanceStart();
    EngineReport report;
    report.id = "e1";
    report.instance_start = start;
    targets.ApplyReport(report);
    CHECK(recovered.empty());

    state->OnLost(SteadyNow());
    engine.list_state = "leaving";
    REQUIRE(targets.Apply({{"revision", 100}, {"instances", {engine.ListEntry()}}}));
    CHECK(state->Phase() == TargetPhase::kLeaving);
    CHECK(recovered.empty());
    targets.ApplyReport(report);
    CHECK(recovered == std::vector<std::string>{TargetTable::RunId("e1", start)});

    recovered.clear();
    state->OnLost(SteadyNow());
    report.instance_start = "another";
    report.leaving = true;
    targets.ApplyReport(report);
    CHECK(recovered == std::vector<std::string>{TargetTable::RunId("e1", "another")});
  });
}

}  // namespace
}  // namespace anvilcroft::testing
