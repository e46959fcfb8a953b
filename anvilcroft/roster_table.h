#ifndef ANVILCROFT_ROSTER_TABLE_H_
#define ANVILCROFT_ROSTER_TABLE_H_

// The rows of the roster in the table service: one for each zone, each change in one transaction
// with the head row.

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
  // idempotent: after a lost answer it is applied to what was read anew.
  using Edit = std::function<std::optional<std::vector<Member>>(std::vector<Member>)>;

  RosterTable(TableClient& table, uint64_t seed);

  // Reads the members of all zones. Fails with kStoreUnavailable, and with kInternal on a row that
  // does not decode.
  Result<std::vector<Member>> ReadAll(Task& task, TimePoint deadline);

  // Reads the members of one zone. Fails as ReadAll does.
  Result<std::vector<Member>> ReadZone(Task& task, const std::string& zone, TimePoint deadline);

  // Changes the members of `zone` and raises head's roster version, in one transaction with
  // `extra`. Retries until `deadline` while other writers get ahead or answers are lost. Returns
  // whether it wrote. Fails with kConflict when a check of `extra` failed, with kStoreUnavailable
  // (ran = unknown if an attempt may have applied) at the deadline, and with kInternal on a row
  // that does not decode.
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
