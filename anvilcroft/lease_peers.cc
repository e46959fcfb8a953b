#include "anvilcroft/lease_peers.h"

#include <utility>

namespace anvilcroft {

std::optional<OwnerRecord> LeasePeers::FindLaterRecord(Task& task, int64_t term) {
  for (const std::string& address : this->addresses()) {
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint) continue;  // the instance published no usable internal address
    const CallOptions options =
        CallOptions(SteadyNow() + kCallTimeout, kCallTimeout).WithConnectTimeout(kCallTimeout);
    const auto answer =
        this->http.Call(task, *endpoint, HttpRequest::Builder().SetTarget(kPath).Build(), options);
    if (!answer || answer->Status() != 200) continue;
    auto record = DecodeOwner(answer->Body());
    if (record && record->term > term) return std::move(*record);
  }
  return std::nullopt;
}

}  // namespace anvilcroft
