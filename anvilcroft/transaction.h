#ifndef ANVILCROFT_TRANSACTION_H_
#define ANVILCROFT_TRANSACTION_H_

// A conditional transaction of the table service: if every check holds, all writes apply, each
// row put getting the transaction's number as its version; otherwise nothing applies.
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

  // Most rows one transaction may put or delete. A limit of the table service.
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

  // Whether both touch (check or write) a common row.
  bool Overlaps(const Transaction& other) const;

  // All checks and writes of both; this one's first.
  Transaction With(const Transaction& other) const;

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
  // Version 0 means absent.
  Builder& CheckVersion(std::string table, std::string key, RowVersion version);
  Builder& Put(std::string table, std::string key, nlohmann::json value);
  Builder& Delete(std::string table, std::string key);
  Transaction Build() const { return this->transaction; }

 private:
  Transaction transaction;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TRANSACTION_H_
