#include "anvilcroft/customers/customer_table.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/hash.h"

namespace anvilcroft {
namespace {

// Whether a recipient of a header field with the value `name` reads the same name.
bool FitsHeaderField(const std::string& name) {
  const bool has_control = std::any_of(name.begin(), name.end(), [](char c) {
    return static_cast<unsigned char>(c) < ' ' || c == 0x7f;
  });
  return !name.empty() && !has_control && name.front() != ' ' && name.back() != ' ';
}

}  // namespace

const Customer* CustomerTable::FindByKey(std::string_view key) const {
  if (key.empty() || key.size() > this->max_key_bytes) return nullptr;
  const auto found = this->by_key.find(HexDigest(key));
  return found == this->by_key.end() ? nullptr : &this->customers[found->second];
}

const Customer* CustomerTable::Find(const std::string& name) const {
  const auto found = this->by_name.find(name);
  return found == this->by_name.end() ? nullptr : &this->customers[found->second];
}

CustomerTable::Builder& CustomerTable::Builder::Enable() {
  this->table.enabled = true;
  return *this;
}

Result<void> CustomerTable::Builder::Add(Customer customer, const std::vector<std::string>& keys) {
  const auto fail = [&customer](const char* field, const std::string& problem) {
    return Fail(ErrorCode::kInvalidArgument, "customer '" + customer.name + "': " + problem, field);
  };
  if (!FitsHeaderField(customer.name)) {
    return Fail(ErrorCode::kInvalidArgument,
                "the name of a customer is empty, starts or ends with a space, or has a control "
                "character",
                "name");
  }
  const int priority = customer.priority.value_or(0);
  if (priority < 0 || priority > kMaxPriority) {
    return fail("priority", "the priority must be from 0 to " + std::to_string(kMaxPriority));
  }
  const std::size_t position = this->table.customers.size();
  if (!this->table.by_name.emplace(customer.name, position).second) {
    return fail("name", "is listed twice");
  }
  for (const std::string& key : keys) {
    if (key.empty()) return fail("keys", "a key is empty");
    const auto [entry, added] = this->table.by_key.emplace(HexDigest(key), position);
    if (!added && entry->second != position) {
      return fail("keys", "a key belongs to customer '" +
                              this->table.customers[entry->second].name + "' too");
    }
    this->table.max_key_bytes = std::max(this->table.max_key_bytes, key.size());
  }
  this->table.customers.push_back(std::move(customer));
  return {};
}

}  // namespace anvilcroft
