#ifndef ANVILCROFT_SETTINGS_H_
#define ANVILCROFT_SETTINGS_H_

// The settings of one instance. Immutable; created by LoadSettings (settings_loader.h) from a YAML
// file, or by Settings::Builder in tests.
//
// Deployments, services and limits are not settings; the configuration document defines them.

#include <string>
#include <tuple>
#include <vector>

#include "anvilcroft/log.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

class Settings {
 public:
  class Builder;

  // Unique name of the instance.
  const std::string& InstanceId() const { return this->instance_id; }
  const std::string& Zone() const { return this->zone; }
  const std::string& Region() const { return this->region; }
  // "ip:port" where callers, trainers and operators connect.
  const std::string& ApiAddress() const { return this->api_address; }
  // "ip:port" where other instances connect.
  const std::string& PeerAddress() const { return this->peer_address; }
  const std::string& TableAddress() const { return this->table_address; }
  const std::string& ObjectAddress() const { return this->object_address; }
  const std::string& InstanceListAddress() const { return this->instance_list_address; }
  // Peer addresses to fetch the configuration from if the table service is unavailable at startup.
  const std::vector<std::string>& Seeds() const { return this->seeds; }
  LogLevel MinimumLogLevel() const { return this->log_level; }
  // Whether spans are written to the log.
  bool Tracing() const { return this->tracing; }
  // Maximum time that a graceful shutdown waits for running requests; zero means no limit.
  Duration StopLimit() const { return this->stop_limit; }
  // How long callers may cache a response of the address directory.
  Duration AddressTtl() const { return this->address_ttl; }
  // Duration of the membership lease, and the interval between its renewals.
  Duration LeaseDuration() const { return this->lease_duration; }
  Duration LeaseRenewal() const { return this->lease_renewal; }
  // Interval between polls of the head row, which holds the versions of the configuration, the
  // roster and the weights.
  Duration HeadPoll() const { return this->head_poll; }
  // Interval between polls of the instance list.
  Duration InstanceListPoll() const { return this->instance_list_poll; }

  friend bool operator==(const Settings& a, const Settings& b) {
    return std::tie(a.instance_id, a.zone, a.region, a.api_address, a.peer_address, a.table_address,
                    a.object_address, a.instance_list_address, a.seeds, a.log_level, a.tracing,
                    a.stop_limit, a.address_ttl, a.lease_duration, a.lease_renewal, a.head_poll,
                    a.instance_list_poll) ==
           std::tie(b.instance_id, b.zone, b.region, b.api_address, b.peer_address, b.table_address,
                    b.object_address, b.instance_list_address, b.seeds, b.log_level, b.tracing,
                    b.stop_limit, b.address_ttl, b.lease_duration, b.lease_renewal, b.head_poll,
                    b.instance_list_poll);
  }
  friend bool operator!=(const Settings& a, const Settings& b) { return !(a == b); }

 private:
  std::string instance_id;
  std::string zone;
  std::string region;
  std::string api_address;
  std::string peer_address;
  std::string table_address;
  std::string object_address;
  std::string instance_list_address;
  std::vector<std::string> seeds;
  LogLevel log_level = LogLevel::kInfo;
  bool tracing = true;
  Duration stop_limit = Duration::zero();
  Duration address_ttl = seconds(5);
  Duration lease_duration = seconds(30);
  Duration lease_renewal = seconds(10);
  Duration head_poll = seconds(2);
  Duration instance_list_poll = seconds(2);
};

class Settings::Builder {
 public:
  Builder& SetInstanceId(std::string value);
  Builder& SetZone(std::string value);
  Builder& SetRegion(std::string value);
  Builder& SetApiAddress(std::string value);
  Builder& SetPeerAddress(std::string value);
  Builder& SetTableAddress(std::string value);
  Builder& SetObjectAddress(std::string value);
  Builder& SetInstanceListAddress(std::string value);
  Builder& SetSeeds(std::vector<std::string> value);
  Builder& SetLogLevel(LogLevel value);
  Builder& SetTracing(bool value);
  Builder& SetStopLimit(Duration value);
  Builder& SetAddressTtl(Duration value);
  Builder& SetLeaseDuration(Duration value);
  Builder& SetLeaseRenewal(Duration value);
  Builder& SetHeadPoll(Duration value);
  Builder& SetInstanceListPoll(Duration value);
  Settings Build() const { return this->settings; }

 private:
  Settings settings;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_SETTINGS_H_
