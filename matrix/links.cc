#include "matrix/links.h"

#include "fakes/sync_call.h"

namespace anvilcroft::matrix {
namespace {

constexpr int kStartMillis = 20000;

Result<Link> StartLink(const fakes::LocalCluster& cluster, const std::string& to) {
  auto process = fakes::ChildProcess::Start({cluster.Settings().fakes_binary, "link", "--to", to},
                                            "/dev/null");
  if (!process) return tl::unexpected<Error>(process.error());
  const auto line = (*process)->ReadLine(kStartMillis);
  if (!line) return tl::unexpected<Error>(line.error());
  // The line is "listening ADDRESS control ADDRESS".
  const std::string control = " control ";
  const std::size_t begin = line->find(' ') + 1;
  const std::size_t middle = line->find(control);
  return Link{line->substr(begin, middle - begin), line->substr(middle + control.size()),
              std::move(*process)};
}

}  // namespace

Result<Links> StartInstancesBehindLinks(fakes::LocalCluster& cluster, int instances) {
  Links links;
  const fakes::Site& site = cluster.Settings().site;
  for (auto* nodes : {&cluster.ModelEngines(), &cluster.AppEngines()}) {
    const bool model = nodes == &cluster.ModelEngines();
    for (const auto& node : *nodes) {
      auto link = StartLink(cluster, node.address);
      if (!link) return tl::unexpected<Error>(link.error());
      const auto put =
          fakes::SyncJson(cluster.Platform("instances").address, "POST", "/control/put",
                          {{"id", node.id},
                           {"kind", model ? "model_engine" : "app_engine"},
                           {"service", model ? site.model_service : site.app_service},
                           {"address", link->address},
                           {"zone", node.zone},
                           {"state", "live"}});
      if (!put) return tl::unexpected<Error>(put.error());
      links.emplace(node.id, std::move(*link));
    }
  }
  auto& table = cluster.Platform("table");
  auto link = StartLink(cluster, table.address);
  if (!link) return tl::unexpected<Error>(link.error());
  // The settings of the instances contain the address of the link; the harness connects directly.
  const std::string direct = table.address;
  table.address = link->address;
  links.emplace("table", std::move(*link));
  Result<void> started;
  for (int i = 0; i < instances && started; ++i) {
    started = cluster.AddInstance(site.zones[i % site.zones.size()]);
  }
  table.address = direct;
  if (!started) return tl::unexpected<Error>(started.error());
  return links;
}

}  // namespace anvilcroft::matrix
