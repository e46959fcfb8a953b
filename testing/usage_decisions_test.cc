// Pure decisions of usage reports: windows, counts, attempts, clocks, and what is reported when.

#include <catch2/catch.hpp>

#include "anvilcroft/connect_times.h"
#include "anvilcroft/usage/report_plan.h"
#include "anvilcroft/usage/usage_ledger.h"
#include "anvilcroft/usage/usage_records.h"
#include "anvilcroft/usage/usage_window.h"

namespace anvilcroft {
namespace {

const UsageWindows kWindows{seconds(5)};
constexpr WallMillis kStart = 5000 * 1000;  // begin of window 1000
constexpr UsagePace kPace{milliseconds(500), milliseconds(0)};

TimePoint At(WallMillis wall) { return TimePoint() + milliseconds(wall); }

// Guards against requests counted in the neighbouring window, and a first window that was not
// observed from its beginning.
TEST_CASE("windows begin at multiples of their length", "[usage]") {
  CHECK(kWindows.WindowAt(353445120LL * 5000) == 353445120);
  CHECK(kWindows.WindowAt(kStart - 1) == 999);
  CHECK(kWindows.WindowAt(kStart) == 1000);
  CHECK(kWindows.EndOf(999) == kWindows.BeginOf(1000));
  CHECK(kWindows.WindowAt(-1) == -1);
  CHECK(kWindows.FirstWholeFrom(kStart) == 1000);
  CHECK(kWindows.FirstWholeFrom(kStart + 1) == 1001);
}

// Guards against writes of counts that take more than a tenth of the store's rate.
TEST_CASE("instances share the store's write rate for counts", "[usage]") {
  CHECK(PaceOfUsageWrites(12, 1500, seconds(5)).interval == milliseconds(500));
  for (const std::size_t instances : {1, 72, 195, 380}) {
    for (const double writes : {800.0, 1500.0, 3200.0}) {
      const UsagePace pace = PaceOfUsageWrites(instances, writes, seconds(5));
      const double count = static_cast<double>(instances);
      const double final_rows = count / 5;
      const double others = count / std::chrono::duration<double>(pace.interval).count();
      INFO(instances << " instances, " << writes << " writes/s");
      if (final_rows <= 0.075 * writes) CHECK(final_rows + others <= 0.1 * writes + 1e-3);
      CHECK(pace.spread <= milliseconds(1500));
    }
  }
  CHECK(ReportInterval(50, seconds(5)) == milliseconds(40));
  CHECK(ReportInterval(0.25, seconds(5)) == seconds(4));
}

// Guards against taking a busy moment or a lost packet for the network delay, which would move
// requests into the next window.
TEST_CASE("the network delay is half of the fastest recent connection", "[usage]") {
  ConnectTimes times;
  const Endpoint target{"127.0.0.1", 1};
  CHECK(times.OneWay(target) == Duration::zero());
  times.Add(target, milliseconds(1030));
  times.Add(target, milliseconds(8));
  times.Add(target, milliseconds(20));
  CHECK(times.OneWay(target) == milliseconds(4));
  for (int i = 0; i < 8; ++i) times.Add(target, milliseconds(30));
  CHECK(times.OneWay(target) == milliseconds(15));
  CHECK(times.OneWay({"127.0.0.1", 2}) == Duration::zero());
}

// Guards against an attempt that counts twice, because two targets ran it or it came twice.
TEST_CASE("an attempt counts once", "[usage]") {
  UsageLedger ledger(kWindows, kStart);
  const auto first = ledger.Open("c", "a");
  ledger.OnBegin(first, kStart + 10, false, kStart + 10);
  ledger.OnBegin(first, kStart + 5, false, kStart + 60);
  ledger.Close(first, kStart + 5, kStart + 100);
  const auto again = ledger.Open("c", "a");
  ledger.OnBegin(again, kStart + 200, true, kStart + 200);
  ledger.Close(again, kStart + 200, kStart + 300);
  const auto refused = ledger.Open("c", "b");
  ledger.OnBegin(refused, kStart + 300, false, kStart + 300);
  ledger.Close(refused, std::nullopt, kStart + 305);
  CHECK(ledger.RowAt(1000, kStart + 2000).counts == UsageCounts{{"c", 1}});
  // The refused attempt did not count, so it counts once it runs.
  ledger.Close(ledger.Open("c", "b"), kStart + 400, kStart + 500);
  // Another customer may choose the same id.
  ledger.Close(ledger.Open("d", "a"), kStart + 400, kStart + 500);
  // Without an id, attempts can't be told apart.
  for (int i = 0; i < 2; ++i) ledger.Close(ledger.Open("e", ""), kStart + 400, kStart + 500);
  CHECK(ledger.RowAt(1000, kStart + 2000).counts == UsageCounts{{"c", 2}, {"d", 1}, {"e", 2}});
  CHECK(ledger.Open("", "x") == UsageLedger::kNotCounted);
}

// Guards against requests that land in the window of their answer instead of their begin.
TEST_CASE("a request near the edge counts in the window in which it began", "[usage]") {
  UsageLedger ledger(kWindows, kStart);
  ledger.Close(ledger.Open("c", "a"), kStart + 4999, kStart + 5300);
  ledger.Close(ledger.Open("c", "b"), kStart + 5000, kStart + 5300);
  CHECK(ledger.RowAt(1000, kStart + 5400).counts == UsageCounts{{"c", 1}});
  CHECK(ledger.RowAt(1001, kStart + 5400).counts == UsageCounts{{"c", 1}});
}

// Guards against reports that miss long streams or requests without an answer yet, and against
// reports that wait for the end of a stream.
TEST_CASE("a row is final once no request that began in its window is undecided", "[usage]") {
  UsageLedger ledger(kWindows, kStart);
  const auto stream = ledger.Open("c", "stream");
  CHECK_FALSE(ledger.RowAt(1000, kStart + 4999).final);
  ledger.OnBegin(stream, kStart + 100, true, kStart + 100);
  const auto call = ledger.Open("c", "call");
  ledger.OnBegin(call, kStart + 4900, false, kStart + 4900);
  CHECK(ledger.RowAt(1000, kStart + 5200) == CountRow{{{"c", 1}}, false});
  // Targets refuse at once, so a request without an answer counts after a while.
  CHECK(ledger.RowAt(1000, kStart + 5900) == CountRow{{{"c", 2}}, false});
  // A hedge does not move the begin, and the outcome settles it.
  ledger.Close(call, kStart + 4900, kStart + 6000);
  CHECK(ledger.RowAt(1000, kStart + 6000) == CountRow{{{"c", 2}}, true});
  ledger.Close(stream, kStart + 100, kStart + 30000);
  CHECK(ledger.RowAt(1000, kStart + 30000) == CountRow{{{"c", 2}}, true});
}

// Guards against a write for each request, a late first write, and rows that never become final.
TEST_CASE("changed counts are written after a delay, and final ones once", "[usage]") {
  UsageLedger ledger(kWindows, kStart);
  const auto next = [&](WallMillis wall) { return ledger.NextWrite(kPace, 0, wall, At(wall)); };
  CHECK_FALSE(next(kStart));
  ledger.Close(ledger.Open("c", "a"), kStart + 100, kStart + 100);
  CHECK_FALSE(next(kStart + 100));
  CHECK_FALSE(next(kStart + 299));
  auto due = next(kStart + 300);
  REQUIRE(due);
  CHECK(due->window == 1000);
  CHECK(due->row == CountRow{{{"c", 1}}, false});
  CHECK(due->version == 0);
  ledger.OnWritten(1000, due->row, 7, At(kStart + 300));
  ledger.Close(ledger.Open("c", "b"), kStart + 310, kStart + 310);
  CHECK_FALSE(next(kStart + 310));
  CHECK_FALSE(next(kStart + 799));
  due = next(kStart + 800);
  REQUIRE(due);
  CHECK(due->version == 7);
  ledger.OnWritten(1000, due->row, 8, At(kStart + 800));
  CHECK_FALSE(next(kStart + 5050));
  due = next(kStart + 5100);
  REQUIRE(due);
  CHECK(due->row == CountRow{{{"c", 2}}, true});
  ledger.OnWritten(1000, due->row, 9, At(kStart + 5100));
  CHECK_FALSE(next(kStart + 6000));
  // An empty window has a final row too, which tells the reporter that nothing is missing.
  due = next(kStart + 10100);
  REQUIRE(due);
  CHECK(due->window == 1001);
  CHECK(due->row == CountRow{{}, true});
}

// Guards against counts that are lost when the store fails at the end of a window, and against a
// burst of rows without content after it.
TEST_CASE("counts outlive an outage of the store", "[usage]") {
  UsageLedger ledger(kWindows, kStart);
  ledger.Close(ledger.Open("c", "a"), kStart + 100, kStart + 100);
  const WallMillis back = kStart + 70000;
  for (WallMillis wall = kStart; wall < back; wall += 100) {
    ledger.NextWrite(kPace, 0, wall, At(wall));  // the write fails
  }
  auto due = ledger.NextWrite(kPace, 0, back, At(back));
  REQUIRE(due);
  CHECK(due->window == 1000);
  CHECK(due->row == CountRow{{{"c", 1}}, true});
  ledger.OnWritten(1000, due->row, 5, At(back));
  due = ledger.NextWrite(kPace, 0, back, At(back));
  REQUIRE(due);
  CHECK(due->window >= 1010);
  CHECK(ledger.Late() == 0);
}

// Guards against counts that are lost by a planned stop.
TEST_CASE("a stopping instance makes all rows final at once", "[usage]") {
  UsageLedger ledger(kWindows, kStart);
  const auto call = ledger.Open("c", "a");
  ledger.OnBegin(call, kStart + 100, false, kStart + 100);
  ledger.Finish(kStart + 200);
  CHECK_FALSE(ledger.AllWritten(kStart + 200));
  const auto due = ledger.NextWrite(kPace, 1, kStart + 200, At(kStart + 200));
  REQUIRE(due);
  CHECK(due->row == CountRow{{{"c", 1}}, true});
  ledger.OnWritten(1000, due->row, 1, At(kStart + 210));
  CHECK(ledger.AllWritten(kStart + 210));
}

// Guards against a wall clock that steps: back into a window whose row is final, or far ahead.
TEST_CASE("steps of the wall clock lose no counts", "[usage]") {
  UsageLedger ledger(kWindows, kStart);
  auto due = ledger.NextWrite(kPace, 0, kStart + 5200, At(kStart + 5200));
  REQUIRE(due);
  ledger.OnWritten(1000, due->row, 1, At(kStart + 5200));
  ledger.Close(ledger.Open("c", "a"), kStart + 4990, kStart + 5000);
  ledger.NextWrite(kPace, 0, kStart + 5000, At(kStart + 5300));
  due = ledger.NextWrite(kPace, 0, kStart + 5210, At(kStart + 5600));
  REQUIRE(due);
  CHECK(due->window == 1000);
  CHECK(due->row.counts == UsageCounts{{"c", 1}});
  CHECK(due->version == 1);
  const WallMillis ahead = kStart + 365LL * 86400 * 1000;
  ledger.NextWrite(kPace, 0, ahead, At(kStart + 5700));
  ledger.Close(ledger.Open("c", "b"), ahead, ahead);
  CHECK(ledger.RowAt(kWindows.WindowAt(ahead), ahead).counts == UsageCounts{{"c", 1}});
}

// Guards against rows of several thousand customers, which exceed the store's limit for one row.
TEST_CASE("a report of many customers is stored in parts", "[usage]") {
  FixedReport report;
  for (int i = 0; i < 5000; ++i) report.counts["customer" + std::to_string(i)] = i;
  const auto values = EncodeReport(report);
  REQUIRE(values.size() > 1);
  std::vector<StoredRow> rows;
  for (std::size_t part = 0; part < values.size(); ++part) {
    CHECK(values[part].size() < 64 << 10);
    rows.push_back({ReportRowId(1000, part), values[part], 4, false});
  }
  rows.push_back({CursorRowId(), EncodeCursor({990, 980, 0}), 3, false});
  const auto stored = DecodeReports(rows);
  REQUIRE(stored);
  CHECK(stored->reports.at(1000).counts == report.counts);
  CHECK(stored->reports.at(1000).parts == values.size());
  REQUIRE(stored->cursor);
  CHECK(stored->cursor->first == 990);
  CHECK(stored->cursor->version == 3);
  rows.erase(rows.begin() + 1);
  CHECK_FALSE(DecodeReports(rows));
  CHECK_FALSE(DecodeReports({{ReportRowId(1000), "{\"counts\":{\"c\":\"x\"}}", 1, false}}));
  CHECK_FALSE(DecodeReports({{ReportRowId(1000), "{", 1, false}}));
}

TEST_CASE("rows of counts are read back", "[usage]") {
  const CountRow row{{{"c", 3}, {"d/e", 1}}, true};
  const StoredRow stored{CountRowId(1000, "one/two", 77), EncodeCountRow(row), 1, false};
  const auto decoded = DecodeInstanceCounts(stored);
  REQUIRE(decoded);
  CHECK(decoded->instance == "one/two");
  CHECK(decoded->started_at == 77);
  CHECK(decoded->row == row);
  CHECK(WindowOfPartition(stored.id.partition) == 1000);
  CHECK_FALSE(WindowOfPartition("x/1"));
  CHECK_FALSE(DecodeInstanceCounts({{"t", "p", "noslash"}, EncodeCountRow(row), 1, false}));
}

struct PlanFixture {
  PlanFixture() : plan(kWindows, seconds(10), milliseconds(40), kStart + 100) {
    this->plan.OnBegun({1000, 1000, 1});
  }
  ReportAction Next(WallMillis wall, bool may_send = true) const {
    return this->plan.Next(may_send, wall, At(wall));
  }

  ReportPlan plan;
};

// Guards against a successor that does not repeat exactly what was fixed, and against windows that
// are left out.
TEST_CASE_METHOD(PlanFixture, "windows are fixed oldest first, sent and marked", "[usage]") {
  CHECK(this->Next(kStart + 5100).step == ReportStep::kWait);
  CHECK(this->Next(kStart + 5200) == ReportAction{ReportStep::kFix, 1000});
  this->plan.OnRead(At(kStart + 5200));
  CHECK(this->Next(kStart + 5300).step == ReportStep::kWait);
  CHECK(this->Next(kStart + 5500) == ReportAction{ReportStep::kFix, 1000});
  this->plan.OnFixed(1000, {{{"c", 1}}, false, 0, 2, 1});
  CHECK(this->Next(kStart + 5600, false).step == ReportStep::kWait);
  CHECK(this->Next(kStart + 5600) == ReportAction{ReportStep::kSend, 1000});
  this->plan.OnResult(1000, ReportResult::kAccepted, kStart + 5700, At(kStart + 5700));
  CHECK(this->Next(kStart + 5700) == ReportAction{ReportStep::kMark, 1000});
  // An accepted report is not sent again after the rows have been read anew.
  StoredReports stored = this->plan.Stored();
  this->plan.Load(stored);
  CHECK(this->Next(kStart + 5700) == ReportAction{ReportStep::kMark, 1000});
  this->plan.OnMarked(1000, {{{"c", 1}}, true, kStart + 5700, 3, 1});
  CHECK(this->Next(kStart + 5800).step == ReportStep::kWait);
  // After an outage, two windows are overdue.
  CHECK(this->Next(kStart + 16000) == ReportAction{ReportStep::kFix, 1001});
  this->plan.OnFixed(1001, {{}, false, 0, 4, 1});
  CHECK(this->Next(kStart + 16000) == ReportAction{ReportStep::kSend, 1001});
  CHECK(this->Next(kStart + 16000, false) == ReportAction{ReportStep::kFix, 1002});
  CHECK_FALSE(this->plan.Late(1001, kStart + 20000));
  CHECK(this->plan.Late(1001, kStart + 20001));
}

// Guards against calls without end to an API that refuses, and against a lost report.
TEST_CASE_METHOD(PlanFixture, "a report that is not accepted is repeated with backoff", "[usage]") {
  this->plan.OnFixed(1000, {{{"c", 1}}, false, 0, 2, 1});
  WallMillis now = kStart + 5200;
  for (const int64_t pause : {1000, 2000, 4000, 4000}) {
    CHECK(this->Next(now) == ReportAction{ReportStep::kSend, 1000});
    this->plan.OnResult(1000, ReportResult::kNotAccepted, now, At(now));
    this->plan.OnRead(At(now + pause));
    CHECK(this->Next(now + pause - 1).step != ReportStep::kSend);
    now += pause;
  }
  CHECK(this->plan.Calls(1000) == 4);
  this->plan.OnResult(1000, ReportResult::kAccepted, now, At(now));
  this->plan.OnMarked(1000, {{{"c", 1}}, true, now, 3, 1});
  this->plan.OnFixed(1001, {{}, false, 0, 4, 1});
  CHECK(this->Next(now + 39).step != ReportStep::kSend);
  CHECK(this->Next(now + 40) == ReportAction{ReportStep::kSend, 1001});
}

// Guards against a content that is fixed before all counts are written, and against waiting for
// instances that will never write any.
TEST_CASE_METHOD(PlanFixture, "a window is fixed once all instances are final", "[usage]") {
  const WallMillis now = kStart + 5300;
  const auto row = [](const char* instance, WallMillis start, bool final) {
    return InstanceCounts{instance, start, {{{"c", 1}}, final}};
  };
  const auto may_fix = [&](std::vector<InstanceCounts> rows, std::vector<std::string> live,
                           WallMillis wall) {
    return this->plan.MayFix(1000, rows, live, wall, At(wall));
  };
  CHECK(may_fix({row("one", 1, true), row("two", 1, true)}, {"one", "two"}, now));
  CHECK_FALSE(may_fix({row("one", 1, true)}, {"one", "two"}, now));
  CHECK_FALSE(may_fix({row("one", 1, true), row("two", 1, false)}, {"one", "two"}, now));
  // An instance that left the directory may still write its last counts.
  CHECK_FALSE(may_fix({row("one", 1, true), row("two", 1, false)}, {"one"}, now));
  // Its earlier process has ended.
  CHECK(may_fix({row("one", 1, true), row("two", 1, false), row("two", 2, true)}, {"one"}, now));
  CHECK_FALSE(may_fix({row("one", 1, true)}, {"one", "two"}, kStart + 9999));
  CHECK(may_fix({row("one", 1, true)}, {"one", "two"}, kStart + 10000));
  // After an outage, the instances have some time to write what they kept.
  this->plan.OnStoreFailure();
  this->plan.OnStoreAnswer(At(kStart + 13000));
  CHECK_FALSE(may_fix({row("one", 1, true)}, {"one", "two"}, kStart + 14499));
  CHECK(may_fix({row("one", 1, true)}, {"one", "two"}, kStart + 14500));
  CHECK(may_fix({row("one", 1, true), row("two", 1, true)}, {"one", "two"}, kStart + 13000));
  CHECK(ReportPlan::Sum({row("one", 1, true), row("two", 1, false), row("two", 2, true)}) ==
        UsageCounts{{"c", 3}});
}

// Guards against a first window of which only a part was counted, and one that is left out because
// the holder started after the other instances.
TEST_CASE("reports begin with the first whole window of the first instance", "[usage]") {
  ReportPlan plan(kWindows, seconds(10), milliseconds(40), kStart + 100);
  CHECK(plan.Next(true, kStart + 6999, At(0)).step == ReportStep::kWait);
  CHECK(plan.Next(true, kStart + 7000, At(0)).step == ReportStep::kBegin);
  CHECK(plan.FirstWindow({}) == 1001);
  CHECK(plan.FirstWindow({1000, 1001}) == 1001);
  CHECK(plan.FirstWindow({1000, 999}) == 1000);
}

// Guards against rows that are removed before a successor could repeat the report, and against rows
// that are kept for good.
TEST_CASE_METHOD(PlanFixture, "rows are removed a minute after the report", "[usage]") {
  this->plan.OnFixed(1000, {{}, true, kStart + 5500, 2, 1});
  this->plan.OnFixed(1001, {{}, true, kStart + 5600, 3, 1});
  this->plan.OnRead(At(kStart + 70000));
  CHECK(this->Next(kStart + 65499).step == ReportStep::kWait);
  CHECK(this->Next(kStart + 65500) == ReportAction{ReportStep::kRemove, 1000});
  this->plan.OnRemoved(1000, {1001, 1000, 4});
  CHECK(this->Next(kStart + 65500).step == ReportStep::kWait);
  CHECK(this->Next(kStart + 65600) == ReportAction{ReportStep::kRemove, 1001});
}

}  // namespace
}  // namespace anvilcroft
