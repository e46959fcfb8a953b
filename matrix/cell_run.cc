#include "matrix/cell_run.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "anvilcroft/json.h"

namespace anvilcroft::matrix {
namespace {

constexpr Duration kPollInterval = milliseconds(20);
constexpr Duration kPrepareLimit = seconds(20);

}  // namespace

CellRun::CellRun(Runtime& runtime, fakes::LocalCluster& cluster, uint64_t seed)
    : runtime(runtime), cluster(cluster), http(runtime), control(runtime), seed(seed) {
  this->addresses = cluster.Addresses();
}

void CellRun::Expect(bool holds, const std::string& failure) {
  if (!holds) this->failures.push_back(failure);
}

Result<HttpResponse> CellRun::Call(Task& task, const std::string& address,
                                   const std::string& method, const std::string& target,
                                   const json& body, Duration limit) {
  HttpRequest::Builder request;
  request.SetMethod(method).SetTarget(target);
  if (!body.is_null()) request.SetJson(DumpJson(body));
  return this->control.Call(task, *ParseEndpoint(address), request.Build(),
                            CallOptions(SteadyNow() + limit));
}

json CellRun::GetJson(Task& task, const std::string& address, const std::string& target) {
  const auto response = this->Call(task, address, "GET", target, nullptr, seconds(2));
  if (!response || response->Status() != 200) return nullptr;
  return json::parse(response->Body(), nullptr, false);
}

json CellRun::FetchLog(Task& task, const Node& node, const std::string& query) {
  json log = this->GetJson(task, node.address, "/control/log" + query);
  return log.is_object() ? log : json::object();
}

void CellRun::SetFaults(Task& task, const Node& node, const json& faults) {
  const auto set = this->Call(task, node.address, "POST", "/control/faults", faults, seconds(5));
  this->Expect(set && set->Status() == 200,
               "harness: the faults of " + node.id + " could not be set");
}

void CellRun::SetAppFaults(Task& task, const json& faults) {
  for (const Node& app : this->cluster.AppEngines()) {
    if (this->faulted.count(app.id) == 0) this->SetFaults(task, app, faults);
  }
}

void CellRun::SetLinkFaults(Task& task, const std::string& id, const json& faults) {
  for (const auto& [name, link] : this->links) {
    if (id.empty() ? name == "table" : name != id) continue;
    const auto set = this->Call(task, link.control, "POST", "/control/faults", faults, seconds(5));
    this->Expect(set && set->Status() == 200,
                 "harness: the faults of link " + name + " could not be set");
  }
}

bool CellRun::WaitFor(Task& task, Duration limit, const std::function<bool()>& holds) {
  const TimePoint deadline = SteadyNow() + limit;
  while (!holds()) {
    if (SteadyNow() >= deadline) return false;
    SleepUntil(task, SteadyNow() + kPollInterval);
  }
  return true;
}

bool CellRun::TableHasWrite(Task& task, const std::string& table,
                            const std::function<bool(const json& value)>& wanted) {
  const json log = this->FetchLog(task, this->cluster.Platform("table"), "?table=" + table);
  for (const json& entry : log.value("transactions", json::array())) {
    for (const json& write : entry["writes"]) {
      if (write["table"] != table || write.value("deleted", false)) continue;
      if (!wanted || wanted(write.value("value", json::object()))) return true;
    }
  }
  return false;
}

void CellRun::Prepare(Task& task) {
  for (const Node& node : this->cluster.Instances()) {
    this->runtime.Spawn([this, id = node.id, address = node.address](Task& watcher) {
      this->WatchConfigVersion(watcher, id, address);
    });
  }
  this->SubmitPatch(task, 0, 0, "deployment", fakes::DeploymentPatch(this->Site()));
  const std::size_t expected = this->Site().model_engines + this->Site().app_engines + 1;
  for (const std::string& address : this->addresses) {
    const bool ready = this->WaitFor(task, kPrepareLimit, [&] {
      const json targets = this->GetJson(task, address, "/v1/targets");
      return targets.is_object() && targets.value("targets", json::array()).size() == expected &&
             !this->GetJson(task, address, "/readyz").is_null();
    });
    this->Expect(ready, "harness: the site was not ready within 20 s");
  }
}

void CellRun::WatchConfigVersion(Task& task, std::string id, std::string address) {
  while (!this->finished) {
    const json config = this->GetJson(task, address, "/v1/config");
    if (config.is_object()) {
      const int64_t version = config.value("version", int64_t{0});
      int64_t& last = this->versions[id];
      this->Expect(version >= last, "the configuration version of " + id + " decreased from " +
                                        std::to_string(last) + " to " + std::to_string(version));
      last = std::max(last, version);
      this->seen_versions[id].emplace(version, SteadyNow());
    }
    SleepUntil(task, SteadyNow() + milliseconds(200));
  }
}

void CellRun::SubmitPatch(Task& task, std::size_t instance, int64_t base, const std::string& id,
                          const json& patch) {
  const json body = {{"patch_id", id}, {"base", base}, {"author", "matrix"}, {"patch", patch}};
  const TimePoint limit = SteadyNow() + seconds(25);
  bool unknown = false;
  while (SteadyNow() < limit) {
    const std::string& address = this->addresses[instance++ % this->addresses.size()];
    const auto response = this->Call(task, address, "POST", "/v1/config/patches", body, seconds(5));
    if (response && response->Status() == 200) {
      const json answer = json::parse(response->Body(), nullptr, false);
      this->patches.push_back({answer.value("version", int64_t{0}), id, SteadyNow()});
      return;
    }
    if (response && (response->Status() == 409 || response->Status() == 422)) {
      if (!unknown) this->refused_patches.insert(id);
      return;
    }
    const json answer =
        response ? json::parse(response->Body(), nullptr, false) : json(json::object());
    const json error = answer.is_object() ? answer.value("error", json::object()) : json::object();
    if (error.value("ran", "unknown") != "no") unknown = true;
    SleepUntil(task, SteadyNow() + milliseconds(100));
  }
  this->Expect(false, "patch " + id + " was neither accepted nor refused within 25 s");
}

void CellRun::PublishWeights(Task& task, int64_t version) {
  const bool done = this->WaitFor(task, seconds(25), [&] {
    const auto response = this->Call(
        task, this->addresses[this->seed++ % this->addresses.size()], "POST", "/v1/weights",
        {{"service", this->Site().model_service}, {"version", version}, {"uri", "weights"}},
        seconds(5));
    return response && response->Status() == 200;
  });
  this->Expect(done, "weights " + std::to_string(version) + " could not be published within 25 s");
  if (done) this->published = std::max(this->published, version);
}

void CellRun::SetListedState(Task& task, const Node& node, const std::string& state) {
  const bool app = node.id.rfind("app", 0) == 0;
  const auto link = this->links.find(node.id);
  const auto put =
      this->Call(task, this->cluster.Platform("instances").address, "POST", "/control/put",
                 {{"id", node.id},
                  {"kind", app ? "app_engine" : "model_engine"},
                  {"service", app ? this->Site().app_service : this->Site().model_service},
                  {"address", link == this->links.end() ? node.address : link->second.address},
                  {"zone", node.zone},
                  {"state", state}},
                 seconds(5));
  this->Expect(put && put->Status() == 200,
               "harness: " + node.id + " could not be listed as " + state);
}

void CellRun::CheckNoNewRequests(const Node& node) {
  this->runtime.Spawn([this, &node](Task& task) {
    const auto starts = [&] {
      int64_t count = 0;
      const json log = this->FetchLog(task, node);
      for (const json& entry : log.value("requests", json::array())) {
        if (entry["event"] == "started") ++count;
      }
      return count;
    };
    SleepUntil(task, SteadyNow() + seconds(5));
    const int64_t before = starts();
    while (!this->finished) {
      SleepUntil(task, SteadyNow() + milliseconds(500));
      const int64_t now = starts();
      if (now <= before) continue;
      this->Expect(false, node.id + " started " + std::to_string(now - before) +
                              " new requests more than 5 s after it began to leave");
      return;
    }
  });
}

CellRun::Node& CellRun::PickInstance(Task& task) {
  auto& nodes = this->cluster.Instances();
  std::string holder;
  for (const char* table : {"owners", "claims"}) {
    this->TableHasWrite(task, table, [&](const json& value) {
      holder = value.value("instance", "");
      return false;
    });
  }
  std::size_t start = this->seed % nodes.size();
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    if (nodes[i].id == holder) start = i;
  }
  while (this->faulted.count(nodes[start].id) != 0) start = (start + 1) % nodes.size();
  this->faulted.insert(nodes[start].id);
  return nodes[start];
}

CellRun::Node& CellRun::PickEngine(Task& task) {
  Node* busiest = nullptr;
  int64_t most = -1;
  for (Node& node : this->cluster.ModelEngines()) {
    if (this->faulted.count(node.id) != 0 || !node.process->Running()) continue;
    int64_t running = 0;
    const json log = this->FetchLog(task, node);
    for (const json& entry : log.value("requests", json::array())) {
      running += entry["event"] == "started" ? 1 : -1;
    }
    if (running > most) {
      most = running;
      busiest = &node;
    }
  }
  ANVILCROFT_CHECK(busiest != nullptr);
  this->faulted.insert(busiest->id);
  return *busiest;
}

CellRun::Node& CellRun::PickApp() {
  auto& nodes = this->cluster.AppEngines();
  std::size_t at = this->seed % nodes.size();
  while (this->faulted.count(nodes[at].id) != 0) at = (at + 1) % nodes.size();
  this->faulted.insert(nodes[at].id);
  return nodes[at];
}

void CellRun::StopGracefully(Node& node) {
  this->faulted.insert(node.id);
  this->stopped.insert(node.id);
  node.process->Signal(SIGTERM);
}

void CellRun::AddInstance() {
  // AddInstance appends to the vector of nodes, which invalidates references to its elements.
  const auto made = this->cluster.AddInstance(this->Site().zones[0]);
  this->Expect(made.has_value(), "an instance did not start while the table service was down");
  if (!made) return;
  const Node& node = this->cluster.Instances().back();
  this->added.insert(node.id);
  this->runtime.Spawn([this, id = node.id, address = node.address](Task& watcher) {
    this->WatchConfigVersion(watcher, id, address);
  });
}

}  // namespace anvilcroft::matrix
