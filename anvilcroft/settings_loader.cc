#include "anvilcroft/settings_loader.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/input_file.h"
#include "anvilcroft/settings_reader.h"
#include "anvilcroft/yaml_tree.h"

namespace anvilcroft {
namespace {

constexpr std::size_t kMaxSeeds = 64;

// The paths of all keys that are allowed, including those of sections.
const std::vector<std::string>& KnownKeys() {
  static const std::vector<std::string> keys = {"instance_id",
                                                "zone",
                                                "region",
                                                "api_address",
                                                "peer_address",
                                                "platform",
                                                "platform.table",
                                                "platform.objects",
                                                "platform.instances",
                                                "seeds",
                                                "log",
                                                "log.level",
                                                "log.tracing",
                                                "timing",
                                                "timing.stop_limit_s",
                                                "timing.address_ttl_s",
                                                "timing.lease_s",
                                                "timing.lease_renewal_s",
                                                "timing.head_poll_s",
                                                "timing.instance_list_poll_s"};
  return keys;
}

void CheckAddresses(SettingsReader& reader, const std::optional<Endpoint>& api,
                    const std::optional<Endpoint>& peer,
                    const std::vector<std::pair<Endpoint, int>>& seeds) {
  if (api && peer && *api == *peer && api->port != 0) {
    reader.Report(reader.LineOf("peer_address"), "peer_address", "\"" + peer->ToString() + "\"",
                  "an address other than api_address");
  }
  std::map<Endpoint, int> first_lines;
  for (const auto& [seed, line] : seeds) {
    const std::string found = "\"" + seed.ToString() + "\"";
    if (peer && seed == *peer) {
      reader.Report(line, "seeds", found, "addresses of other instances, not peer_address");
    }
    const auto [first, is_first] = first_lines.emplace(seed, line);
    if (!is_first) {
      reader.Report(
          line, "seeds", found,
          "each address once; it is already listed on line " + std::to_string(first->second));
    }
  }
}

}  // namespace

SettingsResult ParseSettings(std::string_view text, const std::string& name) {
  const auto failure = [&](int line, std::string found, std::string expected) {
    return tl::unexpected<std::vector<SettingsProblem>>(
        {SettingsProblem{name, line, "", std::move(found), std::move(expected)}});
  };
  if (text.size() > kMaxSettingsBytes) {
    return failure(0, "a larger file", "at most " + std::to_string(kMaxSettingsBytes) + " bytes");
  }
  const auto tree = ParseYaml(text);
  if (!tree) return failure(tree.error().line, tree.error().message, "a YAML map of settings");

  const Settings defaults;
  SettingsReader reader(*tree, name, KnownKeys(), {"platform", "log", "timing"});
  Settings::Builder builder;
  builder.SetInstanceId(reader.Name("instance_id", true))
      .SetZone(reader.Name("zone", true))
      .SetRegion(reader.Name("region", false));
  const auto api = reader.Address("api_address", true);
  const auto peer = reader.Address("peer_address", true);
  const auto seeds = reader.Addresses("seeds", kMaxSeeds);
  const auto to_text = [](const std::optional<Endpoint>& address) {
    return address ? address->ToString() : "";
  };
  std::vector<std::string> seed_texts;
  for (const auto& seed : seeds) seed_texts.push_back(seed.first.ToString());
  builder.SetApiAddress(to_text(api))
      .SetPeerAddress(to_text(peer))
      .SetSeeds(std::move(seed_texts))
      .SetTableAddress(to_text(reader.Address("platform.table", false)))
      .SetObjectAddress(to_text(reader.Address("platform.objects", false)))
      .SetInstanceListAddress(to_text(reader.Address("platform.instances", false)))
      .SetLogLevel(reader.Level("log.level", defaults.MinimumLogLevel()))
      .SetTracing(reader.Bool("log.tracing", defaults.Tracing()));

  // Work that requires the lease stops 3 s before it expires, so a lease shorter than 5 s would be
  // of no use. Polling the head row less often than every 3 s would exceed the time limit for
  // applying a new configuration.
  const Duration lease = reader.Seconds("timing.lease_s", defaults.LeaseDuration(), 5, 3600);
  const Duration renewal =
      reader.Seconds("timing.lease_renewal_s", defaults.LeaseRenewal(), 0.1, 1200);
  builder.SetLeaseDuration(lease)
      .SetLeaseRenewal(renewal)
      .SetStopLimit(reader.Seconds("timing.stop_limit_s", defaults.StopLimit(), 0, 86400))
      .SetAddressTtl(reader.Seconds("timing.address_ttl_s", defaults.AddressTtl(), 0.1, 3600))
      .SetHeadPoll(reader.Seconds("timing.head_poll_s", defaults.HeadPoll(), 0.1, 3))
      .SetInstanceListPoll(
          reader.Seconds("timing.instance_list_poll_s", defaults.InstanceListPoll(), 0.1, 60));

  if (renewal * 3 > lease && !reader.HasProblem("timing.lease_s") &&
      !reader.HasProblem("timing.lease_renewal_s")) {
    const auto text_of = [](Duration duration) {
      return FormatDecimal(static_cast<double>(ToMillis(duration)) / 1000);
    };
    reader.Report(
        std::max(reader.LineOf("timing.lease_renewal_s"), reader.LineOf("timing.lease_s")),
        "timing.lease_renewal_s", "\"" + text_of(renewal) + "\"",
        "at most a third of lease_s, which is " + text_of(lease));
  }
  CheckAddresses(reader, api, peer, seeds);

  auto problems = reader.TakeProblems();
  if (!problems.empty()) return tl::unexpected<std::vector<SettingsProblem>>(std::move(problems));
  return builder.Build();
}

SettingsResult LoadSettings(const std::string& path) {
  const auto text = ReadInputFile(path, kMaxSettingsBytes);
  if (!text) {
    return tl::unexpected<std::vector<SettingsProblem>>({SettingsProblem{
        path, 0, "",
        text.error().code == ErrorCode::kTooLarge ? "a larger file" : "a file that cannot be read",
        "a settings file of at most " + std::to_string(kMaxSettingsBytes) + " bytes"}});
  }
  return ParseSettings(*text, path);
}

}  // namespace anvilcroft
