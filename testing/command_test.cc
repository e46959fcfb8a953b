// Tests the commands together with the operator routes: a command reaches the instance, and its
// exit code tells a script whether the work was done.

#include "anvilcroft/command.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

#include "anvilcroft/exit_code.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/json.h"
#include "anvilcroft/operator_api.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

struct CommandResult {
  int code;
  std::string out;
  std::string error;
};

CommandResult RunWithArguments(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream error;
  const int code = RunProgram(arguments, out, error);
  return {code, out.str(), error.str()};
}

// A file with `text`, which is removed by the destructor.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    char name[] = "/tmp/anvilcroft_test_XXXXXX";
    ::close(::mkstemp(name));
    this->path = name;
    std::ofstream(this->path) << text;
  }
  ~TemporaryFile() { std::remove(this->path.c_str()); }

  std::string path;
};

// A server with the operator routes and a configuration, on its own thread.
class TestInstance {
 public:
  TestInstance() {
    this->view.config = [this] { return this->config; };
    OperatorApi::Builder(this->view, this->metrics)
        .SetReady([this] { return !this->drained; })
        .SetDrain([this] { this->drained = true; })
        .Build()
        .RegisterRoutes(this->router);
    this->router.Add("GET", "/v1/config",
                     [this](Task& task, const HttpRequest&, const PathParts&, HttpReply& reply) {
                       const json body = {{"version", this->config->Version()},
                                          {"document", this->config->Json()}};
                       reply.Send(task, JsonResponse(200, DumpJson(body)));
                     });
    this->router.Add(
        "POST", "/v1/config/patches",
        [this](Task& task, const HttpRequest& request, const PathParts&, HttpReply& reply) {
          reply.Send(task, this->AcceptPatch(*ParseJson(request.Body())));
        });
    this->router.Add("GET", "/v1/members",
                     [](Task& task, const HttpRequest&, const PathParts&, HttpReply& reply) {
                       const json members = {{{"id", "i-1\x1b[2J"}, {"zone", "a"}, {"epoch", 5}}};
                       reply.Send(task, JsonResponse(200, DumpJson({{"members", members}})));
                     });
    this->server =
        HttpServer::Builder(this->runtime)
            .SetHandler([this](Task& task, const HttpRequest& request, HttpReply& reply) {
              this->router.Handle(task, request, reply);
            })
            .Build();
    this->address = *this->server->Start();
    this->thread = std::thread([this] { this->runtime.Run(); });
  }

  ~TestInstance() {
    this->runtime.Stop();
    this->thread.join();
  }

  HttpResponse AcceptPatch(const json& body) {
    if (this->lose_answers) {
      return ErrorResponse(
          Error{ErrorCode::kStoreUnavailable, "the answer was lost", "", Ran::kUnknown});
    }
    if (this->concurrent_patches > 0) {
      --this->concurrent_patches;
      this->config = std::make_shared<const ConfigDocument>(
          *this->config->Apply(json::object(), this->config->Version() + 1));
    }
    if (body.at("base") != this->config->Version()) {
      return ErrorResponse(
          Error{ErrorCode::kStaleBase, "not the current version", "base", Ran::kNo});
    }
    const auto next = this->config->Apply(body.at("patch"), this->config->Version() + 1);
    if (!next) return ErrorResponse(next.error());
    this->config = std::make_shared<const ConfigDocument>(*next);
    return JsonResponse(200, DumpJson({{"version", next->Version()}}));
  }

  Runtime runtime;
  Metrics metrics;
  ClusterView view;
  std::shared_ptr<const ConfigDocument> config = std::make_shared<const ConfigDocument>();
  HttpRouter router;
  std::unique_ptr<HttpServer> server;
  std::string address;
  std::thread thread;
  bool drained = false;
  bool lose_answers = false;
  int concurrent_patches = 0;  // patches of other operators between a command's read and its patch
};

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

TEST_CASE("a malformed command line has the exit code for usage", "[command]") {
  for (const std::vector<std::string>& arguments : std::vector<std::vector<std::string>>{
           {},
           {"fly"},
           {"run"},
           {"run", "--settings"},
           {"check"},
           {"patch"},
           {"patch", "submit", "--base", "x"},
           {"list", "members"},
           {"list", "stars", "--instance", "127.0.0.1:1"},
           {"list", "samples", "--instance", "127.0.0.1:1"},
           {"list", "members", "--instance", "localhost:1"},
           {"list", "members", "--instance", "127.0.0.1:1", "--timeout", "0"},
           {"drain", "target", "--instance", "127.0.0.1:1"}}) {
    const CommandResult result = RunWithArguments(arguments);
    CHECK(result.code == kExitUsage);
    CHECK(result.out.empty());
    CHECK_FALSE(result.error.empty());
  }
}

TEST_CASE("every command prints its usage", "[command]") {
  CHECK(RunWithArguments({"--version"}).out ==
        std::string("anvilcroft ") + ANVILCROFT_VERSION + "\n");
  for (const std::vector<std::string>& arguments :
       std::vector<std::vector<std::string>>{{},
                                             {"run"},
                                             {"check"},
                                             {"patch"},
                                             {"patch", "submit"},
                                             {"patch", "show"},
                                             {"list"},
                                             {"drain"},
                                             {"drain", "instance"},
                                             {"drain", "target"}}) {
    auto with_help = arguments;
    with_help.push_back("--help");
    const CommandResult result = RunWithArguments(with_help);
    CHECK(result.code == kExitOk);
    std::string usage = "Usage: anvilcroft";
    for (const auto& argument : arguments) usage += " " + argument;
    CHECK(result.out.rfind(usage, 0) == 0);
  }
}

TEST_CASE("run and check both fail on invalid settings", "[command]") {
  const TemporaryFile file("zone: a\n");
  for (const char* command : {"run", "check"}) {
    const CommandResult result = RunWithArguments({command, "--settings", file.path});
    CHECK(result.code == kExitBadSettings);
    CHECK(result.error.find("instance_id: found nothing") != std::string::npos);
  }
  const CommandResult as_json = RunWithArguments({"check", "--json", "--settings", file.path});
  CHECK(as_json.code == kExitBadSettings);
  const auto body = ParseJson(as_json.out);
  REQUIRE(body);
  CHECK((*body)["ok"] == false);
  CHECK((*body)["problems"].size() == 6);
}

TEST_CASE("a failed connection has its own exit code, and the next instance is tried",
          "[command]") {
  CHECK(RunWithArguments({"list", "members", "--instance", "127.0.0.1:1"}).code ==
        kExitNoConnection);
  TestInstance instance;
  const CommandResult result = RunWithArguments(
      {"list", "members", "--instance", "127.0.0.1:1", "--instance", instance.address});
  CHECK(result.code == kExitOk);
  CHECK(result.out == "id       zone  epoch\ni-1?[2J  a     5\n");
}

TEST_CASE("the exit code tells whether a patch was accepted, refused or has an unknown outcome",
          "[command]") {
  TestInstance instance;
  const TemporaryFile file(ReadFile(ANVILCROFT_EXAMPLES "/deployment.json"));
  const auto submit = [&](const std::string& base, const std::string& path) {
    return RunWithArguments({"patch", "submit", "--base", base, "--file", path, "--author", "asha",
                             "--id", "p-1", "--instance", instance.address});
  };
  const CommandResult accepted = submit("0", file.path);
  CHECK(accepted.error.empty());
  CHECK(accepted.code == kExitOk);
  CHECK(accepted.out == "accepted as version 1\n");
  const CommandResult stale = submit("0", file.path);
  CHECK(stale.code == kExitRefused);
  CHECK(stale.error.find("stale_base") != std::string::npos);
  const TemporaryFile invalid("{\"deployments\": {\"d\": {}}}");
  CHECK(submit("1", invalid.path).code == kExitRefused);
  const TemporaryFile malformed("{");
  CHECK(submit("1", malformed.path).code == kExitBadSettings);
  instance.lose_answers = true;
  CHECK(submit("1", file.path).code == kExitOutcomeUnknown);
}

TEST_CASE("draining a target retries its patch on the newest version", "[command]") {
  TestInstance instance;
  instance.concurrent_patches = 3;
  const CommandResult drained = RunWithArguments(
      {"drain", "target", "t-1", "--author", "asha", "--instance", instance.address});
  CHECK(drained.code == kExitOk);
  CHECK(instance.config->Drained("t-1"));
  const CommandResult undone = RunWithArguments(
      {"drain", "target", "t-1", "--undo", "--author", "asha", "--instance", instance.address});
  CHECK(undone.code == kExitOk);
  CHECK(instance.config->Json().at("drained_targets").empty());
  instance.concurrent_patches = 1000;
  const CommandResult refused = RunWithArguments(
      {"drain", "target", "t-1", "--author", "asha", "--instance", instance.address});
  CHECK(refused.code == kExitRefused);
}

TEST_CASE("the operator routes answer as documented", "[operator_api]") {
  TestInstance instance;
  const auto document = ParseJson(ReadFile(ANVILCROFT_EXAMPLES "/deployment.json"));
  REQUIRE(document);
  instance.config = std::make_shared<const ConfigDocument>(*ConfigDocument::Decode(4, *document));
  const CommandResult table =
      RunWithArguments({"list", "deployments", "--instance", instance.address});
  CHECK(table.out.find("rota-confirmation") != std::string::npos);
  const CommandResult listed =
      RunWithArguments({"list", "deployments", "--json", "--instance", instance.address});
  const auto body = ParseJson(listed.out);
  REQUIRE(body);
  CHECK((*body)["config_version"] == 4);
  CHECK((*body)["deployments"][1]["deployment"] == "shoreline");
  CHECK((*body)["deployments"][1]["zones"].size() == 3);
  CHECK((*body)["deployments"][1]["services"].size() == 3);

  const auto status = [&](const std::string& path) {
    Runtime runtime;
    HttpClient client(runtime);
    Result<HttpResponse> response = Fail(ErrorCode::kInternal, "");
    runtime.Spawn([&](Task& task) {
      response = client.Call(task, *ParseEndpoint(instance.address),
                             HttpRequest::Builder().SetTarget(path).Build(),
                             CallOptions(SteadyNow() + seconds(10)));
      runtime.Stop();
    });
    runtime.Run();
    REQUIRE(response);
    return response->Status();
  };
  CHECK(status("/healthz") == 200);
  CHECK(status("/metrics") == 200);
  CHECK(status("/readyz") == 200);
  CHECK(status("/v1/admin/drain") == 404);
  const CommandResult drained =
      RunWithArguments({"drain", "instance", "--instance", instance.address});
  CHECK(drained.code == kExitOk);
  CHECK(status("/readyz") == 503);
  CHECK(status("/healthz") == 200);
}

TEST_CASE("the API manual lists every error code with its status", "[docs]") {
  const std::string manual = ReadFile(ANVILCROFT_EXAMPLES "/../docs/api.md");
  for (int i = 0; i <= static_cast<int>(ErrorCode::kInternal); ++i) {
    const auto code = static_cast<ErrorCode>(i);
    const std::string row = std::string("\n| `") + ErrorCodeName(code) + "` | " +
                            std::to_string(HttpStatusOf(code)) + " |";
    INFO(row);
    CHECK(manual.find(row) != std::string::npos);
    CHECK(ParseErrorCode(ErrorCodeName(code)) == code);
  }
}

TEST_CASE("the example files pass the check", "[command]") {
  const CommandResult result =
      RunWithArguments({"check", "--settings", ANVILCROFT_EXAMPLES "/instance.yaml", "--document",
                        ANVILCROFT_EXAMPLES "/deployment.json"});
  CHECK(result.error.empty());
  CHECK(result.code == kExitOk);
}

}  // namespace
}  // namespace anvilcroft
