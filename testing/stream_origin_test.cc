// Tests which streams are recorded, and when the default software version of a service changes.

#include "anvilcroft/stream_origin.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>

namespace anvilcroft {
namespace {

// Guards against a stream without a record that instances with an older view take for one of
// another version.
TEST_CASE("only streams of a settled default version need no record", "[software]") {
  const DefaultSoftware known{"v1", 1000};
  const StoreMillis settled = 1000 + ToMillis(kDefaultSettled);
  CHECK(IsImplied("v1", known, seconds(12), settled));
  CHECK_FALSE(IsImplied("v1", known, seconds(12), settled - 1));
  CHECK_FALSE(IsImplied("v2", known, seconds(12), settled));
  CHECK_FALSE(IsImplied("v1", std::nullopt, seconds(12), settled));
  // Taken up after the default may have changed.
  CHECK_FALSE(IsImplied("v1", known, kMaxStreamTime + seconds(1), settled));
}

TEST_CASE("the default version is kept while its streams may be taken up", "[software]") {
  const DefaultSoftware known{"v1", 1000};
  CHECK(NextDefaultSoftware(std::nullopt, {{"v1", 2}, {"v2", 3}}, seconds(0)) == "v2");
  CHECK(NextDefaultSoftware(std::nullopt, {}, seconds(0)) == std::nullopt);
  CHECK(NextDefaultSoftware(known, {{"v1", 1}, {"v2", 9}}, seconds(1000)) == std::nullopt);
  CHECK(NextDefaultSoftware(known, {{"v2", 9}}, kMaxStreamTime) == std::nullopt);
  CHECK(NextDefaultSoftware(known, {{"v2", 9}}, kMaxStreamTime + kDefaultSettled) == "v2");
  CHECK(NextDefaultSoftware(known, {}, seconds(1000)) == std::nullopt);
}

// Replays releases in which each version replaces the one before, and takes each stream up at a
// random moment within its time. Guards against a stream that is taken for one of another version:
// the oracle is a table of all streams.
TEST_CASE("every stream is known by its record or by the default version", "[software]") {
  std::mt19937_64 random(5);
  const auto between = [&](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
  };
  std::optional<DefaultSoftware> known;
  StoreMillis default_seen = 0;
  struct Open {
    std::string software;
    bool recorded = false;
    StoreMillis until = 0;
  };
  std::vector<Open> streams;
  std::map<std::string, std::size_t> targets = {{"v0", 4}};
  int release = 0;
  int implied = 0;
  int taken_up = 0;
  for (StoreMillis now = 10000; now < 1'500'000; now += 500) {
    if (between(0, 200) == 0) {
      targets["v" + std::to_string(++release)] = static_cast<std::size_t>(between(1, 4));
    }
    if (targets.size() > 1 && between(0, 30) == 0) targets.erase(targets.begin());
    if (known && targets.count(known->software) != 0) default_seen = now;
    const auto next = NextDefaultSoftware(known, targets, milliseconds(now - default_seen));
    if (next) {
      known = DefaultSoftware{*next, now};
      default_seen = now;
    }
    const auto target =
        std::next(targets.begin(), between(0, static_cast<int>(targets.size()) - 1));
    const int stream_ms = between(1000, 90000);
    const bool needs_no_record = IsImplied(target->first, known, milliseconds(stream_ms), now);
    if (needs_no_record) ++implied;
    streams.push_back({target->first, !needs_no_record, now + stream_ms});
    for (const Open& stream : streams) {
      if (stream.until < now || between(0, 20) != 0 || stream.recorded) continue;
      ++taken_up;
      REQUIRE(known);
      CHECK(known->software == stream.software);
    }
  }
  CHECK(implied > 500);
  CHECK(taken_up > 500);
}

TEST_CASE("records of streams are decoded as they were encoded", "[software]") {
  const OriginRecord record{{"model", "v2"}, 12345};
  CHECK(DecodeOrigin(EncodeOrigin(record)) == record);
  const DefaultSoftware value{"v7", 99};
  CHECK(DecodeDefaultSoftware(EncodeDefaultSoftware(value)) == value);
  for (const char* malformed : {"", "{}", "[]", "{\"service\":1}", "{\"since\":-1}"}) {
    CHECK_FALSE(DecodeOrigin(malformed).has_value());
  }
  CHECK_FALSE(DecodeDefaultSoftware("{\"software\":3,\"since\":1}").has_value());
}

}  // namespace
}  // namespace anvilcroft
