#include "anvilcroft/target.h"

#include <utility>

#include "anvilcroft/json.h"

namespace anvilcroft {

Target::Builder& Target::Builder::SetId(std::string id) {
  this->target.id = std::move(id);
  return *this;
}

Target::Builder& Target::Builder::SetKind(TargetKind kind) {
  this->target.kind = kind;
  return *this;
}

Target::Builder& Target::Builder::SetService(std::string service) {
  this->target.service = std::move(service);
  return *this;
}

Target::Builder& Target::Builder::SetAddress(Endpoint address) {
  this->target.address = std::move(address);
  return *this;
}

Target::Builder& Target::Builder::SetZone(std::string zone) {
  this->target.zone = std::move(zone);
  return *this;
}

Target::Builder& Target::Builder::SetListed(Listed listed) {
  this->target.listed = listed;
  return *this;
}

Result<Target> DecodeTarget(const nlohmann::json& value) {
  JsonFields fields(value, "instance");
  Target::Builder builder;
  builder.SetId(fields.String("id"))
      .SetService(fields.String("service"))
      .SetZone(fields.String("zone"));
  const auto kind = ParseTargetKind(fields.String("kind"));
  if (kind) {
    builder.SetKind(*kind);
  } else {
    fields.RecordError("kind", kind.error().message);
  }
  auto address = ParseEndpoint(fields.String("address"));
  if (address) {
    builder.SetAddress(std::move(*address));
  } else {
    fields.RecordError("address", address.error().message);
  }
  const std::string state = fields.String("state");
  if (state == "leaving") {
    builder.SetListed(Target::Listed::kLeaving);
  } else if (state == "gone") {
    builder.SetListed(Target::Listed::kGone);
  } else if (state != "live") {
    fields.RecordError("state", "must be live, leaving or gone");
  }
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return builder.Build();
}

}  // namespace anvilcroft
