#ifndef ANVILCROFT_HASH_H_
#define ANVILCROFT_HASH_H_

// Hashes that all instances compute alike. std::hash differs between builds and so is not used.

#include <cstdint>
#include <string>
#include <string_view>

namespace anvilcroft {

// First 64 bits of the SHA-256 of `bytes`.
uint64_t StableHash(std::string_view bytes);

// Weight of `member` for `item` in highest-random-weight (rendezvous) hashing.
// Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
uint64_t RendezvousWeight(std::string_view member, std::string_view item);

// 32 hexadecimal digits of the SHA-256 of `bytes`.
std::string HexDigest(std::string_view bytes);

}  // namespace anvilcroft

#endif  // ANVILCROFT_HASH_H_
