// A batch job ends while its owner reads its rows from a slow store that loses its history. Checks
// that no item of the job runs later than CancelMs after the acknowledgement of the end.
//
//   ended_job BINARY FOLDER RECORD [--calm]
//
// Exits with 1 if an item ran too late, 0 if none did, and 2 if the case could not run.

#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>

#include "anvilcroft/base64.h"
#include "anvilcroft/log.h"
#include "review/standins-3/site.hpp"

namespace review {
namespace {

using namespace anvilcroft;  // NOLINT: a stand-in of a test
using nlohmann::json;

constexpr char kJob[] = "5e0c41b97a";
constexpr int kItems = 1024;
constexpr std::size_t kBodyBytes = 4096;
// Of the site kaanch-ops: platform_slow has x = 60 for 4.5 s, an answer takes 4 ms otherwise.
constexpr Duration kSlowAnswer = milliseconds(240);
constexpr Duration kSlowTime = milliseconds(4000);
constexpr Duration kEndAfter = milliseconds(200);     // from the beginning of the disruption
constexpr Duration kSilentFeeds = milliseconds(800);  // platform_compact: a second
constexpr Duration kCancelBound = seconds(3);         // CancelMs
constexpr Duration kContact = seconds(3);             // ContactMs
constexpr Duration kMargin = milliseconds(100);       // of the observation of the engines
constexpr Duration kWatchTime = seconds(16);          // after the end

std::string SubmissionBody() {
  json items = json::array();
  for (int i = 0; i < kItems; ++i) {
    const std::string id = "it" + std::to_string(i);
    std::string body = "prompt of " + id + " ";
    while (body.size() < kBodyBytes) body += static_cast<char>('a' + (body.size() * 7 + i) % 26);
    items.push_back({{"Id", id},
                     {"Path", "/rollout/1"},
                     {"Headers", {{"X-Model", "m"}, {"X-Token-Counts", "100,400"}}},
                     {"Body", Base64Encode(body)},
                     {"Tokens", 500},
                     {"Group", "g" + std::to_string(i / 8)},
                     {"Scorer",
                      {{"Id", "s" + id},
                       {"Host", Site::kHost},
                       {"Path", "/lookup/score"},
                       {"Body", Base64Encode("judge " + id)}}}});
  }
  return json{{"Step", 0},
              {"Model", "m"},
              {"MinVersion", 1},
              {"TargetGroups", kItems / 8},
              {"Items", items}}
      .dump();
}

HttpRequest CallOf(const std::string& method, const std::string& target, const std::string& body) {
  return HttpRequest::Builder()
      .SetMethod(method)
      .SetTarget(target)
      .SetHeader("Host", Site::kHost)
      .SetHeader("X-Attempt-Id", kJob)
      .SetHeader("X-Deadline-Ms", "10000")
      .SetBody(body)
      .Build();
}

// Writes the runs that the engines begin to the record. Returns how many began after `limit`.
class Runs {
 public:
  Runs(Site& site, Record& record) : site(site), record(record), seen(site.engines.size(), 0) {}

  int Look(std::optional<double> limit) {
    int late = 0;
    for (std::size_t i = 0; i < this->site.engines.size(); ++i) {
      const auto& started = this->site.engines[i]->started;
      for (; this->seen[i] < started.size(); ++this->seen[i]) {
        const bool is_late = limit && this->record.Now() > *limit;
        late += is_late ? 1 : 0;
        this->record.Add(this->site.engines[i]->Id() + " runs item " + started[this->seen[i]] +
                         (is_late ? "  TOO LATE" : ""));
      }
    }
    return late;
  }

 private:
  Site& site;
  Record& record;
  std::vector<std::size_t> seen;
};

int RunCase(Task& task, Site& site, Record& record, bool calm) {
  Runtime& runtime = RuntimeOf(task);
  if (!site.Start(task, 3, 2)) {
    record.Add("the site did not start");
    return 2;
  }
  record.Add(calm ? "all instances are ready; no disruption" : "all instances are ready");
  SleepUntil(task, SteadyNow() + seconds(3));
  Runs runs(site, record);
  const auto accepted = site.Call(task, site.instances[1],
                                  CallOf("POST", "/rollout/1", SubmissionBody()), seconds(10));
  record.Add("job " + std::string(kJob) + " submitted to front-1: " +
             (accepted ? std::to_string(accepted->Status()) : "no answer"));
  if (!accepted || accepted->Status() != 202) return 2;
  SleepUntil(task, SteadyNow() + milliseconds(30));
  const TimePoint trouble_from = SteadyNow();
  if (!calm) {
    site.proxy.answer_time = kSlowAnswer;
    site.proxy.feeds_silent = true;
    record.Add("the store becomes slow, 240 ms an answer, and its feeds deliver nothing");
    runtime.Spawn([&site, &record, trouble_from](Task& other) {
      SleepUntil(other, trouble_from + kSilentFeeds);
      site.store.DropHistory();
      site.proxy.feeds_silent = false;
      record.Add("the store has dropped its history of changes; feeds are answered with 410");
      SleepUntil(other, trouble_from + kSlowTime);
      site.proxy.answer_time = Duration(0);
      record.Add("the store is fast again");
    });
  }
  SleepUntil(task, trouble_from + kEndAfter);
  runs.Look(std::nullopt);
  const auto ended = site.Call(task, site.instances[2],
                               CallOf("DELETE", std::string("/api/lots/") + kJob, ""), seconds(5));
  const double acked = record.Now();
  const TimePoint acked_at = SteadyNow();
  record.Add("end of the job asked at front-2: " +
             (ended ? std::to_string(ended->Status()) : "no answer"));
  if (!ended || ended->Status() != 200) return 2;
  // The rule holds in touch: the store has been without disruption for ContactMs.
  const TimePoint in_touch_from = calm ? acked_at : trouble_from + kSlowTime + kContact;
  const TimePoint limit_at = std::max(acked_at + kCancelBound, in_touch_from) + kMargin;
  const double limit = acked + std::chrono::duration<double>(limit_at - acked_at).count();
  int late = 0;
  while (SteadyNow() < acked_at + kWatchTime) {
    late += runs.Look(limit);
    SleepUntil(task, SteadyNow() + milliseconds(10));
  }
  record.AddAt(record.Now(),
               "items that ran later than " + std::to_string(limit) +
                   " s, CancelMs after the end and in touch: " + std::to_string(late));
  return late > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc < 4) return 2;
  anvilcroft::InitLog(anvilcroft::LogLevel::kWarning);
  const bool calm = argc > 4;
  anvilcroft::Runtime runtime;
  review::Record record(argv[3]);
  review::Site site(runtime, argv[1], argv[2]);
  int result = 2;
  runtime.Spawn([&](anvilcroft::Task& task) {
    result = review::RunCase(task, site, record, calm);
    runtime.Stop();
  });
  // A time-out of the script ends the instances too.
  runtime.OnTerminate([&runtime] { runtime.Stop(); });
  runtime.Run();
  site.Stop();
  runtime.EndTasks();
  record.Add("exit " + std::to_string(result));
  std::cout << "exit " << result << std::endl;
  return result;
}
