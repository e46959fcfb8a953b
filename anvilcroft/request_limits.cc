#include "anvilcroft/request_limits.h"

#include <iterator>

namespace anvilcroft {

bool RequestLimits::Apply(const std::string& id, const LimitStatement& statement) {
  const auto [known, added] = this->statements.try_emplace(id, statement);
  if (added) return statement.per_second.has_value();
  const LimitStatement before = known->second;
  const bool later = statement.started_at == before.started_at
                         ? statement.said_at >= before.said_at
                         : statement.started_at > before.started_at;
  if (!later) return false;
  known->second = statement;
  return statement.per_second != before.per_second;
}

const LimitStatement* RequestLimits::Find(const std::string& id) const {
  const auto found = this->statements.find(id);
  return found == this->statements.end() ? nullptr : &found->second;
}

std::optional<double> RequestLimits::LimitOf(const std::string& id, WallMillis started_at) const {
  const LimitStatement* statement = this->Find(id);
  if (statement == nullptr || statement->started_at != started_at) return std::nullopt;
  return statement->per_second;
}

void RequestLimits::Retain(const std::function<bool(const std::string& id)>& listed) {
  for (auto it = this->statements.begin(); it != this->statements.end();) {
    it = listed(it->first) ? std::next(it) : this->statements.erase(it);
  }
}

}  // namespace anvilcroft
