#ifndef ANVILCROFT_TRANSACTION_H_
#define ANVILCROFT_TRANSACTION_H_

// A conditional transaction of the table service. If every check holds, all writes are applied and
// each row that is put gets the transaction's number as its version. Otherwise nothing is applied.
//
//   Transaction::Builder()
//       .CheckAbsent("claims", key)
//       .Put("claims", key, value)
//       .Build();

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

#include "anvilcroft/row.h"

namespace anvilcroft {

class Transaction {
 public:
  class Builder;

  // The table service's limit on the rows that one transaction puts or deletes.
  static constexpr std::size_t kMaxWrites = 200;

  struct Check {
    std::string table;
    std::string key;
    RowVersion version = 0;  // 0: the row must be absent

    friend bool operator==(const Check& a, const Check& b) {
      return std::tie(a.table, a.key, a.version) == std::tie(b.table, b.key, b.version);
    }
  };
  struct Write {
    std::string table;
    std::string key;
    nlohmann::json value;  // null: the row is deleted

    friend bool operator==(const Write& a, const Write& b) {
      return std::tie(a.table, a.key, a.value) == std::tie(b.table, b.key, b.value);
    }
  };

  const std::vector<Check>& Checks() const { return this->checks; }
  const std::vector<Write>& Writes() const { return this->writes; }

  // Whether both transactions check or write a common row.
  bool Overlaps(const Transaction& other) const;

  // A transaction with the checks and writes of both, those of this one first.
  Transaction MergedWith(const Transaction& other) const;

  friend bool operator==(const Transaction& a, const Transaction& b) {
    return a.checks == b.checks && a.writes == b.writes;
  }
  friend bool operator!=(const Transaction& a, const Transaction& b) { return !(a == b); }

 private:
  std::vector<Check> checks;
  std::vector<Write> writes;
};

class Transaction::Builder {
 public:
  Builder& CheckAbsent(std::string table, std::string key);
  // Requires the row to have `version`, or to be absent if `version` is 0.
  Builder& CheckVersion(std::string table, std::string key, RowVersion version);
  Builder& Put(std::string table, std::string key, nlohmann::json value);
  Builder& Delete(std::string table, std::string key);
  Transaction Build() const { return this->transaction; }

 private:
  Transaction transaction;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TRANSACTION_H_
