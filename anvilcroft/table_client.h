#ifndef ANVILCROFT_TABLE_CLIENT_H_
#define ANVILCROFT_TABLE_CLIENT_H_

// Client of the platform's transactional table service. Each call makes one attempt; callers handle
// retries.
//
// Errors of Commit:
//   kConflict, ran = no
//       a check failed; `part` lists the indexes of the failed checks, such as "0,3"
//   kStoreUnavailable, ran = no
//       the transaction was not applied (no connection, or over the write limit)
//   kStoreUnavailable, ran = unknown
//       the response was lost: the transaction may have been applied, or may still be applied later
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
  // Timeout of one attempt; the caller's deadline may be sooner.
  static constexpr Duration kAttemptTimeout = seconds(2);

  TableClient(HttpClient& http, Endpoint endpoint);

  // Applies `transaction`, which must have at least one write, and returns its number, which is the
  // version of the rows that it put.
  Result<RowVersion> Commit(Task& task, const Transaction& transaction, TimePoint deadline);

  // Reads one row; nullopt if there is none.
  Result<std::optional<Row>> Read(Task& task, const std::string& table, const std::string& key,
                                  TimePoint deadline);

  // Reads the rows of `table` whose keys begin with `prefix`, in key order, at most `max_rows`.
  // Reads them in several pages if necessary, so the result is not a consistent snapshot.
  Result<std::vector<Row>> Scan(Task& task, const std::string& table, const std::string& prefix,
                                std::size_t max_rows, TimePoint deadline);

  // Number of transactions sent.
  uint64_t TransactionCount() const { return this->writes; }
  // Number of reads sent; a scan counts one for each page.
  uint64_t ReadCount() const { return this->reads; }

 private:
  // The JSON body of the response to a GET; null if the status is 404.
  Result<nlohmann::json> Get(Task& task, const std::string& target, TimePoint deadline);

  HttpClient& http;
  Endpoint endpoint;
  uint64_t writes = 0;
  uint64_t reads = 0;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TABLE_CLIENT_H_
