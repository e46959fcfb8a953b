#include "fakes/local_cluster.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "fakes/sync_call.h"

namespace anvilcroft::fakes {
namespace {

constexpr int kStartTimeoutMillis = 20000;
constexpr std::size_t kMaxSeeds = 8;

// Returns the value of `key` in a line such as "listening api=A peer=B", or "" without the key.
std::string FieldValue(const std::string& line, const std::string& key) {
  const std::size_t at = line.find(key + "=");
  if (at == std::string::npos) return "";
  const std::size_t begin = at + key.size() + 1;
  return line.substr(begin, line.find(' ', begin) - begin);
}

}  // namespace

LocalCluster::LocalCluster(Options options) : options(std::move(options)) {
  std::string pattern = (std::filesystem::temp_directory_path() / "anvilcroft-XXXXXX").string();
  ANVILCROFT_CHECK(::mkdtemp(pattern.data()) != nullptr);
  this->folder = pattern;
}

LocalCluster::~LocalCluster() {
  this->instances.clear();
  this->engines.clear();
  this->apps.clear();
  this->platform.clear();
  if (this->options.keep_files) return;
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

Result<LocalCluster::Node> LocalCluster::StartFake(const std::string& id, const std::string& zone,
                                                   std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), this->options.fakes_binary);
  auto process = ChildProcess::Start(arguments, this->PathOf(id + ".log"));
  if (!process) return tl::unexpected<Error>(process.error());
  const auto line = (*process)->ReadLine(kStartTimeoutMillis);
  if (!line) return tl::unexpected<Error>(line.error().WithPart(id));
  return Node{id, zone, line->substr(line->find(' ') + 1), "", std::move(*process)};
}

Result<void> LocalCluster::StartPlatform() {
  for (const char* name : {"table", "objects", "instances", "weights", "judge"}) {
    std::vector<std::string> arguments = {name};
    if (arguments[0] == "weights") {
      arguments.insert(
          arguments.end(),
          {"--downloads-per-second", std::to_string(this->options.weight_downloads_per_second)});
    }
    auto node = this->StartFake(name, this->options.site.zones[0], arguments);
    if (!node) return tl::unexpected<Error>(node.error());
    this->platform.emplace(name, std::move(*node));
  }
  return {};
}

Result<void> LocalCluster::StartTargets() {
  const Site& site = this->options.site;
  const auto add_target = [&](const Node& node, const char* kind, const std::string& service) {
    return SyncJson(this->Platform("instances").address, "POST", "/control/put",
                    {{"id", node.id},
                     {"kind", kind},
                     {"service", service},
                     {"address", node.address},
                     {"zone", node.zone},
                     {"state", "live"}})
        .map([](const nlohmann::json&) {});
  };
  for (int i = 0; i < site.model_engines; ++i) {
    const std::string id = "engine-" + std::to_string(i);
    const std::string zone = site.zones[i % site.zones.size()];
    std::vector<std::string> arguments = {"engine",
                                          "--id",
                                          id,
                                          "--zone",
                                          zone,
                                          "--service",
                                          site.model_service,
                                          "--seed",
                                          std::to_string(i + 1),
                                          "--tokens-per-second",
                                          std::to_string(this->options.tokens_per_second),
                                          "--batch-size",
                                          std::to_string(this->options.batch_size),
                                          "--weight-store",
                                          this->Platform("weights").address};
    // Some engines of the platform ignore fencing tokens; here every fourth one does.
    if (i % 4 == 3) arguments.emplace_back("--ignore-fencing");
    arguments.insert(arguments.end(), this->options.engine_arguments.begin(),
                     this->options.engine_arguments.end());
    auto node = this->StartFake(id, zone, arguments);
    if (!node) return tl::unexpected<Error>(node.error());
    if (const auto put = add_target(*node, "model_engine", site.model_service); !put) return put;
    this->engines.push_back(std::move(*node));
  }
  for (int i = 0; i < site.app_engines; ++i) {
    auto node =
        this->StartFake("app-" + std::to_string(i), site.zones[i % site.zones.size()], {"app"});
    if (!node) return tl::unexpected<Error>(node.error());
    if (const auto put = add_target(*node, "app_engine", site.app_service); !put) return put;
    this->apps.push_back(std::move(*node));
  }
  return add_target(this->Platform("judge"), "judge", site.judge_service);
}

std::string LocalCluster::SettingsText(const std::string& id, const std::string& zone) const {
  std::ostringstream text;
  text << "instance_id: " << id << "\nzone: " << zone << "\nregion: local\n"
       << "api_address: 127.0.0.1:0\npeer_address: 127.0.0.1:0\nplatform:\n";
  for (const char* name : {"table", "objects", "instances"}) {
    text << "  " << name << ": " << this->platform.at(name).address << "\n";
  }
  std::string seeds;
  for (std::size_t i = 0; i < this->instances.size() && i < kMaxSeeds; ++i) {
    seeds += (seeds.empty() ? "" : ", ") + this->instances[i].peer_address;
  }
  text << "seeds: [" << seeds << "]\n"
       << "timing:\n  address_ttl_s: " << this->options.address_ttl_s
       << "\n  lease_s: " << this->options.lease_s
       << "\n  lease_renewal_s: " << this->options.lease_renewal_s << "\n";
  return text.str();
}

Result<void> LocalCluster::AddInstance(const std::string& zone) {
  const std::string id = "instance-" + std::to_string(this->instances.size());
  const std::string file = this->PathOf(id + ".yaml");
  std::ofstream(file) << this->SettingsText(id, zone);
  auto process = ChildProcess::Start({this->options.anvilcroft_binary, "run", "--settings", file},
                                     this->PathOf(id + ".log"));
  if (!process) return tl::unexpected<Error>(process.error());
  const auto line = (*process)->ReadLine(kStartTimeoutMillis);
  if (!line) return Fail(ErrorCode::kNotReady, this->LogOf(id), id);
  this->instances.push_back(
      Node{id, zone, FieldValue(*line, "api"), FieldValue(*line, "peer"), std::move(*process)});
  return {};
}

Result<void> LocalCluster::Start() {
  if (const auto started = this->StartPlatform(); !started) return started;
  if (const auto started = this->StartTargets(); !started) return started;
  const auto& zones = this->options.site.zones;
  for (int i = 0; i < this->options.instances; ++i) {
    if (const auto started = this->AddInstance(zones[i % zones.size()]); !started) return started;
  }
  return {};
}

Result<std::unique_ptr<ChildProcess>> LocalCluster::StartTrainer(
    const std::vector<std::string>& arguments) {
  std::vector<std::string> command_line = {
      this->options.fakes_binary,       "trainer", "--service",
      this->options.site.model_service, "--judge", this->options.site.judge_service};
  std::string addresses;
  for (const std::string& address : this->Addresses()) {
    addresses += (addresses.empty() ? "" : ",") + address;
  }
  command_line.insert(command_line.end(), {"--instances", addresses});
  command_line.insert(command_line.end(), arguments.begin(), arguments.end());
  return ChildProcess::Start(command_line, this->PathOf("trainer.log"));
}

std::vector<std::string> LocalCluster::Addresses() const {
  std::vector<std::string> addresses;
  for (const Node& node : this->instances) addresses.push_back(node.address);
  return addresses;
}

std::string LocalCluster::LogOf(const std::string& id) const {
  std::ifstream in(this->PathOf(id + ".log"));
  return std::string(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
}

}  // namespace anvilcroft::fakes
