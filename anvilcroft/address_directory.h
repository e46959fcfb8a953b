#ifndef ANVILCROFT_ADDRESS_DIRECTORY_H_
#define ANVILCROFT_ADDRESS_DIRECTORY_H_

// Tells callers which instances to connect to: GET /v1/addresses?service=S&zone=Z&caller=C.

#include <cstddef>
#include <string>
#include <vector>

#include "anvilcroft/cluster_view.h"
#include "anvilcroft/http_router.h"
#include "anvilcroft/member.h"
#include "anvilcroft/roster.h"

namespace anvilcroft {

// Up to `count` serving members, those of `zone` first, in an order that depends on `caller`, so
// that callers spread. If there are members in other zones, the last place goes to one of them: a
// caller must not depend on one zone.
std::vector<Member> PickAddresses(const Roster& roster, const std::string& zone,
                                  const std::string& caller, std::size_t count);

class AddressDirectory {
 public:
  static constexpr std::size_t kMaxAddresses = 4;

  AddressDirectory(ClusterView view, Duration ttl);

  void RegisterRoutes(HttpRouter& router);

 private:
  HttpResponse Answer(const HttpRequest& request);

  ClusterView view;
  Duration ttl;
  uint64_t unnamed_callers = 0;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ADDRESS_DIRECTORY_H_
