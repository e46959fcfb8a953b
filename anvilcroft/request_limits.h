#ifndef ANVILCROFT_REQUEST_LIMITS_H_
#define ANVILCROFT_REQUEST_LIMITS_H_

// The request limits of targets as one instance knows them: from the answers that it got itself,
// from other instances and from the metadata store. Of two statements about a target, the later one
// holds.

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

// What an answer of a target said about its limit.
struct LimitStatement {
  WallMillis started_at = 0;         // start of the target
  std::optional<double> per_second;  // requests that it takes in a second; nullopt: no limit
  TimePoint said_at;

  friend bool operator==(const LimitStatement& a, const LimitStatement& b) {
    return std::tie(a.started_at, a.per_second, a.said_at) ==
           std::tie(b.started_at, b.per_second, b.said_at);
  }
  friend bool operator!=(const LimitStatement& a, const LimitStatement& b) { return !(a == b); }
};

class RequestLimits {
 public:
  // Applies a statement of the target `id`. Returns whether the target's limit has changed.
  bool Apply(const std::string& id, const LimitStatement& statement);

  // The latest statement of a target, or null.
  const LimitStatement* Find(const std::string& id) const;

  // The limit of the given start of a target; nullopt: it has none.
  std::optional<double> LimitOf(const std::string& id, WallMillis started_at) const;

  // Removes the statements of targets for which `listed` returns false.
  void Retain(const std::function<bool(const std::string& id)>& listed);

 private:
  std::map<std::string, LimitStatement> statements;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_REQUEST_LIMITS_H_
