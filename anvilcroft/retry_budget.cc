#include "anvilcroft/retry_budget.h"

#include <algorithm>

namespace anvilcroft {

void RetryBudget::OnRequest() {
  this->tokens = std::min(this->burst, this->tokens + this->fraction);
}

bool RetryBudget::TryConsume() {
  // Allows for rounding: ten additions of 0.1 give slightly less than 1.
  constexpr double kRounding = 1e-9;
  if (this->tokens < 1 - kRounding) return false;
  this->tokens = std::max(0.0, this->tokens - 1);
  return true;
}

}  // namespace anvilcroft
