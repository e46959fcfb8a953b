#ifndef ANVILCROFT_TARGET_H_
#define ANVILCROFT_TARGET_H_

// A target (model engine, app engine or judge) as described by the platform's instance list.
// Immutable; built by Target::Builder.

#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/error.h"
#include "anvilcroft/service_config.h"

namespace anvilcroft {

class Target {
 public:
  class Builder;
  // State in the instance list, which may be out of date.
  enum class Listed { kLive, kLeaving, kGone };

  const std::string& Id() const { return this->id; }
  TargetKind Kind() const { return this->kind; }
  const std::string& Service() const { return this->service; }
  const Endpoint& Address() const { return this->address; }
  const std::string& Zone() const { return this->zone; }
  Listed ListState() const { return this->listed; }

  friend bool operator==(const Target& a, const Target& b) {
    return std::tie(a.id, a.kind, a.service, a.address, a.zone, a.listed) ==
           std::tie(b.id, b.kind, b.service, b.address, b.zone, b.listed);
  }
  friend bool operator!=(const Target& a, const Target& b) { return !(a == b); }
  friend bool operator<(const Target& a, const Target& b) { return a.id < b.id; }

 private:
  std::string id;
  TargetKind kind = TargetKind::kModelEngine;
  std::string service;
  Endpoint address;
  std::string zone;
  Listed listed = Listed::kLive;
};

class Target::Builder {
 public:
  Builder& SetId(std::string id);
  Builder& SetKind(TargetKind kind);
  Builder& SetService(std::string service);
  Builder& SetAddress(Endpoint address);
  Builder& SetZone(std::string zone);
  Builder& SetListed(Listed listed);
  Target Build() const { return this->target; }

 private:
  Target target;
};

// Decodes one entry of the instance list: {id, kind, service, address, zone, state}. Fails with
// kInvalidArgument and the offending field.
Result<Target> DecodeTarget(const nlohmann::json& value);

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_H_
