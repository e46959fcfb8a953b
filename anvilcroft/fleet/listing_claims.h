#ifndef ANVILCROFT_FLEET_LISTING_CLAIMS_H_
#define ANVILCROFT_FLEET_LISTING_CLAIMS_H_

// Who may list results of a job that is run by the owners of several slices.
//
// Load pattern: twelve owners append to the listing of one job under one condition, the version of
// the row with its count, and fail at each other's appends many times a second. Reading the others'
// results after each failure, 8 KB each, would cost every owner more than its network has. The
// claims in the row prove that no other instance has listed results of the own slice.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "anvilcroft/time.h"

namespace anvilcroft {

struct ListingClaim {
  int64_t fencing = 0;  // token of the owner's lease
  int64_t listed = 0;   // results that it has listed since it claimed the slice

  friend bool operator==(const ListingClaim& a, const ListingClaim& b) {
    return std::tie(a.fencing, a.listed) == std::tie(b.fencing, b.listed);
  }
  friend bool operator!=(const ListingClaim& a, const ListingClaim& b) { return !(a == b); }
};

struct ListingClaims {
  int64_t generation = 0;              // version of the plan's row; items belong to slices by it
  std::map<int, ListingClaim> owners;  // by slice

  bool Empty() const { return this->owners.empty(); }
  // The claim of `slice`, a default one if there is none.
  ListingClaim Of(int slice) const;
  // These claims with one of `fencing` for `slice` under `generation`. Claims of another generation
  // are dropped.
  ListingClaims With(int64_t generation, int slice, int64_t fencing) const;

  friend bool operator==(const ListingClaims& a, const ListingClaims& b) {
    return std::tie(a.generation, a.owners) == std::tie(b.generation, b.owners);
  }
  friend bool operator!=(const ListingClaims& a, const ListingClaims& b) { return !(a == b); }
};

// The value of the row: the position, and after it the claims if there are any. Builds without
// slices read the position only, and drop the claims when they append.
std::string EncodeListing(const std::string& position, const ListingClaims& claims);
// Returns no claims if the value has none or they are malformed.
ListingClaims DecodeClaims(const std::string& value);

// Time between the appends of one of `slices` owners to one of `jobs` open jobs. All owners
// together make at most 67 appends a second to a job, a third of what one partition of the store
// takes, and 333 to all jobs, about a fifth of what the store takes.
Duration AppendInterval(int slices, std::size_t jobs);

}  // namespace anvilcroft

#endif  // ANVILCROFT_FLEET_LISTING_CLAIMS_H_
