#ifndef ANVILCROFT_ROW_KEY_H_
#define ANVILCROFT_ROW_KEY_H_

// Keys of rows in the table service: parts joined with '/'. The parts are percent-encoded, so a '/'
// in a part cannot be mistaken for a separator. The rows of one trainer, step or group share a
// prefix.

#include <cstdint>
#include <string>
#include <vector>

namespace anvilcroft {

// RowKey({"a/b", "7"}) is "a%2Fb/7".
std::string RowKey(const std::vector<std::string>& parts);

// The prefix of all keys that begin with `parts` and have further parts: RowKey(parts) + "/".
std::string RowKeyPrefix(const std::vector<std::string>& parts);

}  // namespace anvilcroft

#endif  // ANVILCROFT_ROW_KEY_H_
