#ifndef ANVILCROFT_CUSTOMERS_CUSTOMER_TABLE_H_
#define ANVILCROFT_CUSTOMERS_CUSTOMER_TABLE_H_

// The customers of one version of the configuration and the keys by which they are known.
// Immutable.
//
// The table holds digests of the keys, not the keys, so that neither a log line nor the time of a
// comparison can reveal one. It is designed for thousands of customers with 10,000 keys. A lookup
// takes time proportional to the length of the key it is given, and a key that is longer than all
// known ones is not even hashed.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "anvilcroft/error.h"

namespace anvilcroft {

struct Customer {
  std::string name;
  std::optional<int> priority;  // 0 is the most urgent; nullopt: that of the route applies

  friend bool operator==(const Customer& a, const Customer& b) {
    return std::tie(a.name, a.priority) == std::tie(b.name, b.priority);
  }
  friend bool operator!=(const Customer& a, const Customer& b) { return !(a == b); }
};

class CustomerTable {
 public:
  class Builder;

  static constexpr int kMaxPriority = 1000;

  // Whether the configuration names customers, so that requests need a key. True also for an empty
  // list: removing the last customer must not open the service to everyone.
  bool Enabled() const { return this->enabled; }
  std::size_t Size() const { return this->customers.size(); }

  // Returns the customer to which `key` belongs, or null.
  const Customer* FindByKey(std::string_view key) const;
  // Returns the customer called `name`, or null.
  const Customer* Find(const std::string& name) const;

  friend bool operator==(const CustomerTable& a, const CustomerTable& b) {
    return a.enabled == b.enabled && a.customers == b.customers && a.by_key == b.by_key;
  }
  friend bool operator!=(const CustomerTable& a, const CustomerTable& b) { return !(a == b); }

 private:
  bool enabled = false;
  std::size_t max_key_bytes = 0;
  std::vector<Customer> customers;
  // Positions in `customers`.
  std::unordered_map<std::string, std::size_t> by_name;
  std::unordered_map<std::string, std::size_t> by_key;  // by the digest of the key
};

class CustomerTable::Builder {
 public:
  // Makes requests need a key. Called where the configuration has a list of customers.
  Builder& Enable();

  // Adds a customer. Fails with kInvalidArgument, without naming a key, if the customer exists
  // already, a key is empty or belongs to another customer, the priority is out of range, or the
  // name is empty or cannot be sent in a header field. A key may be listed twice for one customer.
  Result<void> Add(Customer customer, const std::vector<std::string>& keys);

  CustomerTable Build() const { return this->table; }

 private:
  CustomerTable table;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CUSTOMERS_CUSTOMER_TABLE_H_
