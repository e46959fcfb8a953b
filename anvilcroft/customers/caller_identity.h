#ifndef ANVILCROFT_CUSTOMERS_CALLER_IDENTITY_H_
#define ANVILCROFT_CUSTOMERS_CALLER_IDENTITY_H_

// What the key of a request says about its caller, and what the caller may do. Pure.

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "anvilcroft/customers/customer_table.h"

namespace anvilcroft {

enum class KeyState {
  kNotNeeded,  // the configuration names no customers
  kMissing,
  kUnknown,
  kKnown,
};

struct CallerIdentity {
  KeyState key = KeyState::kNotNeeded;
  std::string customer;  // set if the key is known

  // Whether the configuration names customers.
  bool Checked() const { return this->key != KeyState::kNotNeeded; }

  friend bool operator==(const CallerIdentity& a, const CallerIdentity& b) {
    return std::tie(a.key, a.customer) == std::tie(b.key, b.customer);
  }
  friend bool operator!=(const CallerIdentity& a, const CallerIdentity& b) { return !(a == b); }
};

// Identifies the caller by the keys of its request. Several different keys identify no customer,
// because other programs might choose another one of them.
CallerIdentity IdentifyCaller(const CustomerTable& customers,
                              const std::vector<std::string_view>& keys);

// Whether the caller may send requests to a route. `open`: the route needs no key.
bool MayUseRoute(const CallerIdentity& caller, bool open);

// Whether the caller may ask for batch jobs at all. `open_jobs`: some route accepts batch jobs
// without a key.
bool MayAskForJobs(const CallerIdentity& caller, bool open_jobs);

// Whether the caller may read and end a batch job of `customer`. A job without a customer was
// submitted before the configuration named customers, or to a route that needs no key; `open`: its
// route is one of these.
bool MayUseJob(const CallerIdentity& caller, const std::string& customer, bool open);

}  // namespace anvilcroft

#endif  // ANVILCROFT_CUSTOMERS_CALLER_IDENTITY_H_
