// An engine sends an answer whose body is no event stream and never ends. The platform kills
// processes over MemoryMb. See claim.txt.

#include <cstdio>
#include <iostream>

#include "review/standins/site.hpp"

namespace review {
namespace {

constexpr int64_t kTroubleMs = 75000;
// One of three engines is faulty, for five seconds at a time, and one in 34 of its answers has no
// end: a share of 0.33, for_s = 5 and x = 0.03.
constexpr int64_t kFaultyMs = 5000;
constexpr int64_t kSoundMs = 2000;
constexpr int kAnswersPerFlood = 34;
// The engine's own link (LinkMbps = 1000), shared by all its connections.
constexpr double kLinkBytesPerMs = 125000;

class Flood {
 public:
  explicit Flood(Site& site) : site(site) {}

  // Answers a generation with lines that are no events, until the caller closes.
  bool Answer(Connection& connection, const Message& request) {
    const std::string attempt = request.Header("x-attempt-id");
    this->site.Log().Add("the faulty engine answers item " + attempt + " with bytes without end");
    if (!connection.Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
                          "\r\nX-Server-Stamp: stamp." + attempt +
                          "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    std::string lines;
    while (lines.size() < 16000) lines += "0\n";
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", lines.size());
    const std::string chunk = size + lines + "\r\n";
    int64_t sent = 0;
    while (!this->site.Stopping() && connection.Write(chunk)) {
      sent += static_cast<int64_t>(chunk.size());
      this->Pace(chunk.size());
    }
    this->site.Log().Add("the caller closed item " + attempt + " after " +
                         std::to_string(sent / 1024) + " KiB");
    return false;
  }

 private:
  void Pace(std::size_t bytes) {
    Clock::time_point until;
    {
      const std::lock_guard lock(this->mutex);
      const auto now = Clock::now();
      if (this->free_at < now) this->free_at = now;
      this->free_at += std::chrono::microseconds(
          static_cast<int64_t>(1000.0 * static_cast<double>(bytes) / kLinkBytesPerMs));
      until = this->free_at;
    }
    std::this_thread::sleep_until(until);
  }

  Site& site;
  std::mutex mutex;
  Clock::time_point free_at;
};

int Run(const Arguments& arguments) {
  Record record(arguments.record);
  SiteOptions options;
  options.binary = arguments.binary;
  options.directory = arguments.directory;
  Site site(options, record);
  Flood flood(site);
  std::atomic<int64_t> faulty_since{0};  // 0: never
  std::atomic<int> answers{0};           // of the faulty engine while it is faulty
  static const char* const kZones[] = {"a", "b", "c"};
  for (int i = 0; i < 3; ++i) {
    Engine& engine = site.AddEngine("model-" + std::to_string(i + 1), "model", kZones[i], kModel);
    if (i == 0) {
      engine.handler = [&](Connection& connection, const Message& request) {
        const bool now_faulty =
            faulty_since > 0 &&
            (record.NowMs() - faulty_since) % (kFaultyMs + kSoundMs) < kFaultyMs;
        if (now_faulty && ++answers % kAnswersPerFlood == 0)
          return flood.Answer(connection, request);
        return engine.Generate(connection, request, engine.events, engine.event_ms);
      };
    }
    site.AddEngine("app-" + std::to_string(i + 1), "app", kZones[i], "");
  }
  if (!site.Start(StandardConfiguration()) || !site.WaitReady(20000)) return kCouldNotRun;
  SleepMs(3000);
  if (arguments.trouble) faulty_since = record.NowMs();
  record.Add(arguments.trouble ? "the faulty engine begins" : "no disruption");
  const int64_t until = record.NowMs() + kTroubleMs;
  int steps = 0;
  int whole = 0;
  while (record.NowMs() < until) {
    const std::string id = "job" + std::to_string(++steps);
    Json items = Json::array();
    for (int i = 0; i < 92; ++i) {
      items.push_back(Item(id + "i" + std::to_string(i), id + "g" + std::to_string(i / 4)));
    }
    if (!Submit(site, id, Step(steps - 1, 1, 21, items), 12000)) continue;
    std::size_t read = 0;
    const int64_t deadline = record.NowMs() + 12000;
    while (read < items.size() && record.NowMs() < deadline) {
      const Message page = ReadResults(site, id, static_cast<int64_t>(read));
      const Json body = Json::parse(page.body, nullptr, false);
      if (page.status == 200 && body.is_object()) read += body["Results"].size();
      SleepMs(100);
    }
    if (read == items.size()) ++whole;
    record.Add("step " + id + ": " + std::to_string(read) + " of " + std::to_string(items.size()) +
               " results");
    End(site, id, 4000);
  }
  site.Stop();
  int machines_with_three = 0;
  int ends = 0;
  for (const Machine& machine : site.Machines()) {
    ends += machine.memory_ends;
    if (machine.memory_ends >= 3) ++machines_with_three;
    const std::string line = machine.name + ": killed for memory " +
                             std::to_string(machine.memory_ends) + " times, peak " +
                             std::to_string(machine.peak_kb / 1024) + " MiB";
    record.Add(line);
    std::cout << line << std::endl;
  }
  const std::string summary = std::to_string(ends) + " processes killed for memory, " +
                              std::to_string(whole) + " of " + std::to_string(steps) +
                              " steps whole";
  record.Add(summary);
  std::cout << summary << std::endl;
  if (steps == 0) return kCouldNotRun;
  return machines_with_three >= 2 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Arguments arguments;
  if (!review::ParseArguments(argc, argv, arguments)) return review::kCouldNotRun;
  return review::Run(arguments);
}
