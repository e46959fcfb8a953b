// Tests the settings loader: every mistake is reported with its position, and no damaged input
// crashes the program or gives settings that were not checked.

#include <catch2/catch.hpp>
#include <random>

#include "anvilcroft/settings_loader.h"
#include "anvilcroft/yaml_tree.h"

namespace anvilcroft {
namespace {

constexpr char kValid[] = R"(instance_id: a-1
zone: a
region: west
api_address: 127.0.0.1:8080
peer_address: 127.0.0.1:8081
platform:
  table: 127.0.0.1:9001
  objects: 127.0.0.1:9002
  instances: 127.0.0.1:9003
seeds: [127.0.0.1:8181, "[::1]:8281"]
log: {level: debug, tracing: false}
timing:
  stop_limit_s: 2.5
  address_ttl_s: 4
  lease_s: 12
  lease_renewal_s: 4
  head_poll_s: 0.5
  instance_list_poll_s: 1
)";

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::vector<std::string> Problems(const std::string& text) {
  std::vector<std::string> lines;
  const auto settings = ParseSettings(text, "s.yaml");
  if (settings) return lines;
  for (const auto& problem : settings.error()) lines.push_back(problem.ToString());
  return lines;
}

TEST_CASE("every key of a settings file reaches the settings", "[settings]") {
  const auto settings = ParseSettings(kValid, "s.yaml");
  REQUIRE(settings);
  const auto expected = Settings::Builder()
                            .SetInstanceId("a-1")
                            .SetZone("a")
                            .SetRegion("west")
                            .SetApiAddress("127.0.0.1:8080")
                            .SetPeerAddress("127.0.0.1:8081")
                            .SetTableAddress("127.0.0.1:9001")
                            .SetObjectAddress("127.0.0.1:9002")
                            .SetInstanceListAddress("127.0.0.1:9003")
                            .SetSeeds({"127.0.0.1:8181", "[::1]:8281"})
                            .SetLogLevel(LogLevel::kDebug)
                            .SetTracing(false)
                            .SetStopLimit(milliseconds(2500))
                            .SetAddressTtl(seconds(4))
                            .SetLeaseDuration(seconds(12))
                            .SetLeaseRenewal(seconds(4))
                            .SetHeadPoll(milliseconds(500))
                            .SetInstanceListPoll(seconds(1))
                            .Build();
  CHECK(*settings == expected);
}

TEST_CASE("five mistakes in one file are all reported with their lines", "[settings]") {
  std::string text = kValid;
  text = Replace(text, "127.0.0.1:8080", "localhost:80");
  text = Replace(text, "zone: a", "zonne: a");
  text = Replace(text, "tracing: false", "tracing: 1");
  text = Replace(text, "lease_renewal_s: 4", "lease_renewal_s: 4.5");
  text = Replace(text, "objects: 127.0.0.1:9002", "table: 127.0.0.1:9004");
  CHECK(Problems(text) ==
        std::vector<std::string>{
            "s.yaml: zone: found nothing, expected a value; this key is required",
            "s.yaml:2: zonne: found an unknown key, expected the known key zone",
            "s.yaml:4: api_address: found \"localhost:80\", expected an IP address and a port",
            "s.yaml:7: platform.objects: found nothing, expected a value; this key is required",
            "s.yaml:8: platform.table: found a duplicate key, expected one entry; the key is "
            "already set on line 7",
            "s.yaml:11: log.tracing: found \"1\", expected true or false",
            "s.yaml:16: timing.lease_renewal_s: found \"4.5\", expected at most a third of "
            "lease_s, which is 12"});
}

TEST_CASE("values that contradict each other are reported", "[settings]") {
  const std::string peer_address = "\"127.0.0.1:8081\"";
  CHECK(Problems(Replace(kValid, "127.0.0.1:8080", "127.0.0.1:8081")) ==
        std::vector<std::string>{"s.yaml:5: peer_address: found " + peer_address +
                                 ", expected an address other than api_address"});
  CHECK(Problems(Replace(kValid, "127.0.0.1:8181", "127.0.0.1:8081")) ==
        std::vector<std::string>{"s.yaml:10: seeds: found " + peer_address +
                                 ", expected addresses of other instances, not peer_address"});
  CHECK(Problems(Replace(kValid, "\"[::1]:8281\"", "127.0.0.1:8181")) ==
        std::vector<std::string>{"s.yaml:10: seeds: found \"127.0.0.1:8181\", expected each "
                                 "address once; it is already listed on line 10"});
  // The system chooses a different port for each port 0.
  CHECK(Problems(Replace(Replace(kValid, "127.0.0.1:8080", "127.0.0.1:0"), "127.0.0.1:8081",
                         "127.0.0.1:0"))
            .empty());
}

TEST_CASE("values of a wrong type or outside their range are reported", "[settings]") {
  const std::vector<std::pair<std::string, std::string>> edits = {
      {"instance_id: a-1", "instance_id: a/1"},
      {"instance_id: a-1", "instance_id:"},
      {"instance_id: a-1", "instance_id: " + std::string(65, 'x')},
      {"zone: a", "zone: [a]"},
      {"127.0.0.1:9001", "127.0.0.1:0"},
      {"127.0.0.1:9001", "127.0.0.1:65536"},
      {"127.0.0.1:9001", "0.0.0.0:9001"},
      {"127.0.0.1:9001", "\"127.0.0.1\\0:9001\""},
      {"seeds: [127.0.0.1:8181, \"[::1]:8281\"]", "seeds: 127.0.0.1:8181"},
      {"level: debug", "level: loud"},
      {"tracing: false", "tracing: \"false\""},
      {"stop_limit_s: 2.5", "stop_limit_s: -1"},
      {"stop_limit_s: 2.5", "stop_limit_s: .inf"},
      {"stop_limit_s: 2.5", "stop_limit_s: \"2.5\""},
      {"stop_limit_s: 2.5", "stop_limit_s: 0x10"},
      {"stop_limit_s: 2.5", "stop_limit_s: 86401"},
      {"address_ttl_s: 4", "address_ttl_s: 0"},
      {"head_poll_s: 0.5", "head_poll_s: 3.01"},
      {"lease_s: 12", "lease_s: 1.2.3"},
      {"platform:", "platform: {}\nplatform_x:"},
  };
  for (const auto& [from, to] : edits) {
    INFO(to);
    CHECK_FALSE(Problems(Replace(kValid, from, to)).empty());
  }
}

TEST_CASE("input that is not a small YAML map is reported", "[settings]") {
  const std::string deep(100000, '[');
  const std::vector<std::string> texts = {
      "",
      "a: [",
      "- a",
      "b",
      "x: *none",
      "&a [*a]",
      "{",
      deep,
      std::string(kMaxSettingsBytes + 1, ' '),
      "%",
      "a: 1\n---\nb: 2\n",
      std::string("\0\xff\xfe", 3),
  };
  for (const auto& text : texts) {
    INFO(text.substr(0, 20));
    CHECK_FALSE(Problems(text).empty());
  }
  CHECK_FALSE(LoadSettings("/nonexistent/settings.yaml"));
  CHECK_FALSE(LoadSettings("/"));
}

TEST_CASE("random edits of a settings file give checked settings or problems", "[settings]") {
  std::mt19937_64 random(20261204);
  const std::string alphabet = std::string("\n :-[]{}&*!|>'\"%@`#,?~\t\\0a1.\xc3\xff") + '\0';
  int accepted = 0;
  for (int round = 0; round < 5000; ++round) {
    std::string text = kValid;
    for (uint64_t edits = random() % 6 + 1; edits > 0 && !text.empty(); --edits) {
      const std::size_t at = random() % text.size();
      const std::size_t length = random() % 8;
      switch (random() % 4) {
        case 0:
          text[at] = static_cast<char>(random());
          break;
        case 1:
          text.insert(at, 1, alphabet[random() % alphabet.size()]);
          break;
        case 2:
          text.erase(at, length);
          break;
        default:
          text.insert(random() % text.size(), text.substr(at, length));
      }
    }
    const auto settings = ParseSettings(text, "s.yaml");
    if (settings) {
      ++accepted;
      CHECK_FALSE(settings->InstanceId().empty());
      CHECK(settings->LeaseRenewal() * 3 <= settings->LeaseDuration());
    } else {
      REQUIRE_FALSE(settings.error().empty());
      for (const auto& problem : settings.error()) {
        REQUIRE(problem.ToString().find('\n') == std::string::npos);
      }
    }
  }
  // Most edits make the file invalid; some, such as those within a name, do not.
  CHECK(accepted > 10);
  CHECK(accepted < 4000);
}

// Returns a random YAML value in flow style, with some of the known keys.
std::string RandomYaml(std::mt19937_64& random, int depth) {
  static const std::vector<std::string> words = {
      "instance_id", "zone",  "platform", "table", "timing",       "lease_s", "log", "level",
      "seeds",       "true",  "~",        "1e9",   "127.0.0.1:80", "\"\"",    "-1",  "&x y",
      "!!int z",     "debug", "'it''s'",  "0.5",   "api_address",  "<<"};
  const auto word = [&] { return words[random() % words.size()]; };
  if (depth == 0 || random() % 3 == 0) return word();
  const bool map = random() % 2 == 0;
  std::string text = map ? "{" : "[";
  for (uint64_t i = random() % 5; i > 0; --i) {
    if (map) text += (random() % 8 == 0 ? RandomYaml(random, depth - 1) : word()) + ": ";
    text += RandomYaml(random, depth - 1) + (i > 1 ? ", " : "");
  }
  return text + (map ? "}" : "]");
}

TEST_CASE("random YAML trees give settings or problems", "[settings]") {
  std::mt19937_64 random(7);
  for (int round = 0; round < 5000; ++round) {
    const std::string text = RandomYaml(random, 10);
    INFO(text);
    const auto settings = ParseSettings(text, "s.yaml");
    REQUIRE_FALSE(settings);
    REQUIRE(settings.error().size() <= kMaxSettingsProblems);
  }
}

}  // namespace
}  // namespace anvilcroft
