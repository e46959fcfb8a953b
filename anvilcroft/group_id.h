#ifndef ANVILCROFT_GROUP_ID_H_
#define ANVILCROFT_GROUP_ID_H_

// Identity of one group of samples, and the keys of its rows. Immutable value.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"

namespace anvilcroft {

struct GroupId {
  // Number of shards over which groups are spread.
  static constexpr int kShards = 64;
  // Longest name of a trainer or a group, bytes.
  static constexpr std::size_t kMaxNameBytes = 128;

  std::string trainer;
  int64_t step = 0;
  std::string group;

  // The shard whose owner runs the group, 0 to kShards - 1.
  int Shard() const;
  // Key of the row `groups`, which says that samples of the group are still to be produced.
  std::string MarkerKey() const;
  // Key of the row `steps` that holds the group's prompt and parameters.
  std::string DefinitionKey() const;
  // Key of the rows `samples` and `ready` of one sample; also the sample's name.
  std::string SampleKey(int64_t index) const;
  // Prefix of the keys of all samples of the group.
  std::string SamplePrefix() const;

  // Prefix of the keys of the markers in one shard.
  static std::string ShardPrefix(int shard);
  // The item of rendezvous hashing that decides the owner of a shard.
  static std::string ShardItem(int shard);

  // Value of the marker row.
  nlohmann::json Encode() const;
  static Result<GroupId> Decode(const nlohmann::json& value);

  // Reads the key of a sample; `index` gets the sample's index. Fails with kInvalidArgument.
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
