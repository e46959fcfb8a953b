// Tests the rollout part as a whole, over HTTP: a step that is submitted to one instance is run by
// the owners of its groups and taken through another, a notification follows new weights, errors
// name the offending part of a malformed request, and a stopping instance completes its samples and
// becomes idle.

#include "anvilcroft/rollout_node.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>

#include "anvilcroft/http_server.h"
#include "anvilcroft/json.h"
#include "testing/memory_table.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

// The table service and the object store in memory, served over HTTP to the real clients.
class StubPlatform {
 public:
  explicit StubPlatform(Runtime& runtime) : table(runtime, 1), access(table.Access()) {
    this->router.Add("POST", "/v1/txn",
                     [this](Task& task, const HttpRequest& request, const PathParts&,
                            HttpReply& reply) { this->Commit(task, request, reply); });
    this->router.Add(
        "GET", "/v1/row",
        [this](Task& task, const HttpRequest& request, const PathParts&, HttpReply& reply) {
          const auto row = access.read(task, request.QueryValue("table"), request.QueryValue("key"),
                                       TimePoint());
          if (!*row) {
            reply.Send(task, JsonResponse(404, "{}"));
            return;
          }
          Send(task, reply, {{"value", (*row)->value}, {"version", (*row)->version}});
        });
    this->router.Add(
        "GET", "/v1/scan",
        [this](Task& task, const HttpRequest& request, const PathParts&, HttpReply& reply) {
          json rows = json::array();
          const std::string after = request.QueryValue("after");
          const auto found = access.scan(task, request.QueryValue("table"),
                                         request.QueryValue("prefix"), 100000, TimePoint());
          for (const Row& row : *found) {
            if (row.key <= after || rows.size() >= 100) continue;
            rows.push_back({{"key", row.key}, {"value", row.value}, {"version", row.version}});
          }
          Send(task, reply, {{"more", rows.size() == 100}, {"rows", rows}});
        });
    this->router.Add(
        "PUT", "/v1/objects/{key}",
        [this](Task& task, const HttpRequest& request, const PathParts& parts, HttpReply& reply) {
          this->objects[parts.at("key")] = request.Body();
          Send(task, reply, json::object());
        });
    this->router.Add(
        "GET", "/v1/objects/{key}",
        [this](Task& task, const HttpRequest&, const PathParts& parts, HttpReply& reply) {
          reply.Send(task, HttpResponse::Builder().SetBody(this->objects[parts.at("key")]).Build());
        });
    this->server =
        HttpServer::Builder(runtime)
            .SetHandler([this](Task& task, const HttpRequest& request, HttpReply& reply) {
              router.Handle(task, request, reply);
            })
            .Build();
    this->address = *ParseEndpoint(*this->server->Start());
  }

  MemoryTable table;
  std::map<std::string, std::string> objects;
  Endpoint address;

 private:
  static void Send(Task& task, HttpReply& reply, const json& body) {
    reply.Send(task, JsonResponse(200, DumpJson(body)));
  }

  void Commit(Task& task, const HttpRequest& request, HttpReply& reply) {
    const json body = *ParseJson(request.Body());
    Transaction::Builder builder;
    for (const json& row : body["checks"]) {
      builder.CheckVersion(row["table"], row["key"], row["version"]);
    }
    for (const json& row : body["puts"]) builder.Put(row["table"], row["key"], row["value"]);
    for (const json& row : body["deletes"]) builder.Delete(row["table"], row["key"]);
    const Transaction transaction = builder.Build();
    const auto version = this->access.commit(task, transaction, TimePoint());
    if (version) {
      Send(task, reply, {{"version", *version}});
    } else if (version.error().code != ErrorCode::kConflict) {
      reply.Abort();
    } else {
      json failed = json::array();
      for (std::size_t i = 0; i < transaction.Checks().size(); ++i) {
        const auto& check = transaction.Checks()[i];
        const Row* row = this->table.Find(check.table, check.key);
        if ((row == nullptr ? 0 : row->version) != check.version) failed.push_back(i);
      }
      reply.Send(task, JsonResponse(409, DumpJson({{"failed", failed}})));
    }
  }

  StoreAccess access;
  HttpRouter router;
  std::unique_ptr<HttpServer> server;
};

// A RolloutNode with stubbed targets and membership, and its HTTP server.
class Instance {
 public:
  Instance(Runtime& runtime, StubPlatform& platform, const std::string& name, uint64_t seed)
      : http(runtime),
        table(this->http, platform.address),
        queue([this](Task& task, const Transaction& transaction, TimePoint deadline) {
          return this->table.Commit(task, transaction, deadline);
        }),
        tracer(seed, name, false) {
    ClusterView view;
    view.self = name;
    view.roster = [this] { return this->roster; };
    view.config = [this] { return this->config; };
    view.holds_lease = [](TimePoint) { return true; };
    view.epoch = []() -> RowVersion { return 1; };
    view.may_serve = [](TimePoint) { return Result<void>(); };
    this->node = RolloutNode::Builder(runtime)
                     .SetView(view)
                     .SetHttpClient(this->http)
                     .SetTable(this->table)
                     .SetCommitQueue(this->queue)
                     .SetObjects(platform.address)
                     .SetRun([this](Task& task, const WorkRequest& request) {
                       return this->Run(task, request);
                     })
                     .SetTargets([] { return std::vector<Target>(); })
                     .SetReport([](const EngineReport&) {})
                     .SetNotify([this](const std::string& topic, const json& payload) {
                       if (this->peer != nullptr) this->peer->node->OnNotify(topic, payload);
                       this->notified_topics.insert(topic);
                     })
                     .SetTracer(this->tracer)
                     .SetMetrics(this->metrics)
                     .SetSeed(seed)
                     .Build();
    this->node->RegisterRoutes(this->router);
    this->server =
        HttpServer::Builder(runtime)
            .SetHandler([this](Task& task, const HttpRequest& request, HttpReply& reply) {
              router.Handle(task, request, reply);
            })
            .Build();
    this->address = *ParseEndpoint(*this->server->Start());
  }

  void SetMembers(const std::vector<std::string>& names) {
    std::vector<Member> members;
    for (const std::string& name : names) members.push_back(Member::Builder().SetId(name).Build());
    this->roster = std::make_shared<const Roster>(1, std::move(members));
    this->node->OnRosterChange();
  }

  // Stands in for the dispatch of work to targets.
  Result<WorkResult> Run(Task& task, const WorkRequest& request) {
    ++this->runs;
    while (this->block_runs) SleepUntil(task, SteadyNow() + milliseconds(5));
    const bool judge = request.Operation() == "judge";
    const json body =
        judge ? json{{"reward", 1.5}}
              : json{{"text", std::string(this->output_bytes, 'x')}, {"tokens", {1, 2}}};
    return WorkResult::Builder()
        .SetBody(DumpJson(body))
        .SetSpans(judge ? std::vector<WeightSpan>() : std::vector<WeightSpan>{{5, 2}})
        .Build();
  }

  // Calls this instance and returns {status, body}.
  std::pair<int, json> Call(Task& task, const std::string& method, const std::string& target,
                            const json& body) {
    const auto request =
        HttpRequest::Builder().SetMethod(method).SetTarget(target).SetJson(DumpJson(body)).Build();
    const auto response =
        this->http.Call(task, this->address, request, CallOptions(SteadyNow() + seconds(30)));
    REQUIRE(response);
    return {response->Status(), *ParseJson(response->Body())};
  }

  HttpClient http;
  TableClient table;
  CommitQueue queue;
  Tracer tracer;
  Metrics metrics;
  std::shared_ptr<const Roster> roster = std::make_shared<const Roster>();
  std::shared_ptr<const ConfigDocument> config =
      std::make_shared<const ConfigDocument>(*ConfigDocument::Decode(1, *ParseJson(R"({
        "deployments": {"d": {"zones": ["z"], "services": {
          "s": {"kind": "model_engine", "operations": {"o": {"path": "/v1/generate",
                "repeatable": true}}},
          "j": {"kind": "judge", "operations": {"judge": {"path": "/v1/judge",
                "repeatable": true}}}}}},
        "drained_targets": {}})")));
  Instance* peer = nullptr;  // receives the notifications of this instance
  std::set<std::string> notified_topics;
  std::size_t output_bytes = 10;
  bool block_runs = false;  // calls of Run wait while it is set
  int runs = 0;
  std::unique_ptr<RolloutNode> node;
  HttpRouter router;
  std::unique_ptr<HttpServer> server;
  Endpoint address;
};

const json kTrainerBody = {{"service", "s"}, {"weight_version", 5}, {"staleness_bound", 1}};

json StepBody(int64_t number, int groups, int samples) {
  json list = json::array();
  for (int i = 0; i < groups; ++i) {
    list.push_back(
        {{"group", std::to_string(i)}, {"prompt", "p"}, {"samples", samples}, {"max_tokens", 2}});
  }
  return {{"step", number}, {"service", "s"}, {"operation", "o"}, {"judge", "j"}, {"groups", list}};
}

TEST_CASE("a trainer takes all samples of a step that two instances produce", "[rollout]") {
  Runtime runtime;
  StubPlatform platform(runtime);
  Instance a(runtime, platform, "a", 1);
  Instance b(runtime, platform, "b", 2);
  a.peer = &b;
  b.peer = &a;
  for (Instance* instance : {&a, &b}) {
    instance->node->Start();
    instance->SetMembers({"a", "b"});
    instance->output_bytes = 40000;  // large enough to be stored as an object
  }
  RunInTask(runtime, [&](Task& task) {
    REQUIRE(a.Call(task, "PUT", "/v1/trainers/t%2F1", kTrainerBody).first == 200);
    const json weights = {{"service", "s"}, {"version", 5}, {"uri", "u"}};
    REQUIRE(b.Call(task, "POST", "/v1/weights", weights).first == 200);
    CHECK(b.notified_topics.count("head") == 1);
    const auto step = a.Call(task, "POST", "/v1/trainers/t%2F1/steps", StepBody(1, 12, 4));
    INFO(step.second.dump());
    REQUIRE(step.first == 200);
    std::set<std::string> delivered;
    json first;
    for (int i = 0; i < 200; ++i) {
      const json take = {
          {"take_id", "k" + std::to_string(i)}, {"step", 1}, {"weight_version", 5}, {"max", 10}};
      const auto taken = b.Call(task, "POST", "/v1/trainers/t%2F1/takes", take);
      INFO(taken.second.dump().substr(0, 300));
      REQUIRE(taken.first == 200);
      CHECK(a.Call(task, "POST", "/v1/trainers/t%2F1/takes", take).second == taken.second);
      for (const json& sample : taken.second["samples"]) {
        CHECK(delivered.insert(sample["sample"]).second);
        CHECK(sample["output"] == std::string(40000, 'x'));
        CHECK(sample["reward"] == 1.5);
        CHECK(sample["weight_versions"] == *ParseJson(R"([{"version":5,"tokens":2}])"));
      }
      if (taken.second["remaining"] == 0) break;
    }
    CHECK(delivered.size() == 48);
    // Both instances own shards, and each ran the groups of its own shards.
    CHECK(a.runs > 0);
    CHECK(b.runs > 0);
    CHECK(a.runs + b.runs == 96);
    const auto list = a.Call(task, "GET", "/v1/samples?trainer=t%2F1", json());
    CHECK(list.second["samples"].size() == 48);
    REQUIRE(Eventually(task, [&] { return platform.table.Rows("groups").empty(); }));
  });
}

TEST_CASE("a new owner runs the groups of an owner that left the roster", "[rollout]") {
  Runtime runtime;
  StubPlatform platform(runtime);
  Instance a(runtime, platform, "a", 1);
  Instance b(runtime, platform, "b", 2);
  for (Instance* instance : {&a, &b}) {
    instance->node->Start();
    instance->SetMembers({"a"});
  }
  RunInTask(runtime, [&](Task& task) {
    REQUIRE(a.Call(task, "PUT", "/v1/trainers/t", kTrainerBody).first == 200);
    a.block_runs = true;  // its samples are never completed
    REQUIRE(b.Call(task, "POST", "/v1/trainers/t/steps", StepBody(1, 10, 2)).first == 200);
    a.node->OnRosterChange();
    REQUIRE(Eventually(task, [&] { return a.runs == 20; }));
    CHECK(b.runs == 0);
    b.SetMembers({"b"});
    REQUIRE(Eventually(task, [&] { return platform.table.Rows("ready").size() == 20; }));
    CHECK(b.runs == 40);
    REQUIRE(Eventually(task, [&] { return platform.table.Rows("groups").empty(); }));
  });
}

TEST_CASE("a stopping instance completes its running samples and starts no others", "[rollout]") {
  Runtime runtime;
  StubPlatform platform(runtime);
  Instance a(runtime, platform, "a", 1);
  a.node->Start();
  a.SetMembers({"a"});
  RunInTask(runtime, [&](Task& task) {
    CHECK(a.node->Idle());
    REQUIRE(a.Call(task, "PUT", "/v1/trainers/t", kTrainerBody).first == 200);
    a.block_runs = true;
    REQUIRE(a.Call(task, "POST", "/v1/trainers/t/steps", StepBody(1, 1, 3)).first == 200);
    REQUIRE(Eventually(task, [&] { return a.runs == 3; }));
    a.node->StopTakingWork();
    CHECK_FALSE(a.node->Idle());
    REQUIRE(a.Call(task, "POST", "/v1/trainers/t/steps", StepBody(2, 1, 3)).first == 200);
    a.block_runs = false;
    REQUIRE(Eventually(task, [&] { return a.node->Idle(); }));
    CHECK(platform.table.Rows("ready").size() == 3);
    CHECK(a.runs == 6);
    CHECK_FALSE(platform.table.Rows("groups").empty());
  });
}

TEST_CASE("invalid requests of trainers are refused with the offending part", "[rollout]") {
  Runtime runtime;
  StubPlatform platform(runtime);
  Instance a(runtime, platform, "a", 1);
  RunInTask(runtime, [&](Task& task) {
    const auto check_refused = [&](const std::string& method, const std::string& target,
                                   const json& body, int status, const std::string& part) {
      const auto answer = a.Call(task, method, target, body);
      INFO(target << " " << body.dump() << " " << answer.second.dump());
      CHECK(answer.first == status);
      CHECK(answer.second["error"]["part"] == part);
      CHECK(answer.second["error"]["ran"] == "no");
    };
    const auto with = [](json body, const char* key, const json& value) {
      body[key] = value;
      return body;
    };
    check_refused("POST", "/v1/trainers/t/steps", StepBody(1, 1, 1), 404, "trainer");
    REQUIRE(a.Call(task, "PUT", "/v1/trainers/t", kTrainerBody).first == 200);
    check_refused("PUT", "/v1/trainers/t", with(kTrainerBody, "weight_version", 4), 409,
                  "weight_version");
    check_refused("PUT", "/v1/trainers/t", with(kTrainerBody, "service", "none"), 404, "service");
    check_refused("PUT", "/v1/trainers/t", with(kTrainerBody, "staleness_bound", -1), 400,
                  "staleness_bound");
    check_refused("PUT", "/v1/trainers/t", json::array(), 400, "body");
    const json step = StepBody(1, 1, 1);
    check_refused("POST", "/v1/trainers/t/steps", with(step, "groups", json::array()), 400,
                  "groups");
    check_refused("POST", "/v1/trainers/t/steps", with(step, "operation", "x"), 404, "operation");
    check_refused("POST", "/v1/trainers/t/steps", with(step, "judge", "x"), 404, "judge");
    check_refused("POST", "/v1/trainers/t/steps", with(step, "more", 1), 400, "more");
    json twice = step;
    twice["groups"].push_back(step["groups"][0]);
    check_refused("POST", "/v1/trainers/t/steps", twice, 400, "groups[1].group");
    check_refused("POST", "/v1/trainers/t/steps", StepBody(1, 1, 257), 400, "groups[0].samples");
    check_refused("POST", "/v1/trainers/t/steps", StepBody(1, 33, 256), 413, "groups");
    const json take = {{"take_id", "k"}, {"step", 1}, {"weight_version", 5}};
    check_refused("POST", "/v1/trainers/t/takes", take, 404, "step");
    check_refused("POST", "/v1/trainers/t/takes", with(take, "weight_version", 6), 409,
                  "weight_version");
    check_refused("POST", "/v1/trainers/u/takes", take, 404, "trainer");
    check_refused("POST", "/v1/trainers/t/takes", with(take, "take_id", ""), 400, "take_id");
    check_refused("POST", "/v1/weights", {{"service", "s"}, {"version", 0}}, 400, "version");
    check_refused("GET", "/v1/samples", json(), 400, "trainer");
    a.node->OnNotify("group_shard", {{"shard", -1}});
    a.node->OnNotify("group_shard", "x");
  });
}

}  // namespace
}  // namespace anvilcroft
