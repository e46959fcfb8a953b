#include "anvilcroft/lease_peers.h"

#include <utility>

#include "anvilcroft/log.h"
#include "anvilcroft/tcp_probe.h"

namespace anvilcroft {

std::optional<OwnerRecord> LeasePeers::FindLaterRecord(Task& task, int64_t term) {
  for (const std::string& address : this->addresses()) {
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint) continue;  // the instance published no usable internal address
    const CallOptions options =
        CallOptions(SteadyNow() + kCallTimeout, kCallTimeout).WithConnectTimeout(kCallTimeout);
    const auto answer = this->http.Call(
        task, *endpoint, HttpRequest::Builder().SetTarget(SlicePath(kPath, this->slice)).Build(),
        options);
    if (!answer || answer->Status() != 200) continue;
    auto record = DecodeOwner(answer->Body());
    if (record && record->term > term) return std::move(*record);
  }
  return std::nullopt;
}

HandoverAnswer LeasePeers::OfferLease(Task& task, const OwnerHandover& handover) {
  const std::string body = EncodeHandover(handover);
  std::size_t offers = 0;
  for (const std::string& address : this->addresses()) {
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint) continue;  // the instance published no usable internal address
    if (offers++ == kMaxOffers) break;
    const auto answer = this->http.Call(
        task, *endpoint,
        HttpRequest::Builder()
            .SetMethod("POST")
            .SetTarget(SlicePath(kOfferPath, this->slice))
            .SetBody(body)
            .Build(),
        CallOptions(SteadyNow() + kOfferTimeout, kOfferTimeout).WithConnectTimeout(kCallTimeout));
    if (!answer && answer.error().ran == Ran::kNo) continue;
    const HandoverAnswer outcome =
        answer ? HandoverAnswerFor(answer->Status()) : HandoverAnswer::kUnknown;
    LogInfo("lease", "offered the lease to another instance",
            {{"address", address},
             {"texts", std::to_string(handover.texts.size())},
             {"status", answer ? std::to_string(answer->Status()) : "none"},
             {"error", answer ? "" : answer.error().message}});
    if (outcome != HandoverAnswer::kDeclined) return outcome;
  }
  return HandoverAnswer::kDeclined;
}

bool LeasePeers::HasEnded(Task& task, const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  return endpoint && RefusesConnections(task, *endpoint, SteadyNow() + kCallTimeout);
}

}  // namespace anvilcroft
