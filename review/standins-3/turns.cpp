// Engines that don't check fencing tokens leave some orders unanswered, while the process that gave
// the last order is killed, three times in a row. Checks that no engine gets orders of holders that
// take turns (A, B, A) within LeaseMs.
//
//   turns BINARY FOLDER RECORD [--calm]
//
// Exits with 1 if holders took turns, 0 if not, and 2 if the case could not run.

#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>

#include "anvilcroft/log.h"
#include "review/standins-3/site.hpp"

namespace review {
namespace {

using namespace anvilcroft;  // NOLINT: a stand-in of a test
using nlohmann::json;

constexpr int kEngines = 9;
constexpr int kRounds = 3;
constexpr int kKills = 3;                              // in a round
constexpr int kUnanswered = 3;                         // orders of a round, of eleven or more
constexpr double kLeaseS = 3.0;                        // LeaseMs
constexpr Duration kLoadTime = milliseconds(900);      // of a version
constexpr Duration kLateAfter = seconds(4);            // applied_late: 2 to 12 s
constexpr Duration kKillAfter = milliseconds(50);      // from the order
constexpr Duration kRestartAfter = milliseconds(500);  // a short delay
constexpr Duration kRoundTime = seconds(12);

struct Order {
  double at = 0;
  std::string holder;
  int64_t fence = 0;
};

// A sound engine of a site with RequireFence false.
class Engine {
 public:
  Engine(Runtime& runtime, Site& site, Record& record, std::string id)
      : runtime(runtime), site(site), record(record), id(std::move(id)) {}

  bool Start() {
    this->server = HttpServer::Builder(this->runtime)
                       .SetAddress("127.0.0.1:0")
                       .SetHandler([this](Task& task, const HttpRequest& request,
                                          HttpReply& reply) { this->Handle(task, request, reply); })
                       .Build();
    const auto started = this->server->Start();
    if (!started) return false;
    this->address = *started;
    this->Register();
    return true;
  }

  int unanswered = 0;  // the next orders that get no answer and are carried out late
  int64_t version = 1;
  std::vector<Order> orders;  // that arrived
  std::function<void(const Order&)> on_order;

 private:
  void Register() {
    this->site.store.Put("servers", this->id,
                         json{{"Service", "model"},
                              {"Address", this->address},
                              {"Zone", "a"},
                              {"Version", "v1"},
                              {"Slots", 6},
                              {"State", "ready"},
                              {"Sequence", 1},
                              {"ColdRemainingMs", 0},
                              {"born", 1000},
                              {"Models", {{{"Name", Site::kModel}, {"Version", this->version}}}}}
                             .dump());
  }

  // Carries out an order unless another one is in progress or was accepted meanwhile. Returns the
  // status of the answer.
  int Carry(int64_t expected, int64_t wanted) {
    if (wanted == this->version && !this->loading) return 200;
    if (this->loading || expected != this->accepted) return 409;
    ++this->accepted;
    this->loading = true;
    this->runtime.Spawn([this, wanted](Task& task) {
      SleepUntil(task, SteadyNow() + kLoadTime);
      this->version = wanted;
      this->loading = false;
      this->Register();
    });
    return 202;
  }

  void Handle(Task& task, const HttpRequest& request, HttpReply& reply) {
    if (request.Path() == "/api/report") {
      reply.Send(task, HttpResponse::Builder()
                           .SetJson(json{
                               {"Stage", "hybrid"},
                               {"Busy", this->loading},
                               {"Sequence", this->accepted},
                               {"Running", 0},
                               {"Waiting", 0},
                               {"Models", {{{"Name", Site::kModel}, {"Version", this->version}}}}}
                                        .dump())
                           .Build());
      return;
    }
    if (request.Path() != "/api/order") {
      reply.Send(task, HttpResponse::Builder().SetStatus(404).SetJson("{}").Build());
      return;
    }
    const json body = json::parse(request.Body(), nullptr, false);
    if (!body.is_object() || !body.contains("Holder") || !body.contains("Fence")) {
      reply.Send(task, HttpResponse::Builder().SetStatus(400).SetJson("{}").Build());
      return;
    }
    const Order order{this->record.Now(), body.value("Holder", ""),
                      body.value("Fence", int64_t{0})};
    const int64_t expected = body.value("Expected", this->accepted);
    const int64_t wanted = body.value("Version", int64_t{0});
    this->orders.push_back(order);
    const bool answered = this->unanswered == 0;
    const int status = answered ? this->Carry(expected, wanted) : 0;
    this->record.Add(this->id + " gets an order: holder " + order.holder + ", fence " +
                     std::to_string(order.fence) + ", version " + std::to_string(wanted) +
                     (answered ? ", answered " + std::to_string(status)
                               : std::string(", not answered, carried out late")));
    if (this->on_order) this->on_order(order);
    if (answered) {
      reply.Send(task, HttpResponse::Builder().SetStatus(status).SetJson("{}").Build());
      return;
    }
    --this->unanswered;
    this->runtime.Spawn([this, expected, wanted](Task& later) {
      SleepUntil(later, SteadyNow() + kLateAfter);
      this->record.Add(
          this->id + " carries out a late order: " + std::to_string(this->Carry(expected, wanted)));
    });
    SleepUntil(task, SteadyNow() + kLateAfter);
    reply.Abort();
  }

  Runtime& runtime;
  Site& site;
  Record& record;
  std::string id;
  std::string address;
  std::unique_ptr<HttpServer> server;
  int64_t accepted = 0;
  bool loading = false;
};

// Whether holders took turns at `engine` within LeaseMs. Adds the first such orders to the record.
bool TookTurns(const Engine& engine, Record& record) {
  const auto& orders = engine.orders;
  for (std::size_t i = 0; i < orders.size(); ++i) {
    for (std::size_t j = i + 1; j < orders.size(); ++j) {
      if (orders[j].holder == orders[i].holder) continue;
      for (std::size_t k = j + 1; k < orders.size(); ++k) {
        if (orders[k].holder != orders[i].holder || orders[k].at - orders[i].at >= kLeaseS)
          continue;
        record.Add("TURNS: " + orders[i].holder + " at " + std::to_string(orders[i].at) + ", " +
                   orders[j].holder + " at " + std::to_string(orders[j].at) + ", " +
                   orders[k].holder + " at " + std::to_string(orders[k].at));
        return true;
      }
    }
  }
  return false;
}

int RunCase(Task& task, Site& site, Record& record, bool calm,
            std::vector<std::unique_ptr<Engine>>& engines) {
  Runtime& runtime = RuntimeOf(task);
  if (!site.Start(task, 3, 0)) {
    record.Add("the site did not start");
    return 2;
  }
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back(
        std::make_unique<Engine>(runtime, site, record, "i-model-" + std::to_string(i)));
    if (!engines.back()->Start()) return 2;
  }
  record.Add(calm ? "all instances are ready; no disruption" : "all instances are ready");
  SleepUntil(task, SteadyNow() + seconds(4));
  int kills_left = 0;
  const auto kill = [&](const std::string& holder) {
    runtime.Spawn([&, holder](Task& other) {
      SleepUntil(other, SteadyNow() + kKillAfter);
      for (Instance& instance : site.instances) {
        if (instance.id != holder || !instance.process->Running()) continue;
        instance.process->Signal(SIGKILL);
        instance.process->Wait(2000);
        record.Add(holder + " is killed");
        SleepUntil(other, SteadyNow() + kRestartAfter);
        if (site.StartProcess(instance)) record.Add(holder + " is started again");
      }
    });
  };
  std::string killed;  // the last holder that was killed
  engines[0]->on_order = [&](const Order& order) {
    if (kills_left == 0 || order.holder == killed) return;
    killed = order.holder;
    kill(order.holder);
    --kills_left;
  };
  for (int round = 0; round < kRounds; ++round) {
    const int64_t version = round + 2;
    if (!calm) {
      killed.clear();
      kills_left = kKills;
      engines[0]->unanswered = kUnanswered;
    }
    record.Add("the trainer names version " + std::to_string(version));
    site.store.Put("op", std::string("version/") + Site::kModel,
                   json{{"Model", Site::kModel}, {"Version", version}}.dump());
    SleepUntil(task, SteadyNow() + kRoundTime);
    kills_left = 0;
    engines[0]->unanswered = 0;
    for (const auto& engine : engines) {
      if (TookTurns(*engine, record)) return 1;
    }
  }
  for (const auto& engine : engines) {
    if (engine->orders.empty()) return 2;
  }
  return 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc < 4) return 2;
  anvilcroft::InitLog(anvilcroft::LogLevel::kWarning);
  const bool calm = argc > 4;
  anvilcroft::Runtime runtime;
  review::Record record(argv[3]);
  review::Site site(runtime, argv[1], argv[2]);
  std::vector<std::unique_ptr<review::Engine>> engines;
  int result = 2;
  runtime.Spawn([&](anvilcroft::Task& task) {
    result = review::RunCase(task, site, record, calm, engines);
    runtime.Stop();
  });
  // A time-out of the script ends the instances too.
  runtime.OnTerminate([&runtime] { runtime.Stop(); });
  runtime.Run();
  site.Stop();
  runtime.EndTasks();
  record.Add("exit " + std::to_string(result));
  std::cout << "exit " << result << std::endl;
  return result;
}
