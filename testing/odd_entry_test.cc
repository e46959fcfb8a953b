// Tests entries that another writer leaves among those of the targets: an instance goes on serving
// and following the table, and sends nothing to what they name.

#include <catch2/catch.hpp>

#include "platform/operator_rows.h"
#include "testing/platform_fixture.h"
#include "testing/raw_listener.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

json ValidEntry(const std::string& address) {
  return {{"Service", "app"}, {"Address", address},     {"Zone", "a"},   {"Version", "v1"},
          {"Slots", 4},       {"State", "ready"},       {"Sequence", 1}, {"ColdRemainingMs", 0},
          {"born", 1000},     {"Models", json::array()}};
}

std::string WithField(const std::string& field, const std::string& value) {
  json entry = ValidEntry("127.0.0.1:9");
  entry.erase(field);
  std::string text = entry.dump();
  text.pop_back();
  return text + ",\"" + field + "\":" + value + "}";
}

// Values that name no target to use.
std::vector<std::string> OddValues() {
  std::vector<std::string> values = {"",
                                     "null",
                                     "[]",
                                     "{}",
                                     "\"x\"",
                                     "{",
                                     std::string(1, '\0'),
                                     "\xff\xfe",
                                     std::string(60000, '['),
                                     std::string(60000, 'x')};
  const std::string deep = std::string(29000, '[') + std::string(29000, ']');
  for (const char* field : {"Service", "Address", "State"}) {
    for (const std::string& value : {std::string("1"), std::string("null"), std::string("[]"),
                                     std::string("\"\""), deep, std::string("1e400")}) {
      values.push_back(WithField(field, value));
    }
  }
  for (const char* field : {"Slots", "born", "ColdRemainingMs"}) {
    for (const std::string& value :
         {std::string("-1"), std::string("1e400"), std::string("99999999999999999999999999"),
          std::string("\"4\""), deep}) {
      values.push_back(WithField(field, value));
    }
  }
  for (const char* address : {"127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:", ":80",
                              "127.0.0.1", "host:80", "[::1]", "127.0.0.1:99999999999999999"}) {
    values.push_back(ValidEntry(address).dump());
  }
  return values;
}

// Keys under which no target registers itself.
std::vector<std::string> OddKeys() {
  return {"",           " ",     "a b", "i-x\r\nX-Evil: 1", "i-\x01", std::string("i-\0x", 4),
          "i-\xc3\xbc", "i-\x7f"};
}

// A fixture with a listener to which only odd entries point.
class OddEntryFixture : public PlatformFixture {
 public:
  OddEntryFixture() : listener(this->runtime, [](Task&, testing::RawListener::Socket&) {}) {}

  void PutOddEntries() {
    const auto values = OddValues();
    for (std::size_t i = 0; i < values.size(); ++i) {
      this->store.Put("servers", "i-odd" + std::to_string(i), values[i]);
    }
    const std::string address = this->listener.Address().ToString();
    for (const std::string& key : OddKeys()) {
      this->store.Put("servers", key, ValidEntry(address).dump());
    }
  }

  // Checks that a target that joins gets the requests of the one that leaves, and that no request
  // goes to what odd entries name.
  void CheckServes(Task& task, FrontInstance& instance, const std::string& id) {
    auto joined = std::make_unique<fakes::PlatformEngine>(this->runtime, id, "");
    REQUIRE(joined->Start());
    this->store.Put("servers", id, joined->RegistrationEntry("app", "a"));
    this->store.Remove("servers", this->serving);
    this->serving = id;
    this->Await(task, id + " gets requests", [&] {
      const std::string attempt = "r" + std::to_string(this->requests++);
      const auto answer =
          this->Send(task, instance.FrontAddress(), "POST", "/lookup/1", attempt, "", "1500");
      CHECK(answer);
      if (answer) CHECK(answer->Status() == 200);
      return !joined->started.empty();
    });
    CHECK(this->listener.Connections() == 0);
    this->joined.push_back(std::move(joined));
  }

  testing::RawListener listener;
  int requests = 0;
  std::string serving = "i-app";
  std::vector<std::unique_ptr<fakes::PlatformEngine>> joined;
};

// Guards against an entry that is taken for a target although it names none that can be used: a
// port of 0, or an id that would add a field to each request.
TEST_CASE("odd entries name no target", "[odd]") {
  for (const std::string& value : OddValues()) {
    CAPTURE(value.substr(0, 200));
    CHECK_FALSE(platform::DecodeTargetEntry("i-odd", value));
  }
  const std::string valid = ValidEntry("127.0.0.1:80").dump();
  for (const std::string& key : OddKeys()) CHECK_FALSE(platform::DecodeTargetEntry(key, valid));
  CHECK(platform::DecodeTargetEntry("i-7f3a91c2", valid));
}

// Guards against a process that ends, or stops following the table, for one entry of another
// writer: while it follows the feed, when it starts, and when it reads the whole table again.
TEST_CASE("odd entries of targets do not disturb an instance", "[odd]") {
  OddEntryFixture fixture;
  const bool before_start = GENERATE(false, true);
  CAPTURE(before_start);
  if (before_start) fixture.PutOddEntries();
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    fixture.Await(task, "the table of targets is read", [&] {
      const auto answer =
          fixture.Send(task, instance.FrontAddress(), "POST", "/lookup/1", "first", "", "1500");
      return answer && answer->Status() == 200;
    });
    fixture.PutOddEntries();
    fixture.CheckServes(task, instance, "i-join1");
    fixture.store.DropHistory();
    fixture.CheckServes(task, instance, "i-join2");
  });
}

// Guards against an instance that never follows the table again, because the changes since its last
// read do not fit into one response that it accepts, and against one that holds the whole table in
// memory.
TEST_CASE("many large odd entries do not stop an instance from following", "[odd]") {
  OddEntryFixture fixture;
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    const std::string large(60000, 'x');
    for (int i = 0; i < 400; ++i) {
      fixture.store.Put("servers", "i-odd" + std::to_string(i), large);
    }
    fixture.CheckServes(task, instance, "i-join");
  });
}

}  // namespace
}  // namespace anvilcroft
