// Tests that the logs alone lead from the id of a failed request to its cause.

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "anvilcroft/command.h"
#include "anvilcroft/exit_code.h"
#include "anvilcroft/log_timeline.h"

namespace anvilcroft {
namespace {

TEST_CASE("a log line is parsed with its quotes and escapes", "[explain]") {
  const auto line = ParseLogLine(
      "  12.5 front-1 2026-12-04T05:54:20.123Z INFO live: not run request=r1 reason=\"no "
      "\\\"target\\\" a\\x0ab\" target=\"\" ms=3");
  REQUIRE(line);
  CHECK(line->source == "12.5 front-1");
  CHECK(line->time == "2026-12-04T05:54:20.123Z");
  CHECK(line->level == "INFO");
  CHECK(line->part == "live");
  CHECK(line->sentence == "not run");
  CHECK(line->Field("reason") == "no \"target\" a\nb");
  CHECK(line->Field("target").empty());
  CHECK(line->Field("ms") == "3");
  CHECK(line->HasValue("r1"));
  CHECK_FALSE(line->HasValue("r"));
}

// Malformed input must not crash the parser. Lines of other programs are ignored.
TEST_CASE("text that is not a log line is ignored", "[explain]") {
  const std::string good = "2026-12-04T05:54:20.123Z INFO live: answered request=\"r 1\" ms=3";
  for (std::size_t size = 0; size <= good.size(); ++size) ParseLogLine(good.substr(0, size));
  CHECK_FALSE(ParseLogLine("trace: {\"request\": \"r1\"}"));
  CHECK_FALSE(ParseLogLine("2026-12-04T05:54:20.123Z INFO"));
  CHECK_FALSE(ParseLogLine(std::string(kMaxLogLineBytes + 1, 'x')));
  const auto open = ParseLogLine("2026-12-04T05:54:20.123Z INFO live: answered a=\"x\\");
  REQUIRE(open);
}

TEST_CASE("the timeline of an item includes its job's lines, from all logs in order of time",
          "[explain]") {
  LogTimeline timeline("i1");
  timeline.AddLine("2026-12-04T05:54:22.000Z INFO item: finished item=i1 batch=b1 events=9",
                   "two.log");
  timeline.AddLine("2026-12-04T05:54:20.000Z INFO submit: stored a batch job batch=b1 items=2",
                   "one.log");
  timeline.AddLine("2026-12-04T05:54:20.500Z INFO submit: stored a batch job batch=b2 items=2",
                   "one.log");
  timeline.AddLine("2026-12-04T05:54:21.000Z INFO item: finished item=i2 batch=b1 events=9",
                   "one.log");
  timeline.AddLine("2026-12-04T05:54:21.500Z INFO item: run did not complete item=i1 engine=e",
                   "x");
  timeline.AddLine("2026-12-04T05:54:21.700Z INFO listing: listed results batch=b1 count=1",
                   "one.log");
  const auto lines = timeline.Lines();
  REQUIRE(lines.size() == 3);
  CHECK(lines[0].sentence == "stored a batch job");
  CHECK(lines[0].source == "one.log");
  CHECK(lines[1].Field("engine") == "e");
  CHECK(lines[2].Field("events") == "9");
}

TEST_CASE("explain reads log files and prints text or JSON", "[explain]") {
  char name[] = "/tmp/anvilcroft_test_XXXXXX";
  ::close(::mkstemp(name));
  std::ofstream(name) << "n-1 2026-12-04T05:54:20.123Z INFO live: not_run request=r1 reason=\"no "
                         "target\"\nnoise\n";
  std::ostringstream out;
  std::ostringstream error;
  CHECK(RunProgram({"explain", "--request", "r1", "--log", name}, out, error) == kExitOk);
  CHECK(out.str().find("n-1 INFO live: not_run request=r1 reason=no target") != std::string::npos);
  std::ostringstream as_json;
  CHECK(RunProgram({"explain", "--json", "--request", "r1", "--log", name}, as_json, error) ==
        kExitOk);
  const auto list = nlohmann::json::parse(as_json.str());
  CHECK(list[0]["fields"]["reason"] == "no target");
  CHECK(RunProgram({"explain", "--request", "other", "--log", name}, out, error) == kExitFailed);
  CHECK(RunProgram({"explain", "--request", "r1", "--log", "/nonexistent"}, out, error) ==
        kExitFailed);
  CHECK(RunProgram({"explain"}, out, error) == kExitUsage);
  std::remove(name);
}

}  // namespace
}  // namespace anvilcroft
