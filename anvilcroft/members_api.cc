#include "anvilcroft/members_api.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/json.h"

namespace anvilcroft {

MembersApi::MembersApi(ClusterView view, Hooks hooks)
    : view(std::move(view)), hooks(std::move(hooks)) {}

void MembersApi::RegisterRoutes(HttpRouter& router) {
  router.Add("GET", "/v1/members",
             [this](Task& task, const HttpRequest&, const PathParts&, HttpReply& reply) {
               reply.Send(task, this->BuildResponse());
             });
}

HttpResponse MembersApi::BuildResponse() const {
  using nlohmann::json;
  const TimePoint now = SteadyNow();
  const auto connected = this->hooks.in_contact(now);
  const auto roster = this->view.roster();
  json members = json::array();
  for (const Member& member : roster->Members()) {
    json item = EncodeMember(member);
    item["in_contact"] =
        member.Id() == this->view.self ||
        std::find(connected.begin(), connected.end(), member.Id()) != connected.end();
    members.push_back(std::move(item));
  }
  const auto may_serve = this->view.may_serve(now);
  const int64_t remaining = ToMillis(this->hooks.lease_remaining(now));
  const json body = {{"instance", this->view.self},
                     {"zone", this->view.zone},
                     {"state", this->hooks.state()},
                     {"epoch", this->view.epoch()},
                     {"serving", may_serve ? "yes" : ErrorCodeName(may_serve.error().code)},
                     {"peers_in_contact", connected},
                     {"lease_remaining_ms", std::max<int64_t>(0, remaining)},
                     {"confirmed_age_ms", this->hooks.confirmed_age_ms(now)},
                     {"roster_version", roster->Version()},
                     {"members", std::move(members)}};
  return JsonResponse(200, DumpJson(body));
}

}  // namespace anvilcroft
