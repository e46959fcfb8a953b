#ifndef ANVILCROFT_BASE64_H_
#define ANVILCROFT_BASE64_H_

// Base64 with padding, RFC 4648 section 4.

#include <string>
#include <string_view>

#include "anvilcroft/error.h"

namespace anvilcroft {

std::string Base64Encode(std::string_view bytes);

// Fails with kInvalidArgument on any other alphabet, length or padding.
Result<std::string> Base64Decode(std::string_view text);

}  // namespace anvilcroft

#endif  // ANVILCROFT_BASE64_H_
