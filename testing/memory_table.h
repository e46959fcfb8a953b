#ifndef TESTING_MEMORY_TABLE_H_
#define TESTING_MEMORY_TABLE_H_

// An in-memory table service behind the hooks of StoreAccess. It injects random faults: refused
// transactions, and lost answers of transactions that are applied at once, later or never.

#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/runtime.h"
#include "anvilcroft/store_access.h"

namespace anvilcroft {

class MemoryTable {
 public:
  MemoryTable(Runtime& runtime, uint64_t seed) : runtime(runtime), random(seed) {}

  // Share of the transactions that get a fault, 0 to 1.
  double fault_rate = 0;
  // Number of next transactions that are applied and lose their answers.
  int lose_answers = 0;
  bool down = false;
  // Called directly before a transaction is applied, to change rows that it checks.
  std::function<void(const Transaction&)> before_commit;

  StoreAccess Access() {
    StoreAccess access;
    access.commit = [this](Task& task, const Transaction& transaction, TimePoint) {
      return this->Commit(task, transaction);
    };
    access.commit_small = access.commit;
    access.read = [this](Task& task, const std::string& table, const std::string& key,
                         TimePoint) -> Result<std::optional<Row>> {
      this->Pause(task);
      if (this->down) return InjectedFault(Ran::kNo);
      const Row* row = this->Find(table, key);
      return row == nullptr ? std::optional<Row>() : std::optional<Row>(*row);
    };
    access.scan = [this](Task& task, const std::string& table, const std::string& prefix,
                         std::size_t max_rows, TimePoint) -> Result<std::vector<Row>> {
      this->Pause(task);
      if (this->down) return InjectedFault(Ran::kNo);
      std::vector<Row> found;
      for (const auto& [key, row] : this->tables[table]) {
        if (key.compare(0, prefix.size(), prefix) == 0 && found.size() < max_rows) {
          found.push_back(row);
        }
      }
      return found;
    };
    return access;
  }

  const Row* Find(const std::string& table, const std::string& key) {
    const auto row = this->tables[table].find(key);
    return row == this->tables[table].end() ? nullptr : &row->second;
  }

  std::map<std::string, Row>& Rows(const std::string& table) { return this->tables[table]; }

  Result<RowVersion> Apply(const Transaction& transaction) {
    for (const auto& check : transaction.Checks()) {
      const Row* row = this->Find(check.table, check.key);
      if ((row == nullptr ? 0 : row->version) != check.version) {
        return Fail(ErrorCode::kConflict, "a row has changed", check.key);
      }
    }
    ++this->last_version;
    for (const auto& write : transaction.Writes()) {
      if (write.value.is_null()) {
        this->tables[write.table].erase(write.key);
      } else {
        this->tables[write.table][write.key] = Row{write.key, write.value, this->last_version};
      }
    }
    return this->last_version;
  }

 private:
  static tl::unexpected<Error> InjectedFault(Ran ran) {
    return Fail(ErrorCode::kStoreUnavailable, "injected fault", "", ran);
  }

  // Lets other tasks run in between, so that concurrent calls interleave in different orders.
  void Pause(Task& task) {
    const int micros = std::uniform_int_distribution<int>(0, 300)(this->random);
    SleepUntil(task, SteadyNow() + microseconds(micros));
  }

  Result<RowVersion> Commit(Task& task, const Transaction& transaction) {
    this->Pause(task);
    if (this->down) return InjectedFault(Ran::kNo);
    if (this->before_commit) this->before_commit(transaction);
    if (this->lose_answers > 0) {
      --this->lose_answers;
      this->Apply(transaction);
      return InjectedFault(Ran::kUnknown);
    }
    if (std::uniform_real_distribution<double>(0, 1)(this->random) >= this->fault_rate) {
      const auto version = this->Apply(transaction);
      this->Pause(task);
      return version;
    }
    switch (std::uniform_int_distribution<int>(0, 3)(this->random)) {
      case 0:
        return InjectedFault(Ran::kNo);
      case 1:
        return InjectedFault(Ran::kUnknown);
      case 2:
        this->Apply(transaction);
        return InjectedFault(Ran::kUnknown);
      default:
        this->runtime.Spawn([this, transaction](Task& late) {
          SleepUntil(late, SteadyNow() + milliseconds(30));
          this->Apply(transaction);
        });
        return InjectedFault(Ran::kUnknown);
    }
  }

  Runtime& runtime;
  std::mt19937_64 random;
  std::map<std::string, std::map<std::string, Row>> tables;
  RowVersion last_version = 0;
};

// Runs `body` in a task and stops the runtime when it returns.
inline void RunInTask(Runtime& runtime, const Runtime::Body& body) {
  runtime.Spawn([&](Task& task) {
    body(task);
    runtime.Stop();
  });
  runtime.Run();
}

// Waits until `condition` holds. Returns false if it does not within `limit`.
template <typename Condition>
bool Eventually(Task& task, const Condition& condition, Duration limit = seconds(30)) {
  const TimePoint deadline = SteadyNow() + limit;
  while (!condition()) {
    if (SteadyNow() >= deadline) return false;
    SleepUntil(task, SteadyNow() + milliseconds(5));
  }
  return true;
}

}  // namespace anvilcroft

#endif  // TESTING_MEMORY_TABLE_H_
