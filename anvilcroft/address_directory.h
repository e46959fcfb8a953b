#ifndef ANVILCROFT_ADDRESS_DIRECTORY_H_
#define ANVILCROFT_ADDRESS_DIRECTORY_H_

// Serves the addresses of the instances that a caller should connect to:
// GET /v1/addresses?service=S&zone=Z&caller=C.

#include <cstddef>
#include <string>
#include <vector>

#include "anvilcroft/cluster_view.h"
#include "anvilcroft/http_router.h"
#include "anvilcroft/member.h"
#include "anvilcroft/roster.h"

namespace anvilcroft {

// Returns up to `count` serving members, those of `zone` first. The order depends on `caller`,
// which spreads callers over the members. If there are members in other zones, the last place goes
// to one of them (unless `count` is 1), so that a caller does not depend on one zone.
std::vector<Member> PickAddresses(const Roster& roster, const std::string& zone,
                                  const std::string& caller, std::size_t count);

class AddressDirectory {
 public:
  static constexpr std::size_t kMaxAddresses = 4;

  // `ttl` is the time for which callers may cache a response.
  AddressDirectory(ClusterView view, Duration ttl);

  void RegisterRoutes(HttpRouter& router);

 private:
  HttpResponse BuildResponse(const HttpRequest& request);

  ClusterView view;
  Duration ttl;
  uint64_t unnamed_callers = 0;  // requests without a caller name, numbered to spread them
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ADDRESS_DIRECTORY_H_
