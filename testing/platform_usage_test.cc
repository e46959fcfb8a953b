// Usage reports against the fakes of the store and the cloud API: several processes that count, and
// holders that report, under lost answers, outages, kills and planned stops.

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "anvilcroft/usage/usage_recorder.h"
#include "anvilcroft/usage/usage_reporter.h"
#include "fakes/fake_link.h"
#include "fakes/platform_cloud.h"
#include "platform/store_client.h"
#include "testing/platform_fixture.h"

namespace anvilcroft {
namespace {

using fakes::FakeLink;
using fakes::PlatformCloud;

constexpr Duration kWindow = milliseconds(1000);
constexpr Duration kDue = milliseconds(4000);
// Short, so that rows are removed while the tests run.
constexpr Duration kKeepSent = milliseconds(2000);
const UsageWindows kWindows{kWindow};

// One process: its own path to the store, its counts, and the reporter with a lease that the test
// controls.
struct Process {
  Process(Runtime& runtime, const std::string& name, const std::string& store_address,
          const std::string& cloud_address, const std::vector<std::string>& live)
      : name(name),
        link(FakeLink::Builder(runtime).SetTarget(*ParseEndpoint(store_address)).Build()),
        store(runtime, *ParseEndpoint(*this->link->Start()),
              [](const char*, const char*, Duration) {}),
        cloud(runtime, *ParseEndpoint(cloud_address)),
        recorder(runtime, this->store, this->metrics,
                 {name, kWindow, 800, [] { return 3; }, this->started_at}),
        reporter(runtime, this->store, this->cloud, this->metrics,
                 {kKeepSent, name, kWindow, kDue, 50, this->started_at,
                  [this] { return this->lease; }, [&live] { return live; }}) {
    this->recorder.Start();
    this->reporter.Start();
  }

  void Hold(int64_t fencing) {
    this->lease = HeldLease{fencing, BootNow() + std::chrono::hours(1), BootTime::zero(), false};
  }
  void Lose() { this->lease = {}; }
  // The process can do nothing from now on, as far as others can tell.
  void Kill() {
    this->Lose();
    this->link->SetMode(FakeLink::Mode::kRefuse);
  }

  std::string name;
  WallMillis started_at = WallNow();
  std::unique_ptr<FakeLink> link;
  platform::StoreClient store;
  platform::CloudClient cloud;
  Metrics metrics;
  HeldLease lease;
  UsageRecorder recorder;
  UsageReporter reporter;
};

class UsageFixture {
 public:
  UsageFixture() : store(this->runtime), cloud(this->runtime) {
    this->store_address = *this->store.Start();
    this->cloud_address = *this->cloud.Start();
    for (const char* name : {"one", "two", "three"}) {
      this->live.emplace_back(name);
      this->processes.push_back(std::make_unique<Process>(this->runtime, name, this->store_address,
                                                          this->cloud_address, this->live));
    }
  }
  ~UsageFixture() { this->runtime.EndTasks(); }

  Process& At(std::size_t index) { return *this->processes[index]; }

  // Counts a request that begins now, at the process with this index.
  void Count(std::size_t index, const std::string& customer) {
    const WallMillis now = WallNow();
    ++this->expected[kWindows.WindowAt(now)][customer];
    this->At(index).recorder.Record(customer, "id" + std::to_string(++this->ids), now);
  }

  // Counts a request every 20 ms until `until`, each at the next process of `indexes`.
  void CountUntil(Task& task, TimePoint until, const std::vector<std::size_t>& indexes) {
    while (SteadyNow() < until) {
      const std::size_t index = indexes[static_cast<std::size_t>(this->ids) % indexes.size()];
      this->Count(index, this->ids % 3 == 0 ? "large" : "small");
      SleepUntil(task, SteadyNow() + milliseconds(20));
    }
  }

  void SleepTo(Task& task, WallMillis wall) {
    SleepUntil(task, SteadyNow() + milliseconds(std::max<int64_t>(0, wall - WallNow())));
  }

  // Waits until the window before the current one is reported.
  void AwaitReports(Task& task) {
    const int64_t last = kWindows.WindowAt(WallNow()) - 1;
    INFO("window " << last);
    REQUIRE(testing::WaitUntil(
        task, [&] { return this->cloud.windows.count(last) != 0; }, seconds(30)));
  }

  // Checks that every window from the first reported one on was reported, with the true counts
  // except for those in `inexact`, and never with two contents.
  void CheckReports(const std::set<int64_t>& inexact = {}) {
    CHECK(this->cloud.conflicting.empty());
    REQUIRE_FALSE(this->cloud.windows.empty());
    const int64_t first = this->cloud.windows.begin()->first;
    CHECK(first == kWindows.FirstWholeFrom(this->At(0).started_at));
    int64_t next = first;
    for (const auto& [window, counts] : this->cloud.windows) {
      INFO("window " << window);
      CHECK(window == next++);
      if (inexact.count(window) == 0) CHECK(counts == this->expected[window]);
    }
  }

  Runtime runtime;
  fakes::PlatformStore store;
  PlatformCloud cloud;
  std::string store_address;
  std::string cloud_address;
  std::vector<std::string> live;
  std::vector<std::unique_ptr<Process>> processes;
  std::map<int64_t, UsageCounts> expected;
  int ids = 0;
};

// Guards against lost, doubled and misplaced counts in ordinary operation, and against reports that
// are late or sent without need.
TEST_CASE_METHOD(UsageFixture, "each window is reported once with the counts of all processes",
                 "[usage_reports]") {
  this->At(0).Hold(5);
  testing::RunTask(this->runtime, [&](Task& task) {
    this->CountUntil(task, SteadyNow() + seconds(5), {0, 1, 2});
    SleepUntil(task, SteadyNow() + milliseconds(1200));  // an empty window
    this->AwaitReports(task);
  });
  this->CheckReports();
  CHECK(this->cloud.windows.size() >= 4);
  CHECK(this->cloud.Calls("/usage").size() == this->cloud.windows.size());
  for (const auto& call : this->cloud.Calls("/usage")) {
    CHECK(call.holder == "one");
    CHECK(call.fencing == 5);
  }
}

// Guards against a successor that fixes a window anew, also while the former holder still sends.
TEST_CASE_METHOD(UsageFixture, "two holders in turn report each window with one content",
                 "[usage_reports]") {
  this->At(0).Hold(5);
  testing::RunTask(this->runtime, [&](Task& task) {
    for (int turn = 0; turn < 6; ++turn) {
      this->CountUntil(task, SteadyNow() + milliseconds(900), {0, 1, 2});
      Process& former = this->At(static_cast<std::size_t>(turn % 2));
      this->At(static_cast<std::size_t>((turn + 1) % 2)).Hold(6 + turn);
      // A former holder that has not noticed its loss goes on for some time.
      this->CountUntil(task, SteadyNow() + milliseconds(300), {0, 1, 2});
      former.Lose();
    }
    this->AwaitReports(task);
  });
  this->CheckReports();
}

// Guards against reports that differ from the one that the API has executed without an answer, at
// once or only after newer ones.
TEST_CASE_METHOD(UsageFixture, "a report without an answer is repeated exactly",
                 "[usage_reports]") {
  this->At(0).Hold(5);
  testing::RunTask(this->runtime, [&](Task& task) {
    this->CountUntil(task, SteadyNow() + milliseconds(2500), {0, 1, 2});
    this->cloud.Server().Faults().lose_answers = 1;
    this->CountUntil(task, SteadyNow() + milliseconds(1500), {0, 1, 2});
    this->cloud.Server().Faults().lose_answers = 1;
    this->cloud.Server().Faults().delay_apply_ms = 3500;
    this->CountUntil(task, SteadyNow() + milliseconds(2000), {0, 1, 2});
    this->At(0).Lose();
    this->At(1).Hold(6);
    this->cloud.refuse_next = 1;
    this->CountUntil(task, SteadyNow() + milliseconds(2000), {0, 1, 2});
    REQUIRE(testing::WaitUntil(task, [&] {
      const auto calls = this->cloud.Calls("/usage");
      return std::all_of(calls.begin(), calls.end(),
                         [](const auto& call) { return call.status != 0; });
    }));
    this->AwaitReports(task);
  });
  this->CheckReports();
  CHECK(this->cloud.Calls("/usage").size() > this->cloud.windows.size());
}

// Guards against contents that change because an answer of the store was lost: of counts, of the
// fixed report or of the mark that it was sent, applied at once or late.
TEST_CASE_METHOD(UsageFixture, "lost answers of the store change no report", "[usage_reports]") {
  this->At(0).Hold(5);
  testing::RunTask(this->runtime, [&](Task& task) {
    this->CountUntil(task, SteadyNow() + milliseconds(2000), {0, 1, 2});
    for (int round = 0; round < 6; ++round) {
      auto& faults = this->store.Server().Faults();
      faults.lose_answers = 1;
      faults.delay_apply_ms = round % 2 == 0 ? 0 : 1300;
      this->CountUntil(task, SteadyNow() + milliseconds(700), {0, 1, 2});
    }
    this->AwaitReports(task);
  });
  this->CheckReports();
}

// Guards against counts that die with their process: at most those of the last moments may.
TEST_CASE_METHOD(UsageFixture, "a killed process loses only what it has not written",
                 "[usage_reports]") {
  this->At(0).Hold(5);
  int64_t killed_in = 0;
  int64_t lost = 0;
  testing::RunTask(this->runtime, [&](Task& task) {
    this->CountUntil(task, SteadyNow() + milliseconds(2000), {0, 1, 2});
    this->SleepTo(task, kWindows.EndOf(kWindows.WindowAt(WallNow())));
    killed_in = kWindows.WindowAt(WallNow() + 1);
    for (int i = 0; i < 5; ++i) this->Count(2, "killed");
    SleepUntil(task, SteadyNow() + milliseconds(500));
    ++lost;
    this->At(2).recorder.Record("killed", "lost", WallNow());
    this->At(2).Kill();
    this->live = {"one", "two"};
    this->CountUntil(task, SteadyNow() + milliseconds(2000), {0, 1});
    this->AwaitReports(task);
  });
  this->CheckReports();
  CHECK(this->cloud.windows.at(killed_in).at("killed") == 5);
}

// Guards against counts that a planned stop leaves unwritten, with the window still open.
TEST_CASE_METHOD(UsageFixture, "a stopped process writes its last counts", "[usage_reports]") {
  this->At(0).Hold(5);
  testing::RunTask(this->runtime, [&](Task& task) {
    this->CountUntil(task, SteadyNow() + milliseconds(2000), {0, 1, 2});
    this->live = {"one", "two"};  // a stopping instance leaves the directory first
    this->CountUntil(task, SteadyNow() + milliseconds(600), {0, 1, 2});
    this->Count(2, "last");
    this->At(2).recorder.Finish(task, SteadyNow() + milliseconds(450));
    this->At(2).Kill();
    this->CountUntil(task, SteadyNow() + milliseconds(2000), {0, 1});
    this->AwaitReports(task);
  });
  this->CheckReports();
}

// Guards against windows that are left out or reported without the counts that instances kept while
// the store did not answer.
TEST_CASE_METHOD(UsageFixture, "an outage of the store over the ends of windows loses no count",
                 "[usage_reports]") {
  this->At(0).Hold(5);
  testing::RunTask(this->runtime, [&](Task& task) {
    this->CountUntil(task, SteadyNow() + milliseconds(1800), {0, 1, 2});
    for (const auto mode : {fakes::FaultPlan::Mode::kDown, fakes::FaultPlan::Mode::kSilent}) {
      this->store.Server().Faults().mode = mode;
      this->CountUntil(task, SteadyNow() + milliseconds(5500), {0, 1, 2});
      this->store.Server().Faults().mode = fakes::FaultPlan::Mode::kUp;
      this->CountUntil(task, SteadyNow() + milliseconds(2500), {0, 1, 2});
    }
    this->AwaitReports(task);
  });
  this->CheckReports();
}

// Guards against rows that are kept for good, and against a successor that does not know which
// windows were reported once their rows are removed.
TEST_CASE_METHOD(UsageFixture, "rows are removed and a successor goes on behind them",
                 "[usage_reports]") {
  this->At(0).Hold(5);
  testing::RunTask(this->runtime, [&](Task& task) {
    this->CountUntil(task, SteadyNow() + milliseconds(8500), {0, 1, 2});
    // The cursor, and the windows of the time for which rows are kept and that are not sent yet.
    CHECK(this->store.CountRows(kUsageReportsTable) <= 6);
    CHECK(this->store.CountRows(kUsageCountsTable) <= 3 * 7);
    CHECK(this->store.CountRows(kUsageReportsTable) >= 2);
    this->At(0).Lose();
    this->At(1).Hold(6);
    this->CountUntil(task, SteadyNow() + milliseconds(2500), {0, 1, 2});
    this->AwaitReports(task);
  });
  this->CheckReports();
  CHECK(this->cloud.Calls("/usage").size() == this->cloud.windows.size());
}

// Guards against calls without a lease that allows them, and against a former holder that goes on
// after the API has seen its successor.
TEST_CASE_METHOD(UsageFixture, "only a holder that may send orders reports", "[usage_reports]") {
  this->cloud.checks_fencing = true;
  testing::RunTask(this->runtime, [&](Task& task) {
    SleepUntil(task, SteadyNow() + milliseconds(3500));
    CHECK(this->cloud.Calls().empty());
    this->At(0).Hold(5);
    this->At(0).lease.orders_from = BootNow() + seconds(2);
    SleepUntil(task, SteadyNow() + milliseconds(1800));
    CHECK(this->cloud.Calls().empty());
    this->AwaitReports(task);
    // A repeat by the successor shows its token to the API, while the former holder goes on.
    const auto [window, counts] = *this->cloud.windows.rbegin();
    REQUIRE(this->At(1).cloud.ReportUsage(task, {"two", 6}, {window, counts},
                                          [] { return true; }) == platform::DutyOutcome::kAccepted);
    const std::size_t before = this->cloud.Calls().size();
    this->At(1).Hold(6);
    SleepUntil(task, SteadyNow() + milliseconds(2500));
    this->AwaitReports(task);
    const auto calls = this->cloud.Calls();
    int former = 0;
    for (std::size_t i = before; i < calls.size(); ++i) {
      CHECK(calls[i].status == (calls[i].fencing == 5 ? 409 : 200));
      former += calls[i].fencing == 5 ? 1 : 0;
    }
    CHECK(former <= 1);
  });
  this->CheckReports();
}

// Guards against instances that do not report although the settings ask for it, and against windows
// that are lost or repeated differently when the holder stops.
TEST_CASE_METHOD(PlatformFixture, "instances report windows and a successor continues",
                 "[usage_reports]") {
  PlatformCloud cloud(this->runtime);
  CloudSettings settings;
  settings.address = *ParseEndpoint(*cloud.Start());
  settings.report_usage = true;
  settings.usage_window = kWindow;
  settings.usage_due = kDue;
  this->cloud_settings = settings;
  this->Run([&](Task& task) {
    auto instances = this->AddOwnerAndSuccessor(task);
    this->Await(task, "reports", [&] { return cloud.windows.size() >= 2; });
    instances.owner.ShutDown();
    this->Await(task, "the successor's reports", [&] {
      return cloud.Calls("/usage").back().holder == "two" && cloud.windows.size() >= 6;
    });
  });
  CHECK(cloud.conflicting.empty());
  int64_t next = cloud.windows.begin()->first;
  for (const auto& [window, counts] : cloud.windows) {
    CHECK(window == next++);
    CHECK(counts.empty());
  }
}

}  // namespace
}  // namespace anvilcroft
