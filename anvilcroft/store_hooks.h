#ifndef ANVILCROFT_STORE_HOOKS_H_
#define ANVILCROFT_STORE_HOOKS_H_

// Hooks for access to the table service. They are bound to a CommitQueue and a TableClient in an
// instance, and to fakes in tests. Errors are those of TableClient.

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
