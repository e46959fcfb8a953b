#include "anvilcroft/hash.h"

#include <openssl/sha.h>

#include <array>

namespace anvilcroft {
namespace {

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Digest Sha256(std::string_view bytes) {
  Digest digest;
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
  return digest;
}

// The finalizer of SplitMix64: every input bit affects all output bits.
uint64_t Mix(uint64_t value) {
  value ^= value >> 30;
  value *= 0xbf58476d1ce4e5b9ULL;
  value ^= value >> 27;
  value *= 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// 64-bit FNV-1a: fast enough to compute the weights of hundreds of members for thousands of
// targets.
uint64_t Fnv1a(std::string_view bytes) {
  uint64_t hash = 0xcbf29ce484222325ULL;
  for (const unsigned char byte : bytes) hash = (hash ^ byte) * 0x100000001b3ULL;
  return hash;
}

}  // namespace

uint64_t StableHash(std::string_view bytes) {
  uint64_t value = 0;
  const Digest digest = Sha256(bytes);
  for (int i = 0; i < 8; ++i) value = (value << 8) | digest[i];
  return value;
}

uint64_t RendezvousWeight(std::string_view member, std::string_view item) {
  return Mix(Fnv1a(member) ^ Mix(Fnv1a(item)));
}

std::string HexDigest(std::string_view bytes) {
  constexpr char kHexDigits[] = "0123456789abcdef";
  std::string text;
  const Digest digest = Sha256(bytes);
  for (int i = 0; i < 16; ++i) {
    text += kHexDigits[digest[i] >> 4];
    text += kHexDigits[digest[i] & 0xf];
  }
  return text;
}

std::string HexDigestOf(std::initializer_list<std::string_view> parts) {
  std::string bytes;
  for (const std::string_view& part : parts) {
    // The last part ends with the bytes.
    if (&part != parts.end() - 1) bytes += std::to_string(part.size()) + ":";
    bytes += part;
  }
  return HexDigest(bytes);
}

}  // namespace anvilcroft
