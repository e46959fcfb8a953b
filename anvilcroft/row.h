#ifndef ANVILCROFT_ROW_H_
#define ANVILCROFT_ROW_H_

// One row of the table service as it was read.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

namespace anvilcroft {

// A row's version is the number of the transaction that wrote it. The numbers of one store only
// rise, so a version also serves as a fencing token. Version 0 stands for "no such row".
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
