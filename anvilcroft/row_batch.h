#ifndef ANVILCROFT_ROW_BATCH_H_
#define ANVILCROFT_ROW_BATCH_H_

// A conditional transaction on the metadata store: writes and removals that are applied together if
// all conditions hold. All rows must be in the same partition.
//
//   const RowBatch batch = RowBatch::Builder()
//       .Expect(head, version)        // 0: the row must not exist
//       .Put(head, new_value)
//       .Build();

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/stored_row.h"

namespace anvilcroft {

class RowBatch {
 public:
  class Builder;
  using Condition = std::pair<RowId, int64_t>;  // a row and its expected version
  using Write = std::pair<RowId, std::string>;

  const std::vector<Condition>& Conditions() const { return this->conditions; }
  const std::vector<Write>& Writes() const { return this->writes; }
  const std::vector<RowId>& Removals() const { return this->removals; }

  friend bool operator==(const RowBatch& a, const RowBatch& b) {
    return a.conditions == b.conditions && a.writes == b.writes && a.removals == b.removals;
  }
  friend bool operator!=(const RowBatch& a, const RowBatch& b) { return !(a == b); }

 private:
  std::vector<Condition> conditions;
  std::vector<Write> writes;
  std::vector<RowId> removals;
};

class RowBatch::Builder {
 public:
  // Adds the condition that the row has this version; 0: that it does not exist.
  Builder& Expect(RowId id, int64_t version) {
    this->batch.conditions.emplace_back(std::move(id), version);
    return *this;
  }
  Builder& Put(RowId id, std::string value) {
    this->batch.writes.emplace_back(std::move(id), std::move(value));
    return *this;
  }
  Builder& Remove(RowId id) {
    this->batch.removals.push_back(std::move(id));
    return *this;
  }
  RowBatch Build() const { return this->batch; }

 private:
  RowBatch batch;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ROW_BATCH_H_
