// Tests of the cluster roles as a whole: joining, propagation of patches, lost answers, removal of
// stopped members, and the behaviour during an outage of the table service.

#include <catch2/catch.hpp>

#include "anvilcroft/json.h"
#include "testing/cluster_harness.h"

namespace anvilcroft {
namespace {

// Guards against instances that do not find or connect to each other, and against patches that
// reach only the instance that accepted them.
TEST_CASE("all instances join, and a patch on one is in force on all", "[cluster]") {
  ClusterHarness cluster;
  cluster.Run([&](Task& task) {
    cluster.StartInstances(task, 5);
    const HttpResponse response = cluster.PostPatch(task, cluster.At(3), 0, "p1", "t1");
    REQUIRE(response.Status() == 200);
    CHECK(ParseJson(response.Body())->at("version") == 1);
    cluster.Await(task, "the patch is in force everywhere", [&] {
      for (const auto& instance : cluster.instances) {
        if (!instance->node->View().config()->Drained("t1")) return false;
      }
      return true;
    });
    const auto members =
        cluster.Call(task, cluster.At(0), HttpRequest::Builder().SetTarget("/v1/members").Build());
    const auto body = *ParseJson(members.Body());
    CHECK(body["members"].size() == 5);
    CHECK(body["peers_in_contact"].size() == 4);
    CHECK(body["state"] == "serving");
    CHECK(body["lease_remaining_ms"] > 0);
    CHECK(body["members"][1]["epoch"] == cluster.At(1).node->View().epoch());
    const auto addresses = cluster.Call(
        task, cluster.At(0), HttpRequest::Builder().SetTarget("/v1/addresses?zone=zone-c").Build());
    const auto listed = (*ParseJson(addresses.Body()))["addresses"];
    CHECK(listed.size() == 4);
    CHECK(listed[0]["instance"] == "c");
  });
}

// Guards against concurrent joins that starve each other, and against patches that do not reach all
// members over the sparse graph used above the size limit of the full mesh.
TEST_CASE("twenty instances join at once, and a patch reaches all", "[cluster]") {
  ClusterHarness cluster;
  cluster.Run([&](Task& task) {
    constexpr std::size_t kCount = 20;
    for (std::size_t i = 0; i < kCount; ++i) {
      cluster.AddInstance(std::string(1, static_cast<char>('a' + i)), {}, seconds(30));
    }
    cluster.Await(task, "all have joined and have their peers", [&] {
      for (const auto& instance : cluster.instances) {
        if (instance->RosterSize() != kCount || !instance->node->Ready()) return false;
        const std::size_t peers = cluster.PeersInContact(*instance);
        if (peers < 5 || peers > 8) return false;
      }
      return true;
    });
    for (const auto& instance : cluster.instances) {
      REQUIRE(instance->node->View().roster()->Find("a")->Epoch() ==
              cluster.At(0).node->View().epoch());
    }
    // Without the table service, the other instances get the patch from their peers only.
    for (std::size_t i = 1; i < kCount; ++i) cluster.table.FaultsOf(i).down = true;
    REQUIRE(cluster.PostPatch(task, cluster.At(0), 0, "p1", "t1").Status() == 200);
    cluster.Await(task, "the patch is in force everywhere", [&] {
      for (const auto& instance : cluster.instances) {
        if (instance->ConfigVersion() != 1) return false;
      }
      return true;
    });
  });
}

// Guards against peers that do not push a patch, which is the only way it reaches an instance that
// cannot read the head row.
TEST_CASE("a patch reaches an instance whose table service is down", "[cluster]") {
  ClusterHarness cluster;
  cluster.Run([&](Task& task) {
    // The lease is longer than the test, so that the others do not remove the instance meanwhile.
    cluster.StartInstances(task, 3, seconds(30));
    cluster.table.FaultsOf(2).down = true;
    REQUIRE(cluster.PostPatch(task, cluster.At(0), 0, "p1", "t1").Status() == 200);
    cluster.Await(task, "pushed", [&] { return cluster.At(2).ConfigVersion() == 1; });
    // Peers confirm the configuration in their answers to pings.
    SleepUntil(task, SteadyNow() + seconds(4));
    const auto config =
        cluster.Call(task, cluster.At(2), HttpRequest::Builder().SetTarget("/v1/config").Build());
    CHECK((*ParseJson(config.Body()))["confirmed_age_ms"] < 3000);
    CHECK(cluster.At(2).MayServe());
  });
}

// Guards against accepting two patches on one base.
TEST_CASE("exactly one of several racing patches on one base is accepted", "[cluster]") {
  ClusterHarness cluster;
  cluster.Run([&](Task& task) {
    cluster.StartInstances(task, 4);
    for (uint64_t base = 0; base < 5; ++base) {
      int accepted = 0;
      int refused = 0;
      for (std::size_t i = 0; i < 4; ++i) {
        cluster.runtime.Spawn([&, i, base](Task& racer) {
          const std::string name = std::to_string(base) + "-" + std::to_string(i);
          const auto response =
              cluster.PostPatch(racer, cluster.At(i), base, "p" + name, "t" + name);
          (response.Status() == 200 ? accepted : refused) += 1;
          if (response.Status() != 200) CHECK(response.Status() == 409);
        });
      }
      cluster.Await(task, "answers", [&] { return accepted + refused == 4; });
      CHECK(accepted == 1);
    }
    CHECK(cluster.table.Get("head", "head").value["config_version"] == 5);
    CHECK(cluster.table.Count("config_log") == 5);
  });
}

// Guards against a patch that is reported as failed, or applied twice, after the table service's
// answer was lost.
TEST_CASE("a patch succeeds once when answers of the table service are lost", "[cluster]") {
  ClusterHarness cluster;
  cluster.Run([&](Task& task) {
    cluster.StartInstances(task, 3);
    cluster.table.FaultsOf(1).lose_commit_answers = 1;
    CHECK(cluster.PostPatch(task, cluster.At(1), 0, "p1", "t1").Status() == 200);
    cluster.table.FaultsOf(1).drop_commits = 1;
    CHECK(cluster.PostPatch(task, cluster.At(1), 1, "p2", "t2").Status() == 200);
    CHECK(cluster.table.Count("config_log") == 2);
    // An author that lost the answer sends the same patch again, here to another instance.
    cluster.Await(task, "in force", [&] { return cluster.At(2).ConfigVersion() == 2; });
    const auto again = cluster.PostPatch(task, cluster.At(2), 1, "p2", "t2");
    CHECK(again.Status() == 200);
    const auto other = cluster.PostPatch(task, cluster.At(2), 1, "p3", "t3");
    CHECK(other.Status() == 409);
    CHECK((*ParseJson(other.Body()))["error"]["version"] == 2);
    // While the table service is down, a patch is refused and has not run.
    cluster.table.SetDown(true);
    const auto refused = cluster.PostPatch(task, cluster.At(0), 2, "p4", "t4", milliseconds(500));
    CHECK(refused.Status() == 503);
    CHECK((*ParseJson(refused.Body()))["error"]["ran"] == "no");
  });
}

// Guards against stopped members that stay in the roster forever, and against a holder that still
// treats its lease as valid after others have removed it.
TEST_CASE("a stopped or cut-off member is removed, and rejoins with a new epoch", "[cluster]") {
  ClusterHarness cluster;
  cluster.Run([&](Task& task) {
    cluster.StartInstances(task, 4);
    cluster.At(3).node->Halt();
    cluster.Await(task, "removal of d", [&] { return cluster.At(0).RosterSize() == 3; });
    CHECK(cluster.table.Get("leases", "d").version == 0);

    const RowVersion former = cluster.At(1).node->View().epoch();
    cluster.table.FaultsOf(1).down = true;
    cluster.Await(task, "removal of b", [&] {
      const bool removed = cluster.At(0).RosterSize() == 2;
      if (removed) CHECK_FALSE(cluster.At(1).node->View().holds_lease(SteadyNow()));
      return removed;
    });
    cluster.table.FaultsOf(1).down = false;
    cluster.Await(task, "b joins again", [&] { return cluster.At(0).RosterSize() == 3; });
    cluster.Await(task, "b is ready", [&] { return cluster.At(1).node->Ready(); });
    CHECK(cluster.At(1).node->View().epoch() > former);
  });
}

// Guards against two processes that serve under one id at the same time.
TEST_CASE("a new process under the same id replaces the former one", "[cluster]") {
  ClusterHarness cluster;
  cluster.Run([&](Task& task) {
    cluster.StartInstances(task, 2);
    const RowVersion former = cluster.At(1).node->View().epoch();
    auto& second = cluster.AddInstance("b");
    cluster.Await(task, "the second is ready", [&] { return second.node->Ready(); });
    CHECK(second.node->View().epoch() > former);
    cluster.Await(task, "the first stops", [&] {
      return cluster.At(1).node->State().Current() == Lifecycle::State::kStopped;
    });
    CHECK(cluster.At(1).ServeError() == ErrorCode::kNotReady);
    CHECK(cluster.At(0).RosterSize() == 2);
  });
}

// Guards against lost answers to a join that leave the instance out of the roster or put it in with
// an epoch that is not its own.
TEST_CASE("instances join although answers to their joins are lost", "[cluster]") {
  ClusterHarness cluster;
  cluster.Run([&](Task& task) {
    cluster.StartInstances(task, 1);
    auto& applied = cluster.AddInstance("b");
    cluster.table.FaultsOf(1).lose_commit_answers = 2;
    auto& dropped = cluster.AddInstance("c");
    cluster.table.FaultsOf(2).drop_commits = 2;
    cluster.Await(task, "both are ready", [&] {
      return applied.node->Ready() && dropped.node->Ready() && cluster.At(0).RosterSize() == 3;
    });
    const auto roster = cluster.At(0).node->View().roster();
    CHECK(roster->Find("b")->Epoch() == applied.node->View().epoch());
    CHECK(roster->Find("c")->Epoch() == dropped.node->View().epoch());
  });
}

// Guards against an outage of the table service that stops all instances, and against a cut-off
// minority that serves an old configuration.
TEST_CASE("in an outage a majority keeps serving and a cut-off instance stops", "[cluster]") {
  ClusterHarness cluster;
  cluster.Run([&](Task& task) {
    cluster.StartInstances(task, 3);
    REQUIRE(cluster.PostPatch(task, cluster.At(0), 0, "p1", "t1").Status() == 200);
    cluster.Await(task, "in force", [&] { return cluster.At(2).ConfigVersion() == 1; });
    cluster.table.SetDown(true);
    cluster.Await(task, "the leases expire",
                  [&] { return !cluster.At(0).node->View().holds_lease(SteadyNow()); });
    SleepUntil(task, SteadyNow() + seconds(4));
    for (const auto& instance : cluster.instances) CHECK(instance->MayServe());
    cluster.At(1).node->Halt();
    SleepUntil(task, SteadyNow() + seconds(4));
    CHECK(cluster.At(0).MayServe());  // two of three are a majority
    cluster.At(2).node->Halt();
    cluster.Await(task, "isolation", [&] { return !cluster.At(0).MayServe(); });
    CHECK(cluster.At(0).ServeError() == ErrorCode::kIsolated);
    CHECK(cluster.At(0).RosterSize() == 3);
    CHECK(cluster.At(0).ConfigVersion() == 1);
    cluster.table.SetDown(false);
    cluster.Await(task, "a serves again", [&] { return cluster.At(0).MayServe(); });
    cluster.Await(task, "removal of the others", [&] { return cluster.At(0).RosterSize() == 1; });
  });
}

// Guards against a minority that changes the configuration.
TEST_CASE("a patch is refused without contact with a majority", "[cluster]") {
  ClusterHarness cluster;
  cluster.Run([&](Task& task) {
    cluster.StartInstances(task, 3, seconds(30));
    cluster.At(1).node->Halt();
    REQUIRE(cluster.PostPatch(task, cluster.At(0), 0, "p1", "t1").Status() == 200);
    cluster.At(2).node->Halt();
    cluster.Await(task, "a has lost contact with its peers",
                  [&] { return cluster.PeersInContact(cluster.At(0)) == 0; });
    const auto refused = cluster.PostPatch(task, cluster.At(0), 1, "p2", "t2");
    const auto error = (*ParseJson(refused.Body()))["error"];
    CHECK(error["code"] == "isolated");
    CHECK(error["ran"] == "no");
    CHECK(cluster.table.Get("head", "head").value["config_version"] == 1);
    CHECK(cluster.At(0).MayServe());  // the table service still confirms its configuration
  });
}

// Guards against accepting invalid input, and against errors that do not name the offending part.
TEST_CASE("invalid configuration requests are refused", "[cluster]") {
  ClusterHarness cluster;
  cluster.Run([&](Task& task) {
    cluster.StartInstances(task, 1);
    const auto error_of = [&](const std::string& method, const std::string& target,
                              const std::string& body) {
      const auto response = cluster.Call(
          task, cluster.At(0),
          HttpRequest::Builder().SetMethod(method).SetTarget(target).SetJson(body).Build());
      const auto error = (*ParseJson(response.Body()))["error"];
      return error["code"].get<std::string>() + " " + error["part"].get<std::string>();
    };
    const auto patch = [&](const std::string& body) {
      return error_of("POST", "/v1/config/patches", body);
    };
    CHECK(patch("{") == "invalid_argument byte 2");
    CHECK(patch("{}") == "invalid_argument patch_id");
    CHECK(patch(R"({"patch_id":"p","base":-1,"patch":{}})") == "invalid_argument base");
    CHECK(patch(R"({"patch_id":"p","base":0,"patch":[]})") == "invalid_argument patch");
    CHECK(patch(R"({"patch_id":"p","base":0,"patch":{"x":1}})") == "invalid_patch x");
    CHECK(patch(R"({"patch_id":"p","base":7,"patch":{}})") == "stale_base base");
    CHECK(error_of("GET", "/v1/config/patches/1", "") == "not_found 1");
    CHECK(error_of("GET", "/v1/config/patches/x", "") == "invalid_argument x");
    CHECK(error_of("GET", "/v1/addresses?service=none", "") == "not_found none");
    CHECK(cluster.table.Count("config_log") == 0);
  });
}

// Guards against instances that remove each other after an outage in which none could renew its
// lease.
TEST_CASE("no member is removed after an outage that all survived", "[cluster]") {
  ClusterHarness cluster;
  cluster.Run([&](Task& task) {
    cluster.StartInstances(task, 4, seconds(3));
    std::vector<RowVersion> epochs;
    for (const auto& instance : cluster.instances) epochs.push_back(instance->node->View().epoch());
    for (int round = 0; round < 2; ++round) {
      cluster.table.SetDown(true);
      SleepUntil(task, SteadyNow() + seconds(4));
      cluster.table.SetDown(false);
      cluster.Await(task, "all hold leases again", [&] {
        for (const auto& instance : cluster.instances) {
          if (!instance->node->View().holds_lease(SteadyNow())) return false;
        }
        return true;
      });
    }
    SleepUntil(task, SteadyNow() + seconds(4));
    for (std::size_t i = 0; i < 4; ++i) CHECK(cluster.At(i).node->View().epoch() == epochs[i]);
  });
}

// Guards against losing a lease whose renewals are applied although their answers are lost.
TEST_CASE("a lease stays valid while answers to its renewals are lost", "[cluster]") {
  ClusterHarness cluster;
  cluster.Run([&](Task& task) {
    cluster.StartInstances(task, 2, seconds(4));
    const RowVersion epoch = cluster.At(1).node->View().epoch();
    cluster.table.FaultsOf(1).lose_commit_answers = 1000;
    for (int i = 0; i < 80; ++i) {
      SleepUntil(task, SteadyNow() + milliseconds(100));
      CHECK(cluster.At(1).node->View().holds_lease(SteadyNow()));
    }
    CHECK(cluster.At(0).RosterSize() == 2);
    CHECK(cluster.At(1).node->View().epoch() == epoch);
  });
}

// Guards against a holder that treats its lease as valid after its removal, because its renewals
// were applied and their answers came too late.
TEST_CASE("a lease whose renewals time out expires before others remove its holder", "[cluster]") {
  ClusterHarness cluster;
  cluster.Run([&](Task& task) {
    cluster.StartInstances(task, 2, seconds(4));
    const RowVersion epoch = cluster.At(1).node->View().epoch();
    cluster.table.FaultsOf(1).delay = TableClient::kAttemptTimeout + milliseconds(300);
    cluster.Await(task, "the lease expires",
                  [&] { return !cluster.At(1).node->View().holds_lease(SteadyNow()); });
    CHECK(cluster.table.Get("leases", "b").version != 0);
    CHECK(cluster.At(1).MayServe());
    cluster.Await(task, "removal", [&] { return cluster.At(0).RosterSize() == 1; });
    CHECK_FALSE(cluster.At(1).node->View().holds_lease(SteadyNow()));
    cluster.table.FaultsOf(1).delay = Duration::zero();
    cluster.Await(task, "b joins again", [&] {
      return cluster.At(1).node->View().epoch() > epoch && cluster.At(1).node->Ready();
    });
  });
}

// Guards against a new instance that serves without a configuration, or with that of a minority of
// its seeds.
TEST_CASE("a new instance starts in an outage with the document of a majority of seeds",
          "[cluster]") {
  ClusterHarness cluster;
  cluster.Run([&](Task& task) {
    cluster.StartInstances(task, 3);
    REQUIRE(cluster.PostPatch(task, cluster.At(0), 0, "p1", "t1").Status() == 200);
    cluster.Await(task, "in force", [&] { return cluster.At(2).ConfigVersion() == 1; });
    cluster.table.SetDown(true);
    std::vector<std::string> seeds;
    for (const auto& instance : cluster.instances) seeds.push_back(instance->node->PeerAddress());
    auto& minority = cluster.AddInstance("x", {"127.0.0.1:1", "127.0.0.1:2", seeds[0]});
    cluster.table.FaultsOf(3).down = true;
    auto& majority = cluster.AddInstance("y", seeds);
    cluster.table.FaultsOf(4).down = true;
    cluster.Await(task, "the document of the seeds", [&] { return majority.ConfigVersion() == 1; });
    CHECK(majority.node->Ready());
    CHECK_FALSE(majority.node->View().holds_lease(SteadyNow()));
    CHECK(minority.ServeError() == ErrorCode::kNotReady);
    cluster.table.SetDown(false);
    cluster.Await(task, "both join", [&] { return cluster.At(0).RosterSize() == 5; });
    cluster.Await(task, "the document of the table service",
                  [&] { return minority.node->Ready() && minority.ConfigVersion() == 1; });
  });
}

// Guards against a leaving instance that others still treat as serving, and against hooks that do
// not run.
TEST_CASE("leaving, notifications and weights reach the other instances", "[cluster]") {
  ClusterHarness cluster;
  cluster.Run([&](Task& task) {
    cluster.StartInstances(task, 3);
    std::string topic;
    int64_t crashes = 0;
    int weights = 0;
    cluster.At(1).node->OnNotify([&](const std::string& t, const nlohmann::json&) { topic = t; });
    cluster.At(1).node->OnSuspect([&](const std::string&, int64_t d, int64_t) { crashes = d; });
    cluster.At(1).node->OnWeightsChange([&] { ++weights; });
    cluster.At(0).node->Notify("group_shard", {{"shard", 7}});
    cluster.At(0).node->BroadcastSuspect("f", 2, 1000);
    cluster.Await(task, "both messages", [&] { return topic == "group_shard" && crashes == 2; });
    auto head = cluster.table.Get("head", "head").value;
    head["weights_version"] = 3;
    cluster.table.Put("head", "head", head);
    cluster.Await(task, "weights", [&] { return cluster.At(1).node->WeightsVersion() == 3; });
    CHECK(weights == 1);

    cluster.At(2).node->BeginLeaving(task);
    CHECK(cluster.At(2).node->State().Current() == Lifecycle::State::kLeaving);
    cluster.Await(task, "c is seen as leaving", [&] {
      const auto roster = cluster.At(0).node->View().roster();
      return roster->Find("c") != nullptr && !roster->Find("c")->Serving();
    });
    cluster.At(2).node->Leave(task);
    cluster.Await(task, "gone", [&] { return cluster.At(0).RosterSize() == 2; });
    CHECK(cluster.table.Get("leases", "c").version == 0);
    CHECK(cluster.At(2).node->State().Current() == Lifecycle::State::kStopped);
  });
}

}  // namespace
}  // namespace anvilcroft
