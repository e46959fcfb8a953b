#include "anvilcroft/address_directory.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/hash.h"
#include "anvilcroft/json.h"

namespace anvilcroft {

std::vector<Member> PickAddresses(const Roster& roster, const std::string& zone,
                                  const std::string& caller, std::size_t count) {
  const std::vector<Member> ordered = roster.Preferred("caller/" + caller, roster.Members().size());
  std::vector<Member> near;
  std::vector<Member> far;
  for (const Member& member : ordered) (member.Zone() == zone ? near : far).push_back(member);
  std::vector<Member> picked;
  const std::size_t reserved = far.empty() || count < 2 ? 0 : 1;
  for (std::size_t i = 0; i < near.size() && picked.size() + reserved < count; ++i) {
    picked.push_back(near[i]);
  }
  for (std::size_t i = 0; i < far.size() && picked.size() < count; ++i) picked.push_back(far[i]);
  return picked;
}

AddressDirectory::AddressDirectory(ClusterView view, Duration ttl)
    : view(std::move(view)), ttl(ttl) {}

void AddressDirectory::RegisterRoutes(HttpRouter& router) {
  router.Add("GET", "/v1/addresses",
             [this](Task& task, const HttpRequest& request, const PathParts&, HttpReply& reply) {
               reply.Send(task, this->BuildResponse(request));
             });
}

HttpResponse AddressDirectory::BuildResponse(const HttpRequest& request) {
  const std::string service = request.QueryValue("service");
  if (!service.empty() && this->view.config()->FindService(service) == nullptr) {
    return ErrorResponse(Error{ErrorCode::kNotFound, "no such service", service, Ran::kNo});
  }
  std::string caller = request.QueryValue("caller");
  if (caller.empty()) caller = this->view.self + "/" + std::to_string(++this->unnamed_callers);
  const auto roster = this->view.roster();
  nlohmann::json addresses = nlohmann::json::array();
  for (const Member& member :
       PickAddresses(*roster, request.QueryValue("zone"), caller, kMaxAddresses)) {
    addresses.push_back(
        {{"instance", member.Id()}, {"address", member.ApiAddress()}, {"zone", member.Zone()}});
  }
  if (addresses.empty()) {
    return ErrorResponse(
        Error{ErrorCode::kNotReady, "the roster contains no serving instance", "", Ran::kNo});
  }
  return JsonResponse(200, DumpJson({{"addresses", addresses}, {"ttl_ms", ToMillis(this->ttl)}}));
}

}  // namespace anvilcroft
