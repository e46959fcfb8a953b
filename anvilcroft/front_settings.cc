#include "anvilcroft/front_settings.h"

#include <utility>

#include "anvilcroft/input_file.h"
#include "anvilcroft/settings_loader.h"
#include "anvilcroft/settings_reader.h"
#include "anvilcroft/yaml_tree.h"

namespace anvilcroft {

FrontSettings::Builder& FrontSettings::Builder::SetInstanceId(std::string value) {
  this->settings.instance_id = std::move(value);
  return *this;
}

FrontSettings::Builder& FrontSettings::Builder::SetZone(std::string value) {
  this->settings.zone = std::move(value);
  return *this;
}

FrontSettings::Builder& FrontSettings::Builder::SetRegion(std::string value) {
  this->settings.region = std::move(value);
  return *this;
}

FrontSettings::Builder& FrontSettings::Builder::SetFrontAddress(Endpoint value) {
  this->settings.front_address = std::move(value);
  return *this;
}

FrontSettings::Builder& FrontSettings::Builder::SetDirectoryAddress(Endpoint value) {
  this->settings.directory_address = std::move(value);
  return *this;
}

FrontSettings::Builder& FrontSettings::Builder::SetReadyAddress(Endpoint value) {
  this->settings.ready_address = std::move(value);
  return *this;
}

FrontSettings::Builder& FrontSettings::Builder::SetMetricsAddress(Endpoint value) {
  this->settings.metrics_address = std::move(value);
  return *this;
}

FrontSettings::Builder& FrontSettings::Builder::SetStoreAddress(Endpoint value) {
  this->settings.store_address = std::move(value);
  return *this;
}

FrontSettings::Builder& FrontSettings::Builder::SetStoreWritesPerS(double value) {
  this->settings.store_writes_per_s = value;
  return *this;
}

FrontSettings::Builder& FrontSettings::Builder::SetStoreReadsPerS(double value) {
  this->settings.store_reads_per_s = value;
  return *this;
}

FrontSettings::Builder& FrontSettings::Builder::SetCpuShare(double value) {
  this->settings.cpu_share = value;
  return *this;
}

FrontSettings::Builder& FrontSettings::Builder::SetLogLevel(LogLevel value) {
  this->settings.log_level = value;
  return *this;
}

FrontSettings::Builder& FrontSettings::Builder::SetGracePeriod(Duration value) {
  this->settings.grace_period = value;
  return *this;
}

FrontSettings::Builder& FrontSettings::Builder::SetAddressTtl(Duration value) {
  this->settings.address_ttl = value;
  return *this;
}

FrontSettings::Builder& FrontSettings::Builder::SetOwnerLease(Duration value) {
  this->settings.owner_lease = value;
  return *this;
}

FrontSettings::Builder& FrontSettings::Builder::SetCancelBound(Duration value) {
  this->settings.cancel_bound = value;
  return *this;
}

FrontSettings::Builder& FrontSettings::Builder::SetLimits(ProcessLimits value) {
  this->settings.limits = value;
  return *this;
}

FrontSettings::Builder& FrontSettings::Builder::SetCloud(std::optional<CloudSettings> value) {
  this->settings.cloud = std::move(value);
  return *this;
}

FrontSettings::Builder& FrontSettings::Builder::SetEnginesPerSlice(int value) {
  this->settings.engines_per_slice = value;
  return *this;
}

namespace {

std::optional<CloudSettings> ReadCloud(SettingsReader& reader) {
  const auto address = reader.Address("cloud.address", false, false);
  if (!address) return std::nullopt;
  const CloudSettings defaults;
  CloudSettings cloud;
  cloud.address = *address;
  cloud.calls_per_s = reader.Real("cloud.calls_per_s", defaults.calls_per_s, 0.01, 1e6);
  cloud.report_usage = reader.Contains("cloud.duties", "usage_report");
  cloud.order_engines = reader.Contains("cloud.duties", "autoscale");
  cloud.checks_fencing = reader.Bool("cloud.checks_fencing", defaults.checks_fencing);
  cloud.usage_window = reader.Seconds("cloud.usage_window_s", defaults.usage_window, 0.1, 86400);
  cloud.usage_due = reader.Seconds("cloud.usage_due_s", defaults.usage_due, 0.1, 86400);
  return cloud;
}

ProcessLimits ReadLimits(SettingsReader& reader) {
  ProcessLimits limits;
  const double memory_mb = reader.Real("limits.memory_mb", 0, 32, 1e6);
  if (memory_mb > 0) limits.memory_bytes = static_cast<std::size_t>(memory_mb * 1e6);
  const double descriptors = reader.Real("limits.max_descriptors", 0, 64, 1e7);
  if (descriptors > 0) limits.max_descriptors = static_cast<std::size_t>(descriptors);
  return limits;
}

}  // namespace

FrontSettingsResult ParseFrontSettings(std::string_view text, const std::string& name) {
  const auto tree = ParseYaml(text);
  if (!tree) {
    return tl::unexpected<std::vector<SettingsProblem>>({SettingsProblem{
        name, tree.error().line, "", tree.error().message, "a YAML map of settings"}});
  }
  const FrontSettings defaults;
  SettingsReader reader(*tree, name,
                        {"instance_id",
                         "zone",
                         "region",
                         "cpu_share",
                         "store_reads_per_s",
                         "store_writes_per_s",
                         "log_level",
                         "address",
                         "address.front",
                         "address.directory",
                         "address.ready",
                         "address.metrics",
                         "address.store",
                         "timing",
                         "timing.grace_s",
                         "timing.address_ttl_s",
                         "timing.owner_lease_ms",
                         "timing.cancel_ms",
                         "limits",
                         "limits.memory_mb",
                         "limits.max_descriptors",
                         "cloud",
                         "cloud.address",
                         "cloud.calls_per_s",
                         "cloud.duties",
                         "cloud.checks_fencing",
                         "cloud.usage_window_s",
                         "cloud.usage_due_s",
                         "fleet",
                         "fleet.engines_per_slice"},
                        {"address", "timing", "limits", "cloud", "fleet"});
  const auto address = [&reader](const char* key) {
    return reader.Address(key, true).value_or(Endpoint());
  };
  FrontSettings::Builder builder;
  builder.SetInstanceId(reader.Name("instance_id", true))
      .SetZone(reader.Name("zone", true))
      .SetRegion(reader.Name("region", false))
      .SetFrontAddress(address("address.front"))
      .SetDirectoryAddress(address("address.directory"))
      .SetReadyAddress(address("address.ready"))
      .SetMetricsAddress(address("address.metrics"))
      .SetStoreAddress(address("address.store"))
      .SetCpuShare(reader.Real("cpu_share", defaults.CpuShare(), 0.001, 1024))
      .SetStoreWritesPerS(reader.Real("store_writes_per_s", defaults.StoreWritesPerS(), 1, 1e9))
      .SetStoreReadsPerS(reader.Real("store_reads_per_s", defaults.StoreReadsPerS(), 0, 1e9))
      .SetLogLevel(reader.Level("log_level", defaults.MinimumLogLevel()))
      .SetGracePeriod(reader.Seconds("timing.grace_s", defaults.GracePeriod(), 1, 86400))
      .SetAddressTtl(reader.Seconds("timing.address_ttl_s", defaults.AddressTtl(), 0.1, 3600))
      .SetOwnerLease(reader.Millis("timing.owner_lease_ms", defaults.OwnerLease(), 1000, 600000))
      .SetCancelBound(reader.Millis("timing.cancel_ms", defaults.CancelBound(), 1000, 600000))
      .SetLimits(ReadLimits(reader))
      .SetCloud(ReadCloud(reader))
      .SetEnginesPerSlice(static_cast<int>(
          reader.Real("fleet.engines_per_slice", defaults.EnginesPerSlice(), 0, 100000)));
  auto problems = reader.TakeProblems();
  if (!problems.empty()) return tl::unexpected<std::vector<SettingsProblem>>(std::move(problems));
  return builder.Build();
}

FrontSettingsResult LoadFrontSettings(const std::string& path) {
  const auto text = ReadInputFile(path, kMaxSettingsBytes);
  if (!text) {
    return tl::unexpected<std::vector<SettingsProblem>>(
        {SettingsProblem{path, 0, "", text.error().message, "a readable settings file"}});
  }
  return ParseFrontSettings(*text, path);
}

}  // namespace anvilcroft
