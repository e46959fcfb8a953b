#include "anvilcroft/target_table.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "anvilcroft/json.h"
#include "anvilcroft/log.h"
#include "anvilcroft/target_subset.h"
#include "anvilcroft/tcp_probe.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

constexpr char kPart[] = "targets";
constexpr std::size_t kMaxTargets = 100000;

HttpRequest Get(const std::string& target) {
  return HttpRequest::Builder().SetTarget(target).Build();
}

}  // namespace

TargetTable::TargetTable(Runtime& runtime, HttpClient& http, Endpoint instance_list,
                         ClusterView view, Duration poll_interval)
    : runtime(runtime),
      http(http),
      instance_list(std::move(instance_list)),
      view(std::move(view)),
      poll_interval(poll_interval) {}

void TargetTable::LogPhaseChange(const TargetState& state, TargetPhase from, TargetPhase to) {
  LogInfo(kPart, "target phase changed",
          {{"target", state.Description().Id()},
           {"from", TargetPhaseName(from)},
           {"to", TargetPhaseName(to)}});
}

void TargetTable::RecordReport(TargetState& state, const EngineReport& report,
                               TimePoint now) const {
  const bool was_unreachable = state.Unreachable();
  state.OnReport(report, now);
  if (was_unreachable && this->recovery_hook && !report.instance_start.empty()) {
    this->recovery_hook(RunId(state.Description().Id(), report.instance_start));
  }
}

void TargetTable::Start() {
  this->runtime.Spawn([this](Task& task) {
    while (true) {
      const TimePoint started = SteadyNow();
      this->PollList(task);
      SleepUntil(task, started + this->poll_interval);
    }
  });
  this->runtime.Spawn([this](Task& task) {
    while (true) {
      this->ProbeDueTargets();
      SleepUntil(task, SteadyNow() + kProbeScanInterval);
    }
  });
}

std::vector<Target> TargetTable::All() const {
  std::vector<Target> targets;
  targets.reserve(this->all.size());
  for (const auto& [id, target] : this->all) targets.push_back(target);
  return targets;
}

std::vector<std::shared_ptr<TargetState>> TargetTable::SubsetTargets(
    const std::string& service) const {
  const auto found = this->by_service.find(service);
  return found == this->by_service.end() ? std::vector<std::shared_ptr<TargetState>>()
                                         : found->second;
}

std::shared_ptr<TargetState> TargetTable::Find(const std::string& target_id) const {
  const auto found = this->subset.find(target_id);
  return found == this->subset.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<TargetState>> TargetTable::PartitionProbeTargets(
    const std::set<std::string>& excluded, TimePoint since, std::size_t count) const {
  std::vector<std::shared_ptr<TargetState>> responding;
  std::vector<std::shared_ptr<TargetState>> lost;
  for (const auto& [id, state] : this->subset) {
    const TargetPhase phase = state->Phase();
    // Other kinds of targets are probed by a connection only, which proves little: a broken link
    // may still accept a connection and then reset it.
    if (state->Description().Kind() != TargetKind::kModelEngine) continue;
    if (excluded.count(id) != 0 || phase == TargetPhase::kUnknown) continue;
    if (phase != TargetPhase::kLost) {
      responding.push_back(state);
    } else if (state->LostAt() >= since) {
      lost.push_back(state);
    }
  }
  responding.insert(responding.end(), lost.begin(), lost.end());
  if (responding.size() > count) responding.resize(count);
  return responding;
}

void TargetTable::ApplyReport(const EngineReport& report) {
  if (const auto state = this->Find(report.id)) this->RecordReport(*state, report, SteadyNow());
}

void TargetTable::RebuildSubset() {
  const auto roster = this->view.roster();
  const auto config = this->view.config();
  std::map<std::string, std::shared_ptr<TargetState>> kept;
  this->by_service.clear();
  for (const auto& [id, target] : this->all) {
    if (!InSubset(*roster, this->view.self, this->view.zone, target)) continue;
    const auto found = this->subset.find(id);
    // An entry with another address, service or kind under the same id is a new target.
    const bool same = found != this->subset.end() &&
                      found->second->Description().Address() == target.Address() &&
                      found->second->Description().Service() == target.Service() &&
                      found->second->Description().Kind() == target.Kind();
    const auto state =
        same ? found->second : std::make_shared<TargetState>(target, &LogPhaseChange);
    state->Update(target, config->Drained(id));
    kept.emplace(id, state);
    this->by_service[target.Service()].push_back(state);
  }
  // Requests in flight hold references to the states of targets that left the subset.
  this->subset = std::move(kept);
}

Result<void> TargetTable::Apply(const json& answer) {
  JsonFields fields(answer, "instances");
  const int64_t new_revision = fields.Integer("revision", 0, INT64_MAX);
  std::vector<Target> changed;
  for (const json& item : fields.Array("instances", kMaxTargets)) {
    auto target = DecodeTarget(item);
    if (!target) {
      // One malformed entry must not make the others unusable.
      LogWarning(kPart, "ignored a malformed entry of the instance list",
                 {{"part", target.error().part}, {"error", target.error().message}});
      continue;
    }
    changed.push_back(std::move(*target));
  }
  if (const auto read = fields.Finish(); !read) return read;
  if (new_revision < this->revision) {
    // The list lost its history, or another replica responded. The current targets stay in use, and
    // the next poll requests the full list.
    LogWarning(kPart, "the instance list returned an earlier revision; requesting the full list",
               {{"known", std::to_string(this->revision)}, {"got", std::to_string(new_revision)}});
    this->revision = 0;
    return {};
  }
  const bool full_list = this->revision == 0;
  if (full_list) this->all.clear();  // a full list replaces all targets
  this->revision = new_revision;
  for (Target& target : changed) {
    if (target.ListState() == Target::Listed::kGone) {
      this->all.erase(target.Id());
    } else {
      this->all.insert_or_assign(target.Id(), std::move(target));
    }
  }
  if (full_list || !changed.empty()) this->RebuildSubset();
  return {};
}

void TargetTable::PollList(Task& task) {
  const auto response = this->http.Call(
      task, this->instance_list, Get("/v1/instances?since=" + std::to_string(this->revision)),
      CallOptions(SteadyNow() + seconds(2)).WithResend());
  Result<void> outcome;
  if (!response) {
    outcome = tl::unexpected<Error>(response.error());
  } else if (response->Status() != 200) {
    outcome = Fail(ErrorCode::kBadResponse, "status " + std::to_string(response->Status()));
  } else if (const auto body = ParseJson(response->Body()); !body) {
    outcome = tl::unexpected<Error>(body.error());
  } else {
    outcome = this->Apply(*body);
  }
  if (!outcome && !this->list_failed) {
    LogWarning(kPart, "polling the instance list failed; the last list stays in use",
               {{"error", outcome.error().message}});
  }
  this->list_failed = !outcome;
}

void TargetTable::ProbeDueTargets() {
  const TimePoint now = SteadyNow();
  std::vector<std::shared_ptr<TargetState>> due;
  for (const auto& [id, state] : this->subset) {
    if (state->ProbeDue(now)) due.push_back(state);
  }
  for (const auto& state : due) {
    if (*this->active_probes >= kMaxProbes) return;
    state->BeginProbe(now);
    ++*this->active_probes;
    this->runtime.Spawn([this, state, running = this->active_probes](Task& task) {
      this->Probe(task, state);
      state->EndProbe(SteadyNow());
      --*running;
    });
  }
}

void TargetTable::Probe(Task& task, const std::shared_ptr<TargetState>& state) {
  const TimePoint deadline = SteadyNow() + kProbeTimeout;
  const Target target = state->Description();
  if (target.Kind() != TargetKind::kModelEngine) {
    const auto reached = ProbeConnection(task, target.Address(), deadline);
    if (reached) {
      state->OnAnswer();
    } else {
      state->OnLost(SteadyNow());
    }
    return;
  }
  const auto response = this->http.Call(task, target.Address(), Get("/v1/state"),
                                        CallOptions(deadline).WithFreshConnection());
  if (!response) {
    // Only a failed connection shows that the engine is down; silence leaves its state unknown.
    if (response.error().code == ErrorCode::kConnectFailed) state->OnLost(SteadyNow());
    return;
  }
  const auto body = ParseJson(response->Body());
  if (response->Status() != 200 || !body) return;
  const auto report = DecodeEngineReport(*body);
  if (!report || report->id != target.Id()) {
    LogWarning(kPart, "ignored a state report that is malformed or has another target's id",
               {{"target", target.Id()}});
    return;
  }
  this->RecordReport(*state, *report, SteadyNow());
}

std::string TargetTable::RenderTargets() const {
  const TimePoint now = SteadyNow();
  json list = json::array();
  for (const auto& [id, target] : this->all) {
    json entry = {{"id", id},
                  {"kind", TargetKindName(target.Kind())},
                  {"service", target.Service()},
                  {"address", target.Address().ToString()},
                  {"zone", target.Zone()},
                  {"working", false}};
    if (const auto state = this->Find(id)) {
      entry["working"] = true;
      entry["phase"] = TargetPhaseName(state->Phase());
      entry["eligible"] = state->Eligible(now);
      entry["in_flight"] = state->InFlight();
      entry["running"] = state->ReportedRunning();
      entry["waiting"] = state->ReportedWaiting();
      entry["weight_version"] = state->WeightVersion();
      entry["mean_latency_s"] = state->MeanLatency();
    }
    list.push_back(std::move(entry));
  }
  return DumpJson({{"revision", this->revision}, {"targets", list}});
}

void TargetTable::RegisterRoutes(HttpRouter& router) {
  router.Add("GET", "/v1/targets",
             [this](Task& task, const HttpRequest&, const PathParts&, HttpReply& reply) {
               reply.Send(task, JsonResponse(200, this->RenderTargets()));
             });
}

}  // namespace anvilcroft
