// Tests that crowds of clients do not make a process exceed the memory and the descriptors of its
// machine. Each starts a real process, brings about one crowd with lowered limits, and checks that
// the process survives within the bounds and answers an ordinary request while the crowd is still
// connected. The bounds are the stated limits themselves.

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

#include "testing/client_crowd.h"
#include "testing/platform_endless_forms.h"
#include "testing/process_site.h"

namespace anvilcroft {
namespace {

using testing::ClientCrowd;
using testing::CrowdClient;

constexpr int kClients = 40;
constexpr std::size_t kMaxBodyBytes = 4 << 20;
constexpr std::size_t kPieceBytes = 64 << 10;
// Sent by each client whose body consists of chunks of one byte.
constexpr std::size_t kTinyChunksBytes = 2 << 20;
// Sent by each client whose body is over the limit.
constexpr std::size_t kEndlessBytes = 16 << 20;
// Time in which the process reads what the kernel has buffered once all clients have sent.
constexpr Duration kSettleTime = seconds(3);
constexpr int kMemoryMb = 64;
constexpr int kMaxDescriptors = 256;
constexpr int kIdleClients = 400;
// The smallest machine, and the largest body within the default limits.
constexpr int kSmallestMemoryMb = 120;
constexpr std::size_t kLargestBodyBytes = 33554432;

struct Usage {
  int64_t peak_kb = 0;  // of the resident memory
  int64_t descriptors = 0;
};

Usage UsageOf(pid_t pid) {
  Usage usage;
  const std::string folder = "/proc/" + std::to_string(pid);
  std::ifstream status(folder + "/status");
  for (std::string name; status >> name;) {
    if (name == "VmHWM:") status >> usage.peak_kb;
  }
  std::error_code failed;
  const std::filesystem::directory_iterator entries(folder + "/fd", failed);
  if (!failed) usage.descriptors = std::distance(begin(entries), end(entries));
  return usage;
}

// A process with a budget, and its targets.
class BudgetSite {
 public:
  explicit BudgetSite(int memory_mb, int64_t max_body_bytes, int max_descriptors = 3075)
      : memory_mb(memory_mb),
        max_descriptors(max_descriptors),
        site(Options(memory_mb, max_descriptors, max_body_bytes)) {}

  void Start(Task& task) {
    REQUIRE(this->site.site.Start());
    this->site.AwaitServing(task);
  }

  soak::SoakInstance& Instance() { return this->site.site.Instances().front(); }
  fakes::PlatformStore& Store() { return this->site.site.Store(); }
  void Post(Task& task, const std::string& target, const std::string& id, const std::string& body) {
    this->site.Send(task, this->Instance().front, target, id, body);
  }
  Endpoint Front() { return *ParseEndpoint(this->Instance().front); }
  Runtime& Loop() { return this->site.runtime; }
  HttpClient& Http() { return this->site.http; }

  // Checks the bounds while `crowd` sends and is connected, and that an ordinary request is served
  // then.
  void CheckWithstands(Task& task, const ClientCrowd& crowd) {
    int64_t descriptors = 0;
    std::optional<TimePoint> sent_at;
    testing::WaitUntil(
        task,
        [&] {
          descriptors = std::max(descriptors, UsageOf(this->Instance().process->Pid()).descriptors);
          if (!sent_at && crowd.AllSent()) sent_at = SteadyNow();
          return sent_at && SteadyNow() > *sent_at + kSettleTime;
        },
        seconds(40));
    this->CheckServes(task);
    descriptors = std::max(descriptors, UsageOf(this->Instance().process->Pid()).descriptors);
    this->CheckBounds(descriptors);
  }

  void CheckServes(Task& task) {
    CHECK(testing::WaitUntil(
        task,
        [&] {
          const auto answer =
              this->site.Send(task, this->Instance().front, "/lookup/1", "ordinary", "body");
          return answer && answer->Status() == 200;
        },
        seconds(20)));
  }

  void CheckBounds(int64_t descriptors) {
    REQUIRE(this->Instance().process->Running());
    const Usage usage = UsageOf(this->Instance().process->Pid());
    WARN("peak memory " << usage.peak_kb << " kB of " << this->memory_mb * 1000000 / 1024
                        << ", most descriptors seen " << descriptors << " of "
                        << this->max_descriptors);
    CHECK(usage.peak_kb > 0);
    CHECK(usage.peak_kb <= this->memory_mb * 1000000 / 1024);
    CHECK(descriptors <= this->max_descriptors);
  }

 private:
  static soak::SiteOptions Options(int memory_mb, int max_descriptors, int64_t max_body_bytes) {
    soak::SiteOptions options;
    options.instances = 1;
    options.engines = 1;
    options.link_targets = false;
    options.max_body_bytes = max_body_bytes;
    options.more_settings = "limits:\n  memory_mb: " + std::to_string(memory_mb) +
                            "\n  max_descriptors: " + std::to_string(max_descriptors) + "\n";
    return options;
  }

  int memory_mb;
  int max_descriptors;
  testing::ProcessSite site;
};

std::string Head(const std::string& framing) {
  return "POST /lookup/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: crowd\r\n"
         "X-Deadline-Ms: 3000\r\n" +
         framing + "\r\n\r\n";
}

std::string LengthHead(std::size_t length) {
  return Head("Content-Length: " + std::to_string(length));
}

std::string ChunkedHead() { return Head("Transfer-Encoding: chunked"); }

std::string Chunk(std::size_t size) {
  char length[16];
  std::snprintf(length, sizeof length, "%zx\r\n", size);
  return length + std::string(size, 'b') + "\r\n";
}

// Sends `bytes` in pieces, each preceded by nothing (a body with a length).
void SendPieces(CrowdClient& client, std::size_t bytes) {
  while (bytes > 0) {
    const std::size_t size = std::min(bytes, kPieceBytes);
    if (!client.Send(std::string(size, 'b'))) return;
    bytes -= size;
  }
}

void SendChunks(CrowdClient& client, std::size_t bytes, std::size_t chunk) {
  const std::string text = Chunk(chunk);
  std::string block;
  while (block.size() < kPieceBytes) block += text;
  const std::size_t per_block = block.size() / text.size() * chunk;
  for (std::size_t sent = 0; sent < bytes; sent += per_block) {
    if (!client.Send(block)) return;
  }
}

void WithstandsCrowd(const std::function<void(CrowdClient&)>& script, bool internal = false) {
  BudgetSite site(kMemoryMb, kMaxBodyBytes);
  testing::RunTask(site.Loop(), [&](Task& task) {
    site.Start(task);
    const Endpoint address = internal ? *ParseEndpoint(site.Instance().internal) : site.Front();
    const ClientCrowd crowd(address, kClients, script);
    site.CheckWithstands(task, crowd);
  });
}

// The following tests guard against a process that is killed because it holds what a crowd sends.

TEST_CASE("whole bodies with a length stay within the memory", "[memory_budget][serial]") {
  WithstandsCrowd([](CrowdClient& client) {
    client.Send(LengthHead(kMaxBodyBytes) + std::string(kMaxBodyBytes, 'b'));
  });
}

TEST_CASE("bodies in pieces that stop short stay within the memory", "[memory_budget][serial]") {
  WithstandsCrowd([](CrowdClient& client) {
    client.Send(LengthHead(kMaxBodyBytes));
    SendPieces(client, kMaxBodyBytes - 1);
  });
}

TEST_CASE("large chunks that stop short stay within the memory", "[memory_budget][serial]") {
  WithstandsCrowd([](CrowdClient& client) {
    client.Send(ChunkedHead());
    SendChunks(client, kMaxBodyBytes - kPieceBytes, kPieceBytes);
  });
}

TEST_CASE("chunks of one byte that stop short stay within the memory", "[memory_budget][serial]") {
  WithstandsCrowd([](CrowdClient& client) {
    client.Send(ChunkedHead());
    SendChunks(client, kTinyChunksBytes, 1);
  });
}

TEST_CASE("announced bodies over the limit stay within the memory", "[memory_budget][serial]") {
  WithstandsCrowd([](CrowdClient& client) {
    client.Send(LengthHead(std::size_t{1} << 40));
    SendPieces(client, kEndlessBytes);
  });
}

TEST_CASE("endless chunked bodies stay within the memory", "[memory_budget][serial]") {
  WithstandsCrowd([](CrowdClient& client) {
    client.Send(ChunkedHead());
    SendChunks(client, kEndlessBytes, kPieceBytes);
  });
}

TEST_CASE("bodies at the internal address stay within the memory", "[memory_budget][serial]") {
  WithstandsCrowd(
      [](CrowdClient& client) {
        client.Send(ChunkedHead());
        SendChunks(client, kMaxBodyBytes - kPieceBytes, kPieceBytes);
      },
      true);
}

// Guards against a process that is killed because several faulty engines at once answer without
// end, each in another form, while callers and a batch job use them.
TEST_CASE("answers without end of several engines stay within the memory",
          "[memory_budget][serial]") {
  BudgetSite site(kMemoryMb, kMaxBodyBytes);
  int requests = 0;
  std::vector<std::unique_ptr<testing::RawListener>> engines;
  for (const std::string service : {"app", "model"}) {
    for (const testing::EndlessForm& form : testing::EndlessForms({"0\n", "data: d\n"})) {
      engines.push_back(std::make_unique<testing::RawListener>(
          site.Loop(), [&requests, form](Task& task, testing::RawListener::Socket& socket) {
            const auto id = testing::ReadRequestId(task, socket);
            if (!id) return;
            ++requests;
            testing::WriteEndless(task, socket, form, *id);
          }));
    }
  }
  testing::RunTask(site.Loop(), [&](Task& task) {
    site.Start(task);
    for (std::size_t i = 0; i < engines.size(); ++i) {
      nlohmann::json entry = {{"Service", i < engines.size() / 2 ? "app" : "model"},
                              {"Address", engines[i]->Address().ToString()},
                              {"Zone", "a"},
                              {"Version", "v1"},
                              {"Slots", 4},
                              {"State", "ready"},
                              {"Sequence", 1},
                              {"born", 1000},
                              {"ColdRemainingMs", 0}};
      if (i >= engines.size() / 2) entry["Models"] = {{{"Name", "m"}, {"Version", 1}}};
      site.Store().Put("servers", "i-endless-" + std::to_string(i), entry.dump());
    }
    SleepUntil(task, SteadyNow() + milliseconds(500));
    fakes::StepShape shape;
    shape.item_prefix = "x";
    shape.groups = 20;
    site.Post(task, "/rollout/s", "job", fakes::StepBody(shape));
    int open = 0;
    for (int caller = 0; caller < 48; ++caller) {
      ++open;
      site.Loop().Spawn([&, caller](Task& task) {
        for (int i = 0; i < 8; ++i) {
          const std::string id = "c" + std::to_string(caller) + "." + std::to_string(i);
          site.Post(task, caller % 4 == 0 ? "/draft/1" : "/lookup/1", id, "body");
        }
        --open;
      });
    }
    CHECK(testing::WaitUntil(
        task, [&] { return open == 0; }, seconds(60)));
    CHECK(requests > 0);
    site.CheckServes(task);
    site.CheckBounds(0);
  });
}

// Guards against copies of a body at each stage, which take one legal request over the memory of
// the smallest machine.
TEST_CASE("the largest body is served on the smallest machine", "[memory_budget][serial]") {
  BudgetSite site(kSmallestMemoryMb, 0);
  testing::RunTask(site.Loop(), [&](Task& task) {
    site.Start(task);
    const auto answer =
        site.Http().Call(task, site.Front(),
                         fakes::CallerRequest("POST", "/lookup/1", "large",
                                              std::string(kLargestBodyBytes, 'b'), "9000"),
                         CallOptions(SteadyNow() + seconds(20)).WithFreshConnection());
    REQUIRE(answer);
    CHECK(answer->Status() == 200);
    site.CheckBounds(UsageOf(site.Instance().process->Pid()).descriptors);
  });
}

// Guards against idle connections of callers that use up the descriptors of the process, so that
// neither callers nor its own calls to the store and to targets get one.
TEST_CASE("idle connections stay within the descriptors", "[memory_budget][serial]") {
  BudgetSite site(kMemoryMb, kMaxBodyBytes, kMaxDescriptors);
  testing::RunTask(site.Loop(), [&](Task& task) {
    site.Start(task);
    const ClientCrowd crowd(site.Front(), kIdleClients, [](CrowdClient&) {});
    site.CheckWithstands(task, crowd);
    const auto looked_up =
        site.Http().Call(task, *ParseEndpoint(site.Instance().directory),
                         HttpRequest::Builder().SetTarget("/api/lookup?Zone=a").Build(),
                         CallOptions(SteadyNow() + seconds(5)));
    REQUIRE(looked_up);
    CHECK(looked_up->Status() == 200);
  });
}

// Guards against unfinished heads that hold connections and buffers.
TEST_CASE("unfinished heads stay within the descriptors", "[memory_budget][serial]") {
  BudgetSite site(kMemoryMb, kMaxBodyBytes, kMaxDescriptors);
  testing::RunTask(site.Loop(), [&](Task& task) {
    site.Start(task);
    const ClientCrowd crowd(site.Front(), kIdleClients, [](CrowdClient& client) {
      client.Send("POST /lookup/1 HTTP/1.1\r\nHost: h.example\r\nX-Long: " +
                  std::string(12 << 10, 'x'));
    });
    site.CheckWithstands(task, crowd);
  });
}

}  // namespace
}  // namespace anvilcroft
