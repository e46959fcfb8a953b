#ifndef ANVILCROFT_HASH_H_
#define ANVILCROFT_HASH_H_

// Hash functions with the same results in every instance. std::hash is not used because it may
// differ between builds.

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace anvilcroft {

// First 64 bits of the SHA-256 of `bytes`.
uint64_t StableHash(std::string_view bytes);

// Weight of `member` for `item` in rendezvous (highest random weight) hashing.
// Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
uint64_t RendezvousWeight(std::string_view member, std::string_view item);

// First 128 bits of the SHA-256 of `bytes`, as 32 hexadecimal digits.
std::string HexDigest(std::string_view bytes);

// The digest of `parts`, whose lengths are taken into account: ("a", "bc") differs from ("ab",
// "c").
std::string HexDigestOf(std::initializer_list<std::string_view> parts);

}  // namespace anvilcroft

#endif  // ANVILCROFT_HASH_H_
