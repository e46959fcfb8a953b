#ifndef ANVILCROFT_ROW_H_
#define ANVILCROFT_ROW_H_

// A row as read from the table service.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

namespace anvilcroft {

// Number of the transaction that wrote a row. The numbers increase monotonically within one store,
// so a version also serves as a fencing token. Version 0 means that the row does not exist.
using RowVersion = uint64_t;

struct Row {
  std::string key;
  nlohmann::json value;
  RowVersion version = 0;

  friend bool operator==(const Row& a, const Row& b) {
    return std::tie(a.key, a.value, a.version) == std::tie(b.key, b.value, b.version);
  }
  friend bool operator!=(const Row& a, const Row& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ROW_H_
