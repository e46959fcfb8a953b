// Guards against a log that blocks the program or floods its reader.

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <ostream>
#include <string>

#include "anvilcroft/line_sink.h"
#include "anvilcroft/log_rate_limiter.h"

namespace anvilcroft {
namespace {

TEST_CASE("lines are dropped without blocking when the reader stops", "[log]") {
  int ends[2];
  REQUIRE(::pipe(ends) == 0);
  LineSink sink(ends[1]);
  std::ostream stream(&sink);
  // Writes far more than a pipe holds; a blocking write would hang the test.
  for (int i = 0; i < 5000; ++i) stream << "line " << i << std::string(100, 'x') << "\n";
  CHECK(sink.DroppedLines() > 3000);
  std::string read(1 << 20, '\0');
  const auto size = ::read(ends[0], read.data(), read.size());
  REQUIRE(size > 0);
  CHECK(read.substr(0, 7) == "line 0x");
  // The next line reports how many were dropped.
  stream << "after\n";
  const auto more = ::read(ends[0], read.data(), read.size());
  REQUIRE(more > 0);
  CHECK(read.substr(0, static_cast<std::size_t>(more)) ==
        "after dropped_lines=" + std::to_string(sink.DroppedLines()) + "\n");
  ::close(ends[0]);
  ::close(ends[1]);
}

TEST_CASE("each part has a rate limit, and a separate one for its failures", "[log]") {
  LogRateLimiter limiter;
  const TimePoint start = TimePoint() + seconds(9);
  int written = 0;
  for (int i = 0; i < 1000; ++i) written += limiter.Admit("live", false, start) ? 1 : 0;
  CHECK(written == static_cast<int>(LogRateLimiter::kBurst));
  CHECK(limiter.Admit("live", true, start));
  CHECK(limiter.Admit("lease", false, start));
  CHECK(limiter.Admit("live", false, start + seconds(1)) == 1000 - written);
  for (int i = 0; i < 1000; ++i) {
    written += limiter.Admit("live", false, start + seconds(1)) ? 1 : 0;
  }
  CHECK(written < static_cast<int>(LogRateLimiter::kBurst + LogRateLimiter::kLinesPerSecond) + 1);
}

}  // namespace
}  // namespace anvilcroft
