#include "anvilcroft/member.h"

#include <utility>

#include "anvilcroft/json.h"

namespace anvilcroft {

Member::Builder& Member::Builder::SetId(std::string id) {
  this->member.id = std::move(id);
  return *this;
}

Member::Builder& Member::Builder::SetZone(std::string zone) {
  this->member.zone = std::move(zone);
  return *this;
}

Member::Builder& Member::Builder::SetRegion(std::string region) {
  this->member.region = std::move(region);
  return *this;
}

Member::Builder& Member::Builder::SetApiAddress(std::string address) {
  this->member.api_address = std::move(address);
  return *this;
}

Member::Builder& Member::Builder::SetPeerAddress(std::string address) {
  this->member.peer_address = std::move(address);
  return *this;
}

Member::Builder& Member::Builder::SetEpoch(RowVersion epoch) {
  this->member.epoch = epoch;
  return *this;
}

Member::Builder& Member::Builder::SetState(State state) {
  this->member.state = state;
  return *this;
}

nlohmann::json EncodeMember(const Member& member) {
  return {{"id", member.Id()},
          {"zone", member.Zone()},
          {"region", member.Region()},
          {"api_address", member.ApiAddress()},
          {"peer_address", member.PeerAddress()},
          {"epoch", member.Epoch()},
          {"state", member.Serving() ? "serving" : "leaving"}};
}

Result<Member> DecodeMember(const nlohmann::json& value) {
  JsonFields fields(value, "member");
  Member::Builder builder;
  builder.SetId(fields.String("id"))
      .SetZone(fields.String("zone"))
      .SetRegion(fields.StringOr("region", ""))
      .SetApiAddress(fields.String("api_address"))
      .SetPeerAddress(fields.String("peer_address"))
      .SetEpoch(static_cast<RowVersion>(fields.IntegerOr("epoch", 0, 0, INT64_MAX)));
  const std::string state = fields.String("state");
  if (state == "leaving") {
    builder.SetState(Member::State::kLeaving);
  } else if (state != "serving") {
    fields.RecordError("state", "must be \"serving\" or \"leaving\"");
  }
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return builder.Build();
}

}  // namespace anvilcroft
