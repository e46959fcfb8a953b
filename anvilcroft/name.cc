#include "anvilcroft/name.h"

#include <algorithm>

namespace anvilcroft {

bool IsName(std::string_view text) {
  const auto allowed = [](unsigned char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '-' || c == '_';
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), allowed);
}

}  // namespace anvilcroft
