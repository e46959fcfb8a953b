#ifndef ANVILCROFT_STORE_HOOKS_H_
#define ANVILCROFT_STORE_HOOKS_H_

// How a role uses the table service: the wiring binds these to a CommitQueue and a TableClient,
// tests to fakes. Errors are those of TableClient.

#include <functional>
#include <optional>
#include <string>

#include "anvilcroft/error.h"
#include "anvilcroft/row.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/transaction.h"

namespace anvilcroft {

using CommitHook = std::function<Result<RowVersion>(Task&, const Transaction&, TimePoint deadline)>;
using ReadHook = std::function<Result<std::optional<Row>>(
    Task&, const std::string& table, const std::string& key, TimePoint deadline)>;

}  // namespace anvilcroft

#endif  // ANVILCROFT_STORE_HOOKS_H_
