#include "anvilcroft/settings.h"

#include <utility>

namespace anvilcroft {

Settings::Builder& Settings::Builder::SetInstanceId(std::string value) {
  this->settings.instance_id = std::move(value);
  return *this;
}

Settings::Builder& Settings::Builder::SetZone(std::string value) {
  this->settings.zone = std::move(value);
  return *this;
}

Settings::Builder& Settings::Builder::SetRegion(std::string value) {
  this->settings.region = std::move(value);
  return *this;
}

Settings::Builder& Settings::Builder::SetApiAddress(std::string value) {
  this->settings.api_address = std::move(value);
  return *this;
}

Settings::Builder& Settings::Builder::SetPeerAddress(std::string value) {
  this->settings.peer_address = std::move(value);
  return *this;
}

Settings::Builder& Settings::Builder::SetTableAddress(std::string value) {
  this->settings.table_address = std::move(value);
  return *this;
}

Settings::Builder& Settings::Builder::SetObjectAddress(std::string value) {
  this->settings.object_address = std::move(value);
  return *this;
}

Settings::Builder& Settings::Builder::SetInstanceListAddress(std::string value) {
  this->settings.instance_list_address = std::move(value);
  return *this;
}

Settings::Builder& Settings::Builder::SetSeeds(std::vector<std::string> value) {
  this->settings.seeds = std::move(value);
  return *this;
}

Settings::Builder& Settings::Builder::SetLogLevel(LogLevel value) {
  this->settings.log_level = value;
  return *this;
}

Settings::Builder& Settings::Builder::SetTracing(bool value) {
  this->settings.tracing = value;
  return *this;
}

Settings::Builder& Settings::Builder::SetStopLimit(Duration value) {
  this->settings.stop_limit = value;
  return *this;
}

Settings::Builder& Settings::Builder::SetAddressTtl(Duration value) {
  this->settings.address_ttl = value;
  return *this;
}

Settings::Builder& Settings::Builder::SetLeaseDuration(Duration value) {
  this->settings.lease_duration = value;
  return *this;
}

Settings::Builder& Settings::Builder::SetLeaseRenewal(Duration value) {
  this->settings.lease_renewal = value;
  return *this;
}

Settings::Builder& Settings::Builder::SetHeadPoll(Duration value) {
  this->settings.head_poll = value;
  return *this;
}

Settings::Builder& Settings::Builder::SetInstanceListPoll(Duration value) {
  this->settings.instance_list_poll = value;
  return *this;
}

}  // namespace anvilcroft
