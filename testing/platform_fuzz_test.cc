// Tests every decoder of the platform's messages, of rows in the store and of calls between
// instances with damaged input: it gives an error or a value, never an exception or a crash.

#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>

#include "anvilcroft/batch_records.h"
#include "anvilcroft/front_record.h"
#include "anvilcroft/owner_handover.h"
#include "anvilcroft/owner_lease.h"
#include "anvilcroft/sse_parser.h"
#include "platform/batch_wire.h"
#include "platform/operator_rows.h"
#include "testing/platform_fixture.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

struct Decoder {
  std::string valid;  // a value that it accepts
  std::function<bool(const std::string& value)> accepts;
};

std::vector<Decoder> Decoders() {
  ItemText text;
  text.Add("event", 3);
  OwnerHandover handover;
  handover.record = OwnerRecord{"one", 7, 120};
  handover.texts[{"job", "item"}] = text;
  BatchHead head;
  head.id = "job";
  head.host = "h";
  head.path = "/p/";
  head.customer = "one";
  FrontRecord front;
  front.instance = "one";
  front.address = "127.0.0.1:1";
  const json target = {{"Service", "s"},
                       {"Address", "127.0.0.1:1"},
                       {"Zone", "a"},
                       {"Slots", 4},
                       {"State", "ready"},
                       {"ColdRemainingMs", 0},
                       {"Sequence", 3},
                       {"born", 1700000000000},
                       {"Models", {{{"Name", "m"}, {"Version", 2}, {"Adapters", json::array()}}}}};
  const auto version_row = [](const std::string& value) {
    StoredRow row;
    row.id = RowId{"op", "", "version/m"};
    row.value = value;
    return row;
  };
  json customers = {{"Version", 3}, {"Routes", json::array()}, {"Services", json::array()}};
  customers["Tenants"] = {{{"Name", "one"}, {"ApiKeys", {"a", "b"}}, {"Priority", 1}},
                          {{"Name", "two"}, {"ApiKeys", {"c"}}}};
  return {
      {PlatformFixture::Configuration(3).dump(),
       [](const auto& v) { return platform::DecodeConfiguration(v).has_value(); }},
      {customers.dump(),
       [](const auto& v) { return platform::DecodeConfiguration(v).has_value(); }},
      {target.dump(),
       [](const auto& v) { return platform::DecodeTargetEntry("i", v).has_value(); }},
      {R"({"Model":"m","Version":4})",
       [=](const auto& v) {
         return static_cast<bool>(platform::DecodeRequestedVersion(version_row(v)));
       }},
      {PlatformFixture::Step("a", 2),
       [](const auto& v) { return platform::DecodeSubmission("j", "h", "/r/", v).has_value(); }},
      {EncodeFront(front), [](const auto& v) { return DecodeFront(v).has_value(); }},
      {EncodeHeartbeat(12345), [](const auto& v) { return DecodeHeartbeat(v).has_value(); }},
      {EncodeWatch({"one", 4, {"two"}}), [](const auto& v) { return DecodeWatch(v).has_value(); }},
      {EncodeOwner(handover.record), [](const auto& v) { return DecodeOwner(v).has_value(); }},
      {EncodeHandover(handover), [](const auto& v) { return DecodeHandover(v).has_value(); }},
      {EncodeHead(head), [](const auto& v) { return DecodeHead("job", v).has_value(); }},
      {*EncodeText(text), [](const auto& v) { return DecodeText(v).has_value(); }},
      {"id: 1\ndata: x\n\n",
       [](const auto& v) {
         SseParser parser;
         return parser.Feed(v).has_value();
       }},
  };
}

std::string Damage(std::string text, std::mt19937_64& random) {
  static const std::vector<std::string> pieces = {"{",
                                                  "}",
                                                  "[",
                                                  "]",
                                                  "null",
                                                  "-1",
                                                  "1e400",
                                                  "99999999999999999999",
                                                  "\"\"",
                                                  "\xff",
                                                  "\\ud800",
                                                  std::string(1, '\0'),
                                                  std::string(64, '['),
                                                  ",\"Version\":3",
                                                  "\x9b\xff\xff\xff\xff\xff\xff\xff\xff"};
  for (uint64_t edits = random() % 3 + 1; edits > 0 && !text.empty(); --edits) {
    const std::size_t at = random() % text.size();
    switch (random() % 4) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.insert(at, pieces[random() % pieces.size()]);
        break;
      case 2:
        text.erase(at, 1 + random() % 20);
        break;
      default:
        text.insert(random() % text.size(), text.substr(at, random() % 40));
    }
  }
  return text;
}

// Guards against one malformed row, message or event that takes the process down.
TEST_CASE("damaged messages of the platform and of peers never throw", "[fuzz][platform]") {
  std::mt19937_64 random(22);
  for (const Decoder& decoder : Decoders()) {
    INFO(decoder.valid.substr(0, 200));
    REQUIRE(decoder.accepts(decoder.valid));
    CHECK_NOTHROW(decoder.accepts(""));
    for (int round = 0; round < 1500; ++round) {
      const std::string damaged = Damage(decoder.valid, random);
      CAPTURE(damaged);
      REQUIRE_NOTHROW(decoder.accepts(damaged));
    }
  }
}

}  // namespace
}  // namespace anvilcroft
