#ifndef ANVILCROFT_TABLE_CLIENT_H_
#define ANVILCROFT_TABLE_CLIENT_H_

// Client of the platform's transactional table service. Each call is one attempt; callers decide
// about retries.
//
// Errors of Commit:
//   kConflict, ran = no           a check failed; `part` lists the indexes, as in "0,3"
//   kStoreUnavailable, ran = no   the transaction cannot have applied (no connection, over limit)
//   kStoreUnavailable, ran = unknown   the answer was lost: it may have applied, now or later
// Errors of Read and Scan: kStoreUnavailable.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/error.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/row.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/transaction.h"

namespace anvilcroft {

class TableClient {
 public:
  // Longest wait for one answer; the caller's deadline may be sooner.
  static constexpr Duration kAttemptTimeout = seconds(2);

  TableClient(HttpClient& http, Endpoint endpoint);

  // Applies `transaction`, which must have at least one write, and returns its number.
  Result<RowVersion> Commit(Task& task, const Transaction& transaction, TimePoint deadline);

  // Reads one row; nullopt if there is none.
  Result<std::optional<Row>> Read(Task& task, const std::string& table, const std::string& key,
                                  TimePoint deadline);

  // Reads the rows of `table` whose keys begin with `prefix`, in key order, at most `max_rows`.
  // The rows may come from several reads and so are no snapshot.
  Result<std::vector<Row>> Scan(Task& task, const std::string& table, const std::string& prefix,
                                std::size_t max_rows, TimePoint deadline);

  // Number of transactions sent, and of reads (a scan counts one for each page).
  uint64_t Writes() const { return this->writes; }
  uint64_t Reads() const { return this->reads; }

 private:
  Result<nlohmann::json> Get(Task& task, const std::string& target, TimePoint deadline);

  HttpClient& http;
  Endpoint endpoint;
  uint64_t writes = 0;
  uint64_t reads = 0;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TABLE_CLIENT_H_
