#include "anvilcroft/transaction.h"

#include <set>
#include <utility>

namespace anvilcroft {
namespace {

std::set<std::pair<std::string, std::string>> RowsOf(const Transaction& transaction) {
  std::set<std::pair<std::string, std::string>> rows;
  for (const auto& check : transaction.Checks()) rows.emplace(check.table, check.key);
  for (const auto& write : transaction.Writes()) rows.emplace(write.table, write.key);
  return rows;
}

}  // namespace

bool Transaction::Overlaps(const Transaction& other) const {
  const auto mine = RowsOf(*this);
  for (const auto& row : RowsOf(other)) {
    if (mine.count(row) != 0) return true;
  }
  return false;
}

Transaction Transaction::MergedWith(const Transaction& other) const {
  Transaction both = *this;
  both.checks.insert(both.checks.end(), other.checks.begin(), other.checks.end());
  both.writes.insert(both.writes.end(), other.writes.begin(), other.writes.end());
  return both;
}

Transaction::Builder& Transaction::Builder::CheckAbsent(std::string table, std::string key) {
  return this->CheckVersion(std::move(table), std::move(key), 0);
}

Transaction::Builder& Transaction::Builder::CheckVersion(std::string table, std::string key,
                                                         RowVersion version) {
  this->transaction.checks.push_back(Check{std::move(table), std::move(key), version});
  return *this;
}

Transaction::Builder& Transaction::Builder::Put(std::string table, std::string key,
                                                nlohmann::json value) {
  this->transaction.writes.push_back(Write{std::move(table), std::move(key), std::move(value)});
  return *this;
}

Transaction::Builder& Transaction::Builder::Delete(std::string table, std::string key) {
  this->transaction.writes.push_back(Write{std::move(table), std::move(key), nullptr});
  return *this;
}

}  // namespace anvilcroft
