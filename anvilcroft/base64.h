#ifndef ANVILCROFT_BASE64_H_
#define ANVILCROFT_BASE64_H_

// Base64 with padding, as in RFC 4648, section 4.

#include <string>
#include <string_view>

#include "anvilcroft/error.h"

namespace anvilcroft {

std::string Base64Encode(std::string_view bytes);

// Fails with kInvalidArgument if the alphabet, the length or the padding of `text` is invalid.
Result<std::string> Base64Decode(std::string_view text);

}  // namespace anvilcroft

#endif  // ANVILCROFT_BASE64_H_
