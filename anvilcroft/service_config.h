#ifndef ANVILCROFT_SERVICE_CONFIG_H_
#define ANVILCROFT_SERVICE_CONFIG_H_

// The configuration of one service of a deployment. Immutable; decoded from a configuration
// document by DecodeServiceConfig.

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"

namespace anvilcroft {

// The kind of targets that serve a service.
enum class TargetKind { kModelEngine, kAppEngine, kJudge };

const char* TargetKindName(TargetKind kind);
Result<TargetKind> ParseTargetKind(const std::string& name);

// One operation that callers may request from a service.
struct OperationConfig {
  std::string path;        // request path at the target
  bool repeatable = true;  // whether it is safe to run more than once

  friend bool operator==(const OperationConfig& a, const OperationConfig& b) {
    return a.path == b.path && a.repeatable == b.repeatable;
  }
};

class ServiceConfig {
 public:
  const std::string& Name() const { return this->name; }
  const std::string& Deployment() const { return this->deployment; }
  TargetKind Kind() const { return this->kind; }
  const std::map<std::string, OperationConfig>& Operations() const { return this->operations; }
  // The operation `operation`, or nullptr.
  const OperationConfig* FindOperation(const std::string& operation) const;
  // Maximum number of requests of this service in flight from one instance.
  int64_t MaxInFlight() const { return this->max_in_flight; }
  // Maximum number of requests of this service queued at one instance.
  int64_t MaxQueued() const { return this->max_queued; }
  // Model requests of at most this many new tokens are short work.
  int64_t ShortMaxTokens() const { return this->short_max_tokens; }
  // Fraction of the in-flight window that only short work may use, 0 to 0.9.
  double ShortReserve() const { return this->short_reserve; }
  // Rate of weight downloads, per second, that the weight store allows for this service.
  double DownloadsPerSecond() const { return this->downloads_per_second; }
  // Expected duration of a weight swap at one engine, in seconds, from which swaps are scheduled.
  double SwapSeconds() const { return this->swap_seconds; }
  // Maximum fraction of the service's engines that may swap weights at once, 0 to 1.
  double MaxSwapping() const { return this->max_swapping; }
  // The model that every engine of the service should have loaded; empty for any model.
  const std::string& Model() const { return this->model; }

  friend bool operator==(const ServiceConfig& a, const ServiceConfig& b) {
    return std::tie(a.name, a.deployment, a.kind, a.operations, a.max_in_flight, a.max_queued,
                    a.short_max_tokens, a.short_reserve, a.downloads_per_second, a.swap_seconds,
                    a.max_swapping, a.model) ==
           std::tie(b.name, b.deployment, b.kind, b.operations, b.max_in_flight, b.max_queued,
                    b.short_max_tokens, b.short_reserve, b.downloads_per_second, b.swap_seconds,
                    b.max_swapping, b.model);
  }
  friend bool operator!=(const ServiceConfig& a, const ServiceConfig& b) { return !(a == b); }

 private:
  friend Result<ServiceConfig> DecodeServiceConfig(const std::string& deployment,
                                                   const std::string& name,
                                                   const nlohmann::json& value);

  std::string name;
  std::string deployment;
  TargetKind kind = TargetKind::kModelEngine;
  std::map<std::string, OperationConfig> operations;
  int64_t max_in_flight = 64;
  int64_t max_queued = 256;
  int64_t short_max_tokens = 64;
  double short_reserve = 0.25;
  double downloads_per_second = 4;
  double swap_seconds = 3;
  double max_swapping = 0.25;
  std::string model;
};

// Decodes and checks one entry of "services". The error's part is the path of the field, as in
// "deployments.d.services.s.max_in_flight".
Result<ServiceConfig> DecodeServiceConfig(const std::string& deployment, const std::string& name,
                                          const nlohmann::json& value);

}  // namespace anvilcroft

#endif  // ANVILCROFT_SERVICE_CONFIG_H_
