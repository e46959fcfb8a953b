#ifndef ANVILCROFT_NAME_H_
#define ANVILCROFT_NAME_H_

// Names that people give to instances, zones, deployments, services and operations.

#include <cstddef>
#include <string_view>

namespace anvilcroft {

constexpr std::size_t kMaxNameBytes = 64;

// What IsName accepts, for error messages: "must be " + kNameRule.
constexpr char kNameRule[] = "1 to 64 letters, digits, dots, hyphens or underscores";

// Whether `text` may be a name. Names are parts of row keys joined by '/', such as
// "<service>/<idempotency key>": with a '/' in a name two different rows could have one key.
bool IsName(std::string_view text);

}  // namespace anvilcroft

#endif  // ANVILCROFT_NAME_H_
