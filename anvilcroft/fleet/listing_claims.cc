#include "anvilcroft/fleet/listing_claims.h"

#include <algorithm>

#include "anvilcroft/fleet/slice_plan.h"
#include "anvilcroft/json.h"

namespace anvilcroft {

ListingClaim ListingClaims::Of(int slice) const {
  const auto found = this->owners.find(slice);
  return found == this->owners.end() ? ListingClaim() : found->second;
}

ListingClaims ListingClaims::With(int64_t generation, int slice, int64_t fencing) const {
  ListingClaims next;
  if (generation == this->generation) next = *this;
  next.generation = generation;
  next.owners[slice] = ListingClaim{fencing, 0};
  return next;
}

std::string EncodeListing(const std::string& position, const ListingClaims& claims) {
  if (claims.Empty()) return position;
  nlohmann::json owners = nlohmann::json::array();
  for (const auto& [slice, claim] : claims.owners) {
    owners.push_back({{"slice", slice}, {"fencing", claim.fencing}, {"listed", claim.listed}});
  }
  return position + ' ' + DumpJson({{"generation", claims.generation}, {"owners", owners}});
}

ListingClaims DecodeClaims(const std::string& value) {
  const auto space = value.find(' ');
  if (space == std::string::npos) return {};
  const std::string claims_text = value.substr(space + 1);
  const auto parsed = ParseJson(claims_text);
  if (!parsed) return {};
  JsonFields fields(*parsed, "claims");
  ListingClaims claims;
  claims.generation = fields.Integer("generation", 0, INT64_MAX);
  for (const auto& entry : fields.Array("owners", kMaxSlices)) {
    JsonFields owner(entry, "claims.owners");
    const auto slice = static_cast<int>(owner.Integer("slice", 0, kMaxSlices - 1));
    ListingClaim claim;
    claim.fencing = owner.Integer("fencing", 0, INT64_MAX);
    claim.listed = owner.Integer("listed", 0, INT64_MAX);
    if (!owner.Ok()) return {};
    claims.owners[slice] = claim;
  }
  return fields.Ok() ? claims : ListingClaims();
}

Duration AppendInterval(int slices, std::size_t jobs) {
  const auto open = static_cast<int64_t>(jobs);
  return slices * std::max<Duration>(milliseconds(15), open * milliseconds(3));
}

}  // namespace anvilcroft
