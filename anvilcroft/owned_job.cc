#include "anvilcroft/owned_job.h"

namespace anvilcroft {

const ServiceRoute* RouteOf(const RouteTable& routes, const BatchHead& head,
                            const BatchItem& item) {
  return routes.Match(head.host, item.path.substr(0, item.path.find('?')));
}

bool TextAllowed(const OwnedItem& item, const BatchHead& head, const ServiceRoute& route) {
  return item.text.VersionsAllowed(head.min_version, route.single_version);
}

}  // namespace anvilcroft
