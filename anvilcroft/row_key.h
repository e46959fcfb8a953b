#ifndef ANVILCROFT_ROW_KEY_H_
#define ANVILCROFT_ROW_KEY_H_

// Keys of rows that belong to trainers: percent-encoded parts joined with '/', so that no part can
// imitate another key and the rows of one trainer, step or group share a prefix.

#include <cstdint>
#include <string>
#include <vector>

namespace anvilcroft {

// RowKey({"a/b", "7"}) is "a%2Fb/7".
std::string RowKey(const std::vector<std::string>& parts);

// The prefix of all keys whose first parts are `parts`: RowKey(parts) with a '/' at the end.
std::string RowKeyPrefix(const std::vector<std::string>& parts);

}  // namespace anvilcroft

#endif  // ANVILCROFT_ROW_KEY_H_
