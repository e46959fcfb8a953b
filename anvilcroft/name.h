#ifndef ANVILCROFT_NAME_H_
#define ANVILCROFT_NAME_H_

// Validity of configured names: of instances, zones, deployments, services and operations.

#include <cstddef>
#include <string_view>

namespace anvilcroft {

constexpr std::size_t kMaxNameBytes = 64;

// What IsName accepts, for error messages such as "must have a name of " + kNameRule.
constexpr char kNameRule[] = "1 to 64 letters, digits, dots, hyphens or underscores";

// Whether `text` is a valid name. Names are joined by '/' in row keys, such as
// "<service>/<idempotency key>". If a name contained a '/', two different rows could have the same
// key.
bool IsName(std::string_view text);

}  // namespace anvilcroft

#endif  // ANVILCROFT_NAME_H_
