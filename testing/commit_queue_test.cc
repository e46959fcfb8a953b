// Tests of group commit. They guard against a transaction that gets the outcome of another one in
// its group, groups with conflicting rows, and a lost answer that is reported as a known outcome.

#include "anvilcroft/commit_queue.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

namespace anvilcroft {
namespace {

// An in-memory table service that takes 5 ms for each transaction.
class Store {
 public:
  Result<RowVersion> Commit(Task& task, const Transaction& transaction, TimePoint) {
    this->sent.push_back(transaction);
    SleepUntil(task, SteadyNow() + milliseconds(5));
    if (this->lose_answers) {
      return Fail(ErrorCode::kStoreUnavailable, "no response in time", "", Ran::kUnknown);
    }
    std::string failed;
    for (std::size_t i = 0; i < transaction.Checks().size(); ++i) {
      const auto& check = transaction.Checks()[i];
      const auto found = this->versions.find(check.key);
      const RowVersion version = found == this->versions.end() ? 0 : found->second;
      if (version != check.version) failed += (failed.empty() ? "" : ",") + std::to_string(i);
    }
    if (!failed.empty()) return Fail(ErrorCode::kConflict, "a row has changed", failed);
    ++this->version;
    for (const auto& write : transaction.Writes()) this->versions[write.key] = this->version;
    return this->version;
  }

  std::map<std::string, RowVersion> versions;
  std::vector<Transaction> sent;
  RowVersion version = 100;
  bool lose_answers = false;
};

Transaction PutIfAbsent(const std::string& key) {
  return Transaction::Builder().CheckAbsent("t", key).Put("t", key, 1).Build();
}

// Commits all of `transactions` concurrently and returns their outcomes in the same order.
std::vector<Result<RowVersion>> CommitAll(Store& store,
                                          const std::vector<Transaction>& transactions,
                                          const std::function<TimePoint(std::size_t)>& deadline) {
  Runtime runtime;
  CommitQueue queue([&](Task& task, const Transaction& transaction, TimePoint until) {
    return store.Commit(task, transaction, until);
  });
  std::vector<Result<RowVersion>> outcomes(transactions.size(), RowVersion{0});
  std::size_t left = transactions.size();
  for (std::size_t i = 0; i < transactions.size(); ++i) {
    runtime.Spawn([&, i](Task& task) {
      outcomes[i] = queue.Commit(task, transactions[i], deadline(i));
      if (--left == 0) runtime.Stop();
    });
  }
  runtime.Run();
  return outcomes;
}

TimePoint DistantDeadline(std::size_t) { return SteadyNow() + seconds(20); }

TEST_CASE("waiting transactions are sent as one group", "[commit_queue]") {
  Store store;
  std::vector<Transaction> transactions;
  for (int i = 0; i < 100; ++i) transactions.push_back(PutIfAbsent("k" + std::to_string(i)));
  for (const auto& outcome : CommitAll(store, transactions, DistantDeadline)) CHECK(outcome);
  CHECK(store.versions.size() == 100);
  CHECK(store.sent.size() <= 2);
}

TEST_CASE("a failing check fails its own transaction only", "[commit_queue]") {
  Store store;
  store.versions = {{"b", 7}, {"d", 8}};
  const std::vector<Transaction> transactions = {
      PutIfAbsent("a"),
      PutIfAbsent("b"),
      PutIfAbsent("c"),
      Transaction::Builder().CheckAbsent("t", "e").CheckAbsent("t", "d").Put("t", "e", 1).Build(),
  };
  const auto outcomes = CommitAll(store, transactions, DistantDeadline);
  CHECK(outcomes[0]);
  CHECK(outcomes[2]);
  REQUIRE_FALSE(outcomes[1]);
  CHECK(outcomes[1].error() == Error{ErrorCode::kConflict, "a row has changed", "0", Ran::kNo});
  REQUIRE_FALSE(outcomes[3]);
  // The index counts the checks of this transaction, not of the group.
  CHECK(outcomes[3].error().part == "1");
  CHECK(store.versions.count("e") == 0);
}

TEST_CASE("transactions on a common row never share a group", "[commit_queue]") {
  Store store;
  const auto outcomes =
      CommitAll(store, {PutIfAbsent("a"), PutIfAbsent("a"), PutIfAbsent("b")}, DistantDeadline);
  CHECK(outcomes[0]);
  CHECK_FALSE(outcomes[1]);
  CHECK(outcomes[2]);
  for (const auto& group : store.sent) {
    std::set<std::string> keys;
    for (const auto& write : group.Writes()) CHECK(keys.insert(write.key).second);
  }
}

TEST_CASE("after a lost answer the outcome of every transaction of the group is unknown",
          "[commit_queue]") {
  Store store;
  store.lose_answers = true;
  for (const auto& outcome :
       CommitAll(store, {PutIfAbsent("a"), PutIfAbsent("b")}, DistantDeadline)) {
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().code == ErrorCode::kStoreUnavailable);
    CHECK(outcome.error().ran == Ran::kUnknown);
  }
}

TEST_CASE("a transaction whose deadline passes in the queue fails and is not sent",
          "[commit_queue]") {
  Store store;
  // The second waits for the first, because both write the same row, until its deadline has passed.
  const auto deadline = [](std::size_t i) {
    return SteadyNow() + (i == 0 ? Duration(seconds(20)) : Duration(milliseconds(1)));
  };
  const auto outcomes = CommitAll(store, {PutIfAbsent("a"), PutIfAbsent("a")}, deadline);
  CHECK(outcomes[0]);
  REQUIRE_FALSE(outcomes[1]);
  CHECK(outcomes[1].error().code == ErrorCode::kDeadlineExceeded);
  CHECK(outcomes[1].error().ran == Ran::kNo);
  CHECK(store.sent.size() == 1);
}

TEST_CASE("no group exceeds the write limit of the table service", "[commit_queue]") {
  Store store;
  std::vector<Transaction> transactions;
  for (int i = 0; i < 30; ++i) {
    Transaction::Builder builder;
    for (int j = 0; j < 45; ++j) builder.Put("t", std::to_string(i) + "/" + std::to_string(j), 1);
    transactions.push_back(builder.Build());
  }
  for (const auto& outcome : CommitAll(store, transactions, DistantDeadline)) CHECK(outcome);
  for (const auto& group : store.sent) CHECK(group.Writes().size() <= Transaction::kMaxWrites);
}

TEST_CASE("no group exceeds the size limit of the table service", "[commit_queue]") {
  Store store;
  std::vector<Transaction> transactions;
  for (int i = 0; i < 12; ++i) {
    const std::string key = std::to_string(i);
    transactions.push_back(Transaction::Builder()
                               .CheckAbsent("t", key)
                               .Put("t", key, std::string(200 * 1024, 'x'))
                               .Build());
  }
  const auto outcomes =
      CommitAll(store, transactions, [](std::size_t) { return SteadyNow() + seconds(10); });
  for (const auto& outcome : outcomes) CHECK(outcome);
  for (const Transaction& sent : store.sent) CHECK(sent.Writes().size() <= 2);
}

TEST_CASE("random transactions have the same outcomes as if each had been sent alone",
          "[commit_queue]") {
  std::mt19937_64 random(5);
  for (int round = 0; round < 20; ++round) {
    Store store;
    std::vector<Transaction> transactions;
    for (int i = 0; i < 60; ++i) {
      transactions.push_back(PutIfAbsent("k" + std::to_string(random() % 25)));
    }
    const auto outcomes = CommitAll(store, transactions, DistantDeadline);
    // Exactly one transaction writes each key, and the row has its version.
    std::map<std::string, RowVersion> winners;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
      if (!outcomes[i]) continue;
      CHECK(winners.emplace(transactions[i].Checks()[0].key, *outcomes[i]).second);
    }
    CHECK(winners == store.versions);
  }
}

TEST_CASE("Overlaps compares checks and writes, and MergedWith keeps the order of the parts",
          "[transaction]") {
  const auto put = [](const std::string& key) {
    return Transaction::Builder().Put("t", key, 1).Build();
  };
  const auto check = Transaction::Builder().CheckVersion("t", "a", 3).Delete("t", "b").Build();
  CHECK(put("a").Overlaps(check));
  CHECK(check.Overlaps(put("b")));
  CHECK_FALSE(check.Overlaps(put("c")));
  CHECK_FALSE(put("a").Overlaps(Transaction::Builder().Put("u", "a", 1).Build()));
  const auto both = put("c").MergedWith(check);
  CHECK(both.Writes()[0].key == "c");
  CHECK(both.Writes()[1].value.is_null());
  CHECK(both.Checks() == check.Checks());
}

}  // namespace
}  // namespace anvilcroft
