#ifndef ANVILCROFT_MEMBERS_API_H_
#define ANVILCROFT_MEMBERS_API_H_

// GET /v1/members for operators: the members in the roster of the answering instance, with that
// instance's own life-cycle state, lease and age of its last confirmation by the table service.

#include <functional>
#include <string>
#include <vector>

#include "anvilcroft/cluster_view.h"
#include "anvilcroft/http_router.h"

namespace anvilcroft {

class MembersApi {
 public:
  struct Hooks {
    std::function<std::string()> state;  // name of the life-cycle state
    std::function<std::vector<std::string>(TimePoint now)> in_contact;
    std::function<Duration(TimePoint now)> lease_remaining;
    std::function<int64_t(TimePoint now)> confirmed_age_ms;  // -1: never confirmed
  };

  MembersApi(ClusterView view, Hooks hooks);

  void RegisterRoutes(HttpRouter& router);

 private:
  HttpResponse BuildResponse() const;

  ClusterView view;
  Hooks hooks;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_MEMBERS_API_H_
