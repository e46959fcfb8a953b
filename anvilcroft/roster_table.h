#ifndef ANVILCROFT_ROSTER_TABLE_H_
#define ANVILCROFT_ROSTER_TABLE_H_

// The roster rows in the table service: one row for each availability zone. Each change is written
// in one transaction with the head row.

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "anvilcroft/error.h"
#include "anvilcroft/member.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/table_client.h"
#include "anvilcroft/transaction.h"

namespace anvilcroft {

constexpr char kRosterTable[] = "roster";
constexpr char kLeaseTable[] = "leases";

class RosterTable {
 public:
  // Returns the new members of a zone, or nullopt if there is nothing to change. Must be
  // idempotent: if an answer is lost, it is applied again to the members that are then read.
  using Edit = std::function<std::optional<std::vector<Member>>(std::vector<Member>)>;

  RosterTable(TableClient& table, uint64_t seed);

  // Reads the members of all zones. Fails with kStoreUnavailable, or with kInternal if a row cannot
  // be decoded.
  Result<std::vector<Member>> ReadAll(Task& task, TimePoint deadline);

  // Reads the members of one zone. Fails as ReadAll does.
  Result<std::vector<Member>> ReadZone(Task& task, const std::string& zone, TimePoint deadline);

  // Changes the members of `zone` and increments the roster version of the head row, in one
  // transaction with `extra`. Retries until `deadline` after conflicts with other writers and after
  // lost answers. Returns true if the change was or may have been written, false if there was
  // nothing to change. Fails with kConflict if a check of `extra` failed, with kStoreUnavailable at
  // the deadline (ran = unknown if an attempt may have been applied), and with kInternal if a row
  // cannot be decoded.
  Result<bool> UpdateZone(Task& task, const std::string& zone, const Edit& edit,
                          const Transaction& extra, TimePoint deadline);

 private:
  Result<bool> TryUpdateZone(Task& task, const std::string& zone, const Edit& edit,
                             const Transaction& extra, TimePoint deadline);

  TableClient& table;
  std::mt19937_64 random;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ROSTER_TABLE_H_
