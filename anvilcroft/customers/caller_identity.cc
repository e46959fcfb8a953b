#include "anvilcroft/customers/caller_identity.h"

#include <algorithm>

namespace anvilcroft {

CallerIdentity IdentifyCaller(const CustomerTable& customers,
                              const std::vector<std::string_view>& keys) {
  if (!customers.Enabled()) return {};
  if (keys.empty()) return {KeyState::kMissing, ""};
  const bool same =
      std::all_of(keys.begin(), keys.end(), [&](std::string_view key) { return key == keys[0]; });
  if (same && keys.front().empty()) return {KeyState::kMissing, ""};
  const Customer* customer = same ? customers.FindByKey(keys.front()) : nullptr;
  if (customer == nullptr) return {KeyState::kUnknown, ""};
  return {KeyState::kKnown, customer->name};
}

bool MayUseRoute(const CallerIdentity& caller, bool open) {
  return open || caller.key == KeyState::kNotNeeded || caller.key == KeyState::kKnown;
}

bool MayAskForJobs(const CallerIdentity& caller, bool open_jobs) {
  return MayUseRoute(caller, open_jobs && caller.key == KeyState::kMissing);
}

bool MayUseJob(const CallerIdentity& caller, const std::string& customer, bool open) {
  switch (caller.key) {
    case KeyState::kNotNeeded:
      return true;
    case KeyState::kMissing:
      return customer.empty() && open;
    case KeyState::kKnown:
      return customer.empty() || customer == caller.customer;
    case KeyState::kUnknown:
      return false;
  }
  return false;
}

}  // namespace anvilcroft
