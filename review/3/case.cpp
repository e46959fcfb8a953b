// An engine sends a second copy of an answer to an item late. The item comes again in a later batch
// job, under the same id, and takes the copy for its answer. See claim.txt.

#include <iostream>
#include <set>

#include "review/standins/site.hpp"

namespace review {
namespace {

constexpr int kRounds = 9;
constexpr int kFillers = 96;  // other items of the first job of a round
constexpr int kFillerEvents = 20;
constexpr int kShortEvents = 40;      // of item x
constexpr int kLongEvents = 250;      // of item y, which the first job does not wait for
constexpr int kEventMs[] = {10, 15};  // the second engine's machine is slower
constexpr int64_t kStepMs = 9000;     // the trainer's deadline
// One answer in 34 of one engine of two is sent twice: a share of 0.5 and x = 0.03.
constexpr int kAnswersPerCopy = 34;
constexpr int kTokensPerEvent = 32;

int EventsOf(const std::string& item) {
  return item.back() == 'x' ? kShortEvents : item.back() == 'y' ? kLongEvents : kFillerEvents;
}

Json HintedItem(const std::string& id, const std::string& group) {
  Json item = Item(id, group);
  item["Headers"]["X-Length-Hint"] = std::to_string(EventsOf(id) * kTokensPerEvent);
  item["Headers"]["X-Token-Counts"] = "100," + std::to_string(kLongEvents * kTokensPerEvent);
  return item;
}

struct Outcome {
  int results = 0;
  std::vector<std::string> too_old;  // results with a version under MinVersion
};

// Reads a job about twice a second until `groups` groups are complete or the time is up, and ends
// it, as a trainer does.
Outcome ReadAndEnd(Site& site, const std::string& job, const Json& items, int groups,
                   int64_t min_version) {
  Outcome outcome;
  std::map<std::string, int> left;
  std::map<std::string, std::string> group_of;
  for (const Json& item : items) {
    ++left[item["Group"]];
    group_of[item["Id"]] = item["Group"];
  }
  const int64_t until = site.Log().NowMs() + kStepMs;
  int complete = 0;
  while (complete < groups && site.Log().NowMs() < until) {
    SleepMs(500);
    const Message page = ReadResults(site, job, outcome.results);
    const Json body = Json::parse(page.body, nullptr, false);
    if (page.status != 200 || !body.is_object()) continue;
    for (const Json& result : body["Results"]) {
      ++outcome.results;
      const std::string id = result.value("Id", "");
      if (--left[group_of[id]] == 0) ++complete;
      for (const Json& version : result["Versions"]) {
        if (version.get<int64_t>() >= min_version) continue;
        outcome.too_old.push_back("job " + job + " MinVersion " + std::to_string(min_version) +
                                  ": " + id + " is " + result.value("State", "") +
                                  " with Versions " + result["Versions"].dump());
        site.Log().Add(outcome.too_old.back());
      }
    }
  }
  End(site, job, 4000);
  return outcome;
}

int Run(const Arguments& arguments) {
  Record record(arguments.record);
  SiteOptions options;
  options.binary = arguments.binary;
  options.directory = arguments.directory;
  Site site(options, record);
  std::mutex mutex;
  int answers = 0;  // of the faulty engine since its last copy
  int copies = 0;
  static const char* const kZones[] = {"a", "b", "c"};
  for (int i = 0; i < 2; ++i) {
    Engine& engine = site.AddEngine("model-" + std::to_string(i + 1), "model", kZones[i], kModel);
    engine.handler = [&engine, i](Connection& connection, const Message& request) {
      return engine.Generate(connection, request, EventsOf(request.Header("x-attempt-id")),
                             kEventMs[i]);
    };
    if (i == 1 || !arguments.trouble) continue;
    engine.duplicate = [&](const std::string& item) {
      const std::lock_guard lock(mutex);
      if (++answers < kAnswersPerCopy || item.back() != 'x') return false;
      answers = 0;
      ++copies;
      record.Add("engine model-1 keeps a second copy of its answer to " + item);
      return true;
    };
  }
  for (int i = 0; i < 3; ++i) site.AddEngine("app-" + std::to_string(i + 1), "app", kZones[i], "");
  if (!site.Start(StandardConfiguration()) || !site.WaitReady(20000)) return kCouldNotRun;
  SleepMs(4000);

  int64_t version = 1;
  int results = 0;
  std::vector<std::string> too_old;
  for (int round = 1; round <= kRounds; ++round) {
    const std::string name = "r" + std::to_string(round);
    Json items = Json::array();
    for (int i = 0; i < kFillers; ++i) {
      items.push_back(
          HintedItem(name + "a" + std::to_string(i) + "f", name + "ag" + std::to_string(i / 4)));
    }
    const Json carried = {HintedItem(name + "x", name + "g"), HintedItem(name + "y", name + "g")};
    for (const Json& item : carried) items.push_back(item);
    if (!Submit(site, name + "a", Step(2 * round, version, kFillers / 4, items), 8000)) {
      return kCouldNotRun;
    }
    Outcome outcome = ReadAndEnd(site, name + "a", items, kFillers / 4, version);
    results += outcome.results;
    too_old.insert(too_old.end(), outcome.too_old.begin(), outcome.too_old.end());

    // The trainer trains and names the next version, and the group that was not complete comes
    // again, beside a new one. Its samples have to come from the new version.
    site.NameVersion(++version);
    Json next = carried;
    for (int i = 0; i < 4; ++i) {
      next.push_back(HintedItem(name + "b" + std::to_string(i) + "f", name + "bg"));
    }
    if (!Submit(site, name + "b", Step(2 * round + 1, version, 2, next), 8000)) return kCouldNotRun;
    outcome = ReadAndEnd(site, name + "b", next, 2, version);
    results += outcome.results;
    too_old.insert(too_old.end(), outcome.too_old.begin(), outcome.too_old.end());
    if (!too_old.empty()) break;
    site.NameVersion(++version);
    SleepMs(1500);
  }
  site.Stop();
  const std::string line = std::to_string(copies) + " late copies, " + std::to_string(results) +
                           " results read, " + std::to_string(too_old.size()) +
                           " with a version under MinVersion" +
                           (too_old.empty() ? "" : ": " + too_old.front());
  record.Add(line);
  std::cout << line << std::endl;
  if (results == 0) return kCouldNotRun;
  return too_old.empty() ? kHeld : kBroken;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Arguments arguments;
  if (!review::ParseArguments(argc, argv, arguments)) return review::kCouldNotRun;
  return review::Run(arguments);
}
