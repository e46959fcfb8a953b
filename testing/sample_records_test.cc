// Tests the rows of samples. Guards against a value that cannot be decoded after it was written,
// and against keys of two groups that collide.

#include <catch2/catch.hpp>

#include "anvilcroft/group_id.h"
#include "anvilcroft/json.h"
#include "anvilcroft/take_record.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

TEST_CASE("encoded records decode to equal records", "[records]") {
  ReadyRecord ready;
  ready.output = "\"\n\u00e9";
  ready.weight_versions = {{3, 10}, {2, 1}};
  ready.reward = -0.25;
  CHECK(ready.MinVersion() == 2);
  CHECK(ReadyRecord::Decode(ready.Encode()).value() == ready);
  // The largest output, all of bytes that JSON escapes with six characters each.
  const std::string largest_output(ReadyRecord::kMaxOutputBytes, '\x01');
  ready.output.clear();
  ready.output_key = "key";
  ready.output_bytes = static_cast<int64_t>(DumpJson(largest_output).size());
  CHECK(ReadyRecord::Decode(ready.Encode()).value() == ready);
  const TakeRecord take{"k", 1, {{"t/1/g/0", ready}}, 5};
  CHECK(TakeRecord::Decode(take.Encode()).value() == take);
}

TEST_CASE("a ready row without a weight version is refused", "[records]") {
  ReadyRecord ready;
  ready.weight_versions = {{3, 1}};
  json value = ready.Encode();
  value["weight_versions"] = json::array();
  CHECK_FALSE(ReadyRecord::Decode(value));
  value["weight_versions"] = json::array({{{"tokens", 1}}});
  CHECK_FALSE(ReadyRecord::Decode(value));
}

TEST_CASE("keys of different groups do not collide and are decoded", "[records]") {
  const GroupId plain{"a", 1, "b/2"};
  const GroupId other{"a/1", 1, "2"};
  CHECK(plain.DefinitionKey() != other.DefinitionKey());
  for (const GroupId& id : {plain, other, GroupId{"%2F \xc3\xa9", 0, "/"}}) {
    int64_t index = 0;
    CHECK(GroupId::ParseSampleKey(id.SampleKey(17), index).value() == id);
    CHECK(index == 17);
    CHECK(GroupId::Decode(id.Encode()).value() == id);
    CHECK(id.Shard() >= 0);
    CHECK(id.Shard() < GroupId::kShards);
    CHECK(id.MarkerKey().rfind(GroupId::ShardPrefix(id.Shard()), 0) == 0);
  }
  int64_t index = 0;
  for (const char* key : {"", "a", "a/1/b", "a/1/b/c", "a/x/b/1", "a/1/b/-1", "a/1/b/1/2",
                          "a/1/b/99999999999999999999"}) {
    CHECK_FALSE(GroupId::ParseSampleKey(key, index));
  }
}

}  // namespace
}  // namespace anvilcroft
