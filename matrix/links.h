#ifndef MATRIX_LINKS_H_
#define MATRIX_LINKS_H_

// Relays (`fakes link`) in front of the table service and of every target of a site.

#include <map>
#include <memory>
#include <string>

#include "fakes/local_cluster.h"

namespace anvilcroft::matrix {

struct Link {
  std::string address;
  std::string control;
  std::unique_ptr<fakes::ChildProcess> process;
};

// Links by the id of the process behind them; the table service is "table".
using Links = std::map<std::string, Link>;

// Starts `instances` instances at a site that was started without any, so that all their
// connections to the table service and to the targets pass through links.
Result<Links> StartInstancesBehindLinks(fakes::LocalCluster& cluster, int instances);

}  // namespace anvilcroft::matrix

#endif  // MATRIX_LINKS_H_
