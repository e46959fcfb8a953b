#ifndef ANVILCROFT_GROUP_ID_H_
#define ANVILCROFT_GROUP_ID_H_

// Identity of one group of samples, and the keys of its rows.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"

namespace anvilcroft {

struct GroupId {
  // Number of shards over which groups are spread.
  static constexpr int kShards = 64;
  // Maximum length of the name of a trainer or a group, in bytes.
  static constexpr std::size_t kMaxNameBytes = 128;

  std::string trainer;
  int64_t step = 0;
  std::string group;

  // Returns the shard of the group, from 0 to kShards - 1. The owner of the shard runs the group.
  int Shard() const;
  // Key of the marker, a `groups` row that exists while samples of the group remain to be produced.
  std::string MarkerKey() const;
  // Key of the `steps` row that holds the group's prompt and parameters.
  std::string DefinitionKey() const;
  // Key of the `samples` and `ready` rows of one sample; also the sample's name.
  std::string SampleKey(int64_t index) const;
  // Prefix of the keys of all samples of the group.
  std::string SamplePrefix() const;

  // Prefix of the keys of the markers in one shard.
  static std::string ShardPrefix(int shard);
  // Item whose rendezvous hash determines the owner of a shard.
  static std::string ShardItem(int shard);

  // Value of the marker row.
  nlohmann::json Encode() const;
  static Result<GroupId> Decode(const nlohmann::json& value);

  // Parses a key made by SampleKey and sets `index` to the sample's index. Fails with
  // kInvalidArgument if the key is malformed.
  static Result<GroupId> ParseSampleKey(const std::string& key, int64_t& index);

  friend bool operator==(const GroupId& a, const GroupId& b) { return a.Tie() == b.Tie(); }
  friend bool operator!=(const GroupId& a, const GroupId& b) { return !(a == b); }
  friend bool operator<(const GroupId& a, const GroupId& b) { return a.Tie() < b.Tie(); }

 private:
  std::tuple<const std::string&, const int64_t&, const std::string&> Tie() const {
    return std::tie(this->trainer, this->step, this->group);
  }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_GROUP_ID_H_
