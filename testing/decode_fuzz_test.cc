// Tests every decoder of external input with damaged and random input: it gives an error that names
// the invalid part, never a crash, and accepted values round-trip.

#include <catch2/catch.hpp>
#include <random>

#include "anvilcroft/config_document.h"
#include "anvilcroft/endpoint.h"
#include "anvilcroft/engine_report.h"
#include "anvilcroft/http_request.h"
#include "anvilcroft/json.h"
#include "anvilcroft/member.h"
#include "anvilcroft/target.h"
#include "anvilcroft/trace_context.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

constexpr char kDocument[] =
    R"({"deployments":{"d":{"zones":["a","b"],"services":{"s":{"kind":"model_engine","operations":
{"generate":{"path":"/v1/generate","repeatable":true}},"max_in_flight":4,"short_reserve":0.5,
"model":"m"},"j":{"kind":"judge","operations":{}}}}},"drained_targets":{"t":true,"u":false}})";
constexpr char kTarget[] =
    R"({"id":"t","kind":"app_engine","service":"s","address":"127.0.0.1:1","zone":"a","state":"live"})";
constexpr char kMember[] =
    R"({"id":"i","zone":"a","region":"r","api_address":"127.0.0.1:1","peer_address":"127.0.0.1:2","epoch":9,"state":"leaving"})";
constexpr char kReport[] =
    R"({"id":"e","instance_start":"x","model":"m","adapters":[],"weight_version":3,"role":"","swapping":false,
"leaving":true,"checks_fencing":true,"last_fencing":7,"load":{"running":1,"waiting":2,"kv_free":0.5}})";

// Passes `value` to every decoder. Returns how many accepted it.
int DecodeAll(const json& value) {
  int accepted = 0;
  const auto count_decoded = [&](bool decoded) { accepted += decoded ? 1 : 0; };
  const auto document = ConfigDocument::Decode(1, value);
  count_decoded(document.has_value());
  if (document) CHECK(ConfigDocument::Decode(1, document->Json()) == document);
  if (!document) CHECK_FALSE(document.error().message.empty());
  count_decoded(DecodeTarget(value).has_value());
  const auto member = DecodeMember(value);
  count_decoded(member.has_value());
  if (member) CHECK(DecodeMember(EncodeMember(*member)) == member);
  const auto report = DecodeEngineReport(value);
  count_decoded(report.has_value());
  if (report) CHECK((report->kv_free >= 0 && report->kv_free <= 1 && report->weight_version >= 0));
  return accepted;
}

std::string Damage(std::string text, std::mt19937_64& random) {
  static const std::string alphabet =
      std::string("{}[]\":,0129-+eE.truefalsn\\u \n\xff\xc3") + '\0';
  for (uint64_t edits = random() % 4 + 1; edits > 0 && !text.empty(); --edits) {
    const std::size_t at = random() % text.size();
    switch (random() % 4) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.insert(at, 1, alphabet[random() % alphabet.size()]);
        break;
      case 2:
        text.erase(at, random() % 6);
        break;
      default:
        text.insert(random() % text.size(), text.substr(at, random() % 12));
    }
  }
  return text;
}

// Replaces, removes or adds one value at a random place in the tree.
void MutateTree(json& value, std::mt19937_64& random) {
  static const std::vector<json> scalars = {nullptr,
                                            true,
                                            -1,
                                            INT64_MIN,
                                            UINT64_MAX,
                                            1e308,
                                            0.5,
                                            "",
                                            "live",
                                            "serving",
                                            "judge",
                                            json::array(),
                                            json::object(),
                                            "127.0.0.1:65535",
                                            std::string(2000, 'x')};
  if (value.is_structured() && !value.empty() && random() % 4 != 0) {
    auto at = value.begin();
    std::advance(at, random() % value.size());
    if (random() % 6 == 0) {
      value.erase(at);
    } else {
      MutateTree(*at, random);
    }
  } else if (value.is_object() && random() % 2 == 0) {
    value["unknown"] = scalars[random() % scalars.size()];
  } else {
    value = scalars[random() % scalars.size()];
  }
}

TEST_CASE("valid records are accepted, each by its own decoder", "[fuzz]") {
  for (const char* text : {kDocument, kTarget, kMember, kReport}) {
    const auto value = ParseJson(text);
    REQUIRE(value);
    CHECK(DecodeAll(*value) == 1);
    CHECK(ParseCbor(std::string_view()).has_value() == false);
    const auto bytes = json::to_cbor(*value);
    const auto decoded = ParseCbor({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
    CHECK(decoded == value);
  }
}

TEST_CASE("a name in the configuration cannot contain the separator of row keys", "[config]") {
  const auto decode = [](const std::string& from, const std::string& to) {
    std::string text = kDocument;
    text.replace(text.find(from), from.size(), to);
    return ConfigDocument::Decode(1, *ParseJson(text));
  };
  const auto refused = decode("\"s\":", "\"s/t\":");
  REQUIRE_FALSE(refused);
  CHECK(refused.error().code == ErrorCode::kInvalidPatch);
  CHECK(refused.error().part == "deployments.d.services.s/t");
  CHECK_FALSE(decode("\"d\":", "\"\":"));
  CHECK_FALSE(decode("\"generate\"", "\"a b\""));
  CHECK_FALSE(decode("[\"a\",\"b\"]", "[\"a\",\"b/\"]"));
}

TEST_CASE("damaged JSON text never crashes a decoder", "[fuzz]") {
  std::mt19937_64 random(11);
  for (int round = 0; round < 4000; ++round) {
    for (const char* valid : {kDocument, kTarget, kMember, kReport}) {
      const auto value = ParseJson(Damage(valid, random));
      if (!value) {
        REQUIRE(value.error().part.rfind("byte ", 0) == 0);
        continue;
      }
      DecodeAll(*value);
      const auto again = ParseJson(DumpJson(*value));
      REQUIRE(again);
      REQUIRE(DumpJson(*again) == DumpJson(*value));
    }
  }
}

TEST_CASE("records with values of wrong types never crash a decoder", "[fuzz]") {
  std::mt19937_64 random(12);
  int accepted = 0;
  for (int round = 0; round < 4000; ++round) {
    for (const char* valid : {kDocument, kTarget, kMember, kReport}) {
      json value = *ParseJson(valid);
      for (uint64_t edits = random() % 3 + 1; edits > 0; --edits) MutateTree(value, random);
      accepted += DecodeAll(value);
    }
  }
  CHECK(accepted > 100);
}

TEST_CASE("damaged CBOR never crashes a decoder", "[fuzz]") {
  std::mt19937_64 random(13);
  const auto bytes = json::to_cbor(*ParseJson(kDocument));
  const std::string valid(bytes.begin(), bytes.end());
  for (int round = 0; round < 10000; ++round) {
    const auto value = ParseCbor(Damage(valid, random));
    if (value) DecodeAll(*value);
  }
  for (int round = 0; round < 10000; ++round) {
    std::string noise(random() % 40, '\0');
    for (char& c : noise) c = static_cast<char>(random());
    ParseCbor(noise);
  }
}

TEST_CASE("deep nesting is refused before it exhausts the stack", "[fuzz]") {
  constexpr std::size_t kBytes = 1 << 20;
  CHECK(ParseJson(std::string(kMaxJsonDepth, '[') + std::string(kMaxJsonDepth, ']')));
  CHECK(ParseJson(std::string(kMaxJsonDepth + 1, '[')).error().code == ErrorCode::kTooLarge);
  CHECK(ParseJson(std::string(kBytes, '[')).error().code == ErrorCode::kTooLarge);
  std::string objects;
  while (objects.size() < kBytes) objects += "{\"a\":";
  CHECK(ParseJson(objects).error().code == ErrorCode::kTooLarge);
  // Repeats each initial byte of CBOR: arrays, maps, tags and strings of indefinite length nest.
  for (int head = 0; head < 256; ++head) {
    INFO(head);
    const auto value = ParseCbor(std::string(kBytes, static_cast<char>(head)));
    CHECK_FALSE(value);
  }
}

TEST_CASE("damaged endpoints, trace headers and paths are refused or round-trip", "[fuzz]") {
  CHECK_FALSE(ParseEndpoint(std::string("127.0.0.1\0:80", 13)));
  std::mt19937_64 random(14);
  const std::string header = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  for (int round = 0; round < 20000; ++round) {
    const std::string trace = Damage(header, random);
    const auto context = ParseTraceParent(trace);
    if (context) REQUIRE(context->ToHeader().substr(0, 52) == trace.substr(0, 52));
    for (const char* valid : {"127.0.0.1:8080", "[2001:db8::1]:80"}) {
      const auto endpoint = ParseEndpoint(Damage(valid, random));
      if (!endpoint) continue;
      REQUIRE(endpoint->ip.find('\0') == std::string::npos);
      REQUIRE(ParseEndpoint(endpoint->ToString()) == endpoint);
    }
    const std::string target = Damage("/v1/a%20b/c?x=1&y=%41+z&&=&q", random);
    const auto request = HttpRequest::Builder().SetTarget(target).Build();
    REQUIRE(request.Path().size() <= target.size());
    REQUIRE(request.QueryValue("x").size() <= target.size());
    REQUIRE(PercentDecode(PercentEncode(target), false) == target);
  }
}

}  // namespace
}  // namespace anvilcroft
