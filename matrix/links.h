#ifndef MATRIX_LINKS_H_
#define MATRIX_LINKS_H_

// TCP relays (`fakes link`) in front of the table service and of every target of a site.

#include <map>
#include <memory>
#include <string>

#include "fakes/local_cluster.h"

namespace anvilcroft::matrix {

struct Link {
  std::string address;  // "ip:port" to connect to
  std::string control;  // "ip:port" of its control API
  std::unique_ptr<fakes::ChildProcess> process;
};

// Links by the id of the process that they relay to; the id of the table service is "table".
using Links = std::map<std::string, Link>;

// Starts links and then `instances` instances at a site that was started without instances, so that
// all their connections to the table service and to the targets pass through links. Fails with the
// error of the process that did not start.
Result<Links> StartInstancesBehindLinks(fakes::LocalCluster& cluster, int instances);

}  // namespace anvilcroft::matrix

#endif  // MATRIX_LINKS_H_
