#include "anvilcroft/base64.h"

#include <openssl/evp.h>

namespace anvilcroft {

std::string Base64Encode(std::string_view bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                   reinterpret_cast<const unsigned char*>(bytes.data()),
                                   static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

Result<std::string> Base64Decode(std::string_view text) {
  const auto malformed = [] { return Fail(ErrorCode::kInvalidArgument, "malformed base64"); };
  if (text.size() % 4 != 0) return malformed();
  if (text.empty()) return std::string();
  std::size_t padding = 0;
  while (padding < 2 && text[text.size() - 1 - padding] == '=') ++padding;
  // EVP_DecodeBlock skips white space and accepts padding anywhere, so the characters are checked
  // first.
  for (const char c : text.substr(0, text.size() - padding)) {
    const bool letter = (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z');
    if (!letter && !(c >= '0' && c <= '9') && c != '+' && c != '/') return malformed();
  }
  std::string bytes(3 * (text.size() / 4), '\0');
  const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                   reinterpret_cast<const unsigned char*>(text.data()),
                                   static_cast<int>(text.size()));
  if (size < 0) return malformed();
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

}  // namespace anvilcroft
