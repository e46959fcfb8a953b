#ifndef ANVILCROFT_TARGET_SERVICE_H_
#define ANVILCROFT_TARGET_SERVICE_H_

// A service of the configuration: a group of interchangeable targets.

#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "anvilcroft/scaling/engine_scaling.h"

namespace anvilcroft {

struct TargetService {
  static constexpr double kDefaultTokensPerEvent = 32;

  std::string name;
  std::string health_path;
  int max_connections = 0;          // per target, over all clients; 0: not configured
  bool model_engines = false;       // whether the targets are model engines or app engines
  int slots = 0;                    // model engines: capacity of one target in concurrent requests
  std::vector<std::string> models;  // model engines: the models that they serve
  // Model engines: number of tokens in one event of a stream.
  double tokens_per_event = kDefaultTokensPerEvent;
  std::optional<EngineScaling> scaling;  // nullopt: the number of targets is not ours to change

  friend bool operator==(const TargetService& a, const TargetService& b) {
    return std::tie(a.name, a.health_path, a.max_connections, a.model_engines, a.slots, a.models,
                    a.tokens_per_event, a.scaling) ==
           std::tie(b.name, b.health_path, b.max_connections, b.model_engines, b.slots, b.models,
                    b.tokens_per_event, b.scaling);
  }
  friend bool operator!=(const TargetService& a, const TargetService& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_SERVICE_H_
