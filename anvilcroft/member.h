#ifndef ANVILCROFT_MEMBER_H_
#define ANVILCROFT_MEMBER_H_

// An instance of anvilcroft as listed in the roster. Immutable; built by Member::Builder.

#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"
#include "anvilcroft/row.h"

namespace anvilcroft {

class Member {
 public:
  class Builder;
  enum class State { kServing, kLeaving };

  const std::string& Id() const { return this->id; }
  const std::string& Zone() const { return this->zone; }
  const std::string& Region() const { return this->region; }
  // "ip:port" of the API for callers, trainers and operators.
  const std::string& ApiAddress() const { return this->api_address; }
  // "ip:port" of the peer port for other instances.
  const std::string& PeerAddress() const { return this->peer_address; }
  // Version of the transaction in which this run of the instance joined.
  RowVersion Epoch() const { return this->epoch; }
  State CurrentState() const { return this->state; }
  bool Serving() const { return this->state == State::kServing; }

  friend bool operator==(const Member& a, const Member& b) {
    return std::tie(a.id, a.zone, a.region, a.api_address, a.peer_address, a.epoch, a.state) ==
           std::tie(b.id, b.zone, b.region, b.api_address, b.peer_address, b.epoch, b.state);
  }
  friend bool operator!=(const Member& a, const Member& b) { return !(a == b); }
  friend bool operator<(const Member& a, const Member& b) { return a.id < b.id; }

 private:
  std::string id;
  std::string zone;
  std::string region;
  std::string api_address;
  std::string peer_address;
  RowVersion epoch = 0;
  State state = State::kServing;
};

class Member::Builder {
 public:
  Builder() = default;
  // Starts from a copy of `member`.
  explicit Builder(const Member& member) : member(member) {}

  Builder& SetId(std::string id);
  Builder& SetZone(std::string zone);
  Builder& SetRegion(std::string region);
  Builder& SetApiAddress(std::string address);
  Builder& SetPeerAddress(std::string address);
  Builder& SetEpoch(RowVersion epoch);
  Builder& SetState(State state);
  Member Build() const { return this->member; }

 private:
  Member member;
};

// Encodes `member` as an entry of a roster row. An epoch of 0 stands for the version of that row,
// which the joining transaction cannot know when it writes the entry.
nlohmann::json EncodeMember(const Member& member);

// Fails with kInvalidArgument if `value` is not a valid entry.
Result<Member> DecodeMember(const nlohmann::json& value);

}  // namespace anvilcroft

#endif  // ANVILCROFT_MEMBER_H_
