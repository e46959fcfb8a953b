#include "fakes/platform_caller.h"

#include <nlohmann/json.hpp>

#include "anvilcroft/base64.h"

namespace anvilcroft::fakes {
namespace {

constexpr char kHost[] = "h.example";

}  // namespace

HttpRequest CallerRequest(const std::string& method, const std::string& target,
                          const std::string& attempt, const std::string& body,
                          const std::string& deadline_ms) {
  return HttpRequest::Builder()
      .SetMethod(method)
      .SetTarget(target)
      .SetHeader("Host", kHost)
      .SetHeader("X-Attempt-Id", attempt)
      .SetHeader("X-Deadline-Ms", deadline_ms)
      .SetBody(body)
      .Build();
}

std::string StepBody(const StepShape& shape) {
  nlohmann::json items = nlohmann::json::array();
  for (int i = 0; i < shape.groups * shape.items_per_group; ++i) {
    const std::string id = shape.item_prefix + std::to_string(i);
    items.push_back({{"Id", id},
                     {"Path", "/rollout/1"},
                     {"Headers", {{"X-Model", "m"}, {"X-Token-Counts", "100,400"}}},
                     {"Body", Base64Encode("prompt of " + id)},
                     {"Tokens", 500},
                     {"Group", shape.item_prefix + "g" + std::to_string(i / shape.items_per_group)},
                     {"Scorer",
                      {{"Id", "s" + id},
                       {"Host", kHost},
                       {"Path", "/lookup/score"},
                       {"Body", Base64Encode("judge " + id)}}}});
  }
  return nlohmann::json{{"Step", shape.step},
                        {"Model", "m"},
                        {"MinVersion", shape.min_version},
                        {"TargetGroups", shape.groups},
                        {"Items", items}}
      .dump();
}

}  // namespace anvilcroft::fakes
