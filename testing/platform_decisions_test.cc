// Tests the decisions about leases, addresses and routes, and the records of jobs. Each test
// replays the fault that it guards against.

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "anvilcroft/batch_records.h"
#include "anvilcroft/front_directory.h"
#include "anvilcroft/owner_handover.h"
#include "anvilcroft/owner_lease.h"
#include "anvilcroft/route_table.h"

namespace anvilcroft {
namespace {

TEST_CASE("a lease is acquired from a silent holder, or at once if it is free or our own",
          "[lease]") {
  LeaseView view;
  const BootTime now = seconds(100);
  CHECK_FALSE(MayAcquire(view, "me", now, seconds(1)));  // the row has not been read
  view = ObserveRow(view, OwnerRecord{"you", 1, 0}, 7, now);
  CHECK_FALSE(MayAcquire(view, "me", now + milliseconds(900), seconds(1)));
  view = ObserveRow(view, OwnerRecord{"you", 1, 1}, 8, now + milliseconds(900));
  CHECK_FALSE(MayAcquire(view, "me", now + milliseconds(1800), seconds(1)));
  CHECK(MayAcquire(view, "me", now + milliseconds(1900), seconds(1)));
  CHECK(MayAcquire(ObserveRow(view, OwnerRecord{"me", 2, 0}, 9, now), "me", now, seconds(1)));
  CHECK(MayAcquire(ObserveRow(view, OwnerRecord{}, 10, now), "me", now, seconds(1)));
  // After an outage of the store, the holder's silence counts from the first read.
  view.read = false;
  view = ObserveRow(view, OwnerRecord{"you", 1, 1}, 8, now + seconds(60));
  CHECK_FALSE(MayAcquire(view, "me", now + seconds(60), seconds(1)));
}

TEST_CASE("a successor sends no order while the former holder may send one", "[lease]") {
  HeldLease lease;
  lease.fencing = 5;
  lease.orders_from = seconds(102);
  lease.valid_until = seconds(104);
  CHECK(lease.ValidAt(seconds(101)));
  CHECK_FALSE(lease.MayOrderAt(seconds(101)));
  CHECK(lease.MayOrderAt(seconds(103)));
  CHECK_FALSE(lease.ValidAt(seconds(104)));
}

FrontRecord Front(const std::string& id, const std::string& zone, StoreMillis written_at) {
  FrontRecord front;
  front.instance = id;
  front.zone = zone;
  front.address = id + ":1";
  front.written_at = written_at;
  return front;
}

std::map<std::string, FrontRecord> ByInstance(const std::vector<FrontRecord>& fronts) {
  std::map<std::string, FrontRecord> map;
  for (const FrontRecord& front : fronts) map.emplace(front.instance, front);
  return map;
}

TEST_CASE("callers get live instances, those of their zone first", "[directory]") {
  auto entries = ByInstance({Front("a", "x", 0), Front("b", "y", 9500), Front("dead", "y", 5000),
                             Front("leaving", "y", 9900)});
  entries["leaving"].leaving = true;
  const auto down =
      FindDownFronts(entries, {{"a", 9000}, {"dead", 4000}}, 10000, milliseconds(2600));
  CHECK(down == std::set<std::string>{"dead"});
  const auto live = FilterLiveFronts(entries, down);
  REQUIRE(live.size() == 2);
  CHECK(AddressesFor(live, "y", 64) == std::vector<std::string>{"b:1", "a:1"});
  CHECK(AddressesFor(live, "y", 1) == std::vector<std::string>{"b:1"});
}

// Guards against heartbeats that the store cannot take: a partition takes 200 writes a second, and
// the store as many as its settings say.
TEST_CASE("heartbeats stay within the rates of the store at any size", "[directory]") {
  for (const std::size_t fronts : {1, 12, 71, 195, 383, 2000}) {
    const double writes_per_s = fronts > 100 ? 3200 : 800;
    const double period_s =
        std::chrono::duration<double>(HeartbeatPeriod(fronts, writes_per_s)).count();
    const double beats_per_s = static_cast<double>(fronts) / period_s;
    CHECK(beats_per_s <= 0.2 * writes_per_s + 1e-6);
    std::map<std::string, int> by_partition;
    for (std::size_t i = 0; i < fronts; ++i) {
      ++by_partition[HeartbeatPartition("front-" + std::to_string(i), fronts)];
    }
    CHECK(by_partition.size() <= HeartbeatPartitions(fronts));
    for (const auto& [partition, count] : by_partition) {
      CHECK(count / period_s <= 120);
    }
  }
}

// Guards against callers that are sent to lost instances: at any size and for any number of losses
// at one moment, the watcher among them, no lost instance is named 2 s later, and no live one is
// taken for lost. Replays the decisions of all instances in steps of 50 ms.
TEST_CASE("lost instances are no longer named after two seconds", "[directory]") {
  std::mt19937 random(11);
  for (const int fronts : {9, 85, 195, 400}) {
    for (const double lost_share : {0.02, 0.5}) {
      std::map<std::string, FrontRecord> entries;
      std::vector<std::string> ids;
      for (int i = 0; i < fronts; ++i) {
        ids.push_back("f" + std::to_string(i));
        entries.emplace(ids.back(), Front(ids.back(), "z", 0));
      }
      const Duration period = HeartbeatPeriod(ids.size(), 3200);
      std::map<std::string, StoreMillis> beats;
      std::map<std::string, StoreMillis> next_beat;
      for (const std::string& id : ids) {
        next_beat[id] = static_cast<StoreMillis>(random() % ToMillis(period));
      }
      std::set<std::string> lost;
      std::string watcher = ids[0];  // ids are in the order of takeover
      StoreMillis watched_at = 0;
      std::set<std::string> down;
      constexpr StoreMillis kLossAt = 5000;
      for (StoreMillis now = 0; now <= kLossAt + 2000; now += 50) {
        if (now == kLossAt) {
          lost.insert(watcher);
          for (const std::string& id : ids) {
            if (random() % 1000 < lost_share * 1000) lost.insert(id);
          }
        }
        int rank = 0;
        for (const std::string& id : ids) {
          if (lost.count(id) != 0) {
            if (down.count(id) == 0) ++rank;
            continue;
          }
          if (now >= next_beat[id]) {
            beats[id] = now;
            next_beat[id] = now + ToMillis(period);
          }
          // Every instance checks every 300 ms, at times of its own.
          const bool checks = (now / 50 + static_cast<StoreMillis>(id.size() + rank)) % 6 == 0;
          if (checks && IsWatcher(id == watcher, milliseconds(now - watched_at), rank)) {
            watcher = id;
            watched_at = now;
            down = FindDownFronts(entries, beats, now, HeartbeatLifetime(period));
          }
          if (down.count(id) == 0) ++rank;
        }
        for (const std::string& id : down) REQUIRE(lost.count(id) != 0);
      }
      INFO(fronts << " instances, " << lost.size() << " lost, " << down.size() << " found");
      CHECK(down == lost);
    }
  }
}

TEST_CASE("the route with the longest prefix wins", "[route_table]") {
  const auto route = [](const std::string& name, const std::string& prefix) {
    ServiceRoute made;
    made.name = name;
    made.host = "h";
    made.prefix = prefix;
    return made;
  };
  const RouteTable table = RouteTable::Builder()
                               .SetVersion(3)
                               .AddRoute(route("short", "/a/"))
                               .AddRoute(route("long", "/a/b/"))
                               .Build();
  CHECK(table.Match("h", "/a/b/c")->name == "long");
  CHECK(table.Match("h:80", "/a/bc")->name == "short");
  CHECK(table.Match("h", "/a") == nullptr);
  CHECK(table.Match("other", "/a/b/c") == nullptr);
  CHECK(table.Match("h", "") == nullptr);
}

TEST_CASE("jobs and results round-trip, also if they need several rows", "[batch_records]") {
  BatchHead head;
  head.id = "j";
  head.host = "h";
  head.model = "m";
  head.step = 4;
  head.total = 2;
  head.submitted_at = 99;
  CHECK(DecodeHead("j", EncodeHead(head)) == head);
  std::vector<BatchItem> items(40);
  for (std::size_t i = 0; i < items.size(); ++i) {
    items[i].id = std::to_string(i);
    items[i].headers = {{"X-A", "1"}, {"X-B", std::string("\0\xff", 2)}};
    items[i].body = std::string(5000, static_cast<char>(i));
    if (i % 2 == 0) items[i].score = ScoreRequest{"s", "h", "/p", "b"};
  }
  const auto parts = EncodeItems(items);
  REQUIRE(parts);
  CHECK(parts->size() > 1);
  std::vector<BatchItem> read;
  for (const std::string& part : *parts) {
    CHECK(part.size() <= kMaxRowBytes);
    const auto decoded = DecodeItems(part);
    REQUIRE(decoded);
    read.insert(read.end(), decoded->begin(), decoded->end());
  }
  CHECK(read == items);
  ItemText text;
  text.Add("one", 3);
  text.Add("two", 4);
  CHECK(DecodeText(*EncodeText(text)) == text);
  text.Add(std::string(kMaxRowBytes, 'x'), 4);
  CHECK_FALSE(EncodeText(text));
  ItemResult result;
  result.item_id = "1";
  result.completed = true;
  result.text = std::string(150000, 'x');
  result.versions = {3, 4};
  result.score = "sig";
  ResultDecoder decoder;
  const auto rows = EncodeResult(result);
  REQUIRE(rows.size() == 3);
  for (std::size_t i = 0; i < rows.size(); ++i) {
    CHECK(rows[i].size() <= kMaxRowBytes);
    const auto added = decoder.Add(rows[i]);
    REQUIRE(added);
    CHECK(added->has_value() == (i == 2));
    if (*added) CHECK(**added == result);
  }
  CHECK(ResultPosition(ResultRow("j", 17).key) == 17);
}

// Guards against an offer that is taken for accepted although the other instance did not handle it,
// and against one that a malformed text makes useless.
TEST_CASE("an offer of the lease keeps its texts and its answer", "[lease]") {
  OwnerHandover handover;
  handover.record = OwnerRecord{"one", 7, 120};
  handover.texts[{"job", "a"}].Add("event", 3);
  handover.texts[{"job", "b"}].Add(std::string("\xff\0binary", 8), 4);
  const auto decoded = DecodeHandover(EncodeHandover(handover));
  REQUIRE(decoded);
  CHECK(*decoded == handover);
  CHECK_FALSE(DecodeHandover("not a handover"));
  for (const auto answer :
       {HandoverAnswer::kTaken, HandoverAnswer::kDeclined, HandoverAnswer::kUnknown}) {
    CHECK(HandoverAnswerFor(HandoverStatus(answer)) == answer);
  }
  CHECK(HandoverAnswerFor(200) == HandoverAnswer::kDeclined);
  CHECK(HandoverAnswerFor(404) == HandoverAnswer::kDeclined);
  // An item that appears in a second job has another text there.
  handover.texts[{"next", "a"}].Add("another", 5);
  CHECK(DecodeHandover(EncodeHandover(handover))->texts.size() == 3);
  // Of more texts than fit, the longest are sent.
  for (int i = 0; i < 200; ++i) {
    handover.texts[{"job", "large" + std::to_string(i)}].Add(std::string(50000, 'x'), 1);
  }
  const std::string encoded = EncodeHandover(handover);
  CHECK(encoded.size() <= kMaxHandoverBytes);
  const auto truncated = DecodeHandover(encoded);
  REQUIRE(truncated);
  CHECK(truncated->texts.size() > 50);
  CHECK(truncated->texts.count({"job", "a"}) == 0);
}

// Guards against weights that no engine loads for three seconds after each change of the owner, and
// against orders while those of the former holder may still arrive.
TEST_CASE("a successor orders engines once the former holder cannot", "[lease]") {
  const auto at = [](int millis) { return BootTime(milliseconds(millis)); };
  const auto from = [&](const std::string& former, std::optional<Duration> settle) {
    return OrdersFrom(former, at(9000), "self", at(10000), seconds(3), settle);
  };
  CHECK(from("", std::nullopt) == at(10000));
  CHECK(from("self", std::nullopt) == at(10000));
  CHECK(from("other", std::nullopt) == at(12000));
  CHECK(from("other", milliseconds(300)) == at(10300));
  CHECK(from("other", seconds(5)) == at(12000));
}

// Guards against work on a lease that another instance may have accepted.
TEST_CASE("an offered lease is not valid", "[lease]") {
  HeldLease lease;
  lease.fencing = 5;
  lease.valid_until = BootTime(seconds(10));
  CHECK(lease.ValidAt(BootTime(seconds(9))));
  lease.offered = true;
  CHECK_FALSE(lease.ValidAt(BootTime(seconds(9))));
  CHECK_FALSE(lease.MayOrderAt(BootTime(seconds(9))));
}

}  // namespace
}  // namespace anvilcroft
