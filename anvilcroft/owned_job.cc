#include "anvilcroft/owned_job.h"

#include <string_view>

namespace anvilcroft {

const ServiceRoute* RouteOf(const RouteTable& routes, const BatchHead& head,
                            const BatchItem& item) {
  const std::string_view path = item.path;
  return routes.Match(head.host, path.substr(0, path.find('?')));
}

bool TextAllowed(const OwnedItem& item, const BatchHead& head, const ServiceRoute& route) {
  return item.text.VersionsAllowed(head.min_version, route.single_version);
}

}  // namespace anvilcroft
