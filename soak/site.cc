#include "soak/site.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "fakes/free_address.h"

namespace anvilcroft::soak {
namespace {

using nlohmann::json;

constexpr char kSecondService[] = "other";
constexpr Duration kRegistrationInterval = milliseconds(200);  // of a target's entry

json Route(const std::string& name, const std::string& kind, const std::string& service) {
  return {{"Name", name},       {"Host", Site::kHost}, {"Prefix", "/" + name + "/"},
          {"Kind", kind},       {"TimeoutMs", 3000},   {"TargetLatencyMs", 300},
          {"Service", service}, {"MaxAttempts", 3},    {"Resumable", kind == "stream"}};
}

// Divides the requests of `route`: all to the first service, or with one of two splits.
void DivideRoute(json& route, int64_t version) {
  if (version % 3 == 0) return;
  route.erase("Service");
  route["TrafficSplit"] = {{{"Service", kSecondService}, {"Weight", version % 3 == 1 ? 25 : 0}},
                           {{"Service", "model"}, {"Weight", 75}}};
}

}  // namespace

Site::Site(Runtime& runtime, SiteOptions options)
    : runtime(runtime), options(std::move(options)), store(runtime) {}

Result<void> Site::Start() {
  const auto store_address = this->store.Start();
  if (!store_address) return tl::unexpected<Error>(store_address.error());
  const auto add = [this](auto& list, const std::string& id, const std::string& service,
                          const std::string& model) -> Result<void> {
    list.push_back(std::make_unique<fakes::PlatformEngine>(this->runtime, id, model));
    const auto started = list.back()->Start();
    if (!started) return tl::unexpected<Error>(started.error());
    if (!this->options.link_targets) {
      this->SpawnRegistration(*list.back(), service, *started);
      return {};
    }
    auto link = fakes::FakeLink::Builder(this->runtime).SetTarget(*ParseEndpoint(*started)).Build();
    const auto link_address = link->Start();
    if (!link_address) return tl::unexpected<Error>(link_address.error());
    this->target_links.push_back(std::move(link));
    this->target_addresses.push_back(*link_address);
    this->SpawnRegistration(*list.back(), service, *link_address);
    return {};
  };
  for (int i = 0; i < this->options.engines; ++i) {
    const bool other = this->options.split_routes && i + 1 == this->options.engines;
    if (auto added = add(this->engines, "i-model-" + std::to_string(i),
                         other ? kSecondService : "model", kModel);
        !added) {
      return added;
    }
    this->engines.back()->events_per_item = 40;
    this->engines.back()->event_time = milliseconds(10);
  }
  for (int i = 0; i < this->options.apps; ++i) {
    if (auto added = add(this->apps, "i-app-" + std::to_string(i), "app", ""); !added) return added;
  }
  this->WriteConfiguration(3);
  for (int i = 0; i < this->options.instances; ++i) {
    SoakInstance instance;
    instance.id = "n-" + std::to_string(i);
    instance.front = fakes::FreeAddress();
    instance.ready = fakes::FreeAddress();
    instance.directory = fakes::FreeAddress();
    instance.internal = fakes::FreeAddress();
    instance.settings_file = this->options.directory + "/" + instance.id + ".yaml";
    instance.log_file = this->options.directory + "/" + instance.id + ".log";
    const auto store_view = this->StartTargetLinks(instance);
    if (!store_view) return tl::unexpected<Error>(store_view.error());
    instance.store_link = fakes::FakeLink::Builder(this->runtime)
                              .SetTarget(*ParseEndpoint(*store_view))
                              .SetDelay(milliseconds(2), milliseconds(2))
                              .SetSeed(static_cast<uint64_t>(i) + 1)
                              .Build();
    const auto link = instance.store_link->Start();
    if (!link) return tl::unexpected<Error>(link.error());
    std::ofstream(instance.settings_file)
        << "instance_id: " << instance.id << "\nzone: a\nregion: r\ncpu_share: 0.5\n"
        << "log_level: info\naddress:\n  front: \"" << instance.front << "\"\n  directory: \""
        << instance.directory << "\"\n  ready: \"" << instance.ready << "\"\n  metrics: \""
        << instance.internal << "\"\n  store: \"" << *link
        << "\"\ntiming:\n  grace_s: 8\n  address_ttl_s: " << this->options.address_ttl_s
        << "\n  owner_lease_ms: 3000\n"
        << "  cancel_ms: 3000\n"
        << this->options.more_settings;
    this->instances.push_back(std::move(instance));
    if (auto started = this->StartProcess(this->instances.back()); !started) return started;
  }
  return {};
}

Result<std::string> Site::StartTargetLinks(SoakInstance& instance) {
  std::map<std::string, std::string> addresses;
  for (const std::string& target : this->target_addresses) {
    auto link = fakes::FakeLink::Builder(this->runtime).SetTarget(*ParseEndpoint(target)).Build();
    const auto address = link->Start();
    if (!address) return address;
    addresses[target] = *address;
    instance.target_links.push_back(std::move(link));
  }
  return this->store.AddView(std::move(addresses));
}

// Writes the entry of a target, and writes it again when it has changed.
void Site::SpawnRegistration(const fakes::PlatformEngine& target, const std::string& service,
                             const std::string& link_address) {
  this->runtime.Spawn([this, &target, service, link_address](Task& task) {
    std::string listed_id;
    std::string listed;
    while (true) {
      json entry = json::parse(target.RegistrationEntry(service, "a"));
      entry["Address"] = link_address;
      const std::string current = entry.dump();
      if (current != listed) this->store.Put("servers", target.Id(), current);
      if (!listed_id.empty() && listed_id != target.Id()) this->store.Remove("servers", listed_id);
      listed_id = target.Id();
      listed = current;
      SleepUntil(task, SteadyNow() + kRegistrationInterval);
    }
  });
}

Result<void> Site::StartProcess(SoakInstance& instance) {
  // The shell appends the log to a file; exec keeps the process id, so that signals reach
  // anvilcroft.
  auto process =
      fakes::ChildProcess::Start({"/bin/sh", "-c", "exec \"$0\" serve --settings \"$1\" >> \"$2\"",
                                  this->options.binary, instance.settings_file, instance.log_file},
                                 instance.log_file);
  if (!process) return tl::unexpected<Error>(process.error());
  instance.process = std::move(*process);
  instance.frozen = false;
  return {};
}

void Site::WriteConfiguration(int64_t version) {
  this->configuration_version = version;
  json routes = json::array({Route("lookup", "safe", "app"), Route("slip", "unsafe", "app"),
                             Route("draft", "stream", "model")});
  json rollout = Route("rollout", "rollout", "model");
  rollout["ResultTargetMs"] = 7500;
  rollout["ItemTtlS"] = 120;
  rollout["SingleVersion"] = this->options.single_version;
  routes.push_back(rollout);
  if (this->options.split_routes) {
    for (std::size_t i = routes.size() - 2; i < routes.size(); ++i) DivideRoute(routes[i], version);
  }
  for (int64_t extra = 4; extra <= version; ++extra) {
    routes.push_back(Route("extra" + std::to_string(extra), "safe", "app"));
  }
  json limits = {{"MaxHeaderBytes", 16384}, {"IdleTimeoutMs", 15000}};
  if (this->options.max_body_bytes > 0) limits["MaxBodyBytes"] = this->options.max_body_bytes;
  json services = json::array({{{"Name", "app"}, {"HealthPath", "/healthz"}}});
  for (const char* service : {"model", kSecondService}) {
    services.push_back({{"Name", service},
                        {"HealthPath", "/healthz"},
                        {"Engine", {{"Slots", 4}, {"Models", {{{"Name", kModel}}}}}}});
  }
  const json config = {
      {"Version", version}, {"Routes", routes}, {"Services", services}, {"Limits", limits}};
  this->store.Put("op", "config", config.dump());
}

void Site::WriteModelVersion(int64_t version) {
  this->store.Put("op", std::string("version/") + kModel,
                  json{{"Model", kModel}, {"Version", version}}.dump());
}

int Site::CountRuns(const std::string& id) const {
  int runs = 0;
  for (const auto* list : {&this->engines, &this->apps}) {
    for (const auto& target : *list) {
      runs += static_cast<int>(std::count(target->started.begin(), target->started.end(), id));
    }
  }
  return runs;
}

}  // namespace anvilcroft::soak
