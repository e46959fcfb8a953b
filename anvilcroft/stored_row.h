#ifndef ANVILCROFT_STORED_ROW_H_
#define ANVILCROFT_STORED_ROW_H_

// A row as read from the platform's metadata store.

#include <cstdint>
#include <string>
#include <tuple>

namespace anvilcroft {

// Identifies a row. Only rows of the same partition can change in one transaction.
struct RowId {
  std::string table;
  std::string partition;  // may be empty
  std::string key;

  friend bool operator==(const RowId& a, const RowId& b) { return a.Tie() == b.Tie(); }
  friend bool operator!=(const RowId& a, const RowId& b) { return !(a == b); }
  friend bool operator<(const RowId& a, const RowId& b) { return a.Tie() < b.Tie(); }

 private:
  std::tuple<const std::string&, const std::string&, const std::string&> Tie() const {
    return std::tie(this->table, this->partition, this->key);
  }
};

struct StoredRow {
  RowId id;
  std::string value;
  int64_t version = 0;   // of the store at the row's last change; 0: no such row
  bool removed = false;  // in a change feed: the row was removed

  friend bool operator==(const StoredRow& a, const StoredRow& b) {
    return std::tie(a.id, a.value, a.version, a.removed) ==
           std::tie(b.id, b.value, b.version, b.removed);
  }
  friend bool operator!=(const StoredRow& a, const StoredRow& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_STORED_ROW_H_
